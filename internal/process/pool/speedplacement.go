package pool

import "time"

// findBySpeed is findPlacement in a pool of unequal workers. A gang is as fast as its slowest member. Urgent units get the fastest
// workers; gangs with slack get workers of one class, the slowest that meets their objective, so that sets of fast workers stay free.
// An urgent gang that would be late on all free workers gets no placement: it may preempt others on fast ones.
func (s *State) findBySpeed(u *unit, now time.Time, conflicts uint64) []*node {
	if u.count == 1 {
		return s.warmestPlacement(u, now, conflicts, anyWorker)
	}
	if u.job.Priority == 0 {
		return s.findFastest(u, now, conflicts, s.slowestInTime(u, now))
	}
	for class := min(s.slowestInTime(u, now), s.speeds.slowClass); class >= 0; class-- {
		if placement := s.warmestPlacement(u, now, conflicts, ofClasses(class, class)); placement != nil {
			return placement
		}
	}
	return s.findFastest(u, now, conflicts, speedClasses-1)
}

// findFastest returns a placement whose slowest worker is in the lowest class possible, up to a limit, or nil.
func (s *State) findFastest(u *unit, now time.Time, conflicts uint64, limit speedClass) []*node {
	for class := speedClass(0); class <= limit; class++ {
		if placement := s.warmestPlacement(u, now, conflicts, ofClasses(0, class)); placement != nil {
			return placement
		}
	}
	if limit < speedClasses-1 {
		return nil
	}
	return s.warmestPlacement(u, now, conflicts, anyWorker)
}

// slowestInTime returns the slowest class on which a unit that starts now meets its job's objective; the slowest one if none does.
func (s *State) slowestInTime(u *unit, now time.Time) speedClass {
	due := u.releaseTime().Add(s.Objective(u.job))
	for class := speedClass(speedClasses - 1); class >= 0; class-- {
		if end := now.Add(time.Duration(float64(s.runTime(u)) * class.factor())); !end.After(due) {
			return class
		}
	}
	return speedClasses - 1
}
