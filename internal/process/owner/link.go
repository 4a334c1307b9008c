package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// link renews the lease of one worker and takes its reports.
type link struct {
	term   *term
	id     ids.InstanceID
	cancel context.CancelFunc
	// wake asks for a renewal at once.
	wake chan struct{}

	mu sync.Mutex
	// since is the last report sequence; zero asks for a full report.
	since uint64
	// incarnation is the worker's at its last report.
	incarnation uint64
	// lapse is when the worker's lease must have lapsed, if it isn't renewed.
	lapse time.Time
	// failures counts the renewals without an answer in a row.
	failures int
}

// lostAfter is the number of unanswered renewals after which a worker is taken as lost.
const lostAfter = 2

// newLink starts to renew a worker's lease.
func (t *term) newLink(id ids.InstanceID) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	// An earlier owner may have renewed the lease just now.
	lapse := time.Now().Add(t.workerLease())
	l := &link{term: t, id: id, cancel: cancel, wake: make(chan struct{}, 1), lapse: lapse}
	t.spawn(func() { l.run(ctx) })
	return l
}

// renewInterval returns the time between two renewals of one worker.
func (t *term) renewInterval() time.Duration {
	interval := t.owner.Times.WorkerRenew
	rate := t.owner.Times.RenewRate
	if rate <= 0 {
		return interval
	}
	if t.owner.Owned != nil {
		rate /= float64(max(1, t.owner.Owned()))
	}
	return max(interval, time.Duration(float64(t.workers.Load())/rate*float64(time.Second)))
}

// workerLease returns the lease of one worker, which outlasts three renewals.
func (t *term) workerLease() time.Duration {
	const renewals = 3
	return max(t.owner.Times.WorkerLease, renewals*t.renewInterval())
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease := l.term.workerLease()
		l.renew(ctx, lease)
		// The interval may have grown since the lease was given.
		timer := time.NewTimer(min(l.term.owner.jitter(l.term.renewInterval()), lease/2))
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew renews the lease once and hands the report to the term.
func (l *link) renew(ctx context.Context, lease time.Duration) {
	o := l.term.owner
	ctx, cancel := context.WithTimeout(ctx, o.Times.WorkerCall)
	defer cancel()
	l.mu.Lock()
	since, incarnation := l.since, l.incarnation
	l.mu.Unlock()
	sent := time.Now()
	report, err := o.Worker(l.id).Renew(ctx, worker.Renew{Epoch: l.term.lease.epoch, TTL: lease, Since: since, Incarnation: incarnation})
	if l.term.ctx.Err() != nil {
		return
	}
	if err != nil {
		l.failed(err)
		return
	}
	l.mu.Lock()
	l.failures = 0
	// The worker counts from the receipt of the call, which is before now.
	l.lapse = time.Now().Add(lease)
	l.since, l.incarnation = report.Sequence, report.Incarnation
	l.mu.Unlock()
	l.term.post(func() { l.term.report(l, report, sent) })
}

func (l *link) failed(err error) {
	if errors.Is(err, worker.ErrFenced) {
		l.term.end("worker " + string(l.id) + " has seen a newer epoch")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	// After a silence the worker may have restarted, so its next report is to be a full one.
	l.since = 0
	if l.failures >= lostAfter {
		t, id := l.term, l.id
		t.post(func() { t.state.NodeDown(id, time.Now(), "no answer to renewals: "+err.Error()) })
	}
}

// lapsed reports whether a worker's lease must have lapsed, so that none of its tasks runs any more.
func (t *term) lapsed(id ids.InstanceID) bool {
	lapsed := false
	if err := t.do(t.ctx, func() {
		l := t.links[id]
		if l == nil {
			// The worker left the instance list; its lease was last renewed before that.
			lapsed = true
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		lapsed = time.Now().After(l.lapse)
	}); err != nil {
		return false
	}
	return lapsed
}

// suspect takes workers that gave no answer as lost until their next renewal is answered.
func (t *term) suspect(nodes []ids.InstanceID) {
	for _, id := range nodes {
		t.state.NodeDown(id, time.Now(), "no answer to a call")
		if l := t.links[id]; l != nil {
			l.mu.Lock()
			l.since = 0
			l.mu.Unlock()
			select {
			case l.wake <- struct{}{}:
			default:
			}
		}
	}
}

// report takes a worker's report: what ended, what was stopped, and in a full report what runs without need
// and what no longer runs.
func (t *term) report(l *link, r worker.Report, sent time.Time) {
	now := time.Now()
	t.state.NodeUp(l.id)
	seen := make(map[worker.TaskRef]bool, len(r.Tasks))
	for _, task := range r.Tasks {
		seen[task.TaskRef] = true
		t.taskReport(l, task, now)
	}
	if r.Full {
		t.missing(l.id, seen, sent, now)
	}
}

func (t *term) taskReport(l *link, task worker.TaskReport, now time.Time) {
	j := t.state.Job(task.Job)
	if !t.expected(l.id, task.TaskRef) {
		if !task.State.Over() {
			t.stopStray(l, task)
		}
		return
	}
	switch task.State {
	case worker.Ended:
		t.state.TaskEnded(task.Job, task.Attempt, task.Index, false, now)
	case worker.Failed:
		t.state.TaskEnded(task.Job, task.Attempt, task.Index, true, now)
	case worker.Stopped:
		t.state.TaskStopped(task.Job, task.Attempt, now)
	case worker.Running:
		t.state.LearnSize(j.ID, task.Used)
	}
}

// expected reports whether a task belongs on a worker, as far as the state knows.
func (t *term) expected(id ids.InstanceID, ref worker.TaskRef) bool {
	j := t.state.Job(ref.Job)
	return j != nil && j.Attempt == ref.Attempt && ref.Index < len(j.Place) && j.Place[ref.Index] == id
}

// stopStray stops a task that an earlier owner or an earlier attempt left on a worker.
func (t *term) stopStray(l *link, task worker.TaskReport) {
	if j := t.state.Job(task.Job); j != nil && task.Attempt > j.Attempt {
		return
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCall)
		defer cancel()
		if _, err := t.owner.Worker(l.id).Stop(ctx, worker.Stop{Epoch: t.lease.epoch, Job: task.Job, Attempt: task.Attempt}); err != nil {
			l.mu.Lock()
			l.since = 0 // the next full report shows the task again
			l.mu.Unlock()
		}
	})
}

// missing takes the tasks that ran before a full report was asked for, and that it doesn't show, as stopped.
func (t *term) missing(id ids.InstanceID, seen map[worker.TaskRef]bool, sent, now time.Time) {
	var lost []worker.TaskRef
	t.state.RunningOn(id, sent, func(job ids.JobID, attempt ids.Attempt, index int) {
		ref := worker.TaskRef{Job: job, Attempt: attempt, Index: index}
		if !seen[ref] {
			lost = append(lost, ref)
		}
	})
	for _, ref := range lost {
		t.state.TaskStopped(ref.Job, ref.Attempt, now)
	}
}
