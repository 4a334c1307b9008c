package placement

import "github.com/jujubegrade/jujubegrade/pkg/ids"

const (
	// splitNodeCost is the cost of using part of the accelerators of an instance that was entirely free.
	splitNodeCost = 0.5
	// acceleratorNodeCost is the cost of placing work without accelerators on an instance that has them.
	acceleratorNodeCost = 2.0
	// failedJobCost is the cost of each job that recently failed on the instance.
	failedJobCost = 3.0
)

// leftoverCost returns the cost of the capacity that a placement leaves free on an instance, since small remainders can't
// hold the largest shapes. An exact fit costs nothing.
func leftoverCost(free, total, need ids.Resources) float64 {
	if need.Accelerators == 0 {
		cost := 0.0
		if total.Cores > 0 {
			cost = float64(free.Cores-need.Cores) / float64(total.Cores)
		}
		if total.Accelerators > 0 {
			cost += acceleratorNodeCost
		}
		return cost
	}
	cost := float64(free.Accelerators-need.Accelerators) / float64(max(1, total.Accelerators))
	if free.Accelerators == total.Accelerators && need.Accelerators < total.Accelerators {
		cost += splitNodeCost
	}
	return cost
}

// borrowerCost returns the cost of placing a borrower on a node: the fragmentation and the share of reserved capacity
// that may be reclaimed, each weighted by the policy, and the recent failures on the node.
func (s *State) borrowerCost(j *Job, n *node, need ids.Resources) float64 {
	cost := s.config.Policy.FragmentationWeight*(leftoverCost(n.free(), n.Total, need)+s.rackFragmentationCost(n, need)) + n.failureCost()
	unreserved := n.free().Minus(n.reserved.Minus(n.guaranteedUsed))
	if overlap := dominantAccelerators(need.Minus(unreserved)); overlap > 0 && j.Idempotent {
		cost += s.config.Policy.CompletionWeight * overlap / max(0.001, dominantAccelerators(need))
	}
	return cost
}

// rackFragmentationCost returns by how much a placement increases the rack's stranded accelerators, those that can't
// serve the largest guaranteed shape, relative to the accelerators it uses. It is -1 if the placement only uses
// accelerators that were already stranded.
func (s *State) rackFragmentationCost(n *node, need ids.Resources) float64 {
	each := s.largest.Each.Accelerators
	if need.Accelerators == 0 || each == 0 || n.rack == nil {
		return 0
	}
	before := n.rack.taskCapacity(each)
	free := n.free().Accelerators
	after := before - int(free/each) + int((free-need.Accelerators)/each)
	lost := s.usableAccelerators(before) - s.usableAccelerators(after)
	return float64(lost-need.Accelerators) / float64(need.Accelerators)
}

// usableAccelerators returns how many accelerators of a rack can serve the largest guaranteed shape if the rack has room
// for the given number of the shape's tasks.
func (s *State) usableAccelerators(tasks int) ids.Accelerators {
	if s.largest.Adjacent == ids.AnyRack {
		return ids.Accelerators(tasks) * s.largest.Each.Accelerators
	}
	return ids.Accelerators(tasks/s.largest.Tasks) * s.largest.Total().Accelerators
}

func (n *node) failureCost() float64 {
	return failedJobCost * float64(len(n.failedJobs))
}
