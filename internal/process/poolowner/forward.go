package poolowner

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Forwarder accepts callers' calls on any instance and forwards them to the owner.
	Forwarder struct {
		Owner *Owner
		Log   *zap.Logger
		// Call sends a call to the instance at an address; nil sends it over the network.
		Call func(ctx context.Context, address string, c Call) (Answer, error)

		mu sync.Mutex
		// ownerClient is the connection to the owner that was called last.
		ownerClient *peer.Client
	}
)

// MethodPool is the peer method by which instances forward calls to the owner.
const MethodPool = "Pool"

const (
	// peerCallTimeout limits one call to the owner, in which it may make two writes to a slow store.
	peerCallTimeout = time.Second
	// maxOwnerWait is how long a call that has certainly not run waits for a new owner.
	maxOwnerWait = 300 * time.Millisecond
	// reconnectDelay is the delay before reconnecting to the owner.
	reconnectDelay = 100 * time.Millisecond
	// ownerRetryDelay is the delay before the owner is looked up again.
	ownerRetryDelay = 20 * time.Millisecond
	codeNotOwner    = "NotOwner"
	// codeRecovering means that the instance is the owner but doesn't serve yet.
	codeRecovering = "Recovering"
	codeUnknown    = "OutcomeUnknown"
)

// Handle answers a call, here or at the owner. ErrUnknown means that the outcome is not known. A call may reach the owner
// more than once; submissions are idempotent, since a job is identified by its id.
func (g *Forwarder) Handle(ctx context.Context, c Call) (Answer, error) {
	mayHaveRun := false
	began := time.Now()
	for ctx.Err() == nil {
		answer, tried, err := g.tryOwner(ctx, c)
		switch {
		case err == nil && answer.Result == timedOut:
			g.logUnknown(c)
			return Answer{}, ErrUnknown
		case err == nil && mayHaveRun && c.Kind == Submit && (answer.Result == NoKey || answer.Result == NoQueue):
			// An earlier attempt may have submitted the job while its key or queue still existed.
			g.logUnknown(c)
			return Answer{}, ErrUnknown
		case err == nil && (!mayHaveRun || answer.Result != NotNow):
			return answer, nil
		case err != nil && tried:
			mayHaveRun = mayHaveRun || !errors.Is(err, ErrNotOwner)
		}
		if !mayHaveRun && time.Since(began) > maxOwnerWait {
			break
		}
		pause.For(ctx, ownerRetryDelay)
	}
	if mayHaveRun || (c.Kind == Submit && !g.Owner.hasNoRecord(c.jobID())) {
		g.logUnknown(c)
		return Answer{}, ErrUnknown
	}
	g.Log.Info("call: no owner", zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path))
	return Answer{Result: NotNow, Reason: "no instance owns the pool at the moment", RetryAfter: notNowRetryAfter}, nil
}

// hasNoRecord reports whether the store is known to hold no record of a job, so that refusing it is correct.
func (o *Owner) hasNoRecord(id ids.JobID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxOwnerWait)
	defer cancel()
	key := prefixJobs + string(id)
	seen := o.seenRevision.Load()
	entries, revision, err := o.Store.List(ctx, key)
	// An answer that is older than one seen before may lack the record of a job that was accepted since.
	return err == nil && revision >= store.Revision(seen) && entryOf(entries, key).Revision == store.Absent
}

func (g *Forwarder) logUnknown(c Call) {
	g.Log.Info("call: outcome unknown", zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path))
}

// tryOwner sends a call to the currently known owner; tried reports whether there was one.
func (g *Forwarder) tryOwner(ctx context.Context, c Call) (answer Answer, tried bool, err error) {
	if g.Owner.Owns() {
		answer, err = g.Owner.Handle(ctx, c)
		return answer, true, err
	}
	current := g.Owner.Current()
	if current == nil || current.Address == "" || current.Instance == g.Owner.Instance {
		return Answer{}, false, ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	call := g.Call
	if call == nil {
		call = func(ctx context.Context, _ string, c Call) (answer Answer, err error) {
			return answer, g.clientFor(current).Call(ctx, MethodPool, c, &answer)
		}
	}
	answer, err = call(ctx, current.Address, c)
	var fault *httpjson.Fault
	switch {
	case err == nil:
		return answer, true, nil
	case errors.Is(err, syscall.ECONNREFUSED), errors.As(err, &fault) && fault.Code == codeNotOwner:
		// The call was not delivered, or not handled. The owner's process has probably ended, or was restarted and no longer knows of its ownership.
		g.Owner.TakeOver(current)
		return answer, true, ErrNotOwner
	case errors.Is(err, peer.ErrUnreachable), errors.As(err, &fault) && fault.Code == codeRecovering:
		return answer, true, ErrNotOwner
	}
	return answer, true, ErrUnknown
}

// WatchOwner watches the connection to the owner to detect the end of the owner's process, until ctx is done.
func (g *Forwarder) WatchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		current := g.Owner.Current()
		if current == nil || current.Address == "" || current.Instance == g.Owner.Instance {
			pause.For(ctx, reconnectDelay)
			continue
		}
		gone, err := g.clientFor(current).DisconnectNotify(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.Owner.TakeOver(current)
		}
		if err != nil {
			pause.For(ctx, reconnectDelay)
			continue
		}
		select {
		case <-gone:
		case <-ctx.Done():
		}
	}
}

// clientFor returns the connection to an owner.
func (g *Forwarder) clientFor(current *OwnerRecord) *peer.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownerClient == nil || g.ownerClient.Address != current.Address {
		if g.ownerClient != nil {
			g.ownerClient.Close()
		}
		g.ownerClient = &peer.Client{Address: current.Address}
	}
	return g.ownerClient
}

// Register registers the owner's method with a peer server.
func (g *Forwarder) Register(s *peer.Server) {
	peer.Register(s, MethodPool, g.servePeer)
}

// servePeer answers a call that another instance forwarded.
func (g *Forwarder) servePeer(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	answer, err := g.Owner.Handle(ctx, c)
	switch {
	case errors.Is(err, ErrNotOwner) && g.Owner.recovering.Load():
		return answer, &httpjson.Fault{Status: 409, Code: codeRecovering, Message: err.Error()}
	case errors.Is(err, ErrNotOwner):
		return answer, &httpjson.Fault{Status: 409, Code: codeNotOwner, Message: err.Error()}
	case err != nil:
		return answer, &httpjson.Fault{Status: 504, Code: codeUnknown, Message: err.Error()}
	}
	return answer, nil
}
