package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// term is one ownership of a data centre, from the claim to its loss.
	term struct {
		owner *Owner
		lease *lease
		ctx   context.Context
		end   func(cause string)

		// events are handled one after the other by the term's goroutine, which alone uses the fields below.
		events    chan func()
		state     *placement.State
		config    *config.Config
		links     map[ids.InstanceID]*link
		jobs      map[ids.JobID]*execution
		unknown   []operator.UnknownJob
		recovered bool
		// retired is when ended jobs were last looked through.
		retired time.Time

		writers atomic.Uint64
		// workers is the number of listed workers.
		workers atomic.Int64
		// storeOut tells that the lease could not be renewed in time, so that nothing can be accepted.
		storeOut atomic.Bool
		// spawnLock keeps tasks from being added once the term waits for them.
		spawnLock sync.Mutex
		closed    bool
		tasks     sync.WaitGroup
	}

	// execution is what the term does for one job, one step after the other.
	execution struct {
		steps    []func()
		busy     bool
		revision store.Revision
		// saved is closed once the job's end is in the store for good.
		saved chan struct{}
	}
)

const eventBacklog = 1024

// lead holds the data centre until the ownership is lost, given up, or ctx ends.
func (o *Owner) lead(ctx context.Context, l *lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &term{
		owner: o, lease: l, ctx: ctx, end: func(cause string) { cancel(errors.New(cause)) },
		events: make(chan func(), eventBacklog),
		state:  &placement.State{DataCentre: o.DataCentre, Violated: o.Violated},
		links:  make(map[ids.InstanceID]*link),
		jobs:   make(map[ids.JobID]*execution),
	}
	o.event("OwnershipClaimed", l.epoch, "the lease was free")
	t.spawn(t.keepLease)
	t.configure()
	if t.recover() {
		t.recovered = true
		t.spawn(t.audit)
		o.term.Store(t)
		o.event("OwnershipTaken", l.epoch, "job records read and workers fenced")
		t.run()
	}
	o.term.Store(nil)
	cancel(nil)
	t.join()
	o.event("OwnershipEnded", l.epoch, context.Cause(ctx).Error())
	if !o.abandoned.Load() {
		o.dropLease(l)
	}
}

// run handles events and decides until the term ends.
func (t *term) run() {
	ticker := time.NewTicker(t.owner.Times.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case event := <-t.events:
			event()
			t.drainEvents()
		case <-t.owner.Changed:
		case <-ticker.C:
			t.state.UpdateForecasts(time.Now())
			t.retire(time.Now())
			if !t.owner.Wanted() {
				t.end("another instance should own the data centre")
			}
		}
		t.configure()
		t.decide()
	}
}

// drainEvents handles the events that wait already, so that a burst costs one decision.
func (t *term) drainEvents() {
	for range eventBacklog {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// configure takes over changes of the configuration and of the instance list.
func (t *term) configure() {
	nodes, known := t.owner.Nodes()
	if !known {
		return
	}
	t.workers.Store(int64(len(nodes)))
	t.state.SetNodes(nodes)
	if c := t.owner.Config(); c != nil && c != t.config {
		t.config = c
		t.state.Configure(c)
	}
	listed := make(map[ids.InstanceID]bool, len(nodes))
	for _, n := range nodes {
		listed[n.ID] = true
		if t.recovered && t.links[n.ID] == nil {
			t.links[n.ID] = t.newLink(n.ID)
		}
	}
	for id, l := range t.links {
		if !listed[id] && !t.state.Live(id) {
			l.cancel()
			delete(t.links, id)
			t.state.RemoveNode(id)
		}
	}
}

// decide carries out what the state decides.
func (t *term) decide() {
	t.state.HoldOnce(t.storeOut.Load())
	actions, notices := t.state.Decide(time.Now())
	t.owner.queued.Store(int64(t.state.Queued()))
	for _, n := range notices {
		t.owner.Event(operator.Event{
			Kind: string(n.Kind), DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch,
			Job: n.Job, Account: n.Account, Target: n.Instance, Cause: n.Cause,
		})
	}
	for _, a := range actions {
		t.perform(a)
	}
}

// do runs a function on the term's goroutine and waits for it.
func (t *term) do(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case t.events <- func() { run(); close(done) }:
	case <-t.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-t.ctx.Done():
		return ErrNotOwner
	}
}

// post runs a function on the term's goroutine, later.
func (t *term) post(run func()) {
	select {
	case t.events <- run:
	case <-t.ctx.Done():
	}
}

// spawn runs a function beside the term's goroutine, unless the term is over.
func (t *term) spawn(run func()) {
	t.spawnLock.Lock()
	defer t.spawnLock.Unlock()
	if !t.closed {
		t.tasks.Go(run)
	}
}

// join waits for all that was spawned.
func (t *term) join() {
	t.spawnLock.Lock()
	t.closed = true
	t.spawnLock.Unlock()
	t.tasks.Wait()
}

func (t *term) nextWriter() string {
	return fmt.Sprintf("%s/%d/%d", t.owner.Instance, t.lease.epoch, t.writers.Add(1))
}

// keepLease renews the lease. While the store is out the term goes on, if workers fence: an epoch that nobody can
// have raised remains valid, and a raised one is told by the workers, by the peers or by the store.
func (t *term) keepLease() {
	o := t.owner
	for {
		pause.For(t.ctx, o.Times.Lease/4)
		if t.ctx.Err() != nil {
			return
		}
		err := o.renewLease(t.ctx, t.lease)
		switch {
		case t.ctx.Err() != nil:
			return
		case err == nil:
			if t.storeOut.Swap(false) {
				o.event("StoreBack", t.lease.epoch, "the lease was renewed again under the same epoch")
			}
		case errors.Is(err, errLost):
			t.end("another instance took the lease")
			return
		case !t.lease.valid():
			if o.Unfenced {
				t.end("the lease lapsed and workers take no fencing token")
				return
			}
			if !t.storeOut.Swap(true) {
				o.event("StoreOut", t.lease.epoch, "the lease could not be renewed: "+err.Error())
			}
		}
	}
}
