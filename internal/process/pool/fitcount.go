package pool

import "github.com/jujubegrade/jujubegrade/pkg/ids"

type (
	// taskShape is what a task requires of a worker.
	taskShape struct {
		service ids.ServiceID
		label   string
		each    ids.Resources
	}

	// fitCount counts the tasks of one shape that fit into the free resources of the schedulable workers. It counts again only
	// the racks that have changed.
	fitCount struct {
		shape  taskShape
		byRack []rackFitCount
		// sum is the sum over all racks, and most is the largest count of a rack.
		sum, most taskCounts
		countedAt uint64
		// byRackAndClass and sumByClass are the counts by speed class of the workers on which nothing has failed since their last
		// success. They are kept only in a pool of unequal workers.
		byRackAndClass []classCounts
		sumByClass     classCounts
	}

	rackFitCount struct {
		taskCounts
		countedAt uint64
	}

	// taskCounts are the numbers of tasks that fit on all workers, and on the preferred ones.
	taskCounts struct{ all, preferred int }

	// classCounts are numbers of tasks by speed class.
	classCounts [speedClasses]int
)

const (
	// maxFitCounts limits the number of shapes whose counts are cached.
	maxFitCounts = 256
	// maxTasksPerWorker limits the count for tasks that need no resources.
	maxTasksPerWorker = 1 << 16
)

// capacityChanged records that the free resources or the schedulability of a worker have changed.
func (s *State) capacityChanged(n *node) {
	s.capacityChanges++
	if n.rack != nil {
		n.rack.changedAt = s.capacityChanges
	}
}

// fitCountFor returns the counts for the tasks of a stage.
func (s *State) fitCountFor(st *stage) *fitCount {
	if st.fitCount == nil || st.fitCountsVersion != s.fitCountsVersion {
		shape := taskShape{st.job.Service, st.step().Label, st.step().Each}
		found := s.fitCounts[shape]
		if found == nil {
			if len(s.fitCounts) >= maxFitCounts {
				clear(s.fitCounts)
				s.fitCountsVersion++
			}
			found = &fitCount{shape: shape, byRack: make([]rackFitCount, len(s.racks))}
			s.fitCounts[shape] = found
		}
		st.fitCount, st.fitCountsVersion = found, s.fitCountsVersion
	}
	st.fitCount.count(s)
	return st.fitCount
}

// count updates the counts of the racks that have changed.
func (c *fitCount) count(s *State) {
	if c.countedAt == s.capacityChanges {
		return
	}
	c.countedAt = s.capacityChanges
	c.most = taskCounts{}
	if s.speeds.unequal && c.byRackAndClass == nil {
		c.byRackAndClass = make([]classCounts, len(s.racks))
		for i, rack := range s.racks {
			c.countClasses(s, i, rack)
		}
	}
	for i, rack := range s.racks {
		old := c.byRack[i]
		if old.countedAt == rack.changedAt {
			c.most = c.most.max(old.taskCounts)
			continue
		}
		counts := taskCounts{}
		for _, n := range rack.nodes {
			tasks := c.tasksOn(n)
			counts.all += tasks
			if n.preferred() {
				counts.preferred += tasks
			}
		}
		c.byRack[i] = rackFitCount{counts, rack.changedAt}
		c.most = c.most.max(counts)
		c.sum.all += counts.all - old.all
		c.sum.preferred += counts.preferred - old.preferred
		if s.speeds.unequal {
			c.countClasses(s, i, rack)
		}
	}
}

// countClasses updates the counts of a rack by class.
func (c *fitCount) countClasses(s *State, i int, r *rack) {
	counts := classCounts{}
	for _, n := range r.nodes {
		if n.failures == 0 {
			counts[n.class] += c.tasksOn(n)
		}
	}
	for class := range counts {
		c.sumByClass[class] += counts[class] - c.byRackAndClass[i][class]
	}
	c.byRackAndClass[i] = counts
}

// tasksOn returns the number of tasks that fit on a worker now.
func (c *fitCount) tasksOn(n *node) int {
	if !n.schedulable() || n.isolatedFor != nil || n.Service != c.shape.service || !n.hasLabel(c.shape.label) {
		return 0
	}
	return n.free().Copies(c.shape.each, maxTasksPerWorker)
}

func (c taskCounts) max(o taskCounts) taskCounts {
	return taskCounts{max(c.all, o.all), max(c.preferred, o.preferred)}
}

// total returns the count of the workers that pass a filter; for proven workers it is an upper bound.
func (c *fitCount) total(filter workerFilter) int { return filter.count(c.sum, &c.sumByClass) }

// inRack is total for one rack.
func (c *fitCount) inRack(r *rack, filter workerFilter) int {
	if !filter.byClass {
		return filter.count(c.byRack[r.index].taskCounts, nil)
	}
	return filter.count(taskCounts{}, &c.byRackAndClass[r.index])
}

// count returns the count of the workers that pass the filter.
func (f workerFilter) count(counts taskCounts, byClass *classCounts) int {
	switch {
	case f.byClass:
		sum := 0
		for _, tasks := range byClass[f.fastest : f.slowest+1] {
			sum += tasks
		}
		return sum
	case f.kind == everyWorker:
		return counts.all
	}
	return counts.preferred
}

// unreserved returns the number of tasks that fit on the workers outside the given reservations.
func (c *fitCount) unreserved(s *State, conflicts uint64, filter workerFilter) int {
	tasks := c.total(filter)
	for i := range s.reserved.list {
		bit := uint64(1) << i
		if conflicts&bit == 0 {
			continue
		}
		for _, n := range s.reserved.list[i].nodes {
			// A worker in several of the reservations counts with the first of them.
			if n.reservedFor&conflicts&(bit-1) == 0 && n.mayPass(filter) {
				tasks -= c.tasksOn(n)
			}
		}
	}
	return tasks
}

// freeAcceleratorsIn returns the sum of the free accelerators of a rack's workers.
func (s *State) freeAcceleratorsIn(r *rack) ids.Accelerators {
	if r.summedAt != r.changedAt {
		r.freeAccelerators, r.summedAt = 0, r.changedAt
		for _, n := range r.nodes {
			r.freeAccelerators += n.free().Accelerators
		}
	}
	return r.freeAccelerators
}
