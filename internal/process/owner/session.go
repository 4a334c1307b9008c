package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// workerSession renews the lease of one worker and handles its reports.
type workerSession struct {
	term   *term
	id     ids.InstanceID
	cancel context.CancelFunc
	// renewNow triggers an immediate renewal.
	renewNow chan struct{}

	mu sync.Mutex
	// sequence is the sequence number of the last report; zero requests a full report.
	sequence uint64
	// incarnation is the worker's incarnation in its last report.
	incarnation uint64
	// leaseExpiry is the time by which the worker's lease must have expired if it isn't renewed. It counts every renewal that
	// may have arrived, also one in flight.
	leaseExpiry time.Time
	// unanswered counts the consecutive renewals without an answer.
	unanswered int
}

const (
	// maxUnansweredRenewals is the number of unanswered renewals after which a worker is considered lost.
	maxUnansweredRenewals = 2
	// maxClockDrift is the fraction by which a worker's clock may be slow: the 2% that the platform specifies, with a margin.
	maxClockDrift = 0.025
	// clockRounding covers the rounding of the worker's clock and of this instance's.
	clockRounding = 50 * time.Millisecond
	// minProbeLease is the lease of a worker whose earlier leases have expired. It must be positive, and its worker runs nothing.
	minProbeLease = time.Millisecond
)

// newSession starts renewing a worker's lease.
func (t *term) newSession(id ids.InstanceID) *workerSession {
	ctx, cancel := context.WithCancel(t.ctx)
	// An earlier owner may just have renewed the lease, or an earlier session of this term one that was longer.
	leaseExpiry := latest(time.Now().Add(maxLeaseTime(t.workerLease())), t.removedLeases[id])
	delete(t.removedLeases, id)
	session := &workerSession{term: t, id: id, cancel: cancel, renewNow: make(chan struct{}, 1), leaseExpiry: leaseExpiry}
	t.spawn(func() { session.run(ctx) })
	return session
}

// renewInterval returns the time between two renewals of one worker.
func (t *term) renewInterval() time.Duration {
	interval := t.owner.Times.WorkerRenewInterval
	rate := t.owner.Times.RenewRate
	if rate <= 0 {
		return interval
	}
	if t.owner.OwnedCount != nil {
		rate /= float64(max(1, t.owner.OwnedCount()))
	}
	return max(interval, time.Duration(float64(t.workerCount.Load())/rate*float64(time.Second)))
}

// workerLease returns the TTL of a worker's lease, which covers at least three renewals.
func (t *term) workerLease() time.Duration {
	const renewals = 3
	return max(t.owner.Times.WorkerLease, renewals*t.renewInterval())
}

// maxLeaseTime returns how long a lease can last on a worker, whose clock may be slow.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + clockRounding
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *workerSession) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease := l.term.workerLease()
		if probed := l.renew(ctx, lease); probed {
			continue
		}
		// The interval may have grown since the lease was renewed.
		timer := time.NewTimer(min(l.term.owner.jitter(l.term.renewInterval()), lease/2))
		select {
		case <-ctx.Done():
		case <-l.renewNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew renews the lease once and passes the report to the term. After an unanswered renewal it sends a probe, which doesn't extend
// the lease beyond the known expiry; it returns true if the probe was answered and the lease must be renewed at once.
func (l *workerSession) renew(ctx context.Context, lease time.Duration) (probed bool) {
	o := l.term.owner
	callCtx, cancel := context.WithTimeout(ctx, o.Times.WorkerCallTimeout)
	defer cancel()
	sent := time.Now()
	l.mu.Lock()
	if ctx.Err() != nil {
		// removeSession may have read the expiry already.
		l.mu.Unlock()
		return false
	}
	probe := l.unanswered > 0
	expiry := l.leaseExpiry
	// The call may arrive until its timeout.
	if probe {
		lease = min(lease, probeLease(expiry.Sub(sent)-o.Times.WorkerCallTimeout))
	} else {
		l.leaseExpiry = latest(expiry, sent.Add(o.Times.WorkerCallTimeout+maxLeaseTime(lease)))
	}
	sequence, incarnation := l.sequence, l.incarnation
	l.mu.Unlock()
	report, err := o.Worker(l.id).Renew(callCtx, worker.Renew{Epoch: l.term.lease.epoch, TTL: lease, Since: sequence, Incarnation: incarnation})
	if l.term.ctx.Err() != nil {
		return false
	}
	if err != nil {
		l.renewalFailed(err, expiry)
		return false
	}
	l.mu.Lock()
	l.unanswered = 0
	if !probe {
		// The worker counts the lease from the receipt of the call, which is before now.
		l.leaseExpiry = latest(expiry, time.Now().Add(maxLeaseTime(lease)))
		l.sequence, l.incarnation = report.Sequence, report.Incarnation
	}
	l.mu.Unlock()
	if probe {
		// The worker takes new work only under a whole lease, so its report counts with the next renewal.
		return true
	}
	l.term.doAsync(func() { l.term.handleReport(l, report, sent) })
	return false
}

// probeLease returns the longest lease that can't last longer than a time.
func probeLease(left time.Duration) time.Duration {
	return max(minProbeLease, time.Duration(float64(left-clockRounding)/(1+maxClockDrift)))
}

// renewalFailed handles a renewal without an answer. Before it was sent, the lease was to expire at the given time.
func (l *workerSession) renewalFailed(err error, expiry time.Time) {
	if errors.Is(err, worker.ErrFenced) {
		l.term.end("worker " + string(l.id) + " has seen a newer epoch")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered++
	if errors.Is(err, worker.ErrUnreachable) {
		l.leaseExpiry = expiry
	}
	// The worker may have restarted meanwhile, so the next report must be a full one.
	l.sequence = 0
	if l.unanswered >= maxUnansweredRenewals {
		t, id := l.term, l.id
		t.doAsync(func() { t.state.NodeDown(id, time.Now(), "no answer to renewals: "+err.Error()) })
	}
}

// workerLeaseExpired reports whether a worker's lease must have expired, so that none of its tasks runs any more.
func (t *term) workerLeaseExpired(id ids.InstanceID) bool {
	expired := false
	if err := t.doSync(t.ctx, func() {
		expired = time.Now().After(t.leaseExpiry(id))
	}); err != nil {
		return false
	}
	return expired
}

// leaseExpiry returns the time by which a worker's lease must have expired, also if the worker has left the instance list.
func (t *term) leaseExpiry(id ids.InstanceID) time.Time {
	if session := t.sessions[id]; session != nil {
		return session.expiry()
	}
	return t.removedLeases[id]
}

func (l *workerSession) expiry() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseExpiry
}

// removeSession stops the renewals of a worker that has left the instance list. Its lease may run on for a while.
func (t *term) removeSession(id ids.InstanceID) {
	session := t.sessions[id]
	session.cancel()
	delete(t.sessions, id)
	if t.removedLeases == nil {
		t.removedLeases = make(map[ids.InstanceID]time.Time)
	}
	for other, expiry := range t.removedLeases {
		if time.Now().After(expiry) {
			delete(t.removedLeases, other)
		}
	}
	t.removedLeases[id] = session.expiry()
}

// markDown treats workers that didn't answer as lost until their next renewal succeeds.
func (t *term) markDown(nodes []ids.InstanceID) {
	for _, id := range nodes {
		t.state.NodeDown(id, time.Now(), "no answer to a call")
		if session := t.sessions[id]; session != nil {
			session.mu.Lock()
			session.sequence = 0
			session.mu.Unlock()
			select {
			case session.renewNow <- struct{}{}:
			default:
			}
		}
	}
}

// handleReport processes a worker's report: tasks that ended or were stopped and, in a full report, orphaned tasks and
// tasks that no longer run.
func (t *term) handleReport(session *workerSession, r worker.Report, sent time.Time) {
	now := time.Now()
	t.state.NodeUp(session.id)
	seen := make(map[worker.TaskRef]bool, len(r.Tasks))
	for _, task := range r.Tasks {
		seen[task.TaskRef] = true
		t.handleTaskReport(session, task, now)
	}
	if r.Full {
		t.markMissingLost(session.id, seen, sent, now)
	}
}

func (t *term) handleTaskReport(session *workerSession, task worker.TaskReport, now time.Time) {
	j := t.state.Job(task.Job)
	if !t.expected(session.id, task.TaskRef) {
		if !task.State.IsTerminal() {
			t.stopOrphan(session, task)
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

// expected reports whether the state places a task on a worker.
func (t *term) expected(id ids.InstanceID, ref worker.TaskRef) bool {
	j := t.state.Job(ref.Job)
	return j != nil && j.Attempt == ref.Attempt && ref.Index >= 0 && ref.Index < len(j.Place) && j.Place[ref.Index] == id
}

// stopOrphan stops a task that an earlier owner or an earlier attempt left on a worker. Its job does not start again before that.
func (t *term) stopOrphan(session *workerSession, task worker.TaskReport) {
	queued := t.state.MayRunUntil(task.Job, session.id, task.Attempt, session.expiry())
	if j := t.state.Job(task.Job); !queued && j != nil && task.Attempt > j.Attempt {
		return
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.WorkerCallTimeout)
		defer cancel()
		if _, err := t.owner.Worker(session.id).Stop(ctx, worker.Stop{
			Epoch: t.lease.epoch, Job: task.Job, Attempt: task.Attempt,
		}); err != nil {
			session.mu.Lock()
			session.sequence = 0 // the next report is full and lists the task again
			session.mu.Unlock()
			return
		}
		t.doAsync(func() { t.state.HasStopped(task.Job, session.id, time.Now()) })
	})
}

// markMissingLost marks tasks as lost that ran before a full report was requested but are missing from it.
func (t *term) markMissingLost(id ids.InstanceID, seen map[worker.TaskRef]bool, sent, now time.Time) {
	var lost []ids.JobID
	t.state.VisitTasksRunningOn(id, sent, func(job ids.JobID, attempt ids.Attempt, index int) {
		ref := worker.TaskRef{Job: job, Attempt: attempt, Index: index}
		if !seen[ref] {
			lost = append(lost, job)
		}
	})
	t.state.TasksLost(id, lost, now)
}
