package placement

import (
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type phase int

const (
	queued phase = iota
	// allocated jobs have nodes assigned and wait for preempted jobs to stop there.
	allocated
	starting
	running
	stopping
	finished
)

type (
	// Job is a job and its scheduling state.
	Job struct {
		caller.Job
		ID        ids.JobID
		Account   ids.AccountID
		Submitted time.Time
		// AcceptedAt is when an earlier owner accepted the job, on the clock of this process; zero if this owner did. The times of day of owners can't be compared.
		AcceptedAt time.Time
		// Attempt is the number of starts so far.
		Attempt ids.Attempt
		// Started is when the current attempt began.
		Started time.Time
		// Finished is when the job reached its final state.
		Finished time.Time
		// Progress is the checkpointed fraction of the work, from 0 to 1.
		Progress float64
		// Losses counts the attempts in a row in which an instance was lost soon after the start, for no other known cause.
		Losses int
		// Reason explains the job's current state.
		Reason string
		// Place holds the node assigned to each task.
		Place []ids.InstanceID
		// Each is the allocation of each task. It differs from the declared size if learned usage corrects it.
		Each ids.Resources
		// MaybeRan reports whether a start may have been sent for some attempt.
		MaybeRan bool
		// RanUnderGuarantee reports whether the last attempt ran under the account's guarantee.
		RanUnderGuarantee bool
		// Warned is when the operators were first notified that the job is forecast to be late.
		Warned time.Time
		// Forecast is the expected end of the job at the configured quantile.
		Forecast time.Time

		selector labels.Selector
		phase    phase
		outcome  caller.State
		class    *class
		// orderTime is the job's sort key in its queue.
		orderTime   time.Time
		entitlement *entitlement
		// slots holds, for each task, the index of the entitlement's task that it uses.
		slots []int
		// awaitedStops holds the jobs that must stop before this job can start.
		awaitedStops map[ids.JobID]bool
		// avoidUntil maps each node on which this job failed to the time until which the job avoids it.
		avoidUntil map[ids.InstanceID]time.Time
		// stateAfterStop is the job's state once it has stopped.
		stateAfterStop caller.State
		cancelled      bool
		endedTasks     map[int]bool
		// consecutiveFailures counts the starts and runs that failed in a row. The job is not retried before notBefore.
		consecutiveFailures int
		notBefore           time.Time
		// mayRun is until when an earlier attempt may run on workers that have not confirmed its stop.
		mayRun map[ids.InstanceID]time.Time
		// lostAttempt is the last attempt in which an instance was lost, lostAt is when, and countedLoss is set if Losses includes it.
		lostAttempt ids.Attempt
		lostAt      time.Time
		countedLoss bool
		// partial reports whether only part of the gang was found after a takeover. That part is being stopped.
		partial bool
	}

	// InfeasibleError is the error for a job that none of the known instances could ever run.
	InfeasibleError struct{ Reason string }
)

// Error implements error.
func (e *InfeasibleError) Error() string { return e.Reason }

// ErrQueueFull is returned for a new job of an account that has reached its limit of queued jobs.
var ErrQueueFull = errors.New("the account's queue is full")

// UnderGuarantee reports whether the job is placed under its account's guarantee.
func (j *Job) UnderGuarantee() bool { return j.entitlement != nil }

// AcceptanceTime returns when the job was accepted, on the clock of this process.
func (j *Job) AcceptanceTime() time.Time {
	if j.AcceptedAt.IsZero() {
		return j.Submitted
	}
	return j.AcceptedAt
}

// preemptible reports whether the job may be stopped to reclaim its resources.
func (j *Job) preemptible() bool {
	return j.Idempotent && j.entitlement == nil && (j.phase == running || j.phase == starting)
}

// Guarantee returns the name and number of the guaranteed shape that the job uses, and the nodes reserved for the shape.
func (j *Job) Guarantee() (name string, number int, place []ids.InstanceID) {
	if j.entitlement == nil {
		return "", 0, nil
	}
	for _, n := range j.entitlement.place {
		place = append(place, n.ID)
	}
	return j.entitlement.guarantee.Name, j.entitlement.number, place
}

// Submit adds a new job to the queue. It returns the errors of Admissible.
func (s *State) Submit(j *Job) error {
	if s.jobs[j.ID] != nil {
		return nil
	}
	if err := s.Admissible(j); err != nil {
		return err
	}
	s.Restore(j)
	return nil
}

// Admissible returns an *InfeasibleError if a new job could never run, ErrEvacuated while the data centre is being evacuated,
// or ErrQueueFull if its account's queue is full.
func (s *State) Admissible(j *Job) error {
	s.init()
	selector, err := labels.Parse(j.Selector)
	if err != nil {
		return &InfeasibleError{Reason: err.Error()}
	}
	j.selector = selector
	if err := s.checkFeasible(j); err != nil {
		return err
	}
	if q := s.queues[j.Account]; q != nil && q.length >= s.queueLimit(j.Account) {
		return ErrQueueFull
	}
	return nil
}

func (s *State) queueLimit(id ids.AccountID) int {
	const defaultQueuedJobs = 1000
	if limit := s.account(id).QueuedJobs; limit > 0 {
		return limit
	}
	return defaultQueuedJobs
}

// Restore adds a previously accepted job to the queue without admission checks.
func (s *State) Restore(j *Job) {
	s.init()
	if j.selector == nil {
		j.selector = parseSelector(j.Selector)
	}
	j.phase = queued
	s.jobs[j.ID] = j
	s.enqueue(j)
}

// MayRunUntil records that an attempt of a queued job may still run on a worker until a time. The job does not start before then. It reports whether the job is queued.
func (s *State) MayRunUntil(id ids.JobID, on ids.InstanceID, attempt ids.Attempt, until time.Time) bool {
	j := s.jobs[id]
	if j == nil || j.phase != queued {
		return false
	}
	j.Attempt, j.MaybeRan = max(j.Attempt, attempt), true
	if j.mayRun == nil {
		j.mayRun = make(map[ids.InstanceID]time.Time)
	}
	if until.After(j.mayRun[on]) {
		j.mayRun[on] = until
	}
	if !until.After(j.notBefore) {
		return true
	}
	if j.notBefore.IsZero() {
		s.dequeue(j)
		s.backingOff = append(s.backingOff, j)
	}
	j.notBefore = until
	return true
}

// HasStopped records that the attempt that might have run on a worker has stopped.
func (s *State) HasStopped(id ids.JobID, on ids.InstanceID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase != queued {
		return
	}
	waitedFor := j.mayRunUntil(now)
	delete(j.mayRun, on)
	if j.notBefore.Equal(waitedFor) {
		j.notBefore = j.mayRunUntil(now)
	}
}

// mayRunUntil returns until when an earlier attempt may run on any worker; now if it can't.
func (j *Job) mayRunUntil(now time.Time) time.Time {
	last := now
	for _, until := range j.mayRun {
		if until.After(last) {
			last = until
		}
	}
	return last
}

func parseSelector(text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		return labels.Nothing()
	}
	return selector
}

// Cancel cancels a job on behalf of its caller.
func (s *State) Cancel(id ids.JobID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase == finished || j.cancelled {
		return
	}
	j.cancelled = true
	switch j.phase {
	case queued:
		s.dequeue(j)
		s.finish(j, caller.Cancelled, cancelReason(j), now)
	case allocated:
		s.release(j)
		s.finish(j, caller.Cancelled, cancelReason(j), now)
	case running:
		s.stop(j, caller.Cancelled, "cancelled by the caller", 0, now)
	}
}

// FinishAsStored finishes a job with the outcome recorded in the store, regardless of its state here.
func (s *State) FinishAsStored(id ids.JobID, outcome caller.State, reason string, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase == finished {
		return
	}
	s.dequeue(j)
	s.release(j)
	s.finish(j, outcome, reason, now)
}

func cancelReason(j *Job) string {
	if j.MaybeRan {
		return "cancelled by the caller while waiting; it may have run before"
	}
	return "cancelled by the caller; it was not run"
}
