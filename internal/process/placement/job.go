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
		// avoid are the nodes on which this job failed.
		avoid map[ids.InstanceID]bool
		// after is what becomes of the job once it is stopped.
		after     caller.State
		cancelled bool
		ended     map[int]bool
		// maybeRan tells that a start was sent for some attempt.
		maybeRan bool
		// stopSince is when the stop began.
		stopSince time.Time
		lostWork  float64
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

func notRunReason(j *Job) string {
	if j.maybeRan {
		return "cancelled by the caller while waiting to run again"
	}
	return "cancelled by the caller; it was not run"
}

// Started tells that all tasks of an attempt were started.
func (s *State) Started(id ids.JobID, attempt ids.Attempt, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt {
		return
	}
	j.maybeRan = true
	if j.phase != starting {
		return
	}
	j.phase = running
	j.Started = now
	s.waits.add(j.Owed(), now.Sub(j.Submitted))
	if j.cancelled {
		s.stop(j, caller.Cancelled, "cancelled by the caller", 0, now)
	}
}

// StartFailed tells that an attempt was not started, that all its holds are released or have lapsed,
// and which nodes refused. The job waits again.
func (s *State) StartFailed(id ids.JobID, attempt ids.Attempt, refused []ids.InstanceID, now time.Time) {
	j := s.jobs[id]
	if j == nil || (j.phase != starting && j.phase != stopping) || j.Attempt != attempt {
		return
	}
	for _, n := range refused {
		j.avoidNode(n)
	}
	s.release(j)
	if j.cancelled {
		s.finish(j, caller.Cancelled, notRunReason(j), now)
	} else {
		s.requeue(j, "its start was refused")
	}
	s.grow()
}

func (j *Job) avoidNode(id ids.InstanceID) {
	// A job avoids a bounded number of nodes, so that it can't exclude itself from the data centre.
	const maxAvoided = 8
	if j.avoid == nil || len(j.avoid) >= maxAvoided {
		j.avoid = make(map[ids.InstanceID]bool)
	}
	j.avoid[id] = true
}

// StartUnknown tells that an attempt may have been started on some nodes; the gang is stopped whole.
func (s *State) StartUnknown(id ids.JobID, attempt ids.Attempt, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || (j.phase != starting && j.phase != running) {
		return
	}
	j.maybeRan = true
	s.memberLost(j, now, "its start had no answer from every instance")
}

// TaskEnded tells that one task ended by itself.
func (s *State) TaskEnded(id ids.JobID, attempt ids.Attempt, index int, failed bool, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || (j.phase != running && j.phase != starting) || index >= len(j.Place) {
		return
	}
	if failed {
		s.taskFailed(j, index, now)
		return
	}
	if j.ended == nil {
		j.ended = make(map[int]bool)
	}
	j.ended[index] = true
	if len(j.ended) < j.Shape.Tasks {
		return
	}
	j.maybeRan = true
	s.estimates.learnRunTime(j, now.Sub(j.Started))
	s.clearBlame(j)
	s.release(j)
	s.finish(j, caller.Done, "", now)
	s.grow()
}

func (s *State) taskFailed(j *Job, index int, now time.Time) {
	s.blame(j, j.Place[index], now)
	j.avoidNode(j.Place[index])
	if j.Idempotent && int(j.Attempt) < s.config.Policy.JobAttempts {
		s.stop(j, caller.Queued, "a task failed", 0, now)
		return
	}
	s.stop(j, caller.Failed, "a task failed", 0, now)
}

// TaskStopped tells that a task was stopped by its worker although nobody asked for it.
func (s *State) TaskStopped(id ids.JobID, attempt ids.Attempt, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || j.phase != running {
		return
	}
	s.memberLost(j, now, "a task was stopped by its instance")
}

func (s *State) memberLost(j *Job, now time.Time, cause string) {
	if j.phase == stopping || j.phase == over || j.phase == queued {
		return
	}
	if j.phase == allocated {
		s.release(j)
		s.requeue(j, cause)
		return
	}
	if j.Idempotent {
		s.stop(j, caller.Queued, cause, 0, now)
		return
	}
	s.stop(j, caller.Unknown, cause+" and it may have run in part", 0, now)
}

// stop asks for the whole gang to be stopped; after is what becomes of it then.
func (s *State) stop(j *Job, after caller.State, reason string, grace time.Duration, now time.Time) {
	if j.phase == stopping {
		return
	}
	j.phase = stopping
	j.after = after
	j.Reason = reason
	j.stopSince = now
	s.actions = append(s.actions, Action{Kind: Stop, Job: j, Attempt: j.Attempt, Grace: grace})
}

// StopDone tells that no task of an attempt runs any more, and how much of the work was checkpointed.
func (s *State) StopDone(id ids.JobID, attempt ids.Attempt, progress float64, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase != stopping || j.Attempt != attempt {
		return
	}
	if !j.Started.IsZero() {
		s.accountLostWork(j, progress, now)
	}
	j.Progress = max(j.Progress, progress)
	s.release(j)
	if j.after == caller.Queued && !j.cancelled {
		s.requeue(j, j.Reason)
	} else if j.cancelled {
		s.finish(j, caller.Cancelled, "cancelled by the caller after it was started", now)
	} else {
		s.finish(j, j.after, j.Reason, now)
	}
	s.grow()
}

// accountLostWork adds the accelerator hours that ran after the last checkpoint.
func (s *State) accountLostWork(j *Job, progress float64, now time.Time) {
	if progress > j.Progress {
		return
	}
	j.lostWork += now.Sub(j.Started).Hours() * float64(j.Shape.Total().Accelerators)
}

// LostWork returns the accelerator hours that the job ran without keeping their result.
func (j *Job) LostWork() float64 { return j.lostWork }

func (s *State) requeue(j *Job, reason string) {
	j.phase = queued
	j.Reason = reason
	j.Started = time.Time{}
	j.ended = nil
	s.enqueue(j)
	s.actions = append(s.actions, Action{Kind: Requeue, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticeRequeued, Job: j.ID, Account: j.Account, Cause: reason})
}

func (s *State) finish(j *Job, outcome caller.State, reason string, now time.Time) {
	j.phase = over
	j.outcome = outcome
	j.Reason = reason
	j.Finished = now
	s.actions = append(s.actions, Action{Kind: Finish, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticeFinished, Job: j.ID, Account: j.Account, Cause: string(outcome) + ": " + reason})
}
