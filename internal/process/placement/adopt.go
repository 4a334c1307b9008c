package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Adoption is a job that was found on its workers after a change of owner.
type Adoption struct {
	Attempt ids.Attempt
	Place   []ids.InstanceID
	Each    ids.Resources
	Started time.Time
	// Guarantee, Number and Shape name the guaranteed shape that the job used and its place, if any.
	Guarantee string
	Number    int
	Shape     []ids.InstanceID
	// Ended are the tasks that ended with success already.
	Ended []int
	// Broken tells that the gang is not whole, so that it has to be stopped.
	Broken string
}

// Adopt takes a job into the state that runs already, or did. Jobs under guarantees have to be adopted first.
func (s *State) Adopt(j *Job, a Adoption, now time.Time) {
	s.init()
	if j.selector == nil {
		j.selector = parseSelector(j.Selector)
	}
	s.jobs[j.ID] = j
	s.placed[j.ID] = j
	s.room.forget()
	j.Attempt, j.Place, j.Each, j.Started = a.Attempt, a.Place, a.Each, a.Started
	j.MaybeRan = true
	j.phase = running
	for _, i := range a.Ended {
		if j.ended == nil {
			j.ended = make(map[int]bool)
		}
		j.ended[i] = true
	}
	s.adoptEntry(j, a)
	j.WasOwed = j.Owed()
	for _, id := range j.Place {
		n := s.nodes[id]
		if n == nil {
			n = s.addLost(id)
		}
		n.used = n.used.Plus(j.Each)
		n.jobs[j.ID] = j
		switch {
		case j.entry != nil:
			n.owed = n.owed.Plus(j.Each)
		case j.isFixed():
			n.fixed = n.fixed.Plus(j.Each)
		}
	}
	if a.Broken != "" {
		j.partial = true
		s.memberLost(j, now, a.Broken)
	}
}

// addLost adds a node that a job names but the instance list doesn't know any more.
func (s *State) addLost(id ids.InstanceID) *node {
	n := &node{Node: Node{ID: id, Leaving: true}, down: true, jobs: make(map[ids.JobID]*Job)}
	s.nodes[id] = n
	s.rebuildRacks()
	return n
}

// adoptEntry finds the guaranteed shape that the job used. The shape takes the place that is recorded with the job.
func (s *State) adoptEntry(j *Job, a Adoption) {
	for _, e := range s.entries {
		if e.guarantee.Name != a.Guarantee || e.number != a.Number || e.guarantee.Account != j.Account {
			continue
		}
		if e.users == 0 {
			s.moveEntry(e, a.Shape)
		}
		if slots := slotsFor(e, j); slots != nil {
			j.entry, j.slots = e, slots
			e.users++
		}
		return
	}
}

func (s *State) moveEntry(e *entry, shape []ids.InstanceID) {
	if len(shape) != e.shape.Tasks {
		return
	}
	var place []*node
	for _, id := range shape {
		n := s.nodes[id]
		if n == nil {
			return
		}
		place = append(place, n)
	}
	e.clear()
	e.set(place)
}

// slotsFor gives each task of an adopted job its part of a shape, or returns nil.
func slotsFor(e *entry, j *Job) []int {
	var slots []int
	free := append([]ids.Resources(nil), e.free...)
	for _, id := range j.Place {
		found := -1
		for i, n := range e.place {
			if n.ID == id && free[i].Fits(j.Each) {
				found = i
				break
			}
		}
		if found < 0 {
			return nil
		}
		free[found] = free[found].Minus(j.Each)
		slots = append(slots, found)
	}
	e.free = free
	return slots
}

// Settle places the unused shapes after all jobs were adopted: adopted jobs may stand where shapes were placed.
func (s *State) Settle() {
	for _, e := range s.entries {
		if e.users == 0 {
			e.clear()
		}
	}
	s.recount()
	s.repack()
	s.repairEntries()
	s.grow()
}
