package placement

import "github.com/jujubegrade/jujubegrade/pkg/ids"

// roomBound tells quickly that a gang can't fit: it counts the tasks that the free accelerators of all nodes would hold,
// whatever else keeps a gang from its place. Its zero value counts anew.
type roomBound struct {
	counts map[ids.Accelerators]int
}

// forget drops the counts, after a change of what is free.
func (r *roomBound) forget() {
	clear(r.counts)
}

// copies returns the most tasks of a size that the nodes could hold.
func (r *roomBound) copies(nodes map[ids.InstanceID]*node, each ids.Accelerators) int {
	if each == 0 {
		return len(nodes) * ids.MaxTasks
	}
	if count, found := r.counts[each]; found {
		return count
	}
	count := 0
	for _, n := range nodes {
		if n.open() && n.used.Accelerators < n.Total.Accelerators {
			count += int((n.Total.Accelerators - n.used.Accelerators) / each)
		}
	}
	if r.counts == nil {
		r.counts = make(map[ids.Accelerators]int)
	}
	r.counts[each] = count
	return count
}
