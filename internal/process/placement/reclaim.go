package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// grant is a feasible assignment of a job to a guaranteed shape.
type grant struct {
	entitlement *entitlement
	// newPlace holds the nodes to which the entitlement moves; nil if it doesn't move.
	newPlace []*node
	// place and slots hold, for each task of the job, its node and the index of the shape's task that it uses.
	place []*node
	slots []int
	// deficit is the amount to reclaim, in accelerators.
	deficit float64
	// spare is the part of the shape that the job leaves unused, in accelerators.
	spare float64
}

// better reports whether g reclaims less than o or, if equal, leaves less of its shape unused.
func (g *grant) better(o *grant) bool {
	if g.deficit != o.deficit {
		return g.deficit < o.deficit
	}
	return g.spare < o.spare
}

// findGrant returns an assignment of the job to the entitlement, or nil. An unused entitlement may move to other nodes.
func (s *State) findGrant(e *entitlement, j *Job, now time.Time) *grant {
	if e.userCount > 0 {
		return s.grantAt(e, e.place, e.free, j, now)
	}
	allowed := func(n *node) bool { return n.isSchedulable() && !j.avoids(n, now) && s.selectorsMatch(j, n) }
	old := e.place
	e.unassign()
	moved := s.find(s.reclaimSearch(e, allowed))
	if old != nil {
		e.assign(old)
	}
	if moved != nil {
		g := s.grantAt(e, moved, nil, j, now)
		if g != nil {
			g.newPlace = moved
		}
		return g
	}
	if old == nil {
		return nil
	}
	return s.grantAt(e, old, e.free, j, now)
}

// reclaimSearch returns a search for those nodes for an unused shape where the least has to be reclaimed.
func (s *State) reclaimSearch(e *entitlement, allowed func(n *node) bool) search {
	const reclaimCostPerAccelerator = 100.0
	w := s.entitlementSearch(e, allowed)
	w.cost = func(n *node, tasks int) float64 {
		need := e.shape.Each.Times(tasks)
		return reclaimCostPerAccelerator*deficitOf(n, need) + leftoverCost(n.free(), n.Total, need) + s.rackFragmentationCost(n, need) + n.failureCost()
	}
	return w
}

// deficitOf returns the largest shortfall of a node's free resources, in accelerators. Missing cores are converted to
// accelerators; missing memory counts as its share of the node's memory.
func deficitOf(n *node, need ids.Resources) float64 {
	missing := need.Minus(n.free())
	return max(0, float64(missing.Accelerators), dominantAccelerators(ids.Resources{Cores: missing.Cores}), float64(missing.Memory)/float64(max(1, n.Total.Memory)))
}

// grantAt assigns the job's tasks to the unused part of a shape on the given nodes. If free is nil, the whole shape is
// unused.
func (s *State) grantAt(e *entitlement, place []*node, free []ids.Resources, j *Job, now time.Time) *grant {
	g := &grant{entitlement: e}
	need := j.Shape.Tasks
	for i, n := range place {
		left := e.shape.Each
		if free != nil {
			left = free[i]
		}
		if !n.isSchedulable() || j.avoids(n, now) || !s.selectorsMatch(j, n) {
			continue
		}
		copies := left.Copies(j.Shape.Each, need)
		for range copies {
			g.place = append(g.place, n)
			g.slots = append(g.slots, i)
		}
		need -= copies
		g.spare += float64(left.Accelerators) - float64(j.Shape.Each.Accelerators)*float64(copies)
	}
	if need > 0 || !satisfiesAdjacency(g.place, j.Shape.Adjacent) {
		return nil
	}
	for n, k := range tasksByNode(g.place) {
		g.deficit += deficitOf(n, j.Shape.Each.Times(k))
	}
	return g
}

// satisfiesAdjacency reports whether the nodes satisfy an adjacency.
func satisfiesAdjacency(place []*node, a ids.Adjacency) bool {
	for _, n := range place {
		if (a == ids.SameRack && n.rack != place[0].rack) || (a == ids.SameInstance && n != place[0]) {
			return false
		}
	}
	return true
}

func tasksByNode(place []*node) map[*node]int {
	count := make(map[*node]int)
	for _, n := range place {
		count[n]++
	}
	return count
}

// allocateGuaranteed assigns the nodes of a grant to a job and preempts borrowers there as needed.
func (s *State) allocateGuaranteed(j *Job, g *grant, now time.Time) {
	j.entitlement = g.entitlement
	j.entitlement.userCount++
	j.slots = g.slots
	j.Each = j.Shape.Each
	j.Place = nodeIDs(g.place)
	s.placed[j.ID] = j
	s.capacityBound.invalidate()
	for i, slot := range g.slots {
		g.entitlement.free[slot] = g.entitlement.free[slot].Minus(j.Each)
		n := g.place[i]
		n.used = n.used.Plus(j.Each)
		n.guaranteedUsed = n.guaranteedUsed.Plus(j.Each)
		n.jobs[j.ID] = j
	}
	j.awaitedStops = make(map[ids.JobID]bool)
	j.phase = allocated
	s.reclaim(j, tasksByNode(g.place), now)
	s.startIfReady(j, now)
}

// reclaim preempts borrowers until the job's nodes are no longer overcommitted. Jobs already being stopped count as free.
func (s *State) reclaim(j *Job, place map[*node]int, now time.Time) {
	shortages := make(map[*node]ids.Resources)
	for n := range place {
		for _, other := range sortedJobs(n.jobs) {
			if other.phase == stopping {
				j.awaitedStops[other.ID] = true
			}
		}
		if missing := s.shortage(n); missing != (ids.Resources{}) {
			shortages[n] = missing
		}
	}
	if len(shortages) == 0 {
		s.pruneAwaitedStops(j, place)
		return
	}
	for _, victim := range s.victims(shortages, now) {
		j.awaitedStops[victim.ID] = true
		s.notice(Notice{Kind: NoticeReclaimed, Job: victim.ID, Account: victim.Account, Cause: "for job " + string(j.ID) + " of " + string(j.Account) + " under " + placedCause(j)})
		s.stop(victim, caller.Queued, "reclaimed for "+string(j.Account), s.config.Policy.CheckpointGrace, now)
	}
}

// pruneAwaitedStops clears the awaited stops if all nodes have room even while other jobs are being stopped there.
func (s *State) pruneAwaitedStops(j *Job, place map[*node]int) {
	for n := range place {
		if !n.Total.Contains(n.used) {
			return
		}
	}
	clear(j.awaitedStops)
}

// shortage returns by how much a node remains overcommitted once all stops in flight have completed.
func (s *State) shortage(n *node) ids.Resources {
	left := n.free()
	for _, other := range n.jobs {
		if other.phase == stopping {
			left = left.Plus(other.Each.Times(other.tasksOn(n.ID)))
		}
	}
	return ids.Resources{}.Minus(left).ClampToZero()
}

func (j *Job) tasksOn(id ids.InstanceID) int {
	count := 0
	for _, other := range j.Place {
		if other == id {
			count++
		}
	}
	return count
}

// victims chooses the borrowers to preempt: those that free the most of the shortage for the least lost work.
func (s *State) victims(shortages map[*node]ids.Resources, now time.Time) []*Job {
	var chosen []*Job
	taken := make(map[ids.JobID]bool)
	for len(shortages) > 0 {
		var best *Job
		bestRate := 0.0
		for _, j := range borrowersOn(shortages) {
			if taken[j.ID] {
				continue
			}
			if rate := shortageFreed(shortages, j) / (s.preemptionCost(j, now) + 1); best == nil || rate > bestRate {
				best, bestRate = j, rate
			}
		}
		if best == nil {
			break
		}
		chosen = append(chosen, best)
		taken[best.ID] = true
		subtractFreed(shortages, best)
	}
	return chosen
}

// shortageFreed returns how much of the shortage a job's preemption frees, in accelerators.
func shortageFreed(shortages map[*node]ids.Resources, j *Job) float64 {
	// The sum starts above zero so that a shortage of memory alone also finds a victim.
	sum := 0.001
	for n, missing := range shortages {
		sum += dominantAccelerators(minResources(j.Each.Times(j.tasksOn(n.ID)), missing))
	}
	return sum
}

// borrowersOn returns the preemptible jobs on the nodes that are short of resources.
func borrowersOn(shortages map[*node]ids.Resources) []*Job {
	found := make(map[ids.JobID]*Job)
	for n := range shortages {
		for id, j := range n.jobs {
			if j.preemptible() {
				found[id] = j
			}
		}
	}
	return sortedJobs(found)
}

// subtractFreed subtracts the resources that a job's preemption frees from the shortages.
func subtractFreed(shortages map[*node]ids.Resources, j *Job) {
	for n, missing := range shortages {
		left := missing.Minus(j.Each.Times(j.tasksOn(n.ID))).ClampToZero()
		if left == (ids.Resources{}) {
			delete(shortages, n)
			continue
		}
		shortages[n] = left
	}
}

// preemptionCost estimates the cost of preempting a borrower from its size and its run time, which bounds the work since
// its last checkpoint.
func (s *State) preemptionCost(j *Job, now time.Time) float64 {
	size := dominantAccelerators(j.Each.Times(len(j.Place)))
	return size * (1 + now.Sub(j.Started).Hours())
}
