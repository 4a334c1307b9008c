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

// mayFit reports whether a unit may fit into the free resources, regardless of reservations.
func (s *State) mayFit(u *unit) bool {
	fits := s.fitCountFor(u.stage)
	if u.count > 1 && u.spec().SameRack && s.fitsOneRack(u) {
		return fits.most.all >= u.count
	}
	return fits.sum.all >= u.count
}

type (
	// workerFilter restricts the workers for a unit.
	workerFilter struct {
		kind filterKind
		// byClass restricts the workers further to the speed classes from fastest to slowest.
		byClass          bool
		fastest, slowest speedClass
	}

	filterKind int
)

const (
	everyWorker filterKind = iota
	// preferredWorkers are those that are not slower and on which nothing has failed since their last success.
	preferredWorkers
	// provenWorkers are those of preferredWorkers that don't fail all that they start; see isProven.
	provenWorkers
	// workingWorkers are those on which nothing has failed since their last success.
	workingWorkers
)

var (
	anyWorker     = workerFilter{}
	preferredOnly = workerFilter{kind: preferredWorkers}
	provenOnly    = workerFilter{kind: provenWorkers}
)

// ofClasses returns the filter for the workers of a range of speed classes on which nothing has failed since their last success.
func ofClasses(fastest, slowest speedClass) workerFilter {
	return workerFilter{kind: workingWorkers, byClass: true, fastest: fastest, slowest: slowest}
}

// provenUpTo returns the filter for the proven workers up to a speed class.
func provenUpTo(slowest speedClass) workerFilter {
	return workerFilter{kind: provenWorkers, byClass: true, slowest: slowest}
}

// passes reports whether a worker passes a filter.
func (n *node) passes(filter workerFilter, now time.Time) bool {
	return n.mayPass(filter) && (filter.kind != provenWorkers || n.isProven(now))
}

// mayPass reports whether a worker passes a filter, if it is proven.
func (n *node) mayPass(filter workerFilter) bool {
	if filter.byClass && (n.class < filter.fastest || n.class > filter.slowest) {
		return false
	}
	switch filter.kind {
	case everyWorker:
		return true
	case workingWorkers:
		return n.failures == 0
	}
	return n.preferred()
}

// findPlacement returns the worker for each task of a unit outside the given reservations, or nil.
func (s *State) findPlacement(u *unit, now time.Time, conflicts uint64) []*node {
	if s.prefersProven(u, now) {
		if placement := s.findProven(u, now, conflicts); placement != nil {
			return placement
		}
	}
	if s.speeds.unequal {
		return s.findBySpeed(u, now, conflicts)
	}
	if u.count > 1 {
		// One slower worker slows the whole gang down, and one that fails breaks it.
		if placement := s.warmestPlacement(u, now, conflicts, preferredOnly); placement != nil {
			return placement
		}
	}
	return s.warmestPlacement(u, now, conflicts, anyWorker)
}

// bestPlacement returns a best-fit placement: the one in the rack with the fewest free accelerators. It
// uses only workers that pass the filter.
func (s *State) bestPlacement(u *unit, now time.Time, conflicts uint64, filter workerFilter) []*node {
	fits := s.fitCountFor(u.stage)
	if fits.total(filter) < u.count {
		return nil
	}
	racks, spread := s.candidateRacks(u, now)
	if spread {
		if conflicts != 0 && fits.unreserved(s, conflicts, filter) < u.count {
			return nil
		}
		return fill(u, s.candidates(u, racks, now, conflicts, filter))
	}
	fitting := s.fittingRacks[:0]
	for _, r := range racks {
		if fits.inRack(r, filter) >= u.count {
			fitting = append(fitting, r)
		}
	}
	s.fittingRacks = fitting
	slices.SortStableFunc(fitting, func(a, b *rack) int {
		return cmp.Compare(s.freeAcceleratorsIn(a), s.freeAcceleratorsIn(b))
	})
	for i := range fitting {
		if placement := fill(u, s.candidates(u, fitting[i:i+1], now, conflicts, filter)); placement != nil {
			return placement
		}
	}
	return nil
}

// candidateRacks returns the racks on which a unit's tasks run at full speed: the rack of its data, the rack in which its
// step started, or each rack if the step should stay in one rack and fits into some empty rack. The unit uses one of them,
// or any workers of all of them if spread is set.
func (s *State) candidateRacks(u *unit, now time.Time) (racks []*rack, spread bool) {
	spec := u.spec()
	if u.anyRack {
		return s.racks, true
	}
	if spec.DataRack != "" {
		if r := s.racksByID[spec.DataRack]; r != nil && s.fitsEmptyRack(u, r) {
			return s.racks[r.index : r.index+1], false
		}
	}
	if !spec.SameRack || spec.Tasks == 1 {
		return s.racks, true
	}
	if u.count == 1 {
		if r := s.stepRack(u, now); r != nil {
			return s.racks[r.index : r.index+1], false
		}
		return s.racks, true
	}
	return s.racks, !s.fitsOneRack(u)
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
		if r = s.racksByID[r.id]; r != nil && s.fitsEmptyRack(u, r) {
			return r
		}
	}
	var best *rack
	most := 0
	fits := s.fitCountFor(u.stage)
	for i, r := range s.racks {
		slots := fits.byRack[i].all
		if limit := u.spec().MaxPerWorker; limit > 0 && slots > 0 {
			slots = 0
			for _, n := range r.nodes {
				if s.eligible(u, n, now) {
					slots += min(limit-s.tasksOn(n, u), fits.tasksOn(n))
				}
			}
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

// candidates returns the eligible workers with room for the unit outside the given reservations, best fit first. For a
// single task it returns only the best one.
func (s *State) candidates(u *unit, racks []*rack, now time.Time, conflicts uint64, filter workerFilter) []candidate {
	spec := u.spec()
	fits := s.fitCountFor(u.stage)
	list := s.candidateList[:0]
	for _, r := range racks {
		if fits.inRack(r, filter) == 0 {
			continue
		}
		for _, n := range r.nodes {
			if n.reservedFor&conflicts != 0 || s.skips(u, n) || !n.passes(filter, now) || !s.eligible(u, n, now) {
				continue
			}
			free := n.free()
			tasks := free.Copies(spec.Each, u.count)
			if spec.MaxPerWorker > 0 {
				tasks = min(tasks, spec.MaxPerWorker-s.tasksOn(n, u))
			}
			if tasks <= 0 {
				continue
			}
			c := newCandidate(u, n, tasks, free)
			if u.count == 1 && len(list) == 1 {
				if s.compareCandidates(u, c, list[0]) < 0 {
					list[0] = c
				}
				continue
			}
			list = append(list, c)
		}
	}
	s.candidateList = list
	slices.SortStableFunc(list, func(a, b candidate) int { return s.compareCandidates(u, a, b) })
	return list
}

func newCandidate(u *unit, n *node, tasks int, free ids.Resources) candidate {
	left := free.Minus(u.spec().Each.Times(tasks))
	return candidate{node: n, tasks: tasks, leftover: int64(left.Accelerators)<<32 + int64(left.Cores)}
}

// compareCandidates orders workers for a unit, best fit first. Single tasks use workers that have just failed last, and the
// slower workers first, unless they are urgent. In a pool of unequal workers this holds for the classes, and for gangs too; workers
// that are slower than is normal in the pool come last.
func (s *State) compareCandidates(u *unit, a, b candidate) int {
	if failedA, failedB := a.node.failures > 0, b.node.failures > 0; u.count == 1 && failedA != failedB {
		if failedB {
			return -1
		}
		return 1
	}
	if a.node.class != b.node.class {
		if slow := s.speeds.slowClass; max(a.node.class, b.node.class) > slow {
			return cmp.Compare(a.node.class, b.node.class)
		}
		if (a.node.class < b.node.class) == (u.job.Priority == 0) {
			return -1
		}
		return 1
	}
	if u.count == 1 && a.node.slower() != b.node.slower() {
		if a.node.slower() == (u.job.Priority > 0) {
			return -1
		}
		return 1
	}
	if u.count == 1 && u.job.Priority > 0 && !u.spec().Checkpoints && a.node.pinned != b.node.pinned {
		// Tasks that can't be moved without losing work share workers, so that they block few of the others for gangs.
		return cmp.Compare(b.node.pinned, a.node.pinned)
	}
	return cmp.Or(cmp.Compare(a.leftover, b.leftover), cmp.Compare(b.tasks, a.tasks))
}

func (s *State) eligible(u *unit, n *node, now time.Time) bool {
	return n.schedulable() && n.Service == u.job.Service && n.hasLabel(u.spec().Label) && !now.Before(u.avoidUntil[n.ID]) &&
		(n.isolatedFor == nil || n.isolatedFor == u)
}

// fill assigns a unit's tasks to candidates in order, or returns nil if there are too few.
func fill(u *unit, list []candidate) []*node {
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
	u.setPhase(preempting)
	u.placement = placement
	u.preemptingSince = now
	s.preempting = append(s.preempting, u)
	for _, n := range placement {
		n.held = n.held.Plus(u.spec().Each)
		s.capacityChanged(n)
	}
}

func (s *State) releasePlacement(u *unit) {
	for _, n := range u.placement {
		n.held = n.held.Minus(u.spec().Each)
		s.capacityChanged(n)
	}
	u.placement = nil
	s.preempting = slices.DeleteFunc(s.preempting, func(other *unit) bool { return other == u })
	s.requestPass()
}
