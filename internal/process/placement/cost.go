package placement

import "github.com/jujubegrade/jujubegrade/pkg/ids"

const (
	// brokenNodeCost is the cost of taking the first accelerators of an instance that was free as a whole.
	brokenNodeCost = 0.5
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

// rackCost rates by how much work raises the free accelerators of a rack that can't serve the largest guaranteed
// shape, relative to what it takes. It is -1 where the work fills up what was stranded already.
func (s *State) rackCost(n *node, need ids.Resources) float64 {
	each := s.largest.Each.Accelerators
	if need.Accelerators == 0 || each == 0 || n.rack == nil {
		return 0
	}
	copies := n.rack.copies(each)
	free := n.free().Accelerators
	after := copies - int(free/each) + int((free-need.Accelerators)/each)
	lost := s.usable(copies) - s.usable(after)
	return float64(lost-need.Accelerators) / float64(need.Accelerators)
}

// usable returns the accelerators of a rack that serve the largest guaranteed shape, of which it holds a number of tasks.
func (s *State) usable(copies int) ids.Accelerators {
	if s.largest.Adjacent == ids.AnyRack {
		return ids.Accelerators(copies) * s.largest.Each.Accelerators
	}
	return ids.Accelerators(copies/s.largest.Tasks) * s.largest.Total().Accelerators
}

func (n *node) blameCost() float64 {
	return failureCost * float64(len(n.blame))
}
