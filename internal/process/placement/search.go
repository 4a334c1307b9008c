package placement

import (
	"sort"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// search describes a search for nodes that can hold the tasks of a gang.
	search struct {
		tasks    int
		each     ids.Resources
		adjacent ids.Adjacency
		// available returns the usable resources of a node; nodes that can't hold a task are skipped.
		available func(n *node) ids.Resources
		// cost returns the cost of placing a number of tasks on a node; lower is better.
		cost func(n *node, tasks int) float64
		// rackLimit returns the maximum number of tasks on the nodes of one rack; nil sets no limit.
		rackLimit func(r *rack) int
		// firstFit chooses the first nodes that fit, regardless of cost.
		firstFit bool
	}

	// candidate is a node with the number of tasks that it can hold or is assigned.
	candidate struct {
		node  *node
		tasks int
		cost  float64
	}
)

// find returns the node of each task, or nil if the gang doesn't fit. It prefers a single rack even where a gang may span
// several.
func (s *State) find(w search) []*node {
	var best []candidate
	bestCost := 0.0
	var all []candidate
	for _, r := range s.racks {
		candidates := w.limitTasks(r, w.candidates(r.nodes))
		if w.adjacent == ids.AnyRack {
			all = append(all, candidates...)
		}
		found, cost := w.withinRack(candidates)
		if found == nil || (best != nil && (w.firstFit || cost >= bestCost)) {
			continue
		}
		best, bestCost = found, cost
		if w.firstFit {
			break
		}
	}
	if best == nil && w.adjacent == ids.AnyRack {
		best = w.acrossRacks(all)
	}
	return w.nodePerTask(best)
}

func (w *search) candidates(nodes []*node) []candidate {
	var candidates []candidate
	for _, n := range nodes {
		copies := w.available(n).Copies(w.each, w.tasks)
		if copies > 0 {
			candidates = append(candidates, candidate{node: n, tasks: copies})
		}
	}
	return candidates
}

// limitTasks drops the most expensive tasks of a rack's candidates beyond the rack's limit.
func (w *search) limitTasks(r *rack, candidates []candidate) []candidate {
	if w.rackLimit == nil {
		return candidates
	}
	left := w.rackLimit(r)
	if left >= w.tasks {
		return candidates
	}
	w.sortByCost(candidates)
	var kept []candidate
	for _, o := range candidates {
		if o.tasks = min(o.tasks, left); o.tasks > 0 {
			left -= o.tasks
			kept = append(kept, o)
		}
	}
	return kept
}

// withinRack chooses nodes of one rack and returns them with their cost, or nil if the gang doesn't fit.
func (w *search) withinRack(candidates []candidate) ([]candidate, float64) {
	if w.adjacent == ids.SameInstance {
		return w.onOneNode(candidates)
	}
	sum := 0
	for _, o := range candidates {
		sum += o.tasks
	}
	if sum < w.tasks {
		return nil, 0
	}
	w.sortByCost(candidates)
	return w.assignInOrder(candidates)
}

func (w *search) onOneNode(candidates []candidate) ([]candidate, float64) {
	var best []candidate
	bestCost := 0.0
	for _, o := range candidates {
		if o.tasks < w.tasks {
			continue
		}
		cost := w.cost(o.node, w.tasks)
		if best == nil || cost < bestCost {
			best, bestCost = []candidate{o}, cost
		}
		if w.firstFit {
			break
		}
	}
	return best, bestCost
}

// sortByCost sorts nodes by cost per task, then by the number of tasks that they can hold, largest first. With firstFit
// it keeps the order.
func (w *search) sortByCost(candidates []candidate) {
	if w.firstFit {
		return
	}
	for i := range candidates {
		candidates[i].cost = w.cost(candidates[i].node, candidates[i].tasks) / float64(candidates[i].tasks)
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		return a.tasks > b.tasks
	})
}

// assignInOrder assigns the tasks to the nodes in order and returns the used nodes with their cost, or nil if the gang
// doesn't fit.
func (w *search) assignInOrder(candidates []candidate) ([]candidate, float64) {
	var assigned []candidate
	need := w.tasks
	cost := 0.0
	for _, o := range candidates {
		o.tasks = min(o.tasks, need)
		need -= o.tasks
		if !w.firstFit {
			cost += w.cost(o.node, o.tasks)
		}
		assigned = append(assigned, o)
		if need == 0 {
			return assigned, cost
		}
	}
	return nil, 0
}

// acrossRacks chooses nodes of several racks, one rack after another, starting with those that can hold the most tasks.
func (w *search) acrossRacks(candidates []candidate) []candidate {
	tasksPerRack := make(map[*rack]int)
	total := 0
	for _, o := range candidates {
		tasksPerRack[o.node.rack] += o.tasks
		total += o.tasks
	}
	if total < w.tasks {
		return nil
	}
	w.sortByCost(candidates)
	if !w.firstFit {
		sort.SliceStable(candidates, func(i, j int) bool {
			a, b := candidates[i].node.rack, candidates[j].node.rack
			if tasksPerRack[a] != tasksPerRack[b] {
				return tasksPerRack[a] > tasksPerRack[b]
			}
			return a.id < b.id
		})
	}
	assigned, _ := w.assignInOrder(candidates)
	return assigned
}

// nodePerTask expands the assigned nodes to one node for each task.
func (w *search) nodePerTask(candidates []candidate) []*node {
	if candidates == nil {
		return nil
	}
	place := make([]*node, 0, w.tasks)
	for _, o := range candidates {
		for range o.tasks {
			place = append(place, o.node)
		}
	}
	return place
}

func nodeIDs(place []*node) []ids.InstanceID {
	list := make([]ids.InstanceID, len(place))
	for i, n := range place {
		list[i] = n.ID
	}
	return list
}
