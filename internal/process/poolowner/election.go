package poolowner

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Run watches the owner key and claims it whenever no instance holds it, until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	o.Times = o.Times.withDefaults()
	o.ownerWatch = watchHealth{owner: o, log: o.Log, prefix: keyOwner}
	failures := 0
	for ctx.Err() == nil {
		revision, err := o.readOwner(ctx)
		if err != nil {
			if failures++; failures == 1 {
				o.Log.Warn("member: the owner's key can't be read", zap.Error(err))
			}
			pause.For(ctx, jitter(min(maxStoreRetryDelay, storeRetryDelay*time.Duration(failures))))
			continue
		}
		if failures > 0 {
			o.Log.Info("member: the owner's key can be read again", zap.Int("failures", failures))
		}
		failures = 0
		o.follow(ctx, revision)
	}
}

// readOwner reads the owner key.
func (o *Owner) readOwner(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, revision, err := o.Store.List(ctx, keyOwner)
	if err != nil {
		return 0, err
	}
	o.markContact()
	o.markSeen(revision)
	var current *OwnerRecord
	for _, e := range entries {
		current = decodeOwner(e)
	}
	o.setCurrentOwner(current)
	return revision, nil
}

func decodeOwner(e store.Entry) *OwnerRecord {
	c := &OwnerRecord{}
	if err := json.Unmarshal(e.Value, c); err != nil {
		// Only owners write the key. An unreadable value is overwritten by a claim after the longest time that a lease lasts.
		return &OwnerRecord{revision: e.Revision}
	}
	c.revision = e.Revision
	return c
}

// isUnreadable reports whether the owner key's value names no instance.
func (c *OwnerRecord) isUnreadable() bool { return c != nil && c.Instance == "" }

func (o *Owner) setCurrentOwner(c *OwnerRecord) {
	if old := o.currentOwner.Swap(c); c != nil && (old == nil || old.revision != c.revision) {
		o.Log.Info("member: new owner", zap.String("owner", string(c.Instance)), zap.Uint64("epoch", uint64(c.Epoch)))
	} else if c == nil && old != nil {
		o.Log.Info("member: owner gone", zap.String("owner", string(old.Instance)), zap.Uint64("epoch", uint64(old.Epoch)))
	}
}

// follow watches the owner key from a revision, and claims it when no instance holds it or its holder's process has
// terminated.
func (o *Owner) follow(ctx context.Context, revision store.Revision) {
	for ctx.Err() == nil {
		wait := ownerWatchWait
		unowned := o.currentOwner.Load() == nil && !o.leaving.Load()
		if unowned {
			wait = o.claimDelay()
		}
		unreadable := !unowned && o.currentOwner.Load().isUnreadable() && !o.leaving.Load()
		if unreadable {
			// The lease of an owner that wrote this value expires by then.
			wait = max(wait, 2*o.Times.Lease)
		}
		if current := o.currentOwner.Load(); current != nil && current.Instance == o.Instance && !o.leaving.Load() {
			// The key was set by an earlier process of this instance, or in a term that has ended.
			o.claimAndRun(ctx, current.revision)
			return
		}
		sent := time.Now()
		events, at, err := o.watchOwner(ctx, revision, wait)
		if dead := o.deadOwner.Swap(nil); dead != nil && dead == o.currentOwner.Load() && !o.leaving.Load() {
			// All instances detect the end of the process at the same time.
			pause.For(ctx, o.claimDelay())
			o.claimAndRun(ctx, dead.revision)
			return
		}
		if err != nil {
			if !errors.Is(err, store.ErrCompacted) && ctx.Err() == nil {
				o.ownerWatch.failed(err, sent, wait+watchMargin, revision)
				pause.For(ctx, jitter(storeRetryDelay))
			}
			return
		}
		o.ownerWatch.returned()
		revision = at
		if unowned && len(events) == 0 {
			o.claimAndRun(ctx, store.Absent)
			return
		}
		if unreadable && len(events) == 0 {
			o.claimAndRun(ctx, o.currentOwner.Load().revision)
			return
		}
	}
}

// claimDelay returns how long this instance waits before it claims a key that no live process holds.
func (o *Owner) claimDelay() time.Duration {
	delay := rand.N(maxClaimDelay)
	if o.DelayClaims {
		delay += extraClaimDelay
	}
	return delay
}

// watchOwner waits for a change of the owner key.
func (o *Owner) watchOwner(ctx context.Context, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	o.cancelWatch.Store(&cancel)
	if o.deadOwner.Load() != nil {
		// TakeOver found no watch in progress to cancel.
		cancel()
	}
	events, revision, err := o.Store.Watch(ctx, keyOwner, after, wait)
	if err != nil {
		return nil, 0, err
	}
	o.markContact()
	o.markSeen(revision)
	for _, e := range events {
		if e.Deleted {
			o.setCurrentOwner(nil)
		} else {
			o.setCurrentOwner(decodeOwner(e.Entry))
		}
	}
	return events, revision, nil
}

// TakeOver claims ownership from an owner that refuses connections or knows of no ownership, without waiting for its lease to expire. Its process has probably
// ended. If it has not, the claim ends its term, and its leases are waited for.
func (o *Owner) TakeOver(dead *OwnerRecord) {
	if o.leaving.Load() || o.currentOwner.Load() != dead || !o.deadOwner.CompareAndSwap(nil, dead) {
		return
	}
	o.Log.Info("member: the owner is taken for dead", zap.String("owner", string(dead.Instance)), zap.Uint64("epoch", uint64(dead.Epoch)))
	if cancel := o.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// claimAndRun claims the owner key and, on success, schedules the pool until ownership ends.
func (o *Owner) claimAndRun(ctx context.Context, expected store.Revision) {
	c, err := o.claim(ctx, expected)
	if err != nil {
		o.Log.Info("member: claim failed", zap.Error(err))
		pause.For(ctx, jitter(storeRetryDelay))
		return
	}
	o.setCurrentOwner(&c.OwnerRecord)
	o.markSeen(c.revision)
	o.runTerm(ctx, c)
}

// claim is a successful claim of ownership.
type claim struct {
	OwnerRecord
	lease store.LeaseID
	// previous is the epoch of the owner before.
	previous ids.Epoch
	// grantedAt is when the grant of the lease was requested, and committedAt when the store had committed the claim. The key was an earlier
	// owner's before then at the latest.
	grantedAt, committedAt timestamp
	// claims tells of the owners before; zero if it is not known.
	claims claimsRecord
}

// claim sets the owner key, which must have the expected revision, and increments the epoch.
func (o *Owner) claim(ctx context.Context, expected store.Revision) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	sent := o.now()
	lease, _, err := o.Store.GrantLease(ctx, o.Times.Lease)
	if err != nil {
		return nil, errors.Wrap(err, "granting the lease")
	}
	entry, claims, err := o.readClaims(ctx)
	if err != nil {
		return nil, err
	}
	var epoch ids.Epoch
	if entry.Revision != store.Absent {
		if err := json.Unmarshal(entry.Value, &epoch); err != nil {
			return nil, errors.Wrap(err, "malformed epoch")
		}
	}
	c := &claim{OwnerRecord: OwnerRecord{Instance: o.Instance, Address: o.Address, Epoch: epoch + tokensPerTerm}, previous: epoch, lease: lease, grantedAt: sent}
	if claims.Revision != store.Absent && json.Unmarshal(claims.Value, &c.claims) != nil {
		o.Log.Error("member: the record of the claims can't be decoded")
		c.claims = claimsRecord{}
	}
	next := claimsRecord{Since: c.claims.Since, Epoch: c.Epoch}
	if c.claims.Epoch != epoch || c.claims.Since == 0 {
		next.Since = epoch + 1
	}
	claimsValue, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	ownerValue, err := json.Marshal(c.OwnerRecord)
	if err != nil {
		return nil, err
	}
	epochValue, err := json.Marshal(c.Epoch)
	if err != nil {
		return nil, err
	}
	c.revision, err = o.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: keyOwner, Revision: expected}, {Key: keyEpoch, Revision: entry.Revision}, {Key: keyClaims, Revision: claims.Revision}},
		Sets:       []store.Set{{Key: keyOwner, Value: ownerValue, Lease: lease}, {Key: keyEpoch, Value: epochValue}, {Key: keyClaims, Value: claimsValue}},
	})
	c.committedAt = o.now()
	if err == nil || !errors.Is(err, store.ErrUnknown) {
		return c, errors.Wrap(err, "committing the claim")
	}
	// The claim may have been committed. A claim that is committed after this read is not used and ends with its lease.
	if entry, readErr := o.Store.Get(ctx, keyOwner); readErr == nil && bytes.Equal(entry.Value, ownerValue) {
		c.revision, c.committedAt = entry.Revision, o.now()
		return c, nil
	}
	return nil, errors.Wrap(err, "committing the claim")
}

// readClaims reads the epoch and the record of the claims at the same time, since the lease of the claim already runs. Keys that don't exist have revision Absent.
func (o *Owner) readClaims(ctx context.Context) (epoch, claims store.Entry, err error) {
	g, ctx := errgroup.WithContext(ctx)
	read := func(key string, entry *store.Entry) {
		g.Go(func() error {
			found, err := o.Store.Get(ctx, key)
			if errors.Is(err, store.ErrNotFound) {
				return nil
			}
			*entry = found
			return errors.Wrapf(err, "reading %s", key)
		})
	}
	read(keyEpoch, &epoch)
	read(keyClaims, &claims)
	return epoch, claims, g.Wait()
}

// jitter returns a random duration between 75% and 125% of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
