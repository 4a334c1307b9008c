package placement

import "github.com/jujubegrade/jujubegrade/pkg/ids"

const (
	// brokenNodeCost is the cost of taking the first accelerators of an instance that was free as a whole.
	brokenNodeCost = 0.5
	// brokenRackCost is the cost of the same for a rack, spread over its instances.
	brokenRackCost = 1.0
	// wrongNodeCost is the cost of work without accelerators on an instance that has them.
	wrongNodeCost = 2.0
	// failureCost is the cost of each job that failed on the instance of late.
	failureCost = 3.0
)

// leftoverCost rates what work leaves behind on an instance: parts that are too small for the largest shapes cost,
// exact fits cost nothing.
func leftoverCost(free, total, need ids.Resources) float64 {
	if need.Accelerators == 0 {
		cost := 0.0
		if total.Cores > 0 {
			cost = float64(free.Cores-need.Cores) / float64(total.Cores)
		}
		if total.Accelerators > 0 {
			cost += wrongNodeCost
		}
		return cost
	}
	cost := float64(free.Accelerators-need.Accelerators) / float64(max(1, total.Accelerators))
	if free.Accelerators == total.Accelerators && need.Accelerators < total.Accelerators {
		cost += brokenNodeCost
	}
	return cost
}

// borrowerCost rates a borrower's place by the policy's weights: what it leaves behind, and how likely
// it is to be reclaimed.
func (s *State) borrowerCost(j *Job, n *node, need ids.Resources) float64 {
	cost := s.config.Policy.FragmentationWeight*(leftoverCost(n.free(), n.Total, need)+s.rackCost(n, need)) + n.blameCost()
	unowed := n.free().Minus(n.reserved.Minus(n.owed))
	if overlap := dominant(need.Minus(unowed)); overlap > 0 && j.Idempotent {
		cost += s.config.Policy.CompletionWeight * overlap / max(0.001, dominant(need))
	}
	return cost
}

// rackCost rates breaking a rack that is free as a whole.
func (s *State) rackCost(n *node, need ids.Resources) float64 {
	if need.Accelerators == 0 || n.rack == nil {
		return 0
	}
	for _, other := range n.rack.nodes {
		if other.used.Accelerators > 0 {
			return 0
		}
	}
	return brokenRackCost * float64(need.Accelerators) / float64(max(1, n.Total.Accelerators))
}

func (n *node) blameCost() float64 {
	return failureCost * float64(len(n.blame))
}
