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
	// allocated jobs have a place and wait for the jobs that are being stopped there.
	allocated
	starting
	running
	stopping
	over
)

type (
	// Job is one job and what was decided for it.
	Job struct {
		caller.Job
		ID        ids.JobID
		Account   ids.AccountID
		Submitted time.Time
		// Attempt counts the starts.
		Attempt ids.Attempt
		// Started is when the running attempt began.
		Started time.Time
		// Finished is when the job was over.
		Finished time.Time
		// Progress is the checkpointed part of the work, from 0 to 1.
		Progress float64
		// Reason says why the job is in its state.
		Reason string
		// Place is the node of each task.
		Place []ids.InstanceID
		// Each is what each task holds; corrections make it differ from the declared size.
		Each ids.Resources
		// MaybeRan tells that a start may have been sent for some attempt.
		MaybeRan bool
		// WasOwed tells that the last attempt ran under the account's guarantee.
		WasOwed bool
		// Warned is when the operators were first told that the job will be late.
		Warned time.Time
		// Forecast is when the job is expected to end, at the configured quantile.
		Forecast time.Time

		selector labels.Selector
		phase    phase
		outcome  caller.State
		class    *class
		key      time.Time
		entry    *entry
		slots    []int
		// waitFor are the jobs whose stop makes room for this one.
		waitFor map[ids.JobID]bool
		// avoid are the nodes on which this job failed, and until when it avoids them.
		avoid map[ids.InstanceID]time.Time
		// after is what becomes of the job once it is stopped.
		after     caller.State
		cancelled bool
		ended     map[int]bool
		// stopSince is when the stop began.
		stopSince time.Time
		lostWork  float64
		// failures counts the starts and runs that failed in a row, and notBefore is when the next try may begin.
		failures  int
		notBefore time.Time
		// partial tells that only a part of the gang was found after a change of owner, and is being stopped.
		partial bool
	}

	// Never tells that a job could not run on any instances that are known, and why.
	Never struct{ Reason string }
)

// Error returns the reason.
func (n *Never) Error() string { return n.Reason }

// ErrQueueFull tells that the account has as many waiting jobs as it may.
var ErrQueueFull = errors.New("the account's queue is full")

// Owed reports whether the job runs under its account's guarantee.
func (j *Job) Owed() bool { return j.entry != nil }

// stoppable reports whether the job may be stopped to make room.
func (j *Job) stoppable() bool {
	return j.Idempotent && j.entry == nil && (j.phase == running || j.phase == starting)
}

// Guarantee returns the name and the number of the guaranteed shape that the job uses, and the shape's place.
func (j *Job) Guarantee() (name string, number int, place []ids.InstanceID) {
	if j.entry == nil {
		return "", 0, nil
	}
	for _, n := range j.entry.place {
		place = append(place, n.ID)
	}
	return j.entry.guarantee.Name, j.entry.number, place
}

// Submit takes a new job into the queue. It returns the errors of Admissible.
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

// Admissible returns a *Never if a new job could never run, and ErrQueueFull.
func (s *State) Admissible(j *Job) error {
	s.init()
	selector, err := labels.Parse(j.Selector)
	if err != nil {
		return &Never{Reason: err.Error()}
	}
	j.selector = selector
	if err := s.possible(j); err != nil {
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

// Restore takes a job that was accepted earlier into the queue, without checks.
func (s *State) Restore(j *Job) {
	s.init()
	if j.selector == nil {
		j.selector = parseSelector(j.Selector)
	}
	j.phase = queued
	s.jobs[j.ID] = j
	s.enqueue(j)
}

func parseSelector(text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		return labels.Nothing()
	}
	return selector
}

// Cancel ends a job for its caller.
func (s *State) Cancel(id ids.JobID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase == over || j.cancelled {
		return
	}
	j.cancelled = true
	switch j.phase {
	case queued:
		s.dequeue(j)
		s.finish(j, caller.Cancelled, notRunReason(j), now)
	case allocated:
		s.release(j)
		s.finish(j, caller.Cancelled, notRunReason(j), now)
	case running:
		s.stop(j, caller.Cancelled, "cancelled by the caller", 0, now)
	}
}

// Overrule ends a job by what the store says of it, whatever was decided here.
func (s *State) Overrule(id ids.JobID, outcome caller.State, reason string, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase == over {
		return
	}
	s.dequeue(j)
	s.release(j)
	s.finish(j, outcome, reason, now)
}

func notRunReason(j *Job) string {
	if j.MaybeRan {
		return "cancelled by the caller while waiting; it may have run before"
	}
	return "cancelled by the caller; it was not run"
}
