package poolowner

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
)

const causeKeyChanged = "the owner's key has changed"

// releaseOwnership deletes the owner key if it is still this term's.
func (t *term) releaseOwnership() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	_, err := t.owner.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}, Deletes: []string{keyOwner},
	})
	if err != nil {
		t.log.Info("owner: the owner's key was not deleted; it expires with its lease", zap.Error(err))
	}
}

// renewLease renews the ownership lease until the term ends.
func (t *term) renewLease() {
	const renewalsPerLease = 5
	failures := 0
	for t.ctx.Err() == nil {
		pause.For(t.ctx, jitter(t.owner.Times.Lease/renewalsPerLease))
		sent := t.owner.now()
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.Lease/3)
		err := t.owner.Store.RenewLease(ctx, t.claim.lease)
		cancel()
		if err != nil && t.ctx.Err() == nil && !errors.Is(err, store.ErrRateLimited) {
			t.renewalFailedAt.Store(&sent)
		}
		if err == nil && t.owner.since(*t.ownedAt.Load()) > ownerWatchWait+watchMargin {
			// The watch of the key fails.
			err = t.checkOwner()
		}
		if err != nil && t.ctx.Err() == nil {
			if failures++; failures == 1 {
				t.log.Warn("owner: renewing the lease failed", zap.Duration("leaseAge", t.owner.since(*t.leaseRenewedAt.Load())), zap.Error(err))
			}
		}
		switch {
		case err == nil:
			if failures > 0 {
				t.log.Info("owner: the lease is renewed again", zap.Int("failures", failures), zap.Duration("leaseAge", t.owner.since(*t.leaseRenewedAt.Load())))
			}
			failures = 0
			t.leaseRenewedAt.Store(&sent)
			t.owner.markContact()
		case errors.Is(err, store.ErrLeaseNotFound):
			t.end("the lease has ended")
		case t.owner.since(*t.leaseRenewedAt.Load()) > t.owner.Times.Lease+leaseGrace:
			t.end("the lease could not be renewed")
		}
	}
}

// isStillOwner reports whether it is certain that no newer owner serves yet: the ownership lease can't have expired, or
// most of the workers being renewed confirmed this owner so recently that no newer owner can have begun to serve since,
// even if this process was suspended. A newer owner fences the workers that it reaches before it serves.
func (t *term) isStillOwner() bool {
	if t.owner.since(*t.leaseRenewedAt.Load()) < t.owner.Times.Lease {
		return true
	}
	renewed, confirmed := 0, 0
	for _, l := range t.links {
		if !l.desired.Load().renew {
			continue
		}
		renewed++
		if at := l.confirmedAt.Load(); at != nil && t.owner.since(*at) < confirmationWindow {
			confirmed++
		}
	}
	return 2*confirmed > renewed
}

// watchSuccessor ends the term once another instance has claimed the pool.
func (t *term) watchSuccessor() {
	after := t.claim.revision
	health := watchHealth{owner: t.owner, log: t.log, prefix: keyOwner}
	for t.ctx.Err() == nil {
		sent := t.owner.now()
		ctx, cancel := context.WithTimeout(t.ctx, ownerWatchWait+watchMargin)
		events, at, err := t.owner.Store.Watch(ctx, keyOwner, after, ownerWatchWait)
		cancel()
		if t.ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrCompacted) {
			_ = t.checkOwner() // repeated with the next watch
			pause.For(t.ctx, jitter(storeRetryDelay))
			after = t.claim.revision
			continue
		}
		if err == nil && at < after {
			err = errStale
		}
		if err != nil {
			health.failed(err, sent.at, ownerWatchWait+watchMargin, after)
			pause.For(t.ctx, jitter(storeRetryDelay))
			continue
		}
		health.returned()
		t.owner.markContact()
		after = at
		if slices.ContainsFunc(events, func(e store.Event) bool { return e.Revision != t.claim.revision }) {
			t.end(causeKeyChanged)
			return
		}
		t.ownedAt.Store(&sent)
	}
}

// checkOwner ends the term if the owner key is no longer this term's. It returns an error unless the key is.
func (t *term) checkOwner() error {
	// A read without an answer must leave time for the next renewal.
	ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.Lease/3)
	defer cancel()
	sent := t.owner.now()
	entry, err := t.owner.Store.Get(ctx, keyOwner)
	switch {
	case errors.Is(err, store.ErrNotFound), err == nil && entry.Revision != t.claim.revision:
		t.end(causeKeyChanged)
		return errors.New(causeKeyChanged)
	case err != nil:
		return errors.Wrap(err, "reading the owner's key")
	}
	t.ownedAt.Store(&sent)
	return nil
}
