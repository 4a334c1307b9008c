package placement

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Started records that all tasks of an attempt were started.
func (s *State) Started(id ids.JobID, attempt ids.Attempt, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt {
		return
	}
	j.MaybeRan = true
	if j.phase != starting {
		return
	}
	j.phase = running
	j.Started = now
	j.consecutiveFailures = 0
	s.waits.add(j.UnderGuarantee(), now.Sub(j.AcceptanceTime()))
	if j.cancelled {
		s.stop(j, caller.Cancelled, "cancelled by the caller", 0, now)
	}
}

// HasLeavingNode reports whether a node of an attempt accepts no new work because it is draining or its data centre is being
// evacuated.
func (s *State) HasLeavingNode(id ids.JobID, attempt ids.Attempt) bool {
	j := s.jobs[id]
	return j != nil && j.Attempt == attempt && slices.ContainsFunc(s.nodesOf(j), func(n *node) bool { return n.leaves() })
}

// StartFailed records that an attempt was not started and that all its holds were released or have expired. The job
// is requeued and avoids the nodes that refused it.
func (s *State) StartFailed(id ids.JobID, attempt ids.Attempt, refused []ids.InstanceID, now time.Time) {
	j := s.jobs[id]
	if j == nil || (j.phase != starting && j.phase != stopping) || j.Attempt != attempt {
		return
	}
	for _, n := range refused {
		s.avoidNode(j, n, now)
	}
	s.release(j)
	if j.cancelled {
		s.finish(j, caller.Cancelled, cancelReason(j), now)
	} else {
		j.backOff(now)
		s.requeue(j, "its start was refused")
	}
	s.capacityGrew()
}

// backOff sets when the job may be retried: immediately after the first failure, then with exponential backoff.
func (j *Job) backOff(now time.Time) {
	const (
		firstDelay   = 100 * time.Millisecond
		maxDoublings = 6
	)
	j.consecutiveFailures++
	if j.consecutiveFailures > 1 {
		j.notBefore = now.Add(firstDelay << min(j.consecutiveFailures-2, maxDoublings))
	}
}

// avoidDuration is how long a job avoids a node on which it failed.
const avoidDuration = 30 * time.Second

// avoidNode excludes a node from the job's candidates for avoidDuration.
func (s *State) avoidNode(j *Job, id ids.InstanceID, now time.Time) {
	if j.avoidUntil == nil {
		j.avoidUntil = make(map[ids.InstanceID]time.Time)
	}
	j.avoidUntil[id] = now.Add(avoidDuration)
	if s.nextAvoidanceEnd.IsZero() {
		s.nextAvoidanceEnd = now.Add(avoidDuration)
	}
}

func (j *Job) avoids(n *node, now time.Time) bool {
	return now.Before(j.avoidUntil[n.ID])
}

// expireAvoidance lets jobs use nodes again whose avoidance period has ended.
func (s *State) expireAvoidance(now time.Time) {
	if s.nextAvoidanceEnd.IsZero() || now.Before(s.nextAvoidanceEnd) {
		return
	}
	s.nextAvoidanceEnd = time.Time{}
	for _, j := range s.jobs {
		for id, until := range j.avoidUntil {
			switch {
			case !now.Before(until):
				delete(j.avoidUntil, id)
			case s.nextAvoidanceEnd.IsZero() || until.Before(s.nextAvoidanceEnd):
				s.nextAvoidanceEnd = until
			}
		}
	}
	s.capacityGrew()
}

// StartUnknown records that an attempt may have been started on some nodes. refused lists the nodes that refused the
// start although they held the resources for it. The whole gang is stopped.
func (s *State) StartUnknown(id ids.JobID, attempt ids.Attempt, refused []ids.InstanceID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || (j.phase != starting && j.phase != running) {
		return
	}
	j.MaybeRan = true
	for _, n := range refused {
		s.avoidNode(j, n, now)
		s.recordFailure(j, n, now)
	}
	j.backOff(now)
	s.interruptGang(j, now, "its start was not confirmed by every instance")
}

// TaskEnded records that a task exited without being stopped.
func (s *State) TaskEnded(id ids.JobID, attempt ids.Attempt, index int, failed bool, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || (j.phase != running && j.phase != starting) || index >= len(j.Place) {
		return
	}
	if failed {
		s.taskFailed(j, index, now)
		return
	}
	if j.endedTasks == nil {
		j.endedTasks = make(map[int]bool)
	}
	j.endedTasks[index] = true
	if len(j.endedTasks) < j.Shape.Tasks {
		return
	}
	j.MaybeRan = true
	s.estimates.learnRunTime(j, now.Sub(j.Started))
	s.clearFailures(j)
	s.release(j)
	s.finish(j, caller.Done, "", now)
	s.capacityGrew()
}

func (s *State) taskFailed(j *Job, index int, now time.Time) {
	s.recordFailure(j, j.Place[index], now)
	s.avoidNode(j, j.Place[index], now)
	if j.Idempotent && int(j.Attempt) < s.config.Policy.JobAttempts {
		j.backOff(now)
		s.stop(j, caller.Queued, "a task failed", 0, now)
		return
	}
	s.stop(j, caller.Failed, "a task failed", 0, now)
}

// TaskStopped records that a worker stopped a task without a request.
func (s *State) TaskStopped(id ids.JobID, attempt ids.Attempt, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || j.phase != running {
		return
	}
	s.interruptGang(j, now, "a task was stopped by its instance")
}

// interruptGang handles the loss of a gang member: it requeues a job that has not started and stops the whole gang
// otherwise.
func (s *State) interruptGang(j *Job, now time.Time, cause string) {
	if j.phase == stopping || j.phase == finished || j.phase == queued {
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

// stop requests a stop of the whole gang; after is the job's state once it has stopped.
func (s *State) stop(j *Job, after caller.State, reason string, grace time.Duration, now time.Time) {
	if j.phase == stopping {
		return
	}
	j.phase = stopping
	j.stateAfterStop = after
	j.Reason = reason
	s.actions = append(s.actions, Action{Kind: Stop, Job: j, Attempt: j.Attempt, Grace: grace})
}

// StopDone records that no task of an attempt is running any more. progress is the checkpointed fraction of the work.
func (s *State) StopDone(id ids.JobID, attempt ids.Attempt, progress float64, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.phase != stopping || j.Attempt != attempt {
		return
	}
	j.Progress = max(j.Progress, progress)
	s.release(j)
	if j.stateAfterStop == caller.Queued && !j.cancelled {
		s.requeue(j, j.Reason)
	} else if j.cancelled {
		s.finish(j, caller.Cancelled, "cancelled by the caller after it was started", now)
	} else {
		s.finish(j, j.stateAfterStop, j.Reason, now)
	}
	s.capacityGrew()
}

func (s *State) requeue(j *Job, reason string) {
	j.phase = queued
	j.Reason = reason
	j.Started = time.Time{}
	j.endedTasks = nil
	if j.notBefore.IsZero() {
		s.enqueue(j)
	} else {
		s.backingOff = append(s.backingOff, j)
	}
	s.actions = append(s.actions, Action{Kind: Requeue, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticeRequeued, Job: j.ID, Account: j.Account, Cause: reason})
}

func (s *State) finish(j *Job, outcome caller.State, reason string, now time.Time) {
	j.phase = finished
	j.outcome = outcome
	j.Reason = reason
	j.Finished = now
	s.actions = append(s.actions, Action{Kind: Finish, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticeFinished, Job: j.ID, Account: j.Account, Cause: string(outcome) + ": " + reason})
}
