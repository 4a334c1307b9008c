package placement

import (
	"strconv"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// recordFailure counts a task's failure against its node, unless the job also failed on another node: then the job itself
// is considered faulty, and the failure on the other node is no longer counted either.
func (s *State) recordFailure(j *Job, id ids.InstanceID, now time.Time) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	for _, other := range s.nodes {
		if other != n && other.failedJobs[j.ID] {
			delete(other.failedJobs, j.ID)
			return
		}
	}
	if n.failedJobs == nil {
		n.failedJobs = make(map[ids.JobID]bool)
	}
	n.failedJobs[j.ID] = true
	if len(n.failedJobs) >= max(1, s.config.Policy.QuarantineAfter) || n.probation {
		s.quarantine(n, now)
	}
}

// quarantine excludes a node from new work for QuarantineTime, unless too many nodes are quarantined already.
func (s *State) quarantine(n *node, now time.Time) {
	if n.quarantined() || s.quarantinedCount() >= s.maxQuarantined() {
		return
	}
	n.quarantinedUntil = now.Add(s.config.Policy.QuarantineTime)
	s.notice(Notice{Kind: NoticeQuarantined, Instance: n.ID, Cause: strconv.Itoa(len(n.failedJobs)) + " jobs failed on this instance and on no other"})
	s.repairEntitlements()
}

func (s *State) quarantinedCount() int {
	count := 0
	for _, n := range s.nodes {
		if n.quarantined() {
			count++
		}
	}
	return count
}

func (s *State) maxQuarantined() int {
	return max(1, int(s.config.Policy.QuarantineShare*float64(len(s.nodes))))
}

// releaseQuarantined ends expired quarantines and puts their nodes on probation: one more failure quarantines a node
// again, one success ends its probation.
func (s *State) releaseQuarantined(now time.Time) {
	for _, n := range s.nodes {
		if !n.quarantined() || now.Before(n.quarantinedUntil) {
			continue
		}
		n.quarantinedUntil = time.Time{}
		n.failedJobs = nil
		n.probation = true
		s.notice(Notice{Kind: NoticeReleased, Instance: n.ID, Cause: "the quarantine expired; on probation"})
		s.capacityGrew()
	}
}

// clearFailures clears the failures and the probation of the nodes on which a job succeeded.
func (s *State) clearFailures(j *Job) {
	for _, id := range j.Place {
		if n := s.nodes[id]; n != nil {
			n.failedJobs = nil
			n.probation = false
		}
	}
}
