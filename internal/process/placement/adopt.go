package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Adoption describes a job that was placed before a takeover, according to the workers' reports or the job's record.
type Adoption struct {
	Attempt ids.Attempt
	Place   []ids.InstanceID
	Each    ids.Resources
	Started time.Time
	// Guarantee and Number identify the guaranteed shape that the job used, if any; ReservedNodes lists the
	// nodes reserved for the shape.
	Guarantee     string
	Number        int
	ReservedNodes []ids.InstanceID
	// Ended lists the tasks that have already succeeded.
	Ended []int
	// IncompleteReason, if not empty, is why the gang is incomplete and has to be stopped.
	IncompleteReason string
}

// Adopt adds a job that was placed before a takeover. Jobs under guarantees must be adopted before the others.
func (s *State) Adopt(j *Job, a Adoption, now time.Time) {
	s.init()
	if j.selector == nil {
		j.selector = parseSelector(j.Selector)
	}
	s.jobs[j.ID] = j
	s.placed[j.ID] = j
	s.capacityBound.invalidate()
	j.Attempt, j.Place, j.Each, j.Started = a.Attempt, a.Place, a.Each, a.Started
	j.MaybeRan = true
	j.phase = running
	for _, i := range a.Ended {
		if j.endedTasks == nil {
			j.endedTasks = make(map[int]bool)
		}
		j.endedTasks[i] = true
	}
	s.adoptEntitlement(j, a)
	j.RanUnderGuarantee = j.UnderGuarantee()
	for _, id := range j.Place {
		n := s.nodes[id]
		if n == nil {
			n = s.addLostNode(id)
		}
		n.used = n.used.Plus(j.Each)
		n.jobs[j.ID] = j
		switch {
		case j.entitlement != nil:
			n.guaranteedUsed = n.guaranteedUsed.Plus(j.Each)
		case j.isNonPreemptibleBorrower():
			n.nonPreemptible = n.nonPreemptible.Plus(j.Each)
		}
	}
	if a.IncompleteReason != "" {
		j.partial = true
		s.interruptGang(j, now, a.IncompleteReason)
	}
}

// addLostNode adds a node that a job refers to but the instance list no longer contains.
func (s *State) addLostNode(id ids.InstanceID) *node {
	n := &node{Node: Node{ID: id, Leaving: true}, down: true, evacuated: s.evacuated, jobs: make(map[ids.JobID]*Job)}
	s.nodes[id] = n
	s.rebuildRacks()
	return n
}

// adoptEntitlement assigns the job to the guaranteed shape that it used. An unused shape moves to the nodes recorded
// with the job.
func (s *State) adoptEntitlement(j *Job, a Adoption) {
	for _, e := range s.entitlements {
		if e.guarantee.Name != a.Guarantee || e.number != a.Number || e.guarantee.Account != j.Account {
			continue
		}
		if e.userCount == 0 {
			s.moveEntitlement(e, a.ReservedNodes)
		}
		if slots := assignSlots(e, j); slots != nil {
			j.entitlement, j.slots = e, slots
			e.userCount++
		}
		return
	}
}

func (s *State) moveEntitlement(e *entitlement, reservedNodes []ids.InstanceID) {
	if len(reservedNodes) != e.shape.Tasks {
		return
	}
	var place []*node
	for _, id := range reservedNodes {
		n := s.nodes[id]
		if n == nil {
			return
		}
		place = append(place, n)
	}
	e.unassign()
	e.assign(place)
}

// assignSlots assigns each task of an adopted job to a task of the shape. It returns nil if they don't fit.
func assignSlots(e *entitlement, j *Job) []int {
	var slots []int
	free := append([]ids.Resources(nil), e.free...)
	for _, id := range j.Place {
		found := -1
		for i, n := range e.place {
			if n.ID == id && free[i].Contains(j.Each) {
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

// FinishAdoption places the unused shapes again after all jobs were adopted, because adopted jobs may occupy nodes that
// were reserved for those shapes.
func (s *State) FinishAdoption() {
	for _, e := range s.entitlements {
		if e.userCount == 0 {
			e.unassign()
		}
	}
	s.recountNodes()
	s.repack()
	s.repairEntitlements()
	s.capacityGrew()
}
