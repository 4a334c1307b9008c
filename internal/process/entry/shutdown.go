package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// connectionShutdownTimeout bounds the wait for connections to close once no request is in flight. It leaves time for ten
// of the server's checks for idle connections.
const connectionShutdownTimeout = time.Second

// Ready reports whether the instance accepts new work. If not, it returns the reason.
func (e *Entry) Ready() (string, bool) {
	if e.draining.Load() {
		return "the instance is shutting down", false
	}
	if reason, fresh := e.config.Fresh(); !fresh {
		return reason, false
	}
	return "", true
}

// Shutdown drains the instance: it reports not ready, waits until the load balancer has noticed, hands over its data
// centres, lets in-flight requests finish and stops. It returns false if requests exceeded the grace period.
func (e *Entry) Shutdown() bool {
	e.draining.Store(true)
	e.event("ShutdownBegan", "not ready; waiting for the load balancer")
	time.Sleep(e.Settings.BalancerDelay)
	e.handOver()
	e.closeListeners()
	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(done)
	}()
	finished := true
	select {
	case <-done:
	case <-time.After(e.Settings.Grace):
		finished = false
		e.event("ShutdownCutOff", "requests exceeded the grace period")
	}
	e.stop()
	return finished
}

// handOver gives up the ownership of all data centres and waits until it has ended, for at most one owner lease.
func (e *Entry) handOver() {
	e.ownersLock.Lock()
	var owned []*localOwner
	for _, o := range e.owners {
		owned = append(owned, o)
	}
	e.ownersLock.Unlock()
	for _, o := range owned {
		o.HandOver()
	}
	deadline := time.Now().Add(e.Settings.OwnerLease)
	for _, o := range owned {
		for _, owns := o.Owns(); owns && time.Now().Before(deadline); _, owns = o.Owns() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// closeListeners stops accepting connections. Requests on open connections are still served.
func (e *Entry) closeListeners() {
	for _, l := range e.listeners {
		if err := l.Close(); err != nil {
			e.Log.Warn("server: listener did not close cleanly", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
	}
}

func (e *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), connectionShutdownTimeout)
	defer cancel()
	// Idle keep-alive connections may remain open after the timeout; they carry no request.
	_ = e.callerServer.Shutdown(ctx)
	_ = e.operatorServer.Shutdown(ctx)
	e.cancel()
	for _, p := range e.peerClients {
		p.Close()
	}
	e.background.Wait()
	e.event("InstanceStopped", "shut down")
}

// Kill stops the instance abruptly, as a crash of its process does: nothing is finished or handed over.
func (e *Entry) Kill() {
	e.ownersLock.Lock()
	for _, o := range e.owners {
		o.Abandon()
	}
	e.ownersLock.Unlock()
	e.cancel()
	for _, l := range e.listeners {
		_ = l.TCPListener.Close() // a crash doesn't close cleanly either
	}
	for _, p := range e.peerClients {
		p.Close()
	}
}
