package placement

import (
	"fmt"
	"sort"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// entitlement is one guaranteed shape and the nodes reserved for it. All entitlements together are the reclaim
// witness: because their reserved nodes and the non-preemptible borrowers fit into the instances at the same time, every
// unused shape can be made available by preempting other borrowers.
type entitlement struct {
	guarantee config.Guarantee
	number    int
	shape     ids.Shape
	// place holds the node reserved for each task of the shape; nil if the shape is unplaced.
	place []*node
	// free holds the unused part of each task's resources.
	free []ids.Resources
	// userCount is the number of jobs that use the shape.
	userCount int
	// atRisk reports whether the operators were notified that the shape is unplaced.
	atRisk bool
}

func (e *entitlement) key() string {
	return fmt.Sprintf("%s/%d", e.guarantee.Name, e.number)
}

// rebuildEntitlements rebuilds the entitlements from the configuration. Those that remain keep their nodes.
func (s *State) rebuildEntitlements() {
	known := make(map[string]*entitlement)
	for _, e := range s.entitlements {
		known[e.key()] = e
	}
	s.entitlements = nil
	for _, g := range s.config.Guarantees {
		if g.DataCentre != s.DataCentre || s.Policy.NoGuarantees {
			continue
		}
		shape := s.shapeWithDefaults(g)
		for number := range g.Count {
			e := &entitlement{guarantee: g, number: number, shape: shape}
			if old := known[e.key()]; old != nil && old.guarantee.Shape == g.Shape && old.guarantee.Account == g.Account {
				if old.userCount == 0 && old.shape != shape {
					old.unassign()
					old.shape = shape
				}
				old.guarantee = g
				e = old
				delete(known, e.key())
			}
			s.entitlements = append(s.entitlements, e)
		}
	}
	for _, old := range sortedEntitlements(known) {
		s.dropEntitlement(old)
	}
	s.recountNodes()
	s.repairEntitlements()
}

func sortedEntitlements(byKey map[string]*entitlement) []*entitlement {
	all := make([]*entitlement, 0, len(byKey))
	for _, e := range byKey {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key() < all[j].key() })
	return all
}

// dropEntitlement turns the running jobs of a removed guarantee into borrowers. Jobs that still wait for their nodes
// are requeued.
func (s *State) dropEntitlement(e *entitlement) {
	for _, j := range sortedJobs(s.placed) {
		if j.entitlement != e {
			continue
		}
		if j.phase == allocated {
			s.release(j)
			s.requeue(j, "its guarantee "+e.guarantee.Name+" was removed")
			continue
		}
		j.entitlement = nil
		j.slots = nil
	}
}

// shapeWithDefaults returns a guarantee's shape. Unset cores and memory default to an instance's cores and memory in
// proportion to the shape's accelerators; the smallest value among the matching instances applies.
func (s *State) shapeWithDefaults(g config.Guarantee) ids.Shape {
	shape := g.Shape
	if shape.Each.Accelerators == 0 || (shape.Each.Cores > 0 && shape.Each.Memory > 0) {
		return shape
	}
	selector := s.account(g.Account).Selector
	var cores ids.MilliCores
	var memory ids.MebiBytes
	for _, n := range s.nodes {
		if n.Total.Accelerators < shape.Each.Accelerators || (selector != nil && !selector.Matches(n.Labels)) {
			continue
		}
		c := n.Total.Cores * ids.MilliCores(shape.Each.Accelerators) / ids.MilliCores(n.Total.Accelerators)
		m := n.Total.Memory * ids.MebiBytes(shape.Each.Accelerators) / ids.MebiBytes(n.Total.Accelerators)
		if cores == 0 || c < cores {
			cores = c
		}
		if memory == 0 || m < memory {
			memory = m
		}
	}
	if shape.Each.Cores == 0 {
		shape.Each.Cores = cores
	}
	if shape.Each.Memory == 0 {
		shape.Each.Memory = memory
	}
	return shape
}

// recountNodes recomputes each node's reserved, guaranteedUsed and nonPreemptible sums from the entitlements and jobs.
func (s *State) recountNodes() {
	for _, n := range s.nodes {
		n.reserved, n.guaranteedUsed, n.nonPreemptible = ids.Resources{}, ids.Resources{}, ids.Resources{}
	}
	for _, e := range s.entitlements {
		for _, n := range e.place {
			n.reserved = n.reserved.Plus(e.shape.Each)
		}
	}
	for _, j := range s.placed {
		for _, id := range j.Place {
			switch n := s.nodes[id]; {
			case n == nil:
			case j.entitlement != nil:
				n.guaranteedUsed = n.guaranteedUsed.Plus(j.Each)
			case j.isNonPreemptibleBorrower():
				n.nonPreemptible = n.nonPreemptible.Plus(j.Each)
			}
		}
	}
}

// isNonPreemptibleBorrower reports whether the job holds nodes outside the guarantees and must not be preempted.
func (j *Job) isNonPreemptibleBorrower() bool {
	return j.entitlement == nil && !j.Idempotent && len(j.Place) > 0
}

// unassign releases the entitlement's reserved nodes.
func (e *entitlement) unassign() {
	for _, n := range e.place {
		n.reserved = n.reserved.Minus(e.shape.Each)
	}
	e.place, e.free = nil, nil
}

// assign reserves nodes for an entitlement that no job uses yet.
func (e *entitlement) assign(place []*node) {
	e.place = place
	e.free = make([]ids.Resources, len(place))
	for i, n := range place {
		n.reserved = n.reserved.Plus(e.shape.Each)
		e.free[i] = e.shape.Each
	}
}

// isIntact reports whether all nodes reserved for the entitlement are usable and still large enough.
func (s *State) isIntact(e *entitlement) bool {
	if e.place == nil {
		return false
	}
	selector := s.account(e.guarantee.Account).Selector
	for _, n := range e.place {
		if s.nodes[n.ID] != n || n.down || n.quarantined() || (n.leaves() && e.userCount == 0) || (selector != nil && !selector.Matches(n.Labels) && e.userCount == 0) {
			return false
		}
		left := n.uncommitted()
		if left.Accelerators < 0 || left.Cores < 0 || left.Memory < 0 {
			return false
		}
	}
	return true
}

// repairEntitlements places each entitlement that is unplaced or whose nodes were lost. If some don't fit beside the
// others, all unused ones are repacked, largest first.
func (s *State) repairEntitlements() {
	anyUnplaced := false
	for _, e := range s.entitlements {
		if e.place != nil && e.userCount == 0 && !s.isIntact(e) {
			e.unassign()
		}
		switch {
		case e.userCount > 0:
			s.repairTasks(e)
		case e.place != nil:
		case s.placeEntitlement(e, nil):
			s.capacityGrew()
		default:
			anyUnplaced = true
		}
	}
	if anyUnplaced {
		s.repack()
	}
	s.reportEntitlements()
}

// repairTasks moves the unused tasks of a shape in use from lost nodes to other nodes.
func (s *State) repairTasks(e *entitlement) {
	for i, n := range e.place {
		if !n.down || e.free[i] != e.shape.Each || e.shape.Adjacent == ids.SameInstance {
			continue
		}
		w := s.entitlementSearch(e, func(other *node) bool {
			return e.shape.Adjacent != ids.SameRack || other.rack == n.rack
		})
		w.tasks = 1
		if place := s.find(w); place != nil {
			n.reserved = n.reserved.Minus(e.shape.Each)
			e.place[i] = place[0]
			place[0].reserved = place[0].reserved.Plus(e.shape.Each)
		}
	}
}

// placeEntitlement reserves nodes for one entitlement beside the others. If allowed is not nil, it uses only nodes for
// which allowed returns true.
func (s *State) placeEntitlement(e *entitlement, allowed func(n *node) bool) bool {
	place := s.find(s.entitlementSearch(e, allowed))
	if place == nil {
		return false
	}
	e.assign(place)
	return true
}

func (s *State) entitlementSearch(e *entitlement, allowed func(n *node) bool) search {
	selector := s.account(e.guarantee.Account).Selector
	return search{
		tasks: e.shape.Tasks, each: e.shape.Each, adjacent: e.shape.Adjacent,
		available: func(n *node) ids.Resources {
			if n.down || n.leaves() || n.quarantined() || (selector != nil && !selector.Matches(n.Labels)) {
				return ids.Resources{}
			}
			if allowed != nil && !allowed(n) {
				return ids.Resources{}
			}
			return n.uncommitted()
		},
		cost: func(n *node, tasks int) float64 {
			return leftoverCost(n.uncommitted(), n.Total, e.shape.Each.Times(tasks))
		},
	}
}

// repack places all unused entitlements again, largest first. It restores the old nodes if that doesn't reduce the
// number of unplaced shapes.
func (s *State) repack() {
	old := make(map[*entitlement][]*node)
	var unused []*entitlement
	before := 0
	for _, e := range s.entitlements {
		if e.userCount > 0 {
			continue
		}
		if e.place == nil {
			before++
		}
		old[e] = e.place
		e.unassign()
		unused = append(unused, e)
	}
	sort.SliceStable(unused, func(i, j int) bool { return packsBefore(unused[i].shape, unused[j].shape) })
	after := 0
	for _, e := range unused {
		if !s.placeEntitlement(e, nil) {
			after++
		}
	}
	if after < before {
		s.capacityGrew()
		return
	}
	for _, e := range unused {
		e.unassign()
	}
	for _, e := range unused {
		if old[e] != nil {
			e.assign(old[e])
		}
	}
}

// packsBefore reports whether shape a is harder to place than b and is therefore placed first.
func packsBefore(a, b ids.Shape) bool {
	if adjacencyRank(a.Adjacent) != adjacencyRank(b.Adjacent) {
		return adjacencyRank(a.Adjacent) > adjacencyRank(b.Adjacent)
	}
	if a.Each.Accelerators != b.Each.Accelerators {
		return a.Each.Accelerators > b.Each.Accelerators
	}
	return a.Total().Accelerators > b.Total().Accelerators
}

func adjacencyRank(a ids.Adjacency) int {
	switch a {
	case ids.SameRack:
		return 2
	case ids.SameInstance:
		return 1
	}
	return 0
}

// reportEntitlements notifies the operators of shapes that became unplaced or were placed again.
func (s *State) reportEntitlements() {
	s.unplacedCount = 0
	for _, e := range s.entitlements {
		intact := s.isIntact(e)
		if !intact {
			s.unplacedCount++
		}
		if intact != e.atRisk {
			continue
		}
		e.atRisk = !intact
		n := Notice{Kind: NoticeGuaranteeRestored, Account: e.guarantee.Account, Cause: e.guarantee.Name + " has nodes for " + e.shape.String() + " again"}
		if e.atRisk {
			n.Kind = NoticeGuaranteeAtRisk
			n.Cause = e.guarantee.Name + " has no nodes for " + e.shape.String() + ": " + s.unplacedReason(e)
		}
		s.notice(n)
	}
}

// unplacedReason describes the capacity that is left for an unplaced shape.
func (s *State) unplacedReason(e *entitlement) string {
	if s.evacuated {
		return evacuatedReason
	}
	free, nonPreemptible := 0, 0
	for _, n := range s.nodes {
		if n.down || n.leaves() {
			continue
		}
		free += int(n.uncommitted().Accelerators)
		nonPreemptible += int(n.nonPreemptible.Accelerators)
	}
	return fmt.Sprintf("%d accelerators of live instances are left beside the other guarantees, %d are held by non-preemptible jobs", free, nonPreemptible)
}
