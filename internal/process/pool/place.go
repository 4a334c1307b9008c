package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// seat is a worker with the number of a unit's tasks that it can take.
type seat struct {
	node  *node
	tasks int
	// left are the accelerators, or without them the cores, that stay free once it has taken them.
	left int64
}

// find returns the worker of each task of a unit, or nil. room returns what may be used on a worker.
// A gang that wants one rack gets one if any rack could ever hold it.
func (s *State) findPlace(u *unit, now time.Time, room func(n *node) ids.Resources) []*node {
	spec := u.spec()
	if spec.DataRack != "" {
		for _, r := range s.racks {
			if r.id == spec.DataRack {
				if place := s.fill(u, s.seats(u, r.nodes, now, room)); place != nil {
					return place
				}
			}
		}
	}
	if u.count == 1 || !spec.SameRack || !s.fitsOneRack(u, now) {
		return s.fill(u, s.seats(u, s.allNodes(), now, room))
	}
	var best []*node
	bestLeft := int64(0)
	for _, r := range s.racks {
		seats := s.seats(u, r.nodes, now, room)
		place := s.fill(u, seats)
		if place == nil {
			continue
		}
		left := int64(0)
		for _, n := range r.nodes {
			left += int64(n.free().Accelerators)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = place, left
		}
	}
	return best
}

func (s *State) allNodes() []*node {
	var all []*node
	for _, r := range s.racks {
		all = append(all, r.nodes...)
	}
	return all
}

// seats returns the usable workers, those first that would be filled best.
func (s *State) seats(u *unit, nodes []*node, now time.Time, room func(n *node) ids.Resources) []seat {
	spec := u.spec()
	var seats []seat
	for _, n := range nodes {
		if !s.usable(u, n, now) {
			continue
		}
		free := room(n)
		tasks := free.Copies(spec.Each, u.count)
		if spec.MaxPerWorker > 0 {
			tasks = min(tasks, spec.MaxPerWorker-n.tasksOf(u.job, u.step))
		}
		if tasks <= 0 {
			continue
		}
		left := free.Minus(spec.Each.Times(tasks))
		seats = append(seats, seat{node: n, tasks: tasks, left: int64(left.Accelerators)<<32 + int64(left.Cores)})
	}
	slices.SortStableFunc(seats, func(a, b seat) int {
		return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(b.tasks, a.tasks))
	})
	return seats
}

func (s *State) usable(u *unit, n *node, now time.Time) bool {
	return n.open(now) && n.Service == u.job.Service && n.has(u.spec().Label) && (!u.avoid[n.ID] || len(u.avoid)*2 > len(s.nodes))
}

// fill puts the tasks of a unit on seats in order, or returns nil if there are too few.
func (s *State) fill(u *unit, seats []seat) []*node {
	place := make([]*node, 0, u.count)
	for _, seat := range seats {
		for range seat.tasks {
			if place = append(place, seat.node); len(place) == u.count {
				return place
			}
		}
	}
	return nil
}

// fitsOneRack reports whether some rack could hold the unit if nothing else ran there.
func (s *State) fitsOneRack(u *unit, now time.Time) bool {
	spec := u.spec()
	key := shape{service: u.job.Service, label: spec.Label, each: spec.Each, count: u.count, perNode: spec.MaxPerWorker}
	if fits, known := s.shapes[key]; known {
		return fits
	}
	fits := false
	for _, r := range s.racks {
		fits = fits || s.fill(u, s.seats(u, r.nodes, now, func(n *node) ids.Resources { return n.Total })) != nil
	}
	s.shapes[key] = fits
	return fits
}

// shape is what decides whether a unit could ever fit one rack.
type shape struct {
	service ids.ServiceID
	label   string
	each    ids.Resources
	count   int
	perNode int
}

// keep holds workers for a unit until what is being stopped there has ended.
func (s *State) keep(u *unit, place []*node, now time.Time) {
	u.phase = allocated
	u.place = place
	u.allocatedAt = now
	s.kept = append(s.kept, u)
	for _, n := range place {
		n.kept = n.kept.Plus(u.spec().Each)
	}
}

func (s *State) unkeep(u *unit) {
	for _, n := range u.place {
		n.kept = n.kept.Minus(u.spec().Each)
	}
	u.place = nil
	s.kept = slices.DeleteFunc(s.kept, func(other *unit) bool { return other == u })
	s.grow()
}
