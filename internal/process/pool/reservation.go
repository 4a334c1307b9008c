package pool

import (
	"cmp"
	"slices"
	"time"
)

type (
	// reservations reserve workers for the first gangs that don't fit, so that smaller units backfill without starving them.
	reservations struct {
		// list holds the reservations; the unit of an unused entry is nil. Bit i of node.reservedFor is entry i.
		list []reservation
		// madeAt is when the oldest reservations were made.
		madeAt time.Time
	}

	reservation struct {
		unit  *unit
		nodes []*node
		// at is when the workers are expected to be free.
		at time.Time
	}
)

const (
	// reservationsPerPriority is the number of concurrent reservations per priority. With one, wide gangs get their racks one
	// after the other and the last ones are late.
	reservationsPerPriority = 2
	// maxReservations is the number of bits of node.reservedFor.
	maxReservations = 64
	// reservationAge is the age at which reservations are made anew, from the expected ends at that time.
	reservationAge = 50 * time.Millisecond
	// expectedEndsAge is the age up to which the expected ends of the whole pool are used again although some have changed.
	expectedEndsAge = 50 * time.Millisecond
)

// clear removes all reservations.
func (h *reservations) clear() {
	for i := range h.list {
		h.remove(i)
	}
	h.list = h.list[:0]
}

func (h *reservations) remove(i int) {
	for _, n := range h.list[i].nodes {
		n.reservedFor &^= 1 << i
	}
	h.list[i] = reservation{}
}

// refresh removes the reservations that are no longer needed, and all of them once they are old.
func (h *reservations) refresh(now time.Time) {
	if now.Sub(h.madeAt) >= reservationAge {
		h.clear()
		h.madeAt = now
		return
	}
	for i, r := range h.list {
		if r.unit != nil && (r.unit.phase != waiting || r.unit.job.ended()) {
			h.remove(i)
		}
	}
}

// reserve reserves the workers on which a gang is expected to fit earliest.
func (s *State) reserve(u *unit, now time.Time) {
	h := &s.reserved
	if u.count == 1 || !h.mayAdd(u) {
		return
	}
	at, placement := s.earliestFit(u, now, s.conflicts(u, now))
	if placement == nil {
		return
	}
	r := reservation{unit: u, nodes: placement, at: at}
	i := slices.IndexFunc(h.list, func(r reservation) bool { return r.unit == nil })
	if i < 0 {
		i = len(h.list)
		h.list = append(h.list, r)
	} else {
		h.list[i] = r
	}
	for _, n := range placement {
		n.reservedFor |= 1 << i
	}
}

// mayAdd reports whether a reservation may be made for a unit: it has none, and its priority has fewer than the limit.
func (h *reservations) mayAdd(u *unit) bool {
	samePriority, used := 0, 0
	for _, r := range h.list {
		if r.unit == u {
			return false
		}
		if r.unit != nil {
			used++
			if r.unit.job.Priority == u.job.Priority {
				samePriority++
			}
		}
	}
	return samePriority < reservationsPerPriority && used < maxReservations
}

// conflicts returns the set of reservations whose workers a unit must leave free: those of units before it that it would
// delay. A unit that ends before a reservation begins may backfill its workers.
func (s *State) conflicts(u *unit, now time.Time) uint64 {
	set := uint64(0)
	end := now.Add(s.runTime(u))
	for i, r := range s.reserved.list {
		if r.unit != nil && end.After(r.at) && precedes(r.unit, u) {
			set |= 1 << i
		}
	}
	return set
}

// precedes reports whether unit a is placed before unit b.
func precedes(a, b *unit) bool {
	if a.job == b.job {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step)) < 0
	}
	return compareOrder(a.job, b.job) < 0
}

// earliestFit returns when and where a unit is expected to fit outside the given reservations if nothing else is started
// before.
func (s *State) earliestFit(u *unit, now time.Time, conflicts uint64) (time.Time, []*node) {
	racks, spread := s.candidateRacks(u, now)
	if spread {
		return s.earliestFitOn(u, s.wholePool, now, conflicts)
	}
	var best []*node
	var bestAt time.Time
	fits := s.fitCountFor(u.stage)
	for _, r := range racks {
		ends := s.expectedEndsOn(r, now)
		if best != nil && fits.byRack[r.index].all < u.count && (len(ends) == 0 || !ends[0].at.Before(bestAt)) {
			continue
		}
		if at, placement := s.earliestFitOn(u, r, now, conflicts); placement != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = placement, at
		}
	}
	return bestAt, best
}

// earliestFitOn is earliestFit on some workers: it projects their free resources forward, one expected end at a time.
func (s *State) earliestFitOn(u *unit, group *rack, now time.Time, conflicts uint64) (time.Time, []*node) {
	s.projections++
	fitting := 0
	for _, n := range group.nodes {
		if s.eligible(u, n, now) && n.reservedFor&conflicts == 0 {
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
		// The resources of a run that has ended meanwhile are free already.
		if n.projection != s.projections || ends[i].run.phase == runGone {
			continue
		}
		fitting -= s.projectedTasks(u, n)
		n.projectedFree = n.projectedFree.Plus(ends[i].run.resources)
		fitting += s.projectedTasks(u, n)
		at = laterOf(now, ends[i].at)
	}
	var list []candidate
	for _, n := range group.nodes {
		if n.projection == s.projections {
			if tasks := s.projectedTasks(u, n); tasks > 0 {
				list = append(list, candidate{node: n, tasks: tasks})
			}
		}
	}
	return at, fill(u, list)
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
	age := now.Sub(group.expectedEndsAt)
	if !group.expectedEndsAt.IsZero() && (age <= expectedEndsAge && group == s.wholePool || age <= maxPassInterval && !group.endsChanged) {
		return group.expectedEnds
	}
	group.expectedEnds, group.expectedEndsAt, group.endsChanged = group.expectedEnds[:0], now, false
	for _, n := range group.nodes {
		for _, r := range n.runs {
			at := now
			if r.unit != nil {
				at = s.expectedEnd(r.unit, now)
			}
			group.expectedEnds = append(group.expectedEnds, expectedEnd{r, at})
		}
	}
	slices.SortFunc(group.expectedEnds, func(a, b expectedEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.seq, b.run.seq))
	})
	return group.expectedEnds
}

// expectedEnd returns when a unit is expected to end.
func (s *State) expectedEnd(u *unit, now time.Time) time.Time {
	f := u.forecasts()
	if !f.endAt.Equal(now) {
		f.endAt, f.expectedEnd = now, now.Add(s.remaining(u, now))
	}
	return f.expectedEnd
}
