package pool

import (
	"cmp"
	"slices"
	"time"
)

type (
	// reservations keep workers for the first gangs that don't fit, so that smaller units don't keep them from ever fitting.
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

// reservationsEach bounds the gangs of one priority that have a reservation at a time. With one, wide gangs get their
// racks one after the other and the last ones are late; a third one gained nothing in the load tests.
const reservationsEach = 2

// add reserves the workers on which a gang is expected to fit first.
func (h *reservations) add(s *State, u *unit, now time.Time) {
	if u.count == 1 || h.count(u.job.Priority) >= reservationsEach {
		return
	}
	at, place := s.soonest(u, now, func(n *node) bool { return !h.against(s, u, n, now) })
	if place == nil {
		return
	}
	r := reservation{unit: u, nodes: make(map[*node]bool), at: at}
	for _, n := range place {
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

// against reports whether a worker is reserved for another unit that goes first. What ends before the reservation
// begins may use it.
func (h *reservations) against(s *State, u *unit, n *node, now time.Time) bool {
	for _, r := range h.list {
		if r.unit != u && r.nodes[n] && now.Add(s.runTime(u)).After(r.at) {
			return true
		}
	}
	return false
}

// soonest returns when a unit is expected to fit, and where, if nothing else is started before.
func (s *State) soonest(u *unit, now time.Time, usable func(n *node) bool) (time.Time, []*node) {
	var best []*node
	var bestAt time.Time
	need := u.spec().Each.Times(u.count)
	for _, group := range s.groups(u, now) {
		endings := s.endingsOf(group, now)
		if best != nil && !group.room.Fits(need) && (len(endings) == 0 || !endings[0].at.Before(bestAt)) {
			continue
		}
		if at, place := s.soonestIn(u, group, now, usable); place != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = place, at
		}
	}
	return bestAt, best
}

// soonestIn is soonest on some workers: it follows how many tasks they hold while what runs there ends.
func (s *State) soonestIn(u *unit, group *rack, now time.Time, usable func(n *node) bool) (time.Time, []*node) {
	s.looks++
	held := 0
	for _, n := range group.nodes {
		if s.usable(u, n, now) && usable(n) {
			n.then, n.thenOf = n.free(), s.looks
			held += s.copiesThen(u, n)
		}
	}
	at := now
	endings := s.endingsOf(group, now)
	for i := 0; held < u.count; i++ {
		if i == len(endings) {
			return time.Time{}, nil
		}
		n := endings[i].run.node
		if n.thenOf != s.looks {
			continue
		}
		held -= s.copiesThen(u, n)
		n.then = n.then.Plus(endings[i].run.each)
		held += s.copiesThen(u, n)
		at = later(now, endings[i].at)
	}
	var seats []seat
	for _, n := range group.nodes {
		if n.thenOf == s.looks && s.copiesThen(u, n) > 0 {
			seats = append(seats, seat{node: n, tasks: s.copiesThen(u, n)})
		}
	}
	return at, s.fill(u, seats)
}

// copiesThen returns how many of a unit's tasks a worker holds in the look ahead.
func (s *State) copiesThen(u *unit, n *node) int {
	fits := n.then.Copies(u.spec().Each, u.count)
	if limit := u.spec().MaxPerWorker; limit > 0 {
		fits = min(fits, limit-s.tasksOn(n, u))
	}
	return fits
}

// endingsOf returns the expected ends of what runs on some workers, in order.
func (s *State) endingsOf(group *rack, now time.Time) []ending {
	if !group.endingsAt.IsZero() && now.Sub(group.endingsAt) <= lookInterval {
		return group.endings
	}
	group.endings, group.endingsAt = group.endings[:0], now
	for _, n := range group.nodes {
		for r := range n.runs {
			at := now
			if r.unit != nil {
				at = now.Add(s.remaining(r.unit, now))
			}
			group.endings = append(group.endings, ending{r, at})
		}
	}
	slices.SortFunc(group.endings, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.Job, b.run.Job), cmp.Compare(a.run.Step, b.run.Step), cmp.Compare(a.run.Index, b.run.Index))
	})
	return group.endings
}
