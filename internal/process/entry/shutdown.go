package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// connectionsGrace bounds the wait for connections to end once no request is in flight: ten of the server's looks for
// idle connections.
const connectionsGrace = time.Second

// Ready reports whether the instance takes new work, and if not, why.
func (e *Entry) Ready() (string, bool) {
	if e.leaving.Load() {
		return "the instance is shutting down", false
	}
	if reason, fresh := e.config.Fresh(); !fresh {
		return reason, false
	}
	return "", true
}

// Shutdown drains the instance: it tells that it isn't ready, waits until the balancer has seen that, lets requests
// in flight finish, hands its ownerships over and stops. It returns false if requests outlasted the grace.
func (e *Entry) Shutdown() bool {
	e.leaving.Store(true)
	e.event("ShutdownBegan", "not ready; waiting for the balancer")
	time.Sleep(e.Settings.BalancerLag)
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
		e.event("ShutdownCutOff", "requests outlasted the grace")
	}
	e.stop()
	return finished
}

// handOver gives all ownerships up and waits until they have ended.
func (e *Entry) handOver() {
	e.ownersLock.Lock()
	var owned []*ownership
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

// closeListeners turns new connections away. Those that are open already are still answered.
func (e *Entry) closeListeners() {
	for _, l := range e.listeners {
		if err := l.Close(); err != nil {
			e.Log.Warn("server: listener did not close cleanly", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
	}
}

func (e *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), connectionsGrace)
	defer cancel()
	// Idle keep-alive connections may outlast the time; they carry no request.
	_ = e.callers.ShutdownWithContext(ctx)
	_ = e.operators.ShutdownWithContext(ctx)
	e.cancel()
	for _, p := range e.peers {
		p.Close()
	}
	e.background.Wait()
	e.event("InstanceStopped", "shut down")
}

// Kill stops the instance abruptly, as the loss of its process does: nothing is finished or handed over.
func (e *Entry) Kill() {
	e.ownersLock.Lock()
	for _, o := range e.owners {
		o.Abandon()
	}
	e.ownersLock.Unlock()
	e.cancel()
	for _, l := range e.listeners {
		_ = l.TCPListener.Close() // the instance is gone in any case
	}
	for _, p := range e.peers {
		p.Close()
	}
}
