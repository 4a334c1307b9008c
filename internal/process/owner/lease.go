package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// lease is one acquisition of the ownership lease of a data centre.
	lease struct {
		epoch    ids.Epoch
		revision store.Revision
		// expiry is when the lease may expire, by this process's clock.
		expiry atomic.Pointer[time.Time]
	}

	// epochRecord is the value of the epoch key, which never expires.
	epochRecord struct {
		Epoch  ids.Epoch
		Holder ids.InstanceID
	}
)

// leaseMarginDivisor sets the safety margin: 1/leaseMarginDivisor of the TTL at the end of a lease is not used.
const leaseMarginDivisor = 5

// epochPrefix is the prefix of the epoch keys of all data centres.
const epochPrefix = "Epoch/"

var errLeaseLost = errors.New("the ownership lease is lost")

func (o *Owner) leaseKey() string { return "Lease/" + string(o.DataCentre) }
func (o *Owner) epochKey() string { return epochPrefix + string(o.DataCentre) }

// claim acquires the lease if nobody holds it, then raises the epoch.
// The epoch is read before the lease is acquired, so that a claimant that is paused in between fails to raise it.
// The new epoch exceeds those of all data centres: a worker that moves here refuses lower epochs than its former owner's, and
// continues to refuse that owner.
func (o *Owner) claim(ctx context.Context) (*lease, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*o.Times.StoreCallTimeout)
	defer cancel()
	var current epochRecord
	entry, err := o.Store.Get(ctx, o.epochKey())
	if err == nil {
		err = json.Unmarshal(entry.Value, &current)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	highest, err := o.highestEpoch(ctx)
	if err != nil {
		return nil, err
	}
	l := &lease{epoch: max(current.Epoch, highest) + 1}
	if err := o.acquireLease(ctx, l); err != nil {
		return nil, err
	}
	value, err := json.Marshal(epochRecord{Epoch: l.epoch, Holder: o.Instance})
	if err != nil {
		return nil, err
	}
	if _, err := o.Store.Put(ctx, store.Write{Key: o.epochKey(), Value: value, If: entry.Revision}); err != nil {
		if !errors.Is(err, store.ErrUnknown) || !o.holdsEpoch(ctx, l) {
			return nil, err
		}
	}
	return l, nil
}

// highestEpoch returns the highest epoch of all data centres. It skips unreadable epochs of other data centres, which must not prevent
// a claim of this one.
func (o *Owner) highestEpoch(ctx context.Context) (ids.Epoch, error) {
	entries, err := o.Store.ListAll(ctx, epochPrefix)
	if err != nil {
		return 0, err
	}
	var highest ids.Epoch
	for _, e := range entries {
		var r epochRecord
		if err := json.Unmarshal(e.Value, &r); err == nil {
			highest = max(highest, r.Epoch)
		}
	}
	return highest, nil
}

func (o *Owner) leaseValue(l *lease) []byte {
	return fmt.Appendf(nil, "%s %d", o.Instance, l.epoch)
}

// acquireLease creates the lease's key; after a lost response it reads the key back.
func (o *Owner) acquireLease(ctx context.Context, l *lease) error {
	sent := time.Now()
	revision, err := o.Store.Put(ctx, store.Write{Key: o.leaseKey(), Value: o.leaseValue(l), If: store.Absent, TTL: o.Times.Lease})
	if errors.Is(err, store.ErrUnknown) {
		entry, readErr := o.Store.Get(ctx, o.leaseKey())
		if readErr == nil && string(entry.Value) == string(o.leaseValue(l)) {
			revision, err = entry.Revision, nil
		}
	}
	if err != nil {
		return err
	}
	l.extend(revision, sent, o.Times.Lease)
	return nil
}

func (l *lease) extend(revision store.Revision, sent time.Time, ttl time.Duration) {
	l.revision = revision
	expiry := sent.Add(ttl - ttl/leaseMarginDivisor)
	l.expiry.Store(&expiry)
}

// valid reports whether no other instance can have acquired the lease yet.
func (l *lease) valid() bool {
	expiry := l.expiry.Load()
	return expiry != nil && time.Now().Before(*expiry)
}

func (o *Owner) holdsEpoch(ctx context.Context, l *lease) bool {
	entry, err := o.Store.Get(ctx, o.epochKey())
	if err != nil {
		return false
	}
	var current epochRecord
	return json.Unmarshal(entry.Value, &current) == nil && current.Epoch == l.epoch && current.Holder == o.Instance
}

// renewLease extends the lease. It returns errLeaseLost once another instance may own the data centre, and other errors
// while the store doesn't respond.
func (o *Owner) renewLease(ctx context.Context, l *lease) error {
	ctx, cancel := context.WithTimeout(ctx, o.Times.StoreCallTimeout)
	defer cancel()
	sent := time.Now()
	revision, err := o.Store.Put(ctx, store.Write{Key: o.leaseKey(), Value: o.leaseValue(l), If: l.revision, TTL: o.Times.Lease})
	if err == nil {
		l.extend(revision, sent, o.Times.Lease)
		return nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	return o.reacquireLease(ctx, l)
}

// reacquireLease reacquires the lease after a lost response or an expiry, unless the epoch was raised meanwhile.
func (o *Owner) reacquireLease(ctx context.Context, l *lease) error {
	entry, err := o.Store.Get(ctx, o.leaseKey())
	switch {
	case errors.Is(err, store.ErrNotFound):
		if err := o.acquireLease(ctx, l); err != nil {
			if errors.Is(err, store.ErrConflict) {
				return errLeaseLost
			}
			return err
		}
	case err != nil:
		return err
	case string(entry.Value) != string(o.leaseValue(l)):
		return errLeaseLost
	default:
		l.revision = entry.Revision
	}
	if !o.holdsEpoch(ctx, l) {
		return errLeaseLost
	}
	return nil
}

// releaseLease deletes the lease's key, so that the next owner needn't wait for its expiry.
func (o *Owner) releaseLease(l *lease) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Times.StoreCallTimeout)
	defer cancel()
	// If the delete fails, the lease expires by itself.
	_ = o.Store.Delete(ctx, o.leaseKey(), l.revision)
}
