package placement

import (
	"strconv"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// blame counts a task's failure against its node, unless the job fails elsewhere too: such a job is bad itself.
func (s *State) blame(j *Job, id ids.InstanceID, now time.Time) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	for _, other := range s.nodes {
		if other != n && other.blame[j.ID] {
			delete(other.blame, j.ID)
			return
		}
	}
	if n.blame == nil {
		n.blame = make(map[ids.JobID]bool)
	}
	n.blame[j.ID] = true
	if len(n.blame) >= max(1, s.config.Policy.QuarantineAfter) || n.probation {
		s.quarantine(n, now)
	}
}

// quarantine takes a node out of use for a while, as long as not too many nodes are.
func (s *State) quarantine(n *node, now time.Time) {
	if n.quarantined() || s.quarantinedCount() >= s.maxQuarantined() {
		return
	}
	n.quarantinedUntil = now.Add(s.config.Policy.QuarantineTime)
	s.notice(Notice{Kind: NoticeQuarantined, Instance: n.ID, Cause: strconv.Itoa(len(n.blame)) + " jobs failed on this instance and on no other"})
	s.repairEntries()
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

// releaseQuarantined ends quarantines that have lasted their time. The node is on probation: one more failure
// brings it back, one success clears it.
func (s *State) releaseQuarantined(now time.Time) {
	for _, n := range s.nodes {
		if !n.quarantined() || now.Before(n.quarantinedUntil) {
			continue
		}
		n.quarantinedUntil = time.Time{}
		n.blame = nil
		n.probation = true
		s.notice(Notice{Kind: NoticeReleased, Instance: n.ID, Cause: "the quarantine's time is over; on probation"})
		s.grow()
	}
}

// clearBlame forgets the failures of nodes on which a job succeeded.
func (s *State) clearBlame(j *Job) {
	for _, id := range j.Place {
		if n := s.nodes[id]; n != nil {
			n.blame = nil
			n.probation = false
		}
	}
}
