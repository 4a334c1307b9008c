package pool

import (
	"cmp"
	"slices"
	"time"
)

type (
	// reservations reserve workers for the first gangs that don't fit, so that smaller units backfill without starving them.
	reservations struct {
		list []reservation
	}

	reservation struct {
		unit  *unit
		nodes map[*node]bool
		// at is when the workers are expected to be free.
		at time.Time
	}
)

// reservationsPerPriority is the number of concurrent reservations per priority. With one, wide gangs get their racks one
// after the other and the last ones are late; a third one has no further benefit.
const reservationsPerPriority = 2

// add reserves the workers on which a gang is expected to fit earliest.
func (h *reservations) add(s *State, u *unit, now time.Time) {
	if u.count == 1 || h.count(u.job.Priority) >= reservationsPerPriority {
		return
	}
	at, placement := s.earliestFit(u, now, func(n *node) bool { return !h.conflicts(s, u, n, now) })
	if placement == nil {
		return
	}
	r := reservation{unit: u, nodes: make(map[*node]bool), at: at}
	for _, n := range placement {
		r.nodes[n] = true
	}
	h.list = append(h.list, r)
}

// count returns the number of reservations of a priority.
func (h *reservations) count(priority int) int {
	count := 0
	for _, r := range h.list {
		if r.unit.job.Priority == priority {
			count++
		}
	}
	return count
}

// conflicts reports whether a worker is reserved for another unit. A unit that ends before the reservation begins may
// backfill the worker.
func (h *reservations) conflicts(s *State, u *unit, n *node, now time.Time) bool {
	for _, r := range h.list {
		if r.unit != u && r.nodes[n] && now.Add(s.runTime(u)).After(r.at) {
			return true
		}
	}
	return false
}

// earliestFit returns when and where a unit is expected to fit if nothing else is started before.
func (s *State) earliestFit(u *unit, now time.Time, usable func(n *node) bool) (time.Time, []*node) {
	var best []*node
	var bestAt time.Time
	need := u.spec().Each.Times(u.count)
	for _, group := range s.candidateRacks(u, now) {
		ends := s.expectedEndsOn(group, now)
		if best != nil && !group.freeSum.Contains(need) && (len(ends) == 0 || !ends[0].at.Before(bestAt)) {
			continue
		}
		if at, placement := s.earliestFitOn(u, group, now, usable); placement != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = placement, at
		}
	}
	return bestAt, best
}

// earliestFitOn is earliestFit on some workers: it projects their free resources forward, one expected end at a time.
func (s *State) earliestFitOn(u *unit, group *rack, now time.Time, usable func(n *node) bool) (time.Time, []*node) {
	s.projections++
	fitting := 0
	for _, n := range group.nodes {
		if s.eligible(u, n, now) && usable(n) {
			n.projectedFree, n.projection = n.free(), s.projections
			fitting += s.projectedTasks(u, n)
		}
	}
	at := now
	ends := s.expectedEndsOn(group, now)
	for i := 0; fitting < u.count; i++ {
		if i == len(ends) {
			return time.Time{}, nil
		}
		n := ends[i].run.node
		if n.projection != s.projections {
			continue
		}
		fitting -= s.projectedTasks(u, n)
		n.projectedFree = n.projectedFree.Plus(ends[i].run.resources)
		fitting += s.projectedTasks(u, n)
		at = laterOf(now, ends[i].at)
	}
	var list []candidate
	for _, n := range group.nodes {
		if n.projection == s.projections && s.projectedTasks(u, n) > 0 {
			list = append(list, candidate{node: n, tasks: s.projectedTasks(u, n)})
		}
	}
	return at, s.fill(u, list)
}

// projectedTasks returns how many of a unit's tasks fit into a worker's projected free resources.
func (s *State) projectedTasks(u *unit, n *node) int {
	fits := n.projectedFree.Copies(u.spec().Each, u.count)
	if limit := u.spec().MaxPerWorker; limit > 0 {
		fits = min(fits, limit-s.tasksOn(n, u))
	}
	return fits
}

// expectedEndsOn returns the expected ends of the runs on some workers, in order of time.
func (s *State) expectedEndsOn(group *rack, now time.Time) []expectedEnd {
	if !group.expectedEndsAt.IsZero() && now.Sub(group.expectedEndsAt) <= maxPassInterval {
		return group.expectedEnds
	}
	group.expectedEnds, group.expectedEndsAt = group.expectedEnds[:0], now
	for _, n := range group.nodes {
		for r := range n.runs {
			at := now
			if r.unit != nil {
				at = now.Add(s.remaining(r.unit, now))
			}
			group.expectedEnds = append(group.expectedEnds, expectedEnd{r, at})
		}
	}
	slices.SortFunc(group.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.Job, b.run.Job), cmp.Compare(a.run.Step, b.run.Step), cmp.Compare(a.run.Index, b.run.Index))
	})
	return group.expectedEnds
}
