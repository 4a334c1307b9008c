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
	// Gate takes callers' calls on any instance and brings them to the owner.
	Gate struct {
		Owner *Owner
		Log   *zap.Logger
		// Call brings a call to the instance at an address; nil calls it over the network.
		Call func(ctx context.Context, address string, c Call) (Answer, error)

		mu sync.Mutex
		// link is the connection to the owner that was called last.
		link *peer.Client
	}
)

// MethodPool is the method by which instances hand calls to the owner.
const MethodPool = "Pool"

const (
	// peerCall bounds one try at the owner: two writes to a slow store.
	peerCall = time.Second
	// ownerWait is how long a call waits for a new owner before it is refused as not run.
	ownerWait = 300 * time.Millisecond
	// watchPause is the pause before the connection to the owner is tried again.
	watchPause = 100 * time.Millisecond
	// ownerPause is the pause before the owner is looked up again.
	ownerPause   = 20 * time.Millisecond
	codeNotOwner = "NotOwner"
	// codeRecovering tells that the instance is the owner but does not serve yet.
	codeRecovering = "Recovering"
	codeUnknown    = "OutcomeUnknown"
)

// Ask answers a call, here or at the owner. ErrUnknown tells that the outcome is not known. Calls may be brought to the
// owner more than once: a job is known by its id.
func (g *Gate) Ask(ctx context.Context, c Call) (Answer, error) {
	maybe := false
	ownerless := time.Now()
	for ctx.Err() == nil {
		answer, tried, err := g.try(ctx, c)
		switch {
		case err == nil && answer.Result == timedOut:
			g.unknown(c)
			return Answer{}, ErrUnknown
		case err == nil && maybe && c.Kind == Submit && (answer.Result == NoKey || answer.Result == NoQueue):
			// An earlier try may have handed the job in while its key or queue was still there.
			g.unknown(c)
			return Answer{}, ErrUnknown
		case err == nil && (!maybe || answer.Result != NotNow):
			return answer, nil
		case err != nil && tried:
			maybe = maybe || !errors.Is(err, ErrNotOwner)
		}
		if !maybe && time.Since(ownerless) > ownerWait {
			break
		}
		pause.For(ctx, ownerPause)
	}
	if maybe || (c.Kind == Submit && !g.Owner.isNew(c.job())) {
		g.unknown(c)
		return Answer{}, ErrUnknown
	}
	g.Log.Info("call: no owner", zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path))
	return Answer{Result: NotNow, Reason: "no instance owns the pool at the moment", RetryAfter: notNowAfter}, nil
}

// isNew reports whether the store is known to keep no record of a job, so that a refusal of it is true.
func (o *Owner) isNew(id ids.JobID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ownerWait)
	defer cancel()
	_, err := o.Store.Get(ctx, prefixJobs+string(id))
	return errors.Is(err, store.ErrNotFound)
}

func (g *Gate) unknown(c Call) {
	g.Log.Info("call: outcome unknown", zap.String("kind", string(c.Kind)), zap.String("host", c.Host), zap.String("path", c.Path))
}

// try brings a call to the owner that is known now; tried tells whether there was one.
func (g *Gate) try(ctx context.Context, c Call) (answer Answer, tried bool, err error) {
	if g.Owner.Owns() {
		answer, err = g.Owner.Handle(ctx, c)
		return answer, true, err
	}
	current := g.Owner.Current()
	if current == nil || current.Address == "" || current.Instance == g.Owner.Instance {
		return Answer{}, false, ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerCall)
	defer cancel()
	call := g.Call
	if call == nil {
		call = func(ctx context.Context, _ string, c Call) (answer Answer, err error) {
			return answer, g.client(current).Call(ctx, MethodPool, c, &answer)
		}
	}
	answer, err = call(ctx, current.Address, c)
	var fault *httpjson.Fault
	switch {
	case err == nil:
		return answer, true, nil
	case errors.Is(err, syscall.ECONNREFUSED), errors.As(err, &fault) && fault.Code == codeNotOwner:
		// Its process has ended, or was started anew and knows nothing of its ownership.
		g.Owner.Overtake(current)
		return answer, true, ErrNotOwner
	case errors.Is(err, peer.ErrUnreachable), errors.As(err, &fault) && fault.Code == codeRecovering:
		return answer, true, ErrNotOwner
	}
	return answer, true, ErrUnknown
}

// Watch notices the end of the owner's process by its connection, until ctx ends.
func (g *Gate) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		current := g.Owner.Current()
		if current == nil || current.Address == "" || current.Instance == g.Owner.Instance {
			pause.For(ctx, watchPause)
			continue
		}
		gone, err := g.client(current).Disconnected(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.Owner.Overtake(current)
		}
		if err != nil {
			pause.For(ctx, watchPause)
			continue
		}
		select {
		case <-gone:
		case <-ctx.Done():
		}
	}
}

// client returns the connection to an owner.
func (g *Gate) client(current *Current) *peer.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.link == nil || g.link.Address != current.Address {
		if g.link != nil {
			g.link.Close()
		}
		g.link = &peer.Client{Address: current.Address}
	}
	return g.link
}

// Offer adds the owner's method to a peer server.
func (g *Gate) Offer(s *peer.Server) {
	peer.Offer(s, MethodPool, g.answer)
}

// answer answers a call that another instance has brought.
func (g *Gate) answer(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCall)
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
