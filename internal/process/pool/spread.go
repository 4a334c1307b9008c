package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// spreadDelay is how long the pool must have been idle before a unit that expects no rack in time is spread: runs that end
	// in the meantime often free a rack.
	spreadDelay = 2 * time.Second
	// idleWaitMargin is the part of Times.IdleWait that is left for the start of the unit and for the time between passes.
	idleWaitMargin = 500 * time.Millisecond
	// idleShare is the share of a service's capacity in use below which the pool counts as idle, and idleCopies is how many times
	// a unit must fit. Both are the platform's.
	idleShare  = 0.5
	idleCopies = 2
)

// spreadIfIdle returns a placement outside its rack for a unit that waits for a rack although the pool is idle, or nil if the
// unit should go on waiting. Tasks run slower there, so the unit waits if that is expected to end it sooner. After
// Times.IdleWait it waits no longer, and takes workers that are reserved for others too.
func (s *State) spreadIfIdle(u *unit, now time.Time) []*node {
	if spec := u.spec(); spec.DataRack == "" && !spec.SameRack && len(s.isolating) == 0 {
		return nil
	}
	if !s.isIdleFor(u, now) {
		u.idleSince = time.Time{}
		return nil
	}
	if u.idleSince.IsZero() {
		u.idleSince = now
	}
	limit := u.idleSince.Add(s.Times.IdleWait - idleWaitMargin)
	if spreadAt := u.idleSince.Add(spreadDelay); now.Before(spreadAt) && now.Before(limit) {
		s.retryBy(spreadAt)
		s.retryBy(limit)
		return nil
	}
	conflicts := uint64(0)
	if now.Before(limit) {
		s.retryBy(limit)
		conflicts = s.conflicts(u, now)
		extra := time.Duration(float64(s.runTime(u)) * (s.Times.RemoteSlowdown - 1))
		if at, placement := s.earliestFit(u, now, conflicts); placement != nil && at.Sub(now) <= extra {
			return nil
		}
	}
	u.anyRack = true
	defer func() { u.anyRack = false }()
	placement := s.findPlacement(u, now, conflicts)
	if placement == nil && !now.Before(limit) && s.endWaitingTrials() {
		placement = s.findPlacement(u, now, conflicts)
	}
	return placement
}

// isIdleFor reports whether nothing of a unit's job runs, the unit waits for a rack, and the pool is idle: less than idleShare
// of the service's capacity is in use, and the unit would fit idleCopies times if its tasks could run in any rack.
func (s *State) isIdleFor(u *unit, now time.Time) bool {
	_, spread := s.candidateRacks(u, now)
	return (!spread || len(s.isolating) > 0) && s.isIdlePoolFor(u)
}

// isIdlePoolFor is isIdleFor whether the unit waits for a rack or not.
func (s *State) isIdlePoolFor(u *unit) bool {
	return s.fitCountFor(u.stage).sum.all+s.isolatedFit(u) >= idleCopies*u.count && s.usedShare(u.job.Service) < idleShare && !u.job.isRunning()
}

// isolatedFit returns how many of a unit's tasks would fit on the workers that are kept free for the trials of others. The platform counts their capacity as free.
func (s *State) isolatedFit(u *unit) int {
	tasks := 0
	for other := range s.isolating {
		for _, n := range other.isolated {
			if n.schedulable() && n.Service == u.job.Service && n.hasLabel(u.spec().Label) {
				tasks += n.free().Copies(u.spec().Each, maxTasksPerWorker)
			}
		}
	}
	return tasks
}

// isRunning reports whether any task of the job runs.
func (j *Job) isRunning() bool {
	for _, st := range j.stages {
		if st.inPhase[starting]+st.inPhase[running]+st.inPhase[stopping] > 0 {
			return true
		}
	}
	return false
}

// usedShare returns the share of a service's accelerators in use, or of its cores if it has none. Its sums are kept until the
// free resources of a worker change.
func (s *State) usedShare(service ids.ServiceID) float64 {
	if s.usedSharesAt != s.capacityChanges || s.usedShares == nil {
		s.usedShares, s.usedSharesAt = make(map[ids.ServiceID]float64), s.capacityChanges
	}
	if share, known := s.usedShares[service]; known {
		return share
	}
	var used, total ids.Resources
	for _, n := range s.wholePool.nodes {
		if n.listed && n.Service == service {
			used, total = used.Plus(n.used), total.Plus(n.Total)
		}
	}
	share := float64(used.Cores) / float64(max(1, total.Cores))
	if total.Accelerators > 0 {
		share = float64(used.Accelerators) / float64(total.Accelerators)
	}
	s.usedShares[service] = share
	return share
}
