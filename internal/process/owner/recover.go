package owner

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// survey is what a new owner found on the workers.
	survey struct {
		mu sync.Mutex
		// tasks holds the tasks of each job, with the worker of each.
		tasks  map[ids.JobID][]found
		silent []ids.InstanceID
		fenced bool
	}

	found struct {
		worker.TaskReport
		on ids.InstanceID
	}
)

// recover reads the job records, fences every worker and takes what it finds there as the truth.
// It returns false if the term ended meanwhile.
func (t *term) recover() bool {
	records, ok := t.readRecords()
	if !ok {
		return false
	}
	nodes, _ := t.owner.Nodes()
	v := t.survey(nodes)
	if v.fenced || t.ctx.Err() != nil {
		t.end("a worker has seen a newer epoch")
		return false
	}
	now := time.Now()
	for _, id := range v.silent {
		t.state.NodeDown(id, now, "no answer to the new owner")
	}
	// Jobs under guarantees go first, since their shapes take the place that is recorded with them.
	sort.SliceStable(records, func(i, j int) bool { return records[i].Guarantee != "" && records[j].Guarantee == "" })
	for _, r := range records {
		t.restore(r, v, now)
	}
	t.state.Settle()
	for _, n := range nodes {
		t.links[n.ID] = t.newLink(n.ID)
	}
	return true
}

// readRecords reads the records of the data centre's jobs, and tries on while the store gives no answer.
func (t *term) readRecords() ([]*Record, bool) {
	var records []*Record
	done := t.retry(func() bool {
		entries, err := t.listRecords()
		if err != nil {
			return false
		}
		records = t.decodeAll(entries)
		return true
	})
	return records, done
}

func (t *term) listRecords() ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(t.ctx, 10*t.owner.Times.StoreCall)
	defer cancel()
	return t.owner.Store.ListAll(ctx, RecordPrefix)
}

func (t *term) decodeAll(entries []store.Entry) []*Record {
	var records []*Record
	for _, e := range entries {
		r, err := DecodeRecord(e.Value)
		if err != nil {
			t.owner.event("RecordRefused", t.lease.epoch, e.Key+": "+err.Error())
			continue
		}
		if r.DataCentre != t.owner.DataCentre {
			continue
		}
		t.execution(r.ID).revision = e.Revision
		if r.State == caller.Unknown {
			t.unknown = append(t.unknown, unknownOf(r))
		}
		if r.State.Over() {
			t.expire(r, e.Revision)
			continue
		}
		records = append(records, r)
	}
	return records
}

// expire removes a record whose retention is over.
func (t *term) expire(r *Record, revision store.Revision) {
	delete(t.jobs, r.ID)
	if t.config == nil || time.Since(r.Finished) < t.config.Policy.Retention {
		return
	}
	t.remove(r.ID, revision)
}

// survey renews each worker's lease under the new epoch, which fences older owners, and takes its tasks.
func (t *term) survey(nodes []placement.Node) *survey {
	v := &survey{tasks: make(map[ids.JobID][]found)}
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCall)
			defer cancel()
			report, err := t.owner.Worker(n.ID).Renew(ctx, worker.Renew{Epoch: t.lease.epoch, TTL: t.workerLease()})
			v.add(n.ID, report, err)
		})
	}
	wait.Wait()
	return v
}

func (v *survey) add(id ids.InstanceID, report worker.Report, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, worker.ErrFenced):
		v.fenced = true
	case err != nil:
		v.silent = append(v.silent, id)
	default:
		for _, task := range report.Tasks {
			v.tasks[task.Job] = append(v.tasks[task.Job], found{TaskReport: task, on: id})
		}
	}
}

// restore takes one job over. What its workers report goes before the record, which may be older.
func (t *term) restore(r *Record, v *survey, now time.Time) {
	j := &placement.Job{Job: r.Job, ID: r.ID, Account: r.Account, Submitted: r.Submitted, Attempt: r.Attempt, Progress: r.Progress, Reason: r.Reason}
	// An idempotent job may have been started by an owner that did not come to record it.
	j.MaybeRan = r.Attempt > 0 || (r.Job.Idempotent && !t.owner.without.maybeRan)
	attempt, tasks := latest(v.tasks[r.ID])
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].Index < tasks[k].Index })
	recorded := r.State != caller.Queued && len(r.Place) > 0
	if len(tasks) == 0 && !recorded {
		t.state.Restore(j)
		return
	}
	a := placement.Adoption{Attempt: max(attempt, r.Attempt), Started: r.Started, Each: r.Each, Place: r.Place}
	if recorded && r.Attempt >= attempt {
		a.Guarantee, a.Number, a.Shape = r.Guarantee, r.Number, r.Shape
	} else {
		a.Place = placeOf(tasks)
		a.Each = r.Job.Shape.Each
	}
	if a.Each == (ids.Resources{}) {
		a.Each = r.Job.Shape.Each
	}
	if a.Started.IsZero() {
		a.Started = now
	}
	a.Broken = broken(r, attempt, tasks, v.silent)
	for _, f := range tasks {
		if f.State == worker.Ended {
			a.Ended = append(a.Ended, f.Index)
		}
	}
	if a.Broken != "" {
		// The recorded place may be out of date; only what may still run has to be stopped.
		a.Place = v.mayRunOn(a.Place, tasks)
		a.Guarantee = ""
	}
	t.state.Adopt(j, a, now)
	if a.Broken == "" && len(a.Ended) == r.Job.Shape.Tasks {
		t.state.TaskEnded(r.ID, a.Attempt, 0, false, now)
	}
}

// mayRunOn returns the workers on which tasks run, and those of the recorded place that gave no answer.
func (v *survey) mayRunOn(recorded []ids.InstanceID, tasks []found) []ids.InstanceID {
	var list []ids.InstanceID
	for _, f := range tasks {
		if !f.State.Over() {
			list = append(list, f.on)
		}
	}
	for _, id := range recorded {
		if slices.Contains(v.silent, id) {
			list = append(list, id)
		}
	}
	return list
}

// latest returns the newest attempt among tasks, with its tasks.
func latest(tasks []found) (ids.Attempt, []found) {
	newest := ids.Attempt(0)
	for _, f := range tasks {
		newest = max(newest, f.Attempt)
	}
	var chosen []found
	for _, f := range tasks {
		if f.Attempt == newest {
			chosen = append(chosen, f)
		}
	}
	return newest, chosen
}

// placeOf returns the worker of each task, in the order of the tasks.
func placeOf(tasks []found) []ids.InstanceID {
	place := make([]ids.InstanceID, 0, len(tasks))
	for _, f := range tasks {
		place = append(place, f.on)
	}
	return place
}

// broken says why a gang is not whole; it is empty for one that runs whole.
func broken(r *Record, attempt ids.Attempt, tasks []found, silent []ids.InstanceID) string {
	if attempt < r.Attempt {
		return "the recorded start left no trace on the workers that answer"
	}
	whole := make(map[int]bool)
	for _, f := range tasks {
		switch f.State {
		case worker.Running, worker.Ended:
			whole[f.Index] = true
		case worker.Failed:
			return "a task failed"
		}
	}
	if len(whole) == r.Job.Shape.Tasks && len(tasks) == r.Job.Shape.Tasks {
		return ""
	}
	if len(silent) > 0 {
		return "a part of the gang was not found, and some workers gave no answer"
	}
	return "a part of the gang was not found"
}

// audits are the times after which a new owner reads the records again, for those that an earlier owner's late write
// has added; the last one repeats.
var audits = []time.Duration{5 * time.Second, 30 * time.Second, 5 * time.Minute}

// audit looks for accepted jobs that this owner doesn't know.
func (t *term) audit() {
	for i := 0; ; i++ {
		pause.For(t.ctx, audits[min(i, len(audits)-1)])
		if t.ctx.Err() != nil || t.owner.without.audit {
			return
		}
		entries, err := t.listRecords()
		if err != nil {
			continue // the next audit reads them
		}
		t.post(func() {
			for _, e := range entries {
				if r, err := DecodeRecord(e.Value); err == nil {
					t.adoptUnknown(r, e.Revision)
				}
			}
		})
	}
}

// adoptUnknown takes over a job that was accepted under an earlier epoch by a write that came after the takeover.
func (t *term) adoptUnknown(r *Record, revision store.Revision) {
	if r.DataCentre != t.owner.DataCentre || r.State.Over() || t.state.Job(r.ID) != nil || r.Epoch >= t.lease.epoch {
		return
	}
	t.execution(r.ID).revision = revision
	t.owner.Event(operator.Event{
		Kind: "JobAdopted", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: r.ID, Account: r.Account,
		Cause: "accepted by an earlier owner whose write came late",
	})
	t.restore(r, &survey{}, time.Now())
}
