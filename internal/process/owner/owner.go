// Package owner schedules the jobs of one data centre while this instance owns it.
//
// Ownership is a lease in the platform's store with an epoch that increases with each owner; the epoch is the fencing
// token of every worker call. All state of one ownership is in a term, whose events are handled by one goroutine.
package owner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Owner competes for the ownership of one data centre and schedules its jobs while it holds it. The fields up to
	// Times are required, except Moved.
	Owner struct {
		Instance   ids.InstanceID
		DataCentre ids.DataCentreID
		Store      store.Client
		// ShouldOwn reports whether this instance should own the data centre, according to the live peers that it knows.
		ShouldOwn func() bool
		// Config returns the configuration in force, or nil if none is known.
		Config func() *config.Config
		// Nodes returns the data centre's workers, and false if the instance list is not known yet.
		Nodes func() ([]placement.Node, bool)
		// Moved reports whether the instance list has a worker in another data centre; nil means that workers don't move.
		Moved func(id ids.InstanceID) bool
		// Worker returns the client of a worker.
		Worker func(id ids.InstanceID) worker.Client
		// OnEvent is called for each event.
		OnEvent func(e operator.Event)
		Times   Times
		// OwnedCount returns the number of data centres that this instance owns; they share RenewRate. Nil means one.
		OwnedCount func() int
		// Unfenced means that workers check no fencing token: the owner then stops acting once its lease may have expired.
		Unfenced bool
		// OnViolation is called for each broken invariant; if it is nil, the owner panics.
		OnViolation func(err error)
		// Jitter randomizes an interval; nil uses a random spread.
		Jitter func(d time.Duration) time.Duration
		// RefreshConfig reads the newest configuration from the store. A new owner calls it before it starts anything, until it
		// returns nil. If it is nil, the configuration that Config returns is taken for the newest.
		RefreshConfig func(ctx context.Context) error
		// ConfigAge returns the time since the configuration was last confirmed to be the newest; nil means that it always is.
		ConfigAge func() time.Duration
		// Changed is signalled when nodes or configuration change; nil relies on DecisionInterval.
		Changed <-chan struct{}

		disabled  safeguards
		term      atomic.Pointer[term]
		handOver  atomic.Bool
		abandoned atomic.Bool
		queued    atomic.Int64
		// evacuation is the evacuation's status after the last decision, or nil.
		evacuation atomic.Pointer[operator.EvacuationStatus]
		emptied    atomic.Bool
	}

	// safeguards names the safeguards that a test disables to show that the guarantees fail without them.
	safeguards struct {
		startIntent, reconcile, assumeStarted bool
	}

	// Times are the owner's intervals and timeouts. Zero fields get defaults.
	Times struct {
		// Lease is the TTL of the ownership lease.
		Lease time.Duration
		// DecisionInterval is the interval between decisions when there are no events.
		DecisionInterval time.Duration
		// WorkerLease is how long a worker's tasks run without a renewal.
		WorkerLease time.Duration
		// WorkerRenewInterval is the interval between renewals of one worker's lease.
		WorkerRenewInterval time.Duration
		// RenewRate limits the worker lease renewals of this instance per second: with many workers each is renewed less
		// often, with a longer lease. Zero sets no limit.
		RenewRate float64
		// HoldTTL is the TTL of a hold that is not followed by a start.
		HoldTTL time.Duration
		// WorkerCallTimeout is the timeout of one call to a worker.
		WorkerCallTimeout time.Duration
		// StoreCallTimeout is the timeout of one call to the store.
		StoreCallTimeout time.Duration
	}
)

var (
	// ErrNotOwner means that this instance doesn't own the data centre; nothing was done.
	ErrNotOwner = errors.New("this instance does not own the data centre")
	// ErrStoreUnavailable means that the store is unavailable, so no job can be accepted; the job was not run.
	ErrStoreUnavailable = errors.New("the store does not answer, so the job can't be accepted")
	// ErrOutcomeUnknown means that the job may have been accepted.
	ErrOutcomeUnknown = errors.New("the store gave no answer; the job may have been accepted")
	// ErrNoJob means that no such job is known.
	ErrNoJob = errors.New("no such job")
)

func (t Times) withDefaults() Times {
	t.Lease = cmp.Or(t.Lease, 3*time.Second)
	t.DecisionInterval = cmp.Or(t.DecisionInterval, 250*time.Millisecond)
	t.WorkerLease = cmp.Or(t.WorkerLease, 15*time.Second)
	t.WorkerRenewInterval = cmp.Or(t.WorkerRenewInterval, 2*time.Second)
	t.HoldTTL = cmp.Or(t.HoldTTL, 2*time.Second)
	t.WorkerCallTimeout = cmp.Or(t.WorkerCallTimeout, 500*time.Millisecond)
	t.StoreCallTimeout = cmp.Or(t.StoreCallTimeout, time.Second)
	return t
}

// Run competes for the data centre until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.Times = o.Times.withDefaults()
	for ctx.Err() == nil {
		if o.handOver.Load() || !o.ShouldOwn() || o.Config() == nil {
			pause.For(ctx, o.jitter(o.Times.DecisionInterval))
			continue
		}
		if _, known := o.Nodes(); !known {
			pause.For(ctx, o.jitter(o.Times.DecisionInterval))
			continue
		}
		l, err := o.claim(ctx)
		if err != nil {
			pause.For(ctx, o.jitter(o.Times.Lease/4))
			continue
		}
		o.runTerm(ctx, l)
	}
}

// Owns reports whether this instance owns the data centre now, and returns the epoch.
func (o *Owner) Owns() (ids.Epoch, bool) {
	t := o.term.Load()
	if t == nil {
		return 0, false
	}
	return t.lease.epoch, true
}

// HandOver gives up ownership for a shutdown; tasks keep running under their workers' leases.
func (o *Owner) HandOver() {
	o.handOver.Store(true)
	if t := o.term.Load(); t != nil {
		t.end("handed over")
	}
}

// Abandon makes the owner end without releasing its lease, as if its process had crashed.
func (o *Owner) Abandon() { o.abandoned.Store(true) }

// ObserveEpoch handles an epoch that another instance holds: a term with an older epoch ends at once.
func (o *Owner) ObserveEpoch(e ids.Epoch) {
	if t := o.term.Load(); t != nil && t.lease.epoch < e {
		t.end("another owner has a newer epoch")
	}
}

func (o *Owner) event(kind string, epoch ids.Epoch, cause string) {
	o.OnEvent(operator.Event{Kind: kind, DataCentre: o.DataCentre, Epoch: epoch, Cause: cause})
}

// jitter returns a random duration between three quarters and five quarters of d, unless Jitter is set.
func (o *Owner) jitter(d time.Duration) time.Duration {
	if o.Jitter != nil {
		return o.Jitter(d)
	}
	return d*3/4 + rand.N(d/2+1)
}
