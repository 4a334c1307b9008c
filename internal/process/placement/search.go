package placement

import (
	"sort"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// search looks for nodes that hold the tasks of a gang.
	search struct {
		tasks    int
		each     ids.Resources
		adjacent ids.Adjacency
		// room returns what may be used on a node; nodes with no room are passed over.
		room func(n *node) ids.Resources
		// cost rates putting a number of tasks on a node; less is better.
		cost func(n *node, tasks int) float64
		// first takes the first nodes that fit, whatever they cost.
		first bool
	}

	option struct {
		node   *node
		copies int
		cost   float64
	}
)

// find returns the node of each task, or nil if the gang doesn't fit.
func (s *State) find(w search) []*node {
	var best []option
	bestCost := 0.0
	var all []option
	for _, r := range s.racks {
		options := w.options(r.nodes)
		if w.adjacent == ids.AnyRack {
			all = append(all, options...)
		}
		found, cost := w.within(options)
		if found == nil || (best != nil && (w.first || cost >= bestCost)) {
			continue
		}
		best, bestCost = found, cost
		if w.first {
			break
		}
	}
	if best == nil && w.adjacent == ids.AnyRack {
		best = w.across(all)
	}
	return w.spread(best)
}

func (w *search) options(nodes []*node) []option {
	var options []option
	for _, n := range nodes {
		copies := w.room(n).Copies(w.each, w.tasks)
		if copies > 0 {
			options = append(options, option{node: n, copies: copies})
		}
	}
	return options
}

// within chooses among the nodes of one rack.
func (w *search) within(options []option) ([]option, float64) {
	if w.adjacent == ids.SameInstance {
		return w.oneNode(options)
	}
	sum := 0
	for _, o := range options {
		sum += o.copies
	}
	if sum < w.tasks {
		return nil, 0
	}
	w.order(options)
	return w.take(options)
}

func (w *search) oneNode(options []option) ([]option, float64) {
	var best []option
	bestCost := 0.0
	for _, o := range options {
		if o.copies < w.tasks {
			continue
		}
		cost := w.cost(o.node, w.tasks)
		if best == nil || cost < bestCost {
			best, bestCost = []option{o}, cost
		}
		if w.first {
			break
		}
	}
	return best, bestCost
}

// order sorts nodes by their cost per task, then those that take more tasks first.
func (w *search) order(options []option) {
	if w.first {
		return
	}
	for i := range options {
		options[i].cost = w.cost(options[i].node, options[i].copies) / float64(options[i].copies)
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		return a.copies > b.copies
	})
}

func (w *search) take(options []option) ([]option, float64) {
	var taken []option
	need := w.tasks
	cost := 0.0
	for _, o := range options {
		o.copies = min(o.copies, need)
		need -= o.copies
		if !w.first {
			cost += w.cost(o.node, o.copies)
		}
		taken = append(taken, o)
		if need == 0 {
			return taken, cost
		}
	}
	return nil, 0
}

// across chooses among all nodes, whole racks after each other, those with the most room first.
func (w *search) across(options []option) []option {
	sums := make(map[*rack]int)
	total := 0
	for _, o := range options {
		sums[o.node.rack] += o.copies
		total += o.copies
	}
	if total < w.tasks {
		return nil
	}
	w.order(options)
	if !w.first {
		sort.SliceStable(options, func(i, j int) bool {
			a, b := options[i].node.rack, options[j].node.rack
			if sums[a] != sums[b] {
				return sums[a] > sums[b]
			}
			return a.id < b.id
		})
	}
	taken, _ := w.take(options)
	return taken
}

func (w *search) spread(options []option) []*node {
	if options == nil {
		return nil
	}
	place := make([]*node, 0, w.tasks)
	for _, o := range options {
		for range o.copies {
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
