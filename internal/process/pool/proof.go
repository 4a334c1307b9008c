package pool

import (
	"slices"
	"time"
)

// workerFailure is the last failure of a task on a worker.
type workerFailure struct {
	node *node
	at   time.Time
}

const (
	// provenTime is how long a run that did not fail shows that its worker does not fail all that it starts.
	provenTime = 5 * time.Second
	// soundAge is the age from which a run has outlived the failures of workers that fail all that they start.
	soundAge = 500 * time.Millisecond
	// waveTime is the time within which failures on several workers count as one wave, and waveSize the number of workers, or waveShare of the pool if that is
	// more: some jobs fail wherever they run.
	waveTime  = 3 * time.Second
	waveSize  = 4
	waveShare = 0.01
)

// isProven reports whether a run that was started recently, and after the last failure there, has succeeded or outlived the usual failures. The success of an
// older run shows nothing: it started before the worker began to fail.
func (n *node) isProven(now time.Time) bool {
	if now.Sub(n.provenAt) < provenTime {
		return true
	}
	return slices.ContainsFunc(n.runs, func(r *run) bool {
		age := now.Sub(r.confirmedAt)
		return r.phase == runActive && r.confirmedAt.After(n.failedAt) && age >= soundAge && age < provenTime
	})
}

// observeFailure records that a task failed on a worker.
func (s *State) observeFailure(n *node, now time.Time) {
	n.failedAt = now
	s.wave = append(slices.DeleteFunc(s.wave, func(f workerFailure) bool { return f.node == n || now.Sub(f.at) > waveTime }), workerFailure{n, now})
}

// isFailureWave reports whether tasks have just failed on so many workers that further ones probably fail too.
func (s *State) isFailureWave(now time.Time) bool {
	recent := 0
	for _, f := range s.wave {
		if now.Sub(f.at) <= waveTime {
			recent++
		}
	}
	return recent >= max(waveSize, int(waveShare*float64(len(s.nodes))))
}

// prefersProven reports whether a unit is first placed on proven workers alone: it has few attempts left, or it is urgent and workers are failing.
func (s *State) prefersProven(u *unit, now time.Time) bool {
	return len(u.failedRuns) > 0 || u.job.Priority == 0 && s.isFailureWave(now)
}

// findProven returns a placement on proven workers, or nil.
func (s *State) findProven(u *unit, now time.Time, conflicts uint64) []*node {
	if !s.speeds.unequal {
		return s.warmestPlacement(u, now, conflicts, provenOnly)
	}
	for class := range s.slowestInTime(u, now) + 1 {
		if placement := s.warmestPlacement(u, now, conflicts, provenUpTo(class)); placement != nil {
			return placement
		}
	}
	return nil
}

// retryOnProven starts an urgent unit again whose retry is delayed until it is known which workers fail, if there is room on proven ones now.
func (s *State) retryOnProven(u *unit, now time.Time) bool {
	if !u.retryDelayed || u.job.Priority > 0 || u.isSuspected() {
		return false
	}
	placement := s.findProven(u, now, s.conflicts(u, now))
	if placement == nil {
		return false
	}
	s.startUnit(u, placement, now)
	return true
}
