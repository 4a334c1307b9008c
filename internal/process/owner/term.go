package owner

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
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

		// events are handled in order by the term's goroutine, which alone accesses the fields from state to lastPurge.
		events   chan func()
		state    *placement.State
		config   *config.Config
		sessions map[ids.InstanceID]*workerSession
		// removedLeases holds when the leases of workers without a session expire, until then.
		removedLeases map[ids.InstanceID]time.Time
		executions    map[ids.JobID]*execution
		unknownJobs   []operator.UnknownJob
		recovered     bool
		// clock continues that of earlier owners, and retired are the jobs that ended under them.
		clock   tenure.Clock
		retired []retiredJob
		// lastPurge is when ended jobs were last checked for removal.
		lastPurge time.Time

		writeCount atomic.Uint64
		// workerCount is the number of workers in the instance list.
		workerCount atomic.Int64
		// storeUnavailable is set while the lease has expired because renewals fail; no job is accepted then.
		storeUnavailable atomic.Bool
		// spawnMu prevents new background goroutines once the term waits for them.
		spawnMu    sync.Mutex
		closed     bool
		background sync.WaitGroup
	}

	// execution runs the actions of one job, one after the other.
	execution struct {
		pending  []func()
		busy     bool
		revision store.Revision
		// finalSaved is closed once the job's final record is durable in the store.
		finalSaved chan struct{}
	}
)

const eventQueueSize = 1024

// runTerm owns the data centre until ownership is lost or given up, or ctx ends.
func (o *Owner) runTerm(ctx context.Context, l *lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &term{
		owner: o, lease: l, ctx: ctx, end: func(cause string) { cancel(errors.New(cause)) },
		events:     make(chan func(), eventQueueSize),
		state:      &placement.State{DataCentre: o.DataCentre, OnViolation: o.OnViolation},
		sessions:   make(map[ids.InstanceID]*workerSession),
		executions: make(map[ids.JobID]*execution),
	}
	o.event("OwnershipClaimed", l.epoch, "the lease was free")
	t.spawn(t.renewLeaseLoop)
	t.serve()
	o.term.Store(nil)
	o.evacuation.Store(nil)
	o.emptied.Store(false)
	cancel(nil)
	t.join()
	o.event("OwnershipEnded", l.epoch, context.Cause(ctx).Error())
	if !o.abandoned.Load() {
		o.releaseLease(l)
	}
}

// serve recovers the jobs and serves until the term ends.
func (t *term) serve() {
	defer t.endOnPanic()
	refreshed := t.refreshConfig()
	t.applyUpdates()
	if refreshed && t.recover() {
		t.recovered = true
		t.spawn(t.reconcile)
		t.owner.term.Store(t)
		t.owner.event("OwnershipTaken", t.lease.epoch, "job records read and workers fenced")
		t.eventLoop()
	}
}

// endOnPanic is deferred by the term's goroutines. A panic ends the term and not the process: what the term knows may be
// inconsistent, and the next owner builds it again from the records and the workers.
func (t *term) endOnPanic() {
	if cause := recover(); cause != nil {
		t.owner.event("Panic", t.lease.epoch, fmt.Sprintf("%v\n%s", cause, debug.Stack()))
		t.end("panic")
	}
}

// eventLoop handles events and makes decisions until the term ends.
func (t *term) eventLoop() {
	ticker := time.NewTicker(t.owner.Times.DecisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case event := <-t.events:
			event()
			t.drainQueue()
		case <-t.owner.Changed:
		case <-ticker.C:
			t.state.UpdateForecasts(time.Now())
			t.purgeExpired(time.Now())
			if !t.owner.ShouldOwn() {
				t.end("this instance should no longer own the data centre")
			}
		}
		t.applyUpdates()
		t.decide()
	}
}

// drainQueue handles the events that are already queued, so that a burst costs one decision.
func (t *term) drainQueue() {
	for range eventQueueSize {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// refreshConfig reads the newest configuration. The one that this instance knows may be older than that of the last owner: a
// request for an evacuation would be forgotten, or a withdrawn one be in force again. It returns false if the term ended
// meanwhile.
func (t *term) refreshConfig() bool {
	if t.owner.RefreshConfig == nil {
		return true
	}
	return t.retry(func() bool { return t.owner.RefreshConfig(t.ctx) == nil })
}

// applyUpdates applies changes of the configuration and of the instance list.
func (t *term) applyUpdates() {
	nodes, known := t.owner.Nodes()
	if !known {
		return
	}
	t.workerCount.Store(int64(len(nodes)))
	t.state.SetNodes(nodes)
	if c := t.owner.Config(); c != nil && c != t.config {
		t.config = c
		t.state.Configure(c)
	}
	listed := make(map[ids.InstanceID]bool, len(nodes))
	for _, n := range nodes {
		listed[n.ID] = true
		if t.recovered && t.sessions[n.ID] == nil {
			t.sessions[n.ID] = t.newSession(n.ID)
		}
	}
	for id := range t.sessions {
		if listed[id] {
			continue
		}
		if t.owner.Moved != nil && t.owner.Moved(id) {
			// The owner of its new data centre would take the runs of this one for unknown ones, and the other way round.
			t.state.NodeDown(id, time.Now(), "it moved to another data centre")
		}
		if !t.state.IsLive(id) {
			t.removeSession(id)
			t.state.RemoveNode(id)
		}
	}
}

// decide runs one scheduling decision and starts its actions.
func (t *term) decide() {
	t.state.HoldNonIdempotent(t.storeUnavailable.Load())
	if t.state.Evacuated() {
		t.state.SetSilentWorkers(t.countSilentWorkers(time.Now()))
	}
	actions, notices := t.state.Decide(time.Now())
	t.owner.queued.Store(int64(t.state.Queued()))
	status := t.withViewAge(t.state.EvacuationStatus())
	t.owner.evacuation.Store(status)
	defer func() { t.owner.emptied.Store(status != nil && status.RunsLeft == 0 && !t.hasPendingActions()) }()
	for _, n := range notices {
		e := operator.Event{
			Kind: string(n.Kind), DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch,
			Job: n.Job, Account: n.Account, Target: n.Instance, Cause: n.Cause, Evacuation: t.withViewAge(n.Evacuation),
		}
		if n.Evacuation != nil && t.config != nil {
			e.Version = t.config.Version
		}
		t.owner.OnEvent(e)
	}
	for _, a := range actions {
		t.perform(a)
	}
}

// countSilentWorkers returns the number of lost workers without known runs whose lease has not expired. They may run tasks that no
// record mentions.
func (t *term) countSilentWorkers(now time.Time) int {
	count := 0
	for id, session := range t.sessions {
		if !t.state.IsLive(id) && !t.state.HasJobs(id) && now.Before(session.expiry()) {
			count++
		}
	}
	for _, expiry := range t.removedLeases {
		if now.Before(expiry) {
			count++
		}
	}
	return count
}

// hasPendingActions reports whether the orders or the record of a job are not complete.
func (t *term) hasPendingActions() bool {
	for _, x := range t.executions {
		if x.busy || len(x.pending) > 0 {
			return true
		}
	}
	return false
}

// withViewAge sets the age of the configuration in a status, which may be nil.
func (t *term) withViewAge(status *operator.EvacuationStatus) *operator.EvacuationStatus {
	if status != nil && t.owner.ConfigAge != nil {
		status.ViewAge = t.owner.ConfigAge().Seconds()
	}
	return status
}

// doSync runs a function on the term's goroutine and waits for it.
func (t *term) doSync(ctx context.Context, run func()) error {
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

// doAsync queues a function for the term's goroutine.
func (t *term) doAsync(run func()) {
	select {
	case t.events <- run:
	case <-t.ctx.Done():
	}
}

// spawn runs a function in a background goroutine, unless the term has ended.
func (t *term) spawn(run func()) {
	t.spawnMu.Lock()
	defer t.spawnMu.Unlock()
	if !t.closed {
		t.background.Go(func() {
			defer t.endOnPanic()
			run()
		})
	}
}

// join waits for all background goroutines.
func (t *term) join() {
	t.spawnMu.Lock()
	t.closed = true
	t.spawnMu.Unlock()
	t.background.Wait()
}

func (t *term) nextWriteID() string {
	return fmt.Sprintf("%s/%d/%d", t.owner.Instance, t.lease.epoch, t.writeCount.Add(1))
}

// renewLeaseLoop renews the lease. If workers are fenced, the term continues while the store is unavailable: the epoch
// remains valid until another instance raises it, and the workers, the peers or the store report a raised epoch.
func (t *term) renewLeaseLoop() {
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
			if t.storeUnavailable.Swap(false) {
				o.event("StoreBack", t.lease.epoch, "the lease was renewed under the same epoch")
			}
		case errors.Is(err, errLeaseLost):
			t.end("another instance acquired the lease")
			return
		case !t.lease.valid():
			if o.Unfenced {
				t.end("the lease expired and workers check no fencing token")
				return
			}
			if !t.storeUnavailable.Swap(true) {
				o.event("StoreOut", t.lease.epoch, "the lease could not be renewed: "+err.Error())
			}
		}
	}
}
