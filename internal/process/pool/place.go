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

// findPlace returns the worker of each task of a unit, or nil. room returns what may be used on a worker.
func (s *State) findPlace(u *unit, now time.Time, room func(n *node) ids.Resources) []*node {
	if u.count > 1 {
		// One slower worker would slow the whole gang down.
		if place := s.bestPlace(u, now, fastRoom(room)); place != nil {
			return place
		}
	}
	return s.bestPlace(u, now, room)
}

// bestPlace returns the place of a unit in the group of workers with the least room left. What is free in the groups has
// been summed before.
func (s *State) bestPlace(u *unit, now time.Time, room func(n *node) ids.Resources) []*node {
	var best []*node
	bestLeft := int64(0)
	need := u.spec().Each.Times(u.count)
	for _, group := range s.groups(u, now) {
		if !group.room.Fits(need) {
			continue
		}
		place := s.fill(u, s.seats(u, group.nodes, now, room))
		if place == nil {
			continue
		}
		left := int64(0)
		for _, n := range group.nodes {
			left += int64(n.free().Accelerators)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = place, left
		}
	}
	return best
}

// groups returns the sets of workers of which a unit takes one, so that it is not slowed down: those of its data's rack, of
// the rack in which its step has begun, or of each rack if its step wants one and a rack could ever hold the unit.
func (s *State) groups(u *unit, now time.Time) []*rack {
	spec := u.spec()
	if spec.DataRack != "" {
		if r := s.rackOf(spec.DataRack); r != nil && s.couldHold(u, r) {
			return []*rack{r}
		}
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return []*rack{s.whole}
	}
	if u.count == 1 {
		if r := s.stepRack(u, now); r != nil {
			return []*rack{r}
		}
		return []*rack{s.whole}
	}
	if !s.fitsOneRack(u) {
		return []*rack{s.whole}
	}
	return s.racks
}

func (s *State) rackOf(id ids.RackID) *rack {
	for _, r := range s.racks {
		if r.id == id {
			return r
		}
	}
	return nil
}

// couldHold reports whether a rack could hold the unit if nothing else ran there. Workers that are left out for a short
// while count: the unit waits for them rather than run slower for all its time.
func (s *State) couldHold(u *unit, r *rack) bool {
	spec := u.spec()
	tasks := 0
	for _, n := range r.nodes {
		if !n.returns() || n.Service != u.job.Service || !n.has(spec.Label) {
			continue
		}
		copies := n.Total.Copies(spec.Each, u.count)
		if spec.MaxPerWorker > 0 {
			copies = min(copies, spec.MaxPerWorker)
		}
		if tasks += copies; tasks >= u.count {
			return true
		}
	}
	return false
}

// stepRack returns the rack for the single tasks of a step: the one in which the step has begun, or else the one with the
// most room for them.
func (s *State) stepRack(u *unit, now time.Time) *rack {
	if r := u.job.racks[u.stepRun()]; r != nil {
		// Racks are built anew when the list of workers changes.
		if r = s.rackOf(r.id); r != nil && s.couldHold(u, r) {
			return r
		}
	}
	var best *rack
	most := 0
	for _, r := range s.racks {
		seats := 0
		for _, seat := range s.seats(u, r.nodes, now, (*node).free) {
			free := seat.node.free().Copies(u.spec().Each, u.spec().Tasks)
			if limit := u.spec().MaxPerWorker; limit > 0 {
				free = min(free, limit)
			}
			seats += free
		}
		if seats = min(seats, u.spec().Tasks); seats > most {
			best, most = r, seats
		}
	}
	return best
}

// isRemote reports whether a place slows the unit's tasks down.
func (s *State) isRemote(u *unit, place []*node) bool {
	spec := u.spec()
	for _, n := range place {
		if spec.DataRack != "" && n.Rack != spec.DataRack {
			return true
		}
		if spec.SameRack && n.Rack != place[0].Rack {
			return true
		}
	}
	if first := u.job.racks[u.stepRun()]; u.count < spec.Tasks && spec.SameRack && first != nil && first.id != place[0].Rack {
		return true
	}
	return false
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
			tasks = min(tasks, spec.MaxPerWorker-s.tasksOn(n, u))
		}
		if tasks <= 0 {
			continue
		}
		left := free.Minus(spec.Each.Times(tasks))
		seats = append(seats, seat{node: n, tasks: tasks, left: int64(left.Accelerators)<<32 + int64(left.Cores)})
	}
	// Single tasks that aren't urgent leave the fast workers to others.
	takesSlower := u.job.Priority > 0
	slices.SortStableFunc(seats, func(a, b seat) int {
		if u.count == 1 && a.node.slower() != b.node.slower() {
			if a.node.slower() == takesSlower {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(b.tasks, a.tasks))
	})
	return seats
}

func (s *State) usable(u *unit, n *node, now time.Time) bool {
	return n.open(now) && n.Service == u.job.Service && n.has(u.spec().Label) && !now.Before(u.avoid[n.ID])
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
func (s *State) fitsOneRack(u *unit) bool {
	if u.oneRackOf == s.shapesOf {
		return u.oneRack
	}
	spec := u.spec()
	key := shape{service: u.job.Service, label: spec.Label, each: spec.Each, count: u.count, perNode: spec.MaxPerWorker}
	fits, known := s.shapes[key]
	for _, r := range s.racks {
		if known || fits {
			break
		}
		fits = s.couldHold(u, r)
	}
	s.shapes[key] = fits
	u.oneRack, u.oneRackOf = fits, s.shapesOf
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
