package placement

import (
	"fmt"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// possible returns a *Never if the job could not run even with all instances free.
func (s *State) possible(j *Job) error {
	if quota := s.account(j.Account).Quota; quota > 0 && j.Shape.Total().Accelerators > quota {
		return &Never{fmt.Sprintf("the job needs %d accelerators, the quota of account %s is %d", j.Shape.Total().Accelerators, j.Account, quota)}
	}
	matching := 0
	for _, n := range s.nodes {
		if s.matches(j, n) {
			matching++
		}
	}
	if matching == 0 {
		return &Never{fmt.Sprintf("no instance of %s matches the selector %q and that of account %s", s.DataCentre, j.Selector, j.Account)}
	}
	for _, e := range s.entries {
		if e.guarantee.Account == j.Account && s.mayHold(e, j) {
			return nil
		}
	}
	empty := func(n *node) ids.Resources {
		if !s.matches(j, n) {
			return ids.Resources{}
		}
		if j.Idempotent {
			return n.Total
		}
		return n.Total.Minus(n.reserved)
	}
	none := func(*node, int) float64 { return 0 }
	w := search{tasks: j.Shape.Tasks, each: j.Shape.Each, adjacent: j.Shape.Adjacent, room: empty, cost: none, first: true}
	if s.find(w) != nil {
		return nil
	}
	if j.Idempotent {
		return &Never{fmt.Sprintf("the %d matching instances of %s can't hold the shape %s", matching, s.DataCentre, j.Shape)}
	}
	return &Never{fmt.Sprintf("the %d matching instances of %s can't hold the shape %s beside the guarantees, and the job can't be stopped for them", matching, s.DataCentre, j.Shape)}
}
