package pool

import "github.com/jujubegrade/jujubegrade/pkg/ids"

type (
	// taskShape is what a task requires of a worker.
	taskShape struct {
		service ids.ServiceID
		label   string
		each    ids.Resources
	}

	// room counts the tasks of one shape that fit into the free resources of the schedulable workers. It counts again only
	// the racks that have changed.
	room struct {
		shape  taskShape
		byRack []rackRoom
		// sum is the sum over all racks, and most is the largest count of a rack.
		sum, most taskCounts
		countedAt uint64
	}

	rackRoom struct {
		taskCounts
		countedAt uint64
	}

	// taskCounts are the numbers of tasks that fit on all workers, and on those of first choice.
	taskCounts struct{ all, best int }
)

const (
	// maxRooms limits the number of shapes whose room is cached.
	maxRooms = 256
	// maxTasksPerWorker limits the count for tasks that need no resources.
	maxTasksPerWorker = 1 << 16
)

// roomChanged records that the free resources or the schedulability of a worker have changed.
func (s *State) roomChanged(n *node) {
	s.roomChanges++
	if n.rack != nil {
		n.rack.changedAt = s.roomChanges
	}
}

// roomFor returns the room for the tasks of a stage.
func (s *State) roomFor(st *stage) *room {
	if st.room == nil || st.roomsVersion != s.roomsVersion {
		shape := taskShape{st.job.Service, st.step().Label, st.step().Each}
		found := s.rooms[shape]
		if found == nil {
			if len(s.rooms) >= maxRooms {
				clear(s.rooms)
				s.roomsVersion++
			}
			found = &room{shape: shape, byRack: make([]rackRoom, len(s.racks))}
			s.rooms[shape] = found
		}
		st.room, st.roomsVersion = found, s.roomsVersion
	}
	st.room.count(s)
	return st.room
}

// count updates the counts of the racks that have changed.
func (r *room) count(s *State) {
	if r.countedAt == s.roomChanges {
		return
	}
	r.countedAt = s.roomChanges
	r.most = taskCounts{}
	for i, rack := range s.racks {
		old := r.byRack[i]
		if old.countedAt == rack.changedAt {
			r.most = r.most.max(old.taskCounts)
			continue
		}
		counts := taskCounts{}
		for _, n := range rack.nodes {
			tasks := r.tasksOn(n)
			counts.all += tasks
			if n.firstChoice() {
				counts.best += tasks
			}
		}
		r.byRack[i] = rackRoom{counts, rack.changedAt}
		r.most = r.most.max(counts)
		r.sum.all += counts.all - old.all
		r.sum.best += counts.best - old.best
	}
}

// tasksOn returns the number of tasks that fit on a worker now.
func (r *room) tasksOn(n *node) int {
	if !n.schedulable() || n.Service != r.shape.service || !n.hasLabel(r.shape.label) {
		return 0
	}
	return n.free().Copies(r.shape.each, maxTasksPerWorker)
}

func (c taskCounts) max(o taskCounts) taskCounts {
	return taskCounts{max(c.all, o.all), max(c.best, o.best)}
}

// of returns the count of a choice of workers; for provenOnly it is an upper bound.
func (c taskCounts) of(workers choice) int {
	if workers != anyWorker {
		return c.best
	}
	return c.all
}

// unreserved returns the number of tasks that fit on the workers outside the given reservations.
func (r *room) unreserved(s *State, conflicts uint64, workers choice) int {
	tasks := r.sum.of(workers)
	for i := range s.reserved.list {
		bit := uint64(1) << i
		if conflicts&bit == 0 {
			continue
		}
		for _, n := range s.reserved.list[i].nodes {
			// A worker in several of the reservations counts with the first of them.
			if n.reservedFor&conflicts&(bit-1) == 0 && (workers == anyWorker || n.firstChoice()) {
				tasks -= r.tasksOn(n)
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
