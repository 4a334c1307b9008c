package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// grant is a way to give a job a guaranteed shape.
type grant struct {
	entry *entry
	// moved is the entry's new place, if it has to move.
	moved []*node
	// place and slots are the node and the shape's task for each task of the job.
	place []*node
	slots []int
	// deficit is what has to be reclaimed, in accelerators.
	deficit float64
	// spare is what the job leaves unused of the shape, in accelerators.
	spare float64
}

func (g *grant) better(o *grant) bool {
	if g.deficit != o.deficit {
		return g.deficit < o.deficit
	}
	return g.spare < o.spare
}

// grantOf returns how the job could use the entry, or nil.
func (s *State) grantOf(e *entry, j *Job, now time.Time) *grant {
	if e.users > 0 {
		return s.grantIn(e, e.place, e.free, j, now)
	}
	allowed := func(n *node) bool { return n.open() && !j.avoids(n, now) && s.matches(j, n) }
	old := e.place
	e.clear()
	moved := s.find(s.reclaimSearch(e, allowed))
	if old != nil {
		e.set(old)
	}
	if moved != nil {
		g := s.grantIn(e, moved, nil, j, now)
		if g != nil {
			g.moved = moved
		}
		return g
	}
	if old == nil {
		return nil
	}
	return s.grantIn(e, old, e.free, j, now)
}

// reclaimSearch looks for a place of an unused shape where the least has to be reclaimed.
func (s *State) reclaimSearch(e *entry, allowed func(n *node) bool) search {
	const reclaimCost = 100.0
	w := s.entrySearch(e, allowed)
	w.cost = func(n *node, tasks int) float64 {
		need := e.shape.Each.Times(tasks)
		return reclaimCost*deficitOf(n, need) + leftoverCost(n.free(), n.Total, need) + s.rackCost(n, need) + n.blameCost()
	}
	return w
}

// deficitOf returns by how much a node's free resources fall short, in accelerators or their equivalent.
func deficitOf(n *node, need ids.Resources) float64 {
	missing := need.Minus(n.free())
	return max(0, float64(missing.Accelerators), dominant(ids.Resources{Cores: missing.Cores}), float64(missing.Memory)/float64(max(1, n.Total.Memory)))
}

// grantIn assigns the job's tasks to what is left of a shape at a place; nil free means all of it.
func (s *State) grantIn(e *entry, place []*node, free []ids.Resources, j *Job, now time.Time) *grant {
	g := &grant{entry: e}
	need := j.Shape.Tasks
	for i, n := range place {
		left := e.shape.Each
		if free != nil {
			left = free[i]
		}
		if !n.open() || j.avoids(n, now) || !s.matches(j, n) {
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
	if need > 0 || !adjacent(g.place, j.Shape.Adjacent) {
		return nil
	}
	for n, k := range tasksByNode(g.place) {
		g.deficit += deficitOf(n, j.Shape.Each.Times(k))
	}
	return g
}

func adjacent(place []*node, a ids.Adjacency) bool {
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

// allocateOwed gives a job its guaranteed place and stops the borrowers that stand there.
func (s *State) allocateOwed(j *Job, g *grant, now time.Time) {
	j.entry = g.entry
	j.entry.users++
	j.slots = g.slots
	j.Each = j.Shape.Each
	j.Place = nodeIDs(g.place)
	s.placed[j.ID] = j
	s.room.forget()
	for i, slot := range g.slots {
		g.entry.free[slot] = g.entry.free[slot].Minus(j.Each)
		n := g.place[i]
		n.used = n.used.Plus(j.Each)
		n.owed = n.owed.Plus(j.Each)
		n.jobs[j.ID] = j
	}
	j.waitFor = make(map[ids.JobID]bool)
	j.phase = allocated
	s.reclaim(j, tasksByNode(g.place), now)
	s.startIfFree(j, now)
}

// reclaim stops borrowers until the job's nodes are not overcommitted, counting what is being stopped already.
func (s *State) reclaim(j *Job, place map[*node]int, now time.Time) {
	short := make(map[*node]ids.Resources)
	for n := range place {
		for _, other := range sortedJobs(n.jobs) {
			if other.phase == stopping {
				j.waitFor[other.ID] = true
			}
		}
		if missing := s.shortage(n); missing != (ids.Resources{}) {
			short[n] = missing
		}
	}
	if len(short) == 0 {
		s.pruneWaits(j, place)
		return
	}
	for _, victim := range s.victims(short, now) {
		j.waitFor[victim.ID] = true
		s.notice(Notice{Kind: NoticeReclaimed, Job: victim.ID, Account: victim.Account, Cause: "for job " + string(j.ID) + " of " + string(j.Account) + " under " + placedCause(j)})
		s.stop(victim, caller.Queued, "reclaimed for "+string(j.Account), s.config.Policy.CheckpointGrace, now)
	}
}

// pruneWaits drops the waits on nodes that have room even while others are being stopped there.
func (s *State) pruneWaits(j *Job, place map[*node]int) {
	for n := range place {
		if !n.Total.Fits(n.used) {
			return
		}
	}
	clear(j.waitFor)
}

// shortage returns by how much a node stays overcommitted once all stops under way have ended.
func (s *State) shortage(n *node) ids.Resources {
	left := n.free()
	for _, other := range n.jobs {
		if other.phase == stopping {
			left = left.Plus(other.Each.Times(other.tasksOn(n.ID)))
		}
	}
	return ids.Resources{}.Minus(left).NotBelowZero()
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

// victims chooses the borrowers to stop: those that free the most of the shortage for the least work lost.
func (s *State) victims(short map[*node]ids.Resources, now time.Time) []*Job {
	var chosen []*Job
	taken := make(map[ids.JobID]bool)
	for len(short) > 0 {
		var best *Job
		bestRate := 0.0
		for _, j := range borrowersOn(short) {
			if taken[j.ID] {
				continue
			}
			if rate := relief(short, j) / (s.stopCost(j, now) + 1); best == nil || rate > bestRate {
				best, bestRate = j, rate
			}
		}
		if best == nil {
			break
		}
		chosen = append(chosen, best)
		taken[best.ID] = true
		relieve(short, best)
	}
	return chosen
}

// relief returns how much of the shortage the stop of a job ends, in accelerators.
func relief(short map[*node]ids.Resources, j *Job) float64 {
	// A shortage of memory alone counts a little, so that it finds a victim too.
	sum := 0.001
	for n, missing := range short {
		sum += dominant(atMost(j.Each.Times(j.tasksOn(n.ID)), missing))
	}
	return sum
}

func borrowersOn(short map[*node]ids.Resources) []*Job {
	found := make(map[ids.JobID]*Job)
	for n := range short {
		for id, j := range n.jobs {
			if j.stoppable() {
				found[id] = j
			}
		}
	}
	return sortedJobs(found)
}

func relieve(short map[*node]ids.Resources, j *Job) {
	for n, missing := range short {
		left := missing.Minus(j.Each.Times(j.tasksOn(n.ID))).NotBelowZero()
		if left == (ids.Resources{}) {
			delete(short, n)
			continue
		}
		short[n] = left
	}
}

// stopCost estimates what stopping a borrower costs: its size, and the work since its last checkpoint.
func (s *State) stopCost(j *Job, now time.Time) float64 {
	size := dominant(j.Each.Times(len(j.Place)))
	return size * (1 + now.Sub(j.Started).Hours())
}
