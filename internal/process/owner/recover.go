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
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// workerReports collects what the workers report to a new owner.
	workerReports struct {
		mu sync.Mutex
		// tasks holds each job's tasks, with the worker of each.
		tasks      map[ids.JobID][]reportedTask
		unanswered []ids.InstanceID
		fenced     bool
	}

	reportedTask struct {
		worker.TaskReport
		node ids.InstanceID
	}
)

// recover reads the job records, fences every worker and adopts the tasks that the workers report.
// It returns false if the term ended meanwhile.
func (t *term) recover() bool {
	records, ok := t.readRecords()
	if !ok {
		return false
	}
	nodes, _ := t.owner.Nodes()
	reports := t.collectReports(nodes)
	if reports.fenced || t.ctx.Err() != nil {
		t.end("a worker has seen a newer epoch")
		return false
	}
	now := time.Now()
	for _, id := range reports.unanswered {
		t.state.NodeDown(id, now, "no answer to the new owner")
	}
	// Jobs under guarantees are restored first, since their shapes keep the instances recorded with them.
	sort.SliceStable(records, func(i, j int) bool { return records[i].Guarantee != "" && records[j].Guarantee == "" })
	for _, r := range records {
		t.assumeLeases(r, nodes, reports, now)
		t.restoreJob(r, reports, now)
	}
	t.state.FinishAdoption()
	for _, n := range nodes {
		t.sessions[n.ID] = t.newSession(n.ID)
	}
	return true
}

// readRecords reads the records of the data centre's jobs and retries while the store doesn't respond.
func (t *term) readRecords() ([]*Record, bool) {
	var records []*Record
	done := t.retry(func() bool {
		entries, err := t.listRecords()
		if err != nil {
			return false
		}
		records = t.decodeRecords(entries)
		return true
	})
	return records, done
}

func (t *term) listRecords() ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(t.ctx, 10*t.owner.Times.StoreCallTimeout)
	defer cancel()
	return t.owner.Store.ListAll(ctx, RecordPrefix)
}

func (t *term) decodeRecords(entries []store.Entry) []*Record {
	var records []*Record
	latest := tenure.Moment(0)
	for _, e := range entries {
		r, err := DecodeRecord(e.Value)
		if err != nil {
			t.owner.event("RecordRefused", t.lease.epoch, e.Key+": "+err.Error())
			continue
		}
		if r.DataCentre != t.owner.DataCentre {
			continue
		}
		latest = max(latest, r.Stamp.Latest(), r.Began)
		t.execution(r.ID).revision = e.Revision
		if r.State == caller.Unknown {
			t.unknownJobs = append(t.unknownJobs, unknownJobOf(r))
		}
		if r.State.IsTerminal() {
			delete(t.executions, r.ID)
			t.retired = append(t.retired, retiredJob{id: r.ID, revision: e.Revision, ended: r.Stamp.Ended})
			continue
		}
		records = append(records, r)
	}
	t.resumeClock(latest, records, time.Now())
	return records
}

// collectReports renews each worker's lease under the new epoch, which fences older owners, and collects its tasks.
func (t *term) collectReports(nodes []placement.Node) *workerReports {
	reports := &workerReports{tasks: make(map[ids.JobID][]reportedTask)}
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCallTimeout)
			defer cancel()
			report, err := t.owner.Worker(n.ID).Renew(ctx, worker.Renew{Epoch: t.lease.epoch, TTL: t.workerLease()})
			reports.add(n.ID, report, err)
		})
	}
	wait.Wait()
	return reports
}

func (v *workerReports) add(id ids.InstanceID, report worker.Report, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, worker.ErrFenced):
		v.fenced = true
	case err != nil:
		v.unanswered = append(v.unanswered, id)
	default:
		for _, task := range report.Tasks {
			v.tasks[task.Job] = append(v.tasks[task.Job], reportedTask{TaskReport: task, node: id})
		}
	}
}

// assumeLeases treats the workers of a record that the instance list doesn't contain as unanswered, with a lease that an earlier owner
// may just have renewed.
func (t *term) assumeLeases(r *Record, nodes []placement.Node, reports *workerReports, now time.Time) {
	for _, id := range r.Place {
		if slices.ContainsFunc(nodes, func(n placement.Node) bool { return n.ID == id }) {
			continue
		}
		if t.removedLeases == nil {
			t.removedLeases = make(map[ids.InstanceID]time.Time)
		}
		t.removedLeases[id] = now.Add(maxLeaseTime(t.workerLease()))
		if !slices.Contains(reports.unanswered, id) {
			reports.unanswered = append(reports.unanswered, id)
		}
	}
}

// restoreJob restores one job. The workers' reports take precedence over the record, which may be older.
func (t *term) restoreJob(r *Record, reports *workerReports, now time.Time) {
	j := &placement.Job{Job: r.Job, ID: r.ID, Account: r.Account, Submitted: r.Submitted, AcceptedAt: t.acceptedAt(r, now), Attempt: r.Attempt, Progress: r.Progress, Losses: r.Losses, Reason: r.Reason}
	// An idempotent job may have been started by an owner that failed before recording the start.
	j.MaybeRan = r.Attempt > 0 || (r.Job.Idempotent && !t.owner.disabled.assumeStarted)
	attempt, tasks := latestAttempt(reports.tasks[r.ID])
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].Index < tasks[k].Index })
	recorded := r.State != caller.Queued && len(r.Place) > 0
	if len(tasks) == 0 && !recorded {
		t.state.Restore(j)
		if j.MaybeRan && r.Job.Idempotent && len(reports.unanswered) > 0 {
			// The record of a start may not have been written. Which of these workers has it is not known.
			t.state.MayRunUntil(r.ID, "", j.Attempt, now.Add(maxLeaseTime(t.workerLease())))
		}
		return
	}
	a := placement.Adoption{Attempt: max(attempt, r.Attempt), Started: t.startedAt(r, now), Each: r.Each, Place: r.Place}
	if recorded && r.Attempt >= attempt {
		a.Guarantee, a.Number, a.ReservedNodes = r.Guarantee, r.Number, r.Shape
	} else {
		a.Place = nodesOf(tasks)
		a.Each = r.Job.Shape.Each
	}
	if a.Each == (ids.Resources{}) {
		a.Each = r.Job.Shape.Each
	}
	a.IncompleteReason = incompleteReason(r, attempt, tasks, reports.unanswered)
	for _, f := range tasks {
		if f.State == worker.Ended {
			a.Ended = append(a.Ended, f.Index)
		}
	}
	if a.IncompleteReason != "" {
		// The recorded placement may be out of date; only tasks that may still run have to be stopped.
		a.Place = reports.mayBeRunningOn(a.Place, tasks)
		a.Guarantee = ""
	}
	t.state.Adopt(j, a, now)
	if a.IncompleteReason == "" && len(a.Ended) == r.Job.Shape.Tasks {
		t.state.TaskEnded(r.ID, a.Attempt, 0, false, now)
	}
}

// mayBeRunningOn returns the workers on which tasks run, and those of the recorded placement that didn't answer.
func (v *workerReports) mayBeRunningOn(recorded []ids.InstanceID, tasks []reportedTask) []ids.InstanceID {
	var list []ids.InstanceID
	for _, f := range tasks {
		if !f.State.IsTerminal() {
			list = append(list, f.node)
		}
	}
	for _, id := range recorded {
		if slices.Contains(v.unanswered, id) {
			list = append(list, id)
		}
	}
	return list
}

// latestAttempt returns the newest attempt among tasks, with its tasks.
func latestAttempt(tasks []reportedTask) (ids.Attempt, []reportedTask) {
	newest := ids.Attempt(0)
	for _, f := range tasks {
		newest = max(newest, f.Attempt)
	}
	var chosen []reportedTask
	for _, f := range tasks {
		if f.Attempt == newest {
			chosen = append(chosen, f)
		}
	}
	return newest, chosen
}

// nodesOf returns the worker of each task, in the order of the tasks.
func nodesOf(tasks []reportedTask) []ids.InstanceID {
	place := make([]ids.InstanceID, 0, len(tasks))
	for _, f := range tasks {
		place = append(place, f.node)
	}
	return place
}

// incompleteReason returns why a gang doesn't run as a whole, or an empty string if it does.
func incompleteReason(r *Record, attempt ids.Attempt, tasks []reportedTask, unanswered []ids.InstanceID) string {
	if attempt < r.Attempt {
		return "none of the workers that answer reports the recorded start"
	}
	complete := make(map[int]bool)
	for _, f := range tasks {
		switch f.State {
		case worker.Running, worker.Ended:
			complete[f.Index] = true
		case worker.Failed:
			return "a task failed"
		}
	}
	if len(complete) == r.Job.Shape.Tasks && len(tasks) == r.Job.Shape.Tasks {
		return ""
	}
	if len(unanswered) > 0 {
		return "part of the gang was not found, and some workers did not answer"
	}
	return "part of the gang was not found"
}

// reconcileDelays are the delays after which a new owner reads the records again, to find those that an earlier owner's
// late write has added; the last one repeats.
var reconcileDelays = []time.Duration{5 * time.Second, 30 * time.Second, 5 * time.Minute}

// reconcile looks for accepted jobs that this owner doesn't know.
func (t *term) reconcile() {
	for i := 0; ; i++ {
		pause.For(t.ctx, reconcileDelays[min(i, len(reconcileDelays)-1)])
		if t.ctx.Err() != nil || t.owner.disabled.reconcile {
			return
		}
		entries, err := t.listRecords()
		if err != nil {
			continue // retried after the next delay
		}
		t.doAsync(func() {
			for _, e := range entries {
				if r, err := DecodeRecord(e.Value); err == nil {
					t.adoptLateRecord(r, e.Revision)
				}
			}
		})
	}
}

// adoptLateRecord restores a job that was accepted under an earlier epoch by a write that arrived after the takeover.
func (t *term) adoptLateRecord(r *Record, revision store.Revision) {
	if r.DataCentre != t.owner.DataCentre || r.State.IsTerminal() || t.state.Job(r.ID) != nil || r.Epoch >= t.lease.epoch {
		return
	}
	t.execution(r.ID).revision = revision
	t.owner.OnEvent(operator.Event{
		Kind: "JobAdopted", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: r.ID, Account: r.Account,
		Cause: "accepted by an earlier owner whose write was delayed",
	})
	t.restoreJob(r, &workerReports{}, time.Now())
}
