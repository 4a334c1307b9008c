package placement

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// checkFeasible returns an *InfeasibleError if the job could not run even if all instances were free, and ErrEvacuated while
// the data centre is being evacuated.
func (s *State) checkFeasible(j *Job) error {
	if quota := s.account(j.Account).Quota; quota > 0 && j.Shape.Total().Accelerators > quota {
		return &InfeasibleError{fmt.Sprintf("the job needs %d accelerators, the quota of account %s is %d", j.Shape.Total().Accelerators, j.Account, quota)}
	}
	if s.evacuated {
		// Instances may already have been taken away, so what fits once the evacuation is withdrawn is not known.
		return errors.Wrapf(ErrEvacuated, "data centre %s", s.DataCentre)
	}
	matching := 0
	for _, n := range s.nodes {
		if s.selectorsMatch(j, n) {
			matching++
		}
	}
	if matching == 0 {
		return &InfeasibleError{fmt.Sprintf("no instance of %s matches the selector %q and that of account %s", s.DataCentre, j.Selector, j.Account)}
	}
	for _, e := range s.entitlements {
		if e.guarantee.Account == j.Account && s.canHold(e, j) {
			return nil
		}
	}
	availableWhenEmpty := func(n *node) ids.Resources {
		if !s.selectorsMatch(j, n) {
			return ids.Resources{}
		}
		if j.Idempotent {
			return n.Total
		}
		return n.Total.Minus(n.reserved)
	}
	noCost := func(*node, int) float64 { return 0 }
	w := search{
		tasks: j.Shape.Tasks, each: j.Shape.Each, adjacent: j.Shape.Adjacent, available: availableWhenEmpty, cost: noCost, firstFit: true,
		rackLimit: s.borrowerLimit(j.Shape.Each, (*rack).total),
	}
	if s.find(w) != nil {
		return nil
	}
	if reserve := s.config.Policy.RackReserve; reserve > 0 {
		return &InfeasibleError{fmt.Sprintf("the %d matching instances of %s can't hold the shape %s beside the guarantees and the reserve of %d accelerators in each rack", matching, s.DataCentre, j.Shape, reserve)}
	}
	if j.Idempotent {
		return &InfeasibleError{fmt.Sprintf("the %d matching instances of %s can't hold the shape %s", matching, s.DataCentre, j.Shape)}
	}
	return &InfeasibleError{fmt.Sprintf("the %d matching instances of %s can't hold the shape %s beside the guarantees, and the job is not preemptible", matching, s.DataCentre, j.Shape)}
}
