package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Started tells that all tasks of an attempt were started.
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
	j.failures = 0
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
		s.avoidNode(j, n, now)
	}
	s.release(j)
	if j.cancelled {
		s.finish(j, caller.Cancelled, notRunReason(j), now)
	} else {
		j.backOff(now)
		s.requeue(j, "its start was refused")
	}
	s.grow()
}

// backOff sets when the job may be tried again: at once after the first failure, then after growing delays.
func (j *Job) backOff(now time.Time) {
	const (
		firstDelay = 100 * time.Millisecond
		maxDoubled = 6
	)
	j.failures++
	if j.failures > 1 {
		j.notBefore = now.Add(firstDelay << min(j.failures-2, maxDoubled))
	}
}

// avoidTime is how long a job avoids a node on which it failed.
const avoidTime = 30 * time.Second

// avoidNode keeps a job off a node for a while.
func (s *State) avoidNode(j *Job, id ids.InstanceID, now time.Time) {
	if j.avoid == nil {
		j.avoid = make(map[ids.InstanceID]time.Time)
	}
	j.avoid[id] = now.Add(avoidTime)
	if s.avoidEnds.IsZero() {
		s.avoidEnds = now.Add(avoidTime)
	}
}

func (j *Job) avoids(n *node, now time.Time) bool {
	return now.Before(j.avoid[n.ID])
}

// endAvoidance lets jobs be tried again on the nodes that they need no longer avoid.
func (s *State) endAvoidance(now time.Time) {
	if s.avoidEnds.IsZero() || now.Before(s.avoidEnds) {
		return
	}
	s.avoidEnds = time.Time{}
	for _, j := range s.jobs {
		for id, until := range j.avoid {
			switch {
			case !now.Before(until):
				delete(j.avoid, id)
			case s.avoidEnds.IsZero() || until.Before(s.avoidEnds):
				s.avoidEnds = until
			}
		}
	}
	s.grow()
}

// StartUnknown tells that an attempt may have been started on some nodes, and which nodes refused it although they
// held its place. The gang is stopped whole.
func (s *State) StartUnknown(id ids.JobID, attempt ids.Attempt, refused []ids.InstanceID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.Attempt != attempt || (j.phase != starting && j.phase != running) {
		return
	}
	j.MaybeRan = true
	for _, n := range refused {
		s.avoidNode(j, n, now)
		s.blame(j, n, now)
	}
	j.backOff(now)
	s.memberLost(j, now, "its start was not confirmed by every instance")
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
	j.MaybeRan = true
	s.estimates.learnRunTime(j, now.Sub(j.Started))
	s.clearBlame(j)
	s.release(j)
	s.finish(j, caller.Done, "", now)
	s.grow()
}

func (s *State) taskFailed(j *Job, index int, now time.Time) {
	s.blame(j, j.Place[index], now)
	s.avoidNode(j, j.Place[index], now)
	if j.Idempotent && int(j.Attempt) < s.config.Policy.JobAttempts {
		j.backOff(now)
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
	if j.notBefore.IsZero() {
		s.enqueue(j)
	} else {
		s.delayed = append(s.delayed, j)
	}
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
