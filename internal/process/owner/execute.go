package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// gang is one attempt of a job, with its tasks grouped by worker.
	gang struct {
		record      *Record
		idempotent  bool
		resume      bool
		tasksByNode map[ids.InstanceID][]int
	}

	// callResults collects the results of one call to all nodes of a gang.
	callResults struct {
		mu                  sync.Mutex
		succeeded           []ids.InstanceID
		refused, unanswered []ids.InstanceID
		fenced              bool
		progress            float64
	}
)

// initialBackoff is the first delay between retries of an operation that must eventually succeed; maxBackoff is the longest.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// retry calls try with exponential backoff until try returns true. It returns false if the term ends first.
func (t *term) retry(try func() (done bool)) bool {
	delay := initialBackoff
	for t.ctx.Err() == nil {
		if try() {
			return true
		}
		pause.For(t.ctx, t.owner.jitter(delay))
		delay = min(2*delay, maxBackoff)
	}
	return false
}

// perform queues an action behind the earlier ones of the same job.
func (t *term) perform(a placement.Action) {
	record := t.recordOf(a.Job)
	record.Attempt = a.Attempt
	g := &gang{record: record, idempotent: a.Job.Idempotent, resume: a.Job.Progress > 0, tasksByNode: make(map[ids.InstanceID][]int)}
	for i, id := range record.Place {
		g.tasksByNode[id] = append(g.tasksByNode[id], i)
	}
	x := t.execution(a.Job.ID)
	switch a.Kind {
	case placement.Start:
		x.pending = append(x.pending, func() { t.startGang(x, g) })
	case placement.Stop:
		x.pending = append(x.pending, func() { t.stopGang(g, a.Grace) })
	case placement.Requeue:
		// After a requeue only an at-most-once job needs a new record, which removes its start intent.
		if !g.idempotent {
			x.pending = append(x.pending, func() { t.saveRecord(x, record) })
		}
	case placement.Finish:
		if record.State == caller.Unknown {
			t.unknownJobs = append(t.unknownJobs, unknownJobOf(record))
		}
		x.pending = append(x.pending, func() { t.saveFinalRecord(x, record) })
	}
	t.runNext(x)
}

func unknownJobOf(r *Record) operator.UnknownJob {
	return operator.UnknownJob{Job: r.ID, Account: r.Account, DataCentre: r.DataCentre, Finished: r.Finished, Evidence: r.Reason}
}

func (t *term) execution(id ids.JobID) *execution {
	x := t.executions[id]
	if x == nil {
		x = &execution{finalSaved: make(chan struct{})}
		t.executions[id] = x
	}
	return x
}

// runNext runs the next pending action of a job, unless one is running.
func (t *term) runNext(x *execution) {
	if x.busy || len(x.pending) == 0 {
		return
	}
	x.busy = true
	action := x.pending[0]
	x.pending = x.pending[1:]
	t.spawn(func() {
		action()
		t.doAsync(func() {
			x.busy = false
			t.runNext(x)
		})
	})
}

// startGang holds the gang's resources on all its nodes, then starts its tasks: either all tasks run, or none is left running.
func (t *term) startGang(x *execution, g *gang) {
	id, attempt := g.record.ID, g.record.Attempt
	if t.hasLeavingNode(id, attempt) {
		t.abortOutdatedStart(g)
		return
	}
	heldSince := time.Now()
	held := t.callAll(g, 0, t.holdOn)
	if held.failed() {
		t.abortStart(g, held)
		return
	}
	if !g.idempotent && !t.owner.disabled.startIntent {
		if err := t.recordStartIntent(x, g); err != nil {
			t.event("StartMarkFailed", g, err.Error())
			t.abortStart(g, &callResults{})
			return
		}
	}
	if time.Since(heldSince) > t.owner.Times.HoldTTL-t.owner.Times.WorkerCallTimeout {
		// The first hold may expire before the last start arrives.
		t.event("StartTooLate", g, "the holds are about to expire")
		t.abortStart(g, &callResults{})
		return
	}
	if t.hasLeavingNode(id, attempt) {
		// The holds and the write of the start intent may have taken as long as the holds last.
		t.abortOutdatedStart(g)
		return
	}
	started := t.callAll(g, 0, t.startOn)
	switch {
	case started.fenced:
		return
	case !started.failed():
		t.doAsync(func() { t.state.Started(id, attempt, time.Now()) })
		if g.idempotent {
			t.recordPlacement(x, g)
		}
	case len(started.succeeded) == 0 && len(started.unanswered) == 0:
		t.abortStart(g, started)
	default:
		t.event("StartUnknown", g, "not every instance confirmed the start")
		t.doAsync(func() {
			t.markDown(started.unanswered)
			t.state.StartUnknown(id, attempt, started.refused, time.Now())
		})
	}
}

// abortOutdatedStart aborts a start whose instances accept no new work since the decision.
func (t *term) abortOutdatedStart(g *gang) {
	t.event("StartTooLate", g, "an instance of the gang is leaving, or the data centre is being evacuated")
	t.abortStart(g, &callResults{})
}

// hasLeavingNode reports whether an instance of a gang accepts no new work. The start may have waited behind a write of the job's record
// for as long as the store was out.
func (t *term) hasLeavingNode(id ids.JobID, attempt ids.Attempt) bool {
	// The configuration is read here as well, since the state follows it only with the next decision.
	if c := t.owner.Config(); c != nil && c.TakesNoWork(t.owner.DataCentre) {
		return true
	}
	leaving := false
	if err := t.doSync(t.ctx, func() { leaving = t.state.HasLeavingNode(id, attempt) }); err != nil {
		return true
	}
	return leaving
}

// recordStartIntent writes the start intent of an at-most-once job to its record before the start. If a late write of an
// earlier owner has recorded a state other than Queued, the record is not overwritten, since the job may have run.
func (t *term) recordStartIntent(x *execution, g *gang) error {
	g.record.State = caller.Starting
	revision, err := t.writeRecord(t.ctx, g.record, x.revision)
	if errors.Is(err, store.ErrConflict) {
		stored, at, readErr := t.readRecord(t.ctx, g.record.ID)
		if readErr != nil {
			return err
		}
		if stored.Epoch != t.lease.epoch && stored.State != caller.Queued {
			t.doAsync(func() { t.overrideOutcome(stored) })
			return err
		}
		x.revision = at
		revision, err = t.writeRecord(t.ctx, g.record, x.revision)
	}
	if err == nil {
		x.revision = revision
	}
	return err
}

// overrideOutcome ends a job with the outcome that another owner's late write recorded, or as Unknown if that record isn't
// final.
func (t *term) overrideOutcome(stored *Record) {
	outcome, reason := stored.State, stored.Reason
	if !outcome.IsTerminal() {
		outcome, reason = caller.Unknown, "an earlier owner may have started it by a delayed call"
	}
	t.state.FinishAsStored(stored.ID, outcome, reason, time.Now())
}

// recordPlacement records where an idempotent job runs, for the next owner. A failed write is ignored, since the workers
// report the same to the next owner.
func (t *term) recordPlacement(x *execution, g *gang) {
	g.record.State = caller.Starting
	if revision, err := t.writeRecord(t.ctx, g.record, x.revision); err == nil {
		x.revision = revision
	}
}

// abortStart releases the holds of a gang when none of its tasks was started.
func (t *term) abortStart(g *gang, results *callResults) {
	if results.fenced {
		return
	}
	t.callAll(g, 0, t.stopOn)
	id, attempt := g.record.ID, g.record.Attempt
	t.doAsync(func() {
		t.markDown(results.unanswered)
		t.state.StartFailed(id, attempt, results.refused, time.Now())
	})
}

// stopGang stops the gang on all its nodes and retries until each node has stopped it or the node's lease has expired.
func (t *term) stopGang(g *gang, grace time.Duration) {
	id, attempt := g.record.ID, g.record.Attempt
	delay := initialBackoff
	progress := 1.0
	rest := g
	for {
		stopped := t.callAll(rest, grace, t.stopOn)
		if stopped.fenced || t.ctx.Err() != nil {
			return
		}
		progress = min(progress, stopped.progress)
		rest = rest.subset(append(stopped.unanswered, stopped.refused...))
		rest = rest.excluding(t.workerLeaseExpired)
		if len(rest.tasksByNode) == 0 {
			break
		}
		grace = 0
		pause.For(t.ctx, delay)
		delay = min(2*delay, maxBackoff)
	}
	t.doAsync(func() { t.state.StopDone(id, attempt, progress, time.Now()) })
}

// saveFinalRecord writes a job's last record. Callers see that the job has ended only once the record is in the store and
// the lease is found valid after the write, so that every later owner reads the record.
func (t *term) saveFinalRecord(x *execution, r *Record) {
	if !t.saveRecord(x, r) {
		return
	}
	for !t.lease.valid() {
		pause.For(t.ctx, initialBackoff)
		if t.ctx.Err() != nil {
			return
		}
	}
	close(x.finalSaved)
}

// saveRecord retries until the record is in the store. It returns false if the store holds a newer owner's record or the
// term ends. A record that was deleted meanwhile is not created again.
func (t *term) saveRecord(x *execution, r *Record) bool {
	delay := initialBackoff
	for t.ctx.Err() == nil {
		revision, err := t.writeRecord(t.ctx, r, x.revision)
		if err == nil {
			x.revision = revision
			return true
		}
		if errors.Is(err, store.ErrConflict) {
			stored, at, readErr := t.readRecord(t.ctx, r.ID)
			if errors.Is(readErr, ErrNoJob) {
				return true
			}
			if readErr == nil && stored.Epoch > t.lease.epoch {
				t.end("the store holds a newer owner's record")
				return false
			}
			if readErr == nil {
				x.revision = at
				continue
			}
		}
		pause.For(t.ctx, t.owner.jitter(delay))
		delay = min(2*delay, maxBackoff)
	}
	return false
}

// callAll calls all nodes of a gang concurrently.
func (t *term) callAll(g *gang, grace time.Duration, call func(context.Context, *gang, ids.InstanceID, time.Duration) (float64, error)) *callResults {
	o := &callResults{progress: 1}
	var group errgroup.Group
	for id := range g.tasksByNode {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCallTimeout+grace)
			defer cancel()
			progress, err := call(ctx, g, id, grace)
			o.add(id, progress, err)
			return nil
		})
	}
	_ = group.Wait() // errors are in the results
	if o.fenced {
		t.end("a worker has seen a newer epoch")
	}
	return o
}

func (o *callResults) add(id ids.InstanceID, progress float64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.succeeded = append(o.succeeded, id)
		o.progress = min(o.progress, progress)
	case errors.Is(err, worker.ErrFenced):
		o.fenced = true
	case errors.Is(err, worker.ErrRefused):
		o.refused = append(o.refused, id)
	default:
		o.unanswered = append(o.unanswered, id)
	}
}

func (o *callResults) failed() bool {
	return o.fenced || len(o.refused)+len(o.unanswered) > 0
}

func (t *term) holdOn(ctx context.Context, g *gang, id ids.InstanceID, _ time.Duration) (float64, error) {
	return 0, t.owner.Worker(id).Hold(ctx, worker.Hold{
		Epoch: t.lease.epoch, Job: g.record.ID, Attempt: g.record.Attempt, Tasks: g.tasksByNode[id], Each: g.record.Each, TTL: t.owner.Times.HoldTTL,
	})
}

func (t *term) startOn(ctx context.Context, g *gang, id ids.InstanceID, _ time.Duration) (float64, error) {
	return 0, t.owner.Worker(id).Start(ctx, worker.Start{
		Epoch: t.lease.epoch, Job: g.record.ID, Attempt: g.record.Attempt, Resume: g.resume, Payload: g.record.Job.Payload,
	})
}

func (t *term) stopOn(ctx context.Context, g *gang, id ids.InstanceID, grace time.Duration) (float64, error) {
	answer, err := t.owner.Worker(id).Stop(ctx, worker.Stop{
		Epoch: t.lease.epoch, Job: g.record.ID, Attempt: g.record.Attempt, Grace: grace,
	})
	return answer.Progress, err
}

func (g *gang) subset(nodes []ids.InstanceID) *gang {
	rest := &gang{record: g.record, idempotent: g.idempotent, tasksByNode: make(map[ids.InstanceID][]int)}
	for _, id := range nodes {
		rest.tasksByNode[id] = g.tasksByNode[id]
	}
	return rest
}

func (g *gang) excluding(drop func(ids.InstanceID) bool) *gang {
	var kept []ids.InstanceID
	for id := range g.tasksByNode {
		if !drop(id) {
			kept = append(kept, id)
		}
	}
	return g.subset(kept)
}

func (t *term) event(kind string, g *gang, cause string) {
	t.owner.OnEvent(operator.Event{
		Kind: kind, DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: g.record.ID, Account: g.record.Account, Cause: cause,
	})
}
