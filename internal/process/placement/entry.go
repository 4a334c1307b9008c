package placement

import (
	"fmt"
	"sort"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// entry is one guaranteed shape with its place. All entries together are the reclaim witness: since the places
// of all entries and the borrowers that can't be stopped fit into the instances side by side, every unused
// shape can be had by stopping other borrowers.
type entry struct {
	guarantee config.Guarantee
	number    int
	shape     ids.Shape
	// place is the node of each task of the shape; nil if nothing holds the shape.
	place []*node
	// free is what jobs of the account have left of each task.
	free  []ids.Resources
	users int
	// atRisk tells that the operators know that the shape has no place.
	atRisk bool
}

func (e *entry) key() string {
	return fmt.Sprintf("%s/%d", e.guarantee.Name, e.number)
}

// rebuildEntries makes the entries anew from the configuration and keeps the places of those that remain.
func (s *State) rebuildEntries() {
	known := make(map[string]*entry)
	for _, e := range s.entries {
		known[e.key()] = e
	}
	s.entries = nil
	for _, g := range s.config.Guarantees {
		if g.DataCentre != s.DataCentre || s.Policy.NoGuarantees {
			continue
		}
		shape := s.fullShape(g)
		for number := range g.Count {
			e := &entry{guarantee: g, number: number, shape: shape}
			if old := known[e.key()]; old != nil && old.guarantee.Shape == g.Shape && old.guarantee.Account == g.Account {
				if old.users == 0 && old.shape != shape {
					old.clear()
					old.shape = shape
				}
				old.guarantee = g
				e = old
				delete(known, e.key())
			}
			s.entries = append(s.entries, e)
		}
	}
	for _, old := range sortedEntries(known) {
		s.dropEntry(old)
	}
	s.recount()
	s.repairEntries()
}

func sortedEntries(byKey map[string]*entry) []*entry {
	all := make([]*entry, 0, len(byKey))
	for _, e := range byKey {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key() < all[j].key() })
	return all
}

// dropEntry turns the jobs of a guarantee that is no more into borrowers. Those that still wait for their place
// lose it.
func (s *State) dropEntry(e *entry) {
	for _, j := range sortedJobs(s.placed) {
		if j.entry != e {
			continue
		}
		if j.phase == allocated {
			s.release(j)
			s.requeue(j, "its guarantee "+e.guarantee.Name+" was taken away")
			continue
		}
		j.entry = nil
		j.slots = nil
	}
}

// fullShape gives a guaranteed shape that names no cores or memory the part of an instance
// that belongs to its accelerators.
func (s *State) fullShape(g config.Guarantee) ids.Shape {
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

// recount derives what is reserved and fixed on each node from the entries and the jobs.
func (s *State) recount() {
	for _, n := range s.nodes {
		n.reserved, n.owed, n.fixed = ids.Resources{}, ids.Resources{}, ids.Resources{}
	}
	for _, e := range s.entries {
		for _, n := range e.place {
			n.reserved = n.reserved.Plus(e.shape.Each)
		}
	}
	for _, j := range s.placed {
		for _, id := range j.Place {
			switch n := s.nodes[id]; {
			case n == nil:
			case j.entry != nil:
				n.owed = n.owed.Plus(j.Each)
			case j.isFixed():
				n.fixed = n.fixed.Plus(j.Each)
			}
		}
	}
}

// isFixed reports whether the job holds a place outside the guarantees and can't be stopped.
func (j *Job) isFixed() bool {
	return j.entry == nil && !j.Idempotent && len(j.Place) > 0
}

// clear takes an entry's place away.
func (e *entry) clear() {
	for _, n := range e.place {
		n.reserved = n.reserved.Minus(e.shape.Each)
	}
	e.place, e.free = nil, nil
}

// set gives an entry a place; nobody uses it yet.
func (e *entry) set(place []*node) {
	e.place = place
	e.free = make([]ids.Resources, len(place))
	for i, n := range place {
		n.reserved = n.reserved.Plus(e.shape.Each)
		e.free[i] = e.shape.Each
	}
}

// intact reports whether all nodes of the entry's place are usable and still large enough.
func (s *State) intact(e *entry) bool {
	if e.place == nil {
		return false
	}
	selector := s.account(e.guarantee.Account).Selector
	for _, n := range e.place {
		if s.nodes[n.ID] != n || n.down || n.quarantined() || (n.Leaving && e.users == 0) || (selector != nil && !selector.Matches(n.Labels) && e.users == 0) {
			return false
		}
		left := n.guaranteed()
		if left.Accelerators < 0 || left.Cores < 0 || left.Memory < 0 {
			return false
		}
	}
	return true
}

// repairEntries gives a place to each entry that has none or whose nodes were lost. If the missing shapes
// don't fit beside the others, all unused shapes are packed anew, the largest first.
func (s *State) repairEntries() {
	missing := false
	for _, e := range s.entries {
		if e.place != nil && e.users == 0 && !s.intact(e) {
			e.clear()
		}
		switch {
		case e.users > 0:
			s.repairTasks(e)
		case e.place != nil:
		case s.placeEntry(e, nil):
			s.grow()
		default:
			missing = true
		}
	}
	if missing {
		s.repack()
	}
	s.reportEntries()
}

// repairTasks moves the unused tasks of a shape in use away from nodes that were lost.
func (s *State) repairTasks(e *entry) {
	for i, n := range e.place {
		if !n.down || e.free[i] != e.shape.Each || e.shape.Adjacent == ids.SameInstance {
			continue
		}
		w := s.entrySearch(e, func(other *node) bool {
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

// placeEntry packs one entry beside the others. extra, if any, restricts the nodes further.
func (s *State) placeEntry(e *entry, extra func(n *node) bool) bool {
	place := s.find(s.entrySearch(e, extra))
	if place == nil {
		return false
	}
	e.set(place)
	return true
}

func (s *State) entrySearch(e *entry, extra func(n *node) bool) search {
	selector := s.account(e.guarantee.Account).Selector
	return search{
		tasks: e.shape.Tasks, each: e.shape.Each, adjacent: e.shape.Adjacent,
		room: func(n *node) ids.Resources {
			if n.down || n.Leaving || n.quarantined() || (selector != nil && !selector.Matches(n.Labels)) {
				return ids.Resources{}
			}
			if extra != nil && !extra(n) {
				return ids.Resources{}
			}
			return n.guaranteed()
		},
		cost: func(n *node, tasks int) float64 {
			return leftoverCost(n.guaranteed(), n.Total, e.shape.Each.Times(tasks))
		},
	}
}

// repack packs all unused entries anew, the largest first, and keeps the old places if that doesn't help.
func (s *State) repack() {
	old := make(map[*entry][]*node)
	var unused []*entry
	before := 0
	for _, e := range s.entries {
		if e.users > 0 {
			continue
		}
		if e.place == nil {
			before++
		}
		old[e] = e.place
		e.clear()
		unused = append(unused, e)
	}
	sort.SliceStable(unused, func(i, j int) bool { return larger(unused[i].shape, unused[j].shape) })
	after := 0
	for _, e := range unused {
		if !s.placeEntry(e, nil) {
			after++
		}
	}
	if after < before {
		s.grow()
		return
	}
	for _, e := range unused {
		e.clear()
	}
	for _, e := range unused {
		if old[e] != nil {
			e.set(old[e])
		}
	}
}

func larger(a, b ids.Shape) bool {
	if rank(a.Adjacent) != rank(b.Adjacent) {
		return rank(a.Adjacent) > rank(b.Adjacent)
	}
	if a.Each.Accelerators != b.Each.Accelerators {
		return a.Each.Accelerators > b.Each.Accelerators
	}
	return a.Total().Accelerators > b.Total().Accelerators
}

func rank(a ids.Adjacency) int {
	switch a {
	case ids.SameRack:
		return 2
	case ids.SameInstance:
		return 1
	}
	return 0
}

// reportEntries tells the operators of shapes that lost or regained their place.
func (s *State) reportEntries() {
	s.broken = 0
	for _, e := range s.entries {
		held := s.intact(e)
		if !held {
			s.broken++
		}
		if held != e.atRisk {
			continue
		}
		e.atRisk = !held
		n := Notice{Kind: NoticeGuaranteeRestored, Account: e.guarantee.Account, Cause: e.guarantee.Name + " has a place for " + e.shape.String() + " again"}
		if e.atRisk {
			n.Kind = NoticeGuaranteeAtRisk
			n.Cause = e.guarantee.Name + " has no place for " + e.shape.String() + ": " + s.blocker(e)
		}
		s.notice(n)
	}
}

// blocker says what keeps a shape from having a place.
func (s *State) blocker(e *entry) string {
	free, fixed := 0, 0
	for _, n := range s.nodes {
		if n.down || n.Leaving {
			continue
		}
		free += int(n.guaranteed().Accelerators)
		fixed += int(n.fixed.Accelerators)
	}
	return fmt.Sprintf("%d accelerators of live instances are left beside the other guarantees, %d are held by work that can't be stopped", free, fixed)
}
