package poolowner

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Run follows the owner's key and competes for it whenever nobody holds it, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.Times = o.Times.withDefaults()
	failures := 0
	for ctx.Err() == nil {
		revision, err := o.readCurrent(ctx)
		if err != nil {
			if failures++; failures == 1 {
				o.Log.Warn("member: the owner's key can't be read", zap.Error(err))
			}
			pause.For(ctx, jitter(min(maxRetryPause, retryPause*time.Duration(failures))))
			continue
		}
		if failures > 0 {
			o.Log.Info("member: the owner's key is read again", zap.Int("failures", failures))
		}
		failures = 0
		o.follow(ctx, revision)
	}
}

// readCurrent reads who owns the pool.
func (o *Owner) readCurrent(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	entries, revision, err := o.Store.List(ctx, keyOwner)
	if err != nil {
		return 0, err
	}
	o.contacted()
	var current *Current
	for _, e := range entries {
		current = decodeCurrent(e)
	}
	o.setCurrent(current)
	return revision, nil
}

func decodeCurrent(e store.Entry) *Current {
	c := &Current{}
	if err := json.Unmarshal(e.Value, c); err != nil {
		// Only owners write the key; an unreadable one is overwritten by the next claim once its lease has ended.
		return &Current{revision: e.Revision}
	}
	c.revision = e.Revision
	return c
}

func (o *Owner) setCurrent(c *Current) {
	if old := o.current.Swap(c); c != nil && (old == nil || old.revision != c.revision) {
		o.Log.Info("member: owner known", zap.String("owner", string(c.Instance)), zap.Uint64("epoch", uint64(c.Epoch)))
	} else if c == nil && old != nil {
		o.Log.Info("member: owner gone", zap.String("owner", string(old.Instance)), zap.Uint64("epoch", uint64(old.Epoch)))
	}
}

// follow watches the owner's key from a revision on, and claims it when nobody holds it or its holder's process has ended.
func (o *Owner) follow(ctx context.Context, revision store.Revision) {
	for ctx.Err() == nil {
		wait := watchWait
		vacant := o.current.Load() == nil && !o.leaving.Load()
		if vacant {
			if wait = rand.N(claimSpread); o.Weak {
				wait += weakDelay
			}
		}
		if current := o.current.Load(); current != nil && current.Instance == o.Instance && !o.leaving.Load() {
			// The key is of an earlier process of this instance, or of a term that has ended.
			o.compete(ctx, current.revision)
			return
		}
		events, at, err := o.watchOwner(ctx, revision, wait)
		if dead := o.dead.Swap(nil); dead != nil && dead == o.current.Load() && !o.leaving.Load() {
			o.compete(ctx, dead.revision)
			return
		}
		if err != nil {
			if !errors.Is(err, store.ErrCompacted) {
				o.Log.Warn("member: the watch of the owner's key failed", zap.Error(err))
				pause.For(ctx, jitter(retryPause))
			}
			return
		}
		revision = at
		if vacant && len(events) == 0 {
			o.compete(ctx, store.Absent)
			return
		}
	}
}

// watchOwner waits for a change of the owner's key.
func (o *Owner) watchOwner(ctx context.Context, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	o.interrupt.Store(&cancel)
	events, revision, err := o.Store.Watch(ctx, keyOwner, after, wait)
	if err != nil {
		return nil, 0, err
	}
	o.contacted()
	for _, e := range events {
		if e.Deleted {
			o.setCurrent(nil)
		} else {
			o.setCurrent(decodeCurrent(e.Entry))
		}
	}
	return events, revision, nil
}

// Overtake claims ownership from an owner whose process is known to have ended, without waiting for its lease.
func (o *Owner) Overtake(dead *Current) {
	if o.leaving.Load() || o.current.Load() != dead || !o.dead.CompareAndSwap(nil, dead) {
		return
	}
	o.Log.Info("member: the owner's process has ended", zap.String("owner", string(dead.Instance)), zap.Uint64("epoch", uint64(dead.Epoch)))
	if interrupt := o.interrupt.Load(); interrupt != nil {
		(*interrupt)()
	}
}

// compete claims the owner's key and, if that succeeds, decides for the pool until ownership ends.
func (o *Owner) compete(ctx context.Context, over store.Revision) {
	c, err := o.claim(ctx, over)
	if err != nil {
		o.Log.Info("member: claim failed", zap.Error(err))
		pause.For(ctx, jitter(retryPause))
		return
	}
	o.setCurrent(&c.Current)
	o.lead(ctx, c)
}

// claim is a claim of ownership that succeeded.
type claim struct {
	Current
	lease store.LeaseID
	// kept is when the last renewal that succeeded was sent.
	kept stamp
}

// claim takes the owner's key, which must have the given revision, and raises the epoch.
func (o *Owner) claim(ctx context.Context, over store.Revision) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCall)
	defer cancel()
	sent := o.now()
	lease, _, err := o.Store.Grant(ctx, o.Times.Lease)
	if err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	var epoch ids.Epoch
	entry, err := o.Store.Get(ctx, keyEpoch)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, errors.Wrap(err, "epoch")
	}
	if err == nil {
		if err := json.Unmarshal(entry.Value, &epoch); err != nil {
			return nil, errors.Wrap(err, "malformed epoch")
		}
	}
	c := &claim{Current: Current{Instance: o.Instance, Address: o.Address, Epoch: epoch + 1}, lease: lease, kept: sent}
	owner, err := json.Marshal(c.Current)
	if err != nil {
		return nil, err
	}
	raised, err := json.Marshal(c.Epoch)
	if err != nil {
		return nil, err
	}
	c.revision, err = o.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: keyOwner, Revision: over}, {Key: keyEpoch, Revision: entry.Revision}},
		Sets:       []store.Set{{Key: keyOwner, Value: owner, Lease: lease}, {Key: keyEpoch, Value: raised}},
	})
	if err == nil || !errors.Is(err, store.ErrUnknown) {
		return c, errors.Wrap(err, "claim")
	}
	// The claim may have succeeded. One that does so after this look ends with its lease, since nobody acts on it.
	if entry, readErr := o.Store.Get(ctx, keyOwner); readErr == nil && bytes.Equal(entry.Value, owner) {
		c.revision = entry.Revision
		return c, nil
	}
	return nil, errors.Wrap(err, "claim")
}

// jitter returns a duration between three quarters and five quarters of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
