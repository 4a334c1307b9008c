package placement

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// instanceLoss is the loss of an instance and the jobs that had tasks there.
type instanceLoss struct {
	id   ids.InstanceID
	at   time.Time
	jobs []*Job
}

const (
	// lossCoincidence is the time between losses of instances that probably have one cause, such as a rack without power. It covers the time until the owner
	// notices each of them.
	lossCoincidence = 5 * time.Second
	// maxLossAge is the age of an attempt up to which the loss of an instance may be the job's doing.
	maxLossAge = 10 * time.Second
)

// recordLoss records that an instance was lost, and fails the jobs that lose an instance with every attempt.
func (s *State) recordLoss(n *node, jobs []*Job, now time.Time) {
	s.losses = slices.DeleteFunc(s.losses, func(l instanceLoss) bool { return now.Sub(l.at) > lossCoincidence || l.id == n.ID })
	coincides := func(j *Job) bool {
		return slices.ContainsFunc(s.losses, func(l instanceLoss) bool { return !slices.Contains(l.jobs, j) })
	}
	for _, l := range s.losses {
		for _, j := range l.jobs {
			if j.countedLoss && now.Sub(j.lostAt) <= lossCoincidence && !slices.Contains(jobs, j) {
				j.Losses--
				j.countedLoss = false
			}
		}
	}
	for _, j := range jobs {
		if j.phase != starting && j.phase != running && j.phase != stopping || j.lostAttempt == j.Attempt {
			continue
		}
		j.lostAttempt, j.lostAt, j.countedLoss = j.Attempt, now, false
		if !j.Started.IsZero() && now.Sub(j.Started) > maxLossAge {
			j.Losses = 0
			continue
		}
		if coincides(j) {
			continue
		}
		j.Losses++
		j.countedLoss = true
		j.backOff(now)
		if !j.Idempotent || j.Losses < s.config.Policy.JobAttempts {
			continue
		}
		const reason = "it lost an instance with each of its last starts, while no other instance was lost"
		s.stop(j, caller.Failed, reason, 0, now)
		j.stateAfterStop, j.Reason = caller.Failed, reason
	}
	s.losses = append(s.losses, instanceLoss{n.ID, now, jobs})
}

// TasksLost records that an instance has restarted, so that the tasks of some jobs on it are lost.
func (s *State) TasksLost(id ids.InstanceID, lost []ids.JobID, now time.Time) {
	n := s.nodes[id]
	var jobs []*Job
	for _, job := range lost {
		if j := s.jobs[job]; j != nil && n != nil && !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return
	}
	s.recordLoss(n, jobs, now)
	for _, j := range jobs {
		s.interruptGang(j, now, "a task was lost as its instance restarted")
	}
}
