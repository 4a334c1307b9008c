// Package owner runs the placement of one data centre while this instance owns it.
//
// Ownership is a lease in the platform's store with an epoch that grows with each owner; the epoch is the fencing
// token of every worker call. All state of one ownership lives in a term, whose events are handled by one goroutine.
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
	// Owner competes for one data centre and decides for it while it owns it. The fields up to Times must be set.
	Owner struct {
		Instance   ids.InstanceID
		DataCentre ids.DataCentreID
		Store      store.Client
		// Wanted reports whether this instance should own the data centre, by the live peers that it knows.
		Wanted func() bool
		// Config returns the configuration in force; nil means that none is known.
		Config func() *config.Config
		// Nodes returns the data centre's workers; false means that the instance list is not known yet.
		Nodes func() ([]placement.Node, bool)
		// Worker returns the calls of a worker.
		Worker func(id ids.InstanceID) worker.Client
		// Event is told of each event.
		Event func(e operator.Event)
		Times Times
		// Owned returns the number of data centres that this instance owns, which share its rate of renewals; nil counts one.
		Owned func() int
		// Unfenced tells that workers take no fencing token: the owner then stops acting when its lease may have lapsed.
		Unfenced bool
		// Violated is told of broken invariants; nil panics.
		Violated func(err error)
		// Jitter spreads an interval; nil spreads it at random.
		Jitter func(d time.Duration) time.Duration
		// Changed is signalled when nodes or configuration change; nil relies on the tick.
		Changed <-chan struct{}

		without   mechanisms
		term      atomic.Pointer[term]
		handOver  atomic.Bool
		abandoned atomic.Bool
		queued    atomic.Int64
	}

	// mechanisms are taken away by tests, to show that the promises break without them.
	mechanisms struct {
		mark, audit, maybeRan bool
	}

	// Times are the owner's intervals. Zero fields have defaults.
	Times struct {
		// Lease is how long ownership lasts without renewal.
		Lease time.Duration
		// Tick is the interval of decisions without events.
		Tick time.Duration
		// WorkerLease is how long a worker's tasks run without renewal.
		WorkerLease time.Duration
		// WorkerRenew is the interval of renewals of one worker.
		WorkerRenew time.Duration
		// RenewRate bounds the renewals of this instance's workers together, per second: with many workers each is renewed less
		// often, under a longer lease. Zero sets no bound.
		RenewRate float64
		// Hold is how long a hold lasts without a start.
		Hold time.Duration
		// WorkerCall bounds one call to a worker.
		WorkerCall time.Duration
		// StoreCall bounds one call to the store.
		StoreCall time.Duration
	}
)

var (
	// ErrNotOwner tells that this instance doesn't own the data centre; nothing was done.
	ErrNotOwner = errors.New("this instance does not own the data centre")
	// ErrStore tells that the store is out, so that nothing can be accepted; the job was not run.
	ErrStore = errors.New("the store does not answer, so the job can't be accepted")
	// ErrOutcomeUnknown tells that the job may have been accepted.
	ErrOutcomeUnknown = errors.New("the store gave no answer; the job may have been accepted")
	// ErrNoJob tells that no such job is known.
	ErrNoJob = errors.New("no such job")
)

func (t Times) withDefaults() Times {
	t.Lease = cmp.Or(t.Lease, 3*time.Second)
	t.Tick = cmp.Or(t.Tick, 250*time.Millisecond)
	t.WorkerLease = cmp.Or(t.WorkerLease, 15*time.Second)
	t.WorkerRenew = cmp.Or(t.WorkerRenew, 2*time.Second)
	t.Hold = cmp.Or(t.Hold, 2*time.Second)
	t.WorkerCall = cmp.Or(t.WorkerCall, 500*time.Millisecond)
	t.StoreCall = cmp.Or(t.StoreCall, time.Second)
	return t
}

// Run competes for the data centre until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.Times = o.Times.withDefaults()
	for ctx.Err() == nil {
		if o.handOver.Load() || !o.Wanted() || o.Config() == nil {
			pause.For(ctx, o.jitter(o.Times.Tick))
			continue
		}
		if _, known := o.Nodes(); !known {
			pause.For(ctx, o.jitter(o.Times.Tick))
			continue
		}
		l, err := o.claim(ctx)
		if err != nil {
			pause.For(ctx, o.jitter(o.Times.Lease/4))
			continue
		}
		o.lead(ctx, l)
	}
}

// Owns reports whether this instance owns the data centre now, and under which epoch.
func (o *Owner) Owns() (ids.Epoch, bool) {
	t := o.term.Load()
	if t == nil {
		return 0, false
	}
	return t.lease.epoch, true
}

// HandOver gives ownership up, for a shutdown; tasks run on under their workers' leases.
func (o *Owner) HandOver() {
	o.handOver.Store(true)
	if t := o.term.Load(); t != nil {
		t.end("handed over")
	}
}

// Abandon makes the owner end without giving its lease back, as the loss of its process does.
func (o *Owner) Abandon() { o.abandoned.Store(true) }

// SawEpoch tells of an epoch that another instance holds; an older term ends at once.
func (o *Owner) SawEpoch(e ids.Epoch) {
	if t := o.term.Load(); t != nil && t.lease.epoch < e {
		t.end("another owner has a newer epoch")
	}
}

func (o *Owner) event(kind string, epoch ids.Epoch, cause string) {
	o.Event(operator.Event{Kind: kind, DataCentre: o.DataCentre, Epoch: epoch, Cause: cause})
}

// jitter returns a duration between three quarters and five quarters of d, unless a seam says otherwise.
func (o *Owner) jitter(d time.Duration) time.Duration {
	if o.Jitter != nil {
		return o.Jitter(d)
	}
	return d*3/4 + rand.N(d/2+1)
}
