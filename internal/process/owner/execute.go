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
	// gang is one attempt of a job as its workers are told of it.
	gang struct {
		record     *Record
		idempotent bool
		resume     bool
		byNode     map[ids.InstanceID][]int
	}

	// outcome counts the answers of one call to all nodes of a gang.
	outcome struct {
		mu              sync.Mutex
		done            []ids.InstanceID
		refused, silent []ids.InstanceID
		fenced          bool
		progress        float64
	}
)

// retryPause is the first delay between two tries of a step that must succeed in the end; maxRetryPause the longest.
const (
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 5 * time.Second
)

// retry tries until it has done with what it does, after growing delays. It returns false if the term ends before.
func (t *term) retry(try func() (done bool)) bool {
	delay := retryPause
	for t.ctx.Err() == nil {
		if try() {
			return true
		}
		pause.For(t.ctx, t.owner.jitter(delay))
		delay = min(2*delay, maxRetryPause)
	}
	return false
}

// perform carries out an action after the earlier ones of the same job.
func (t *term) perform(a placement.Action) {
	record := t.recordOf(a.Job)
	record.Attempt = a.Attempt
	g := &gang{record: record, idempotent: a.Job.Idempotent, resume: a.Job.Progress > 0, byNode: make(map[ids.InstanceID][]int)}
	for i, id := range record.Place {
		g.byNode[id] = append(g.byNode[id], i)
	}
	x := t.execution(a.Job.ID)
	switch a.Kind {
	case placement.Start:
		x.steps = append(x.steps, func() { t.start(x, g) })
	case placement.Stop:
		x.steps = append(x.steps, func() { t.stop(g, a.Grace) })
	case placement.Requeue:
		// An accepted job that waits again needs a record only if it may not be started twice.
		if !g.idempotent {
			x.steps = append(x.steps, func() { t.save(x, record) })
		}
	case placement.Finish:
		if record.State == caller.Unknown {
			t.unknown = append(t.unknown, unknownOf(record))
		}
		x.steps = append(x.steps, func() { t.saveEnd(x, record) })
	}
	t.next(x)
}

func unknownOf(r *Record) operator.UnknownJob {
	return operator.UnknownJob{Job: r.ID, Account: r.Account, DataCentre: r.DataCentre, Finished: r.Finished, Evidence: r.Reason}
}

func (t *term) execution(id ids.JobID) *execution {
	x := t.jobs[id]
	if x == nil {
		x = &execution{saved: make(chan struct{})}
		t.jobs[id] = x
	}
	return x
}

// next runs the next step of a job, if none runs.
func (t *term) next(x *execution) {
	if x.busy || len(x.steps) == 0 {
		return
	}
	x.busy = true
	step := x.steps[0]
	x.steps = x.steps[1:]
	t.spawn(func() {
		step()
		t.post(func() {
			x.busy = false
			t.next(x)
		})
	})
}

// start holds the gang's place on all its nodes, then starts it: either all tasks run, or none is left running.
func (t *term) start(x *execution, g *gang) {
	id, attempt := g.record.ID, g.record.Attempt
	heldSince := time.Now()
	held := t.each(g, 0, t.hold)
	if held.failed() {
		t.notStarted(g, held)
		return
	}
	if !g.idempotent && !t.owner.without.mark {
		if err := t.mark(x, g); err != nil {
			t.event("StartMarkFailed", g, err.Error())
			t.notStarted(g, &outcome{})
			return
		}
	}
	if time.Since(heldSince) > t.owner.Times.Hold-t.owner.Times.WorkerCall {
		// The first hold may lapse before the last start arrives.
		t.event("StartTooLate", g, "the holds are about to lapse")
		t.notStarted(g, &outcome{})
		return
	}
	started := t.each(g, 0, t.startOn)
	switch {
	case started.fenced:
		return
	case !started.failed():
		t.post(func() { t.state.Started(id, attempt, time.Now()) })
		if g.idempotent {
			t.note(x, g)
		}
	case len(started.done) == 0 && len(started.silent) == 0:
		t.notStarted(g, started)
	default:
		t.event("StartUnknown", g, "not every instance confirmed the start")
		t.post(func() {
			t.suspect(started.silent)
			t.state.StartUnknown(id, attempt, started.refused, time.Now())
		})
	}
}

// mark records a job that may be started once at most as starting, before its start. A record that an earlier owner
// has changed meanwhile, by a late write, is not overwritten: what it says may have happened.
func (t *term) mark(x *execution, g *gang) error {
	g.record.State = caller.Starting
	revision, err := t.write(t.ctx, g.record, x.revision)
	if errors.Is(err, store.ErrConflict) {
		stored, at, readErr := t.read(t.ctx, g.record.ID)
		if readErr != nil {
			return err
		}
		if stored.Epoch != t.lease.epoch && stored.State != caller.Queued {
			t.post(func() { t.overrule(stored) })
			return err
		}
		x.revision = at
		revision, err = t.write(t.ctx, g.record, x.revision)
	}
	if err == nil {
		x.revision = revision
	}
	return err
}

// overrule ends a job by what another owner's late write says of it.
func (t *term) overrule(stored *Record) {
	outcome, reason := stored.State, stored.Reason
	if !outcome.Over() {
		outcome, reason = caller.Unknown, "an earlier owner may have started it, by a call that came late"
	}
	t.state.Overrule(stored.ID, outcome, reason, time.Now())
}

// note records where an idempotent job runs, for the next owner; the workers know it as well.
func (t *term) note(x *execution, g *gang) {
	g.record.State = caller.Starting
	if revision, err := t.write(t.ctx, g.record, x.revision); err == nil {
		x.revision = revision
	}
}

// notStarted releases the holds of a gang of which no task was started.
func (t *term) notStarted(g *gang, held *outcome) {
	if held.fenced {
		return
	}
	t.each(g, 0, t.stopOn)
	id, attempt := g.record.ID, g.record.Attempt
	t.post(func() {
		t.suspect(held.silent)
		t.state.StartFailed(id, attempt, held.refused, time.Now())
	})
}

// stop stops the gang on all its nodes and tries on until each has stopped it or has lost its lease.
func (t *term) stop(g *gang, grace time.Duration) {
	id, attempt := g.record.ID, g.record.Attempt
	delay := retryPause
	progress := 1.0
	rest := g
	for {
		stopped := t.each(rest, grace, t.stopOn)
		if stopped.fenced || t.ctx.Err() != nil {
			return
		}
		progress = min(progress, stopped.progress)
		rest = rest.only(append(stopped.silent, stopped.refused...))
		rest = rest.without(t.lapsed)
		if len(rest.byNode) == 0 {
			break
		}
		grace = 0
		pause.For(t.ctx, delay)
		delay = min(2*delay, maxRetryPause)
	}
	t.post(func() { t.state.StopDone(id, attempt, progress, time.Now()) })
}

// saveEnd writes a job's last record. Its end is told to callers once it is in the store and the lease is known to
// have been held then, so that every later owner reads it.
func (t *term) saveEnd(x *execution, r *Record) {
	if !t.save(x, r) {
		return
	}
	for !t.lease.valid() {
		pause.For(t.ctx, retryPause)
		if t.ctx.Err() != nil {
			return
		}
	}
	close(x.saved)
}

// save writes a record until the store has taken it, or a newer owner's word stands there.
func (t *term) save(x *execution, r *Record) bool {
	delay := retryPause
	for t.ctx.Err() == nil {
		revision, err := t.write(t.ctx, r, x.revision)
		if err == nil {
			x.revision = revision
			return true
		}
		if errors.Is(err, store.ErrConflict) {
			stored, at, readErr := t.read(t.ctx, r.ID)
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
		delay = min(2*delay, maxRetryPause)
	}
	return false
}

// each makes one call to every node of a gang at once.
func (t *term) each(g *gang, extra time.Duration, call func(context.Context, *gang, ids.InstanceID, time.Duration) (float64, error)) *outcome {
	o := &outcome{progress: 1}
	var group errgroup.Group
	for id := range g.byNode {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCall+extra)
			defer cancel()
			progress, err := call(ctx, g, id, extra)
			o.add(id, progress, err)
			return nil
		})
	}
	_ = group.Wait() // the outcome holds the errors
	if o.fenced {
		t.end("a worker has seen a newer epoch")
	}
	return o
}

func (o *outcome) add(id ids.InstanceID, progress float64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.done = append(o.done, id)
		o.progress = min(o.progress, progress)
	case errors.Is(err, worker.ErrFenced):
		o.fenced = true
	case errors.Is(err, worker.ErrRefused):
		o.refused = append(o.refused, id)
	default:
		o.silent = append(o.silent, id)
	}
}

func (o *outcome) failed() bool {
	return o.fenced || len(o.refused)+len(o.silent) > 0
}

func (t *term) hold(ctx context.Context, g *gang, id ids.InstanceID, _ time.Duration) (float64, error) {
	return 0, t.owner.Worker(id).Hold(ctx, worker.Hold{
		Epoch: t.lease.epoch, Job: g.record.ID, Attempt: g.record.Attempt, Tasks: g.byNode[id], Each: g.record.Each, TTL: t.owner.Times.Hold,
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

func (g *gang) only(nodes []ids.InstanceID) *gang {
	rest := &gang{record: g.record, idempotent: g.idempotent, byNode: make(map[ids.InstanceID][]int)}
	for _, id := range nodes {
		rest.byNode[id] = g.byNode[id]
	}
	return rest
}

func (g *gang) without(drop func(ids.InstanceID) bool) *gang {
	var kept []ids.InstanceID
	for id := range g.byNode {
		if !drop(id) {
			kept = append(kept, id)
		}
	}
	return g.only(kept)
}

func (t *term) event(kind string, g *gang, cause string) {
	t.owner.Event(operator.Event{
		Kind: kind, DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: g.record.ID, Account: g.record.Account, Cause: cause,
	})
}
