package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// failuresToQuarantine is the number of consecutive failures of different jobs after which a worker is quarantined.
	failuresToQuarantine = 2
	// minQuarantine is the length of the first quarantine; it doubles with each consecutive one.
	minQuarantine = 3 * time.Second
	maxQuarantine = time.Minute
	// maxBlamedShare is the part of a service's workers, as a divisor, that the tasks of one account or of one queue can quarantine at a time, at least one worker. What a
	// task shows of a worker may be a fact about the task.
	maxBlamedShare = 8
)

// blame names those whose tasks have quarantined a worker.
type blame struct {
	account ids.AccountID
	queue   ids.QueueID
}

// recordFailure counts a failure that a worker has stated itself, and quarantines it after consecutive ones under different jobs.
func (s *State) recordFailure(n *node, job ids.JobID, now time.Time) {
	if s.countFailure(n, job, now) {
		s.quarantine(n, job, "different jobs failed there in a row", now)
	}
}

// recordTaskFailure counts a failure of a job's task on a worker, and quarantines it after consecutive ones of different jobs.
func (s *State) recordTaskFailure(n *node, j *Job, now time.Time) {
	if s.countFailure(n, j.ID, now) {
		s.quarantineFor(n, j, "different jobs failed there in a row", now)
	}
}

// countFailure counts a failure, and reports whether enough of them were of different jobs.
func (s *State) countFailure(n *node, job ids.JobID, now time.Time) bool {
	s.observeFailure(n, now)
	if n.failures > 0 && n.lastFailedJob == job {
		return false
	}
	n.failures++
	n.lastFailedJob = job
	s.capacityChanged(n)
	return n.failures >= failuresToQuarantine
}

// quarantineFor quarantines a worker for what a job's task has shown of it, unless the tasks of the job's account or queue have quarantined enough workers.
func (s *State) quarantineFor(n *node, j *Job, cause string, now time.Time) {
	if !s.mayBlame(j) {
		return
	}
	s.quarantine(n, j.ID, cause, now)
	n.quarantinedFor = blame{j.Account, j.Queue}
}

// mayBlame reports whether the tasks of a job's account and queue may quarantine a further worker.
func (s *State) mayBlame(j *Job) bool {
	blamed := 0
	for n := range s.suspects {
		if !n.quarantinedUntil.IsZero() && n.Service == j.Service && (n.quarantinedFor.account == j.Account || n.quarantinedFor.queue == j.Queue) {
			blamed++
		}
	}
	if blamed == 0 {
		return true
	}
	workers := 0
	for _, n := range s.wholePool.nodes {
		if n.listed && n.Service == j.Service {
			workers++
		}
	}
	return blamed < max(1, workers/maxBlamedShare)
}

// quarantine excludes a worker from new placements for a while.
func (s *State) quarantine(n *node, job ids.JobID, cause string, now time.Time) {
	if now.Before(n.quarantinedUntil) {
		return
	}
	n.quarantineTime = min(maxQuarantine, max(minQuarantine, 2*n.quarantineTime))
	n.quarantinedUntil, n.quarantinedFor = now.Add(n.quarantineTime), blame{}
	s.suspects[n] = true
	s.capacityChanged(n)
	s.invalidateRackFits()
	// One more failure after the quarantine starts the next one.
	n.failures = failuresToQuarantine - 1
	n.lastFailedJob = ""
	s.notice(Notice{Kind: "WorkerQuarantined", Worker: n.ID, Job: job, Cause: cause + "; quarantined for " + n.quarantineTime.String()})
}

// endQuarantine ends the quarantine of a worker before its time.
func (s *State) endQuarantine(n *node) {
	n.quarantinedUntil, n.quarantineTime = time.Time{}, 0
	s.capacityChanged(n)
	s.invalidateRackFits()
	s.requestPass()
}

// clearFailures records that a task has succeeded on a worker that was started at the given time, and resets the count of failures unless the last one is newer.
func (s *State) clearFailures(n *node, started time.Time) {
	if !started.After(n.failedAt) {
		return
	}
	n.provenAt = laterOf(n.provenAt, started)
	if n.quarantineTime > minQuarantine {
		s.invalidateRackFits()
	}
	if n.failures > 0 {
		s.capacityChanged(n)
	}
	n.failures, n.lastFailedJob, n.quarantineTime = 0, "", 0
}
