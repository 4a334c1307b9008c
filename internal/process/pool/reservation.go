package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
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

// maxReservations bounds the gangs that have a reservation at a time: one of each priority.
const maxReservations = 3

// add reserves the workers on which a gang is expected to fit first.
func (h *reservations) add(s *State, u *unit, now time.Time) {
	if u.count == 1 || len(h.list) >= maxReservations {
		return
	}
	for _, other := range h.list {
		if other.unit.job.Priority == u.job.Priority {
			return
		}
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
	type ending struct {
		unit *unit
		at   time.Time
	}
	var endings []ending
	seen := make(map[*unit]bool)
	for _, n := range s.nodes {
		for r := range n.runs {
			if r.unit != nil && !seen[r.unit] {
				seen[r.unit] = true
				endings = append(endings, ending{r.unit, now.Add(s.remaining(r.unit, now))})
			}
		}
	}
	slices.SortFunc(endings, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.unit.job.ID, b.unit.job.ID), cmp.Compare(a.unit.first, b.unit.first))
	})
	freed := make(map[*node]ids.Resources)
	room := func(n *node) ids.Resources {
		if !usable(n) {
			return ids.Resources{}
		}
		return n.free().Plus(freed[n])
	}
	if place := s.findPlace(u, now, room); place != nil {
		return now, place
	}
	for i, e := range endings {
		free(freed, e.unit, 1)
		// Endings of one moment are looked at together.
		const together = 100 * time.Millisecond
		if i+1 < len(endings) && endings[i+1].at.Sub(e.at) < together {
			continue
		}
		if place := s.findPlace(u, now, room); place != nil {
			return e.at, place
		}
	}
	return time.Time{}, nil
}
