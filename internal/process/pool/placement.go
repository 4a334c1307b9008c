package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// candidate is a worker with the number of the unit's tasks that fit on it.
type candidate struct {
	node  *node
	tasks int
	// leftover ranks what stays free on the worker after placing them: accelerators first, then cores.
	leftover int64
}

// findPlacement returns the worker for each task of a unit, or nil. available returns the usable resources of a worker.
func (s *State) findPlacement(u *unit, now time.Time, available func(n *node) ids.Resources) []*node {
	if u.count > 1 {
		// One slower worker slows the whole gang down.
		if placement := s.bestPlacement(u, now, withoutSlower(available)); placement != nil {
			return placement
		}
	}
	return s.bestPlacement(u, now, available)
}

// bestPlacement returns a best-fit placement: the one in the rack with the fewest free accelerators. The racks' freeSum must
// be up to date.
func (s *State) bestPlacement(u *unit, now time.Time, available func(n *node) ids.Resources) []*node {
	var best []*node
	bestLeft := int64(0)
	need := u.spec().Each.Times(u.count)
	for _, group := range s.candidateRacks(u, now) {
		if !group.freeSum.Contains(need) {
			continue
		}
		placement := s.fill(u, s.candidates(u, group.nodes, now, available))
		if placement == nil {
			continue
		}
		left := int64(0)
		for _, n := range group.nodes {
			left += int64(n.free().Accelerators)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = placement, left
		}
	}
	return best
}

// candidateRacks returns the sets of workers of which a unit uses one, so that its tasks run at full speed: the rack of its
// data, the rack in which its step started, or each rack if the step should stay in one rack and fits into some empty rack.
func (s *State) candidateRacks(u *unit, now time.Time) []*rack {
	spec := u.spec()
	if spec.DataRack != "" {
		if r := s.rackByID(spec.DataRack); r != nil && s.fitsEmptyRack(u, r) {
			return []*rack{r}
		}
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return []*rack{s.wholePool}
	}
	if u.count == 1 {
		if r := s.stepRack(u, now); r != nil {
			return []*rack{r}
		}
		return []*rack{s.wholePool}
	}
	if !s.fitsOneRack(u) {
		return []*rack{s.wholePool}
	}
	return s.racks
}

func (s *State) rackByID(id ids.RackID) *rack {
	for _, r := range s.racks {
		if r.id == id {
			return r
		}
	}
	return nil
}

// fitsEmptyRack reports whether the unit would fit into the rack if nothing else ran there. Workers in a short quarantine
// count: the unit waits for them rather than run slower elsewhere.
func (s *State) fitsEmptyRack(u *unit, r *rack) bool {
	spec := u.spec()
	tasks := 0
	for _, n := range r.nodes {
		if !n.schedulableSoon() || n.Service != u.job.Service || !n.hasLabel(spec.Label) {
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

// stepRack returns the rack for the single tasks of a step: the one in which the step started, or else the one with the most
// room for them.
func (s *State) stepRack(u *unit, now time.Time) *rack {
	if r := u.job.stepRacks[u.stepKey()]; r != nil {
		// Racks are rebuilt when the list of workers changes.
		if r = s.rackByID(r.id); r != nil && s.fitsEmptyRack(u, r) {
			return r
		}
	}
	var best *rack
	most := 0
	for _, r := range s.racks {
		slots := 0
		for _, c := range s.candidates(u, r.nodes, now, (*node).free) {
			free := c.node.free().Copies(u.spec().Each, u.spec().Tasks)
			if limit := u.spec().MaxPerWorker; limit > 0 {
				free = min(free, limit)
			}
			slots += free
		}
		if slots = min(slots, u.spec().Tasks); slots > most {
			best, most = r, slots
		}
	}
	return best
}

// isRemote reports whether a placement makes the unit's tasks slower.
func (s *State) isRemote(u *unit, placement []*node) bool {
	spec := u.spec()
	for _, n := range placement {
		if spec.DataRack != "" && n.Rack != spec.DataRack {
			return true
		}
		if spec.SameRack && n.Rack != placement[0].Rack {
			return true
		}
	}
	if first := u.job.stepRacks[u.stepKey()]; u.count < spec.Tasks && spec.SameRack && first != nil && first.id != placement[0].Rack {
		return true
	}
	return false
}

// candidates returns the eligible workers with room for the unit, best fit first.
func (s *State) candidates(u *unit, nodes []*node, now time.Time, available func(n *node) ids.Resources) []candidate {
	spec := u.spec()
	var list []candidate
	for _, n := range nodes {
		if !s.eligible(u, n, now) {
			continue
		}
		free := available(n)
		tasks := free.Copies(spec.Each, u.count)
		if spec.MaxPerWorker > 0 {
			tasks = min(tasks, spec.MaxPerWorker-s.tasksOn(n, u))
		}
		if tasks <= 0 {
			continue
		}
		left := free.Minus(spec.Each.Times(tasks))
		list = append(list, candidate{node: n, tasks: tasks, leftover: int64(left.Accelerators)<<32 + int64(left.Cores)})
	}
	// Single tasks use the slower workers first, unless they are urgent.
	preferSlower := u.job.Priority > 0
	slices.SortStableFunc(list, func(a, b candidate) int {
		if u.count == 1 && a.node.slower() != b.node.slower() {
			if a.node.slower() == preferSlower {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.leftover, b.leftover), cmp.Compare(b.tasks, a.tasks))
	})
	return list
}

func (s *State) eligible(u *unit, n *node, now time.Time) bool {
	return n.schedulable(now) && n.Service == u.job.Service && n.hasLabel(u.spec().Label) && !now.Before(u.avoidUntil[n.ID])
}

// fill assigns a unit's tasks to candidates in order, or returns nil if there are too few.
func (s *State) fill(u *unit, list []candidate) []*node {
	placement := make([]*node, 0, u.count)
	for _, c := range list {
		for range c.tasks {
			if placement = append(placement, c.node); len(placement) == u.count {
				return placement
			}
		}
	}
	return nil
}

// fitsOneRack reports whether the unit would fit into some rack if nothing else ran there.
func (s *State) fitsOneRack(u *unit) bool {
	if u.fitsRackVersion == s.rackFitsVersion {
		return u.fitsRack
	}
	spec := u.spec()
	key := gangShape{service: u.job.Service, label: spec.Label, each: spec.Each, count: u.count, maxPerWorker: spec.MaxPerWorker}
	fits, known := s.rackFits[key]
	for _, r := range s.racks {
		if known || fits {
			break
		}
		fits = s.fitsEmptyRack(u, r)
	}
	s.rackFits[key] = fits
	u.fitsRack, u.fitsRackVersion = fits, s.rackFitsVersion
	return fits
}

// gangShape is the cache key of fitsOneRack.
type gangShape struct {
	service      ids.ServiceID
	label        string
	each         ids.Resources
	count        int
	maxPerWorker int
}

// holdPlacement reserves workers for a unit until the runs being stopped there have ended.
func (s *State) holdPlacement(u *unit, placement []*node, now time.Time) {
	u.phase = preempting
	u.placement = placement
	u.preemptingSince = now
	s.preempting = append(s.preempting, u)
	for _, n := range placement {
		n.held = n.held.Plus(u.spec().Each)
	}
}

func (s *State) releasePlacement(u *unit) {
	for _, n := range u.placement {
		n.held = n.held.Minus(u.spec().Each)
	}
	u.placement = nil
	s.preempting = slices.DeleteFunc(s.preempting, func(other *unit) bool { return other == u })
	s.requestPass()
}
