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

		clocks ownerClocks
		mu     sync.Mutex
		// ownerClient is the connection to the owner that was called last.
		ownerClient *peer.Client
	}

	// attempt is one attempt of a call.
	attempt struct {
		answer Answer
		// tried is set if there was an owner to call.
		tried bool
		// limited is set if the owner carries the call out only while it is valid.
		limited bool
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
	// codeExpired means that the call came too late and was not carried out.
	codeExpired = "Expired"
)

// Handle answers a call, here or at the owner. ErrUnknown means that the outcome is not known. A call may reach the owner
// more than once; submissions are idempotent, since a job is identified by its id.
func (g *Forwarder) Handle(ctx context.Context, c Call) (Answer, error) {
	c.receivedAt = g.Owner.now()
	mayHaveRun, mayRunLate := false, false
	began := time.Now()
	for ctx.Err() == nil {
		a, err := g.tryOwner(ctx, c)
		switch {
		case err == nil && a.leavesUnknown(c, mayHaveRun, mayRunLate):
			g.logUnknown(c)
			return Answer{}, ErrUnknown
		case err == nil && (!mayHaveRun || a.answer.Result != NotNow):
			return a.answer, nil
		case err != nil && a.tried && !errors.Is(err, ErrNotOwner):
			mayHaveRun, mayRunLate = true, mayRunLate || !a.limited
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
	return Answer{Result: NotNow, Reason: "no owner of the pool can be reached at the moment", RetryAfter: notNowRetryAfter}, nil
}

// leavesUnknown reports whether the outcome of a call is unknown although the owner has answered, given whether an earlier attempt may have run and whether one may
// still run: an owner that doesn't know validities carries it out whenever it arrives.
func (a attempt) leavesUnknown(c Call, mayHaveRun, mayRunLate bool) bool {
	switch a.answer.Result {
	case timedOut, superseded:
		return true
	case Refused:
		return mayRunLate
	case NoKey, NoQueue, Invalid:
		// An earlier attempt may have submitted the job while its key or queue still existed.
		return mayHaveRun && c.Kind == Submit
	case NoJob:
		return mayRunLate && c.Kind == Cancel
	}
	return false
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

// tryOwner sends a call to the currently known owner.
func (g *Forwarder) tryOwner(ctx context.Context, c Call) (a attempt, err error) {
	if g.Owner.Owns() {
		a.answer, err = g.Owner.Handle(ctx, c)
		a.tried, a.limited = true, true
		if errors.Is(err, errExpired) {
			err = ErrNotOwner
		}
		return a, err
	}
	current := g.Owner.Current()
	if current == nil || current.Address == "" || current.Instance == g.Owner.Instance {
		return a, ErrNotOwner
	}
	a.tried = true
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if c.Kind != Read {
		if c.Validity, err = g.validity(ctx, c, current); err != nil {
			// Only the owner's clock was read.
			return a, ErrNotOwner
		}
	}
	a.limited = c.Validity != nil
	a.answer, err = g.callOwner(ctx, current, c)
	return a, err
}

// validity returns the validity of a call to an owner; nil if the owner's version doesn't know it.
func (g *Forwarder) validity(ctx context.Context, c Call, current *OwnerRecord) (*Validity, error) {
	clock, has, known := g.clocks.of(current.Epoch, g.Owner.since)
	if !known {
		if _, err := g.callOwner(ctx, current, Call{Kind: readClock}); err != nil {
			return nil, err
		}
		if clock, has, known = g.clocks.of(current.Epoch, g.Owner.since); !known {
			// The answer was of another epoch.
			return nil, ErrNotOwner
		}
	}
	if !has {
		return nil, nil
	}
	valid := peerCallTimeout
	if deadline, limited := ctx.Deadline(); limited {
		valid = time.Until(deadline)
	}
	return &Validity{Epoch: current.Epoch, Received: clock.Before(g.Owner.since(c.receivedAt)), Expires: clock.After(valid)}, nil
}

// callOwner makes a call to an owner and keeps its reading of its clock.
func (g *Forwarder) callOwner(ctx context.Context, current *OwnerRecord, c Call) (Answer, error) {
	call := g.Call
	if call == nil {
		call = func(ctx context.Context, _ string, c Call) (answer Answer, err error) {
			return answer, g.clientFor(current).Call(ctx, MethodPool, c, &answer)
		}
	}
	answer, err := call(ctx, current.Address, c)
	var fault *httpjson.Fault
	isFault := errors.As(err, &fault)
	switch {
	case err == nil:
		g.clocks.set(current.Epoch, answer.Clock, g.Owner.now())
		return answer, nil
	case errors.Is(err, syscall.ECONNREFUSED), isFault && fault.Code == codeNotOwner:
		// The call was not delivered, or not handled. The owner's process has probably ended, or was restarted and no longer knows of its ownership.
		g.Owner.TakeOver(current)
		return answer, ErrNotOwner
	case errors.Is(err, peer.ErrUnreachable), isFault && (fault.Code == codeRecovering || fault.Code == codeExpired):
		return answer, ErrNotOwner
	}
	return answer, ErrUnknown
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
	peer.Register(s, MethodPlaces, g.servePlaces)
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
	case errors.Is(err, errExpired):
		return answer, &httpjson.Fault{Status: 409, Code: codeExpired, Message: err.Error()}
	case err != nil:
		return answer, &httpjson.Fault{Status: 504, Code: codeUnknown, Message: err.Error()}
	}
	return answer, nil
}
