package placement

import (
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// Status returns a job's status for its caller.
func (s *State) Status(j *Job) caller.JobStatus {
	status := caller.JobStatus{
		ID: j.ID, Account: j.Account, DataCentre: s.DataCentre, State: j.CallerState(), Reason: j.Reason, Attempt: j.Attempt,
		Owed: j.RanUnderGuarantee, Instances: j.Place, Submitted: j.Submitted, Finished: j.Finished, Due: j.Due, Forecast: j.Forecast,
	}
	if j.phase == queued && s.evacuated {
		status.Reason = evacuatedReason
	}
	if j.phase == running || j.phase == finished {
		status.Started = j.Started
	}
	return status
}

// Report returns the data centre's status for the operators.
func (s *State) Report() operator.Report {
	r := operator.Report{DataCentre: s.DataCentre, Queued: s.Queued(), Late: s.LateJobs(), Evacuation: s.EvacuationStatus()}
	for _, e := range s.entitlements {
		g := operator.GuaranteeStatus{
			Guarantee: e.guarantee.Name, Number: e.number, Account: e.guarantee.Account, DataCentre: s.DataCentre,
			Shape: e.guarantee.Shape, Held: s.isIntact(e), Instances: nodeIDs(e.place),
		}
		for i := range e.free {
			g.Used += e.shape.Each.Accelerators - e.free[i].Accelerators
		}
		if !g.Held {
			g.Missing = s.unplacedReason(e)
		}
		r.Guarantees = append(r.Guarantees, g)
	}
	stranded := s.Stranded()
	for _, rack := range s.racks {
		r.Racks = append(r.Racks, operator.RackStatus{
			DataCentre: s.DataCentre, Rack: rack.id, Total: rack.total(), Free: rack.free(), Stranded: stranded[rack.id],
		})
	}
	for _, n := range s.sortedNodes() {
		r.Instances = append(r.Instances, operator.InstanceStatus{
			ID: n.ID, DataCentre: s.DataCentre, Rack: n.Rack, State: n.state(), Total: n.Total, Used: n.used, Jobs: len(n.jobs),
		})
	}
	return r
}

func (n *node) state() string {
	switch {
	case n.down:
		return "Lost"
	case n.quarantined():
		return "Quarantined"
	case n.leaves():
		return "Leaving"
	}
	return "Live"
}

// Stranded returns, for each rack, the free accelerators that can't serve the largest guaranteed shape.
func (s *State) Stranded() map[ids.RackID]ids.Accelerators {
	stranded := make(map[ids.RackID]ids.Accelerators)
	if s.largest.Tasks == 0 {
		return stranded
	}
	for _, r := range s.racks {
		stranded[r.id] = r.free() - s.usableAccelerators(r.taskCapacity(s.largest.Each.Accelerators))
	}
	return stranded
}

// FreeAccelerators returns the free accelerators of live nodes.
func (s *State) FreeAccelerators() ids.Accelerators {
	free := ids.Accelerators(0)
	for _, r := range s.racks {
		free += r.free()
	}
	return free
}

func (s *State) findLargestShape() (ids.Shape, bool) {
	var largest ids.Shape
	found := false
	for _, g := range s.config.Guarantees {
		if g.DataCentre == s.DataCentre && (!found || packsBefore(g.Shape, largest)) {
			largest, found = g.Shape, true
		}
	}
	return largest, found
}

// HasUnusedGuarantee reports whether an account has an unused, placed guaranteed shape that can hold the given shape.
func (s *State) HasUnusedGuarantee(account ids.AccountID, shape ids.Shape) bool {
	j := &Job{Job: caller.Job{Shape: shape}, Account: account}
	for _, e := range s.entitlements {
		if e.guarantee.Account == account && e.userCount == 0 && s.isIntact(e) && s.canHold(e, j) {
			return true
		}
	}
	return false
}

// LargestShapeAvailable reports whether the largest guaranteed shape is in use by its accounts or available now, on free
// accelerators or by preempting borrowers.
func (s *State) LargestShapeAvailable() bool {
	for _, e := range s.entitlements {
		if e.guarantee.Shape == s.largest && (e.userCount > 0 || s.isIntact(e)) {
			return true
		}
	}
	for _, r := range s.racks {
		if s.largest.Tasks > 0 && r.taskCapacity(s.largest.Each.Accelerators) >= s.largest.Tasks {
			return true
		}
	}
	return false
}
