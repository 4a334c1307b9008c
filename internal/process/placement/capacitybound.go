package placement

import "github.com/jujubegrade/jujubegrade/pkg/ids"

// capacityBound is a cheap upper bound that rules out gangs which can't fit: the number of tasks that the free
// accelerators of all nodes would hold, ignoring all other constraints. The zero value is an empty cache.
type capacityBound struct {
	// counts caches the number of tasks by accelerators per task.
	counts map[ids.Accelerators]int
}

// invalidate drops the cached counts after a change of free capacity.
func (r *capacityBound) invalidate() {
	clear(r.counts)
}

// maxTasks returns an upper bound on the tasks with the given accelerators each that the nodes can hold.
func (r *capacityBound) maxTasks(nodes map[ids.InstanceID]*node, each ids.Accelerators) int {
	if each == 0 {
		return len(nodes) * ids.MaxTasks
	}
	if count, found := r.counts[each]; found {
		return count
	}
	count := 0
	for _, n := range nodes {
		if n.isSchedulable() && n.used.Accelerators < n.Total.Accelerators {
			count += int((n.Total.Accelerators - n.used.Accelerators) / each)
		}
	}
	if r.counts == nil {
		r.counts = make(map[ids.Accelerators]int)
	}
	r.counts[each] = count
	return count
}
