package placement

import (
	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var (
	// ErrReclaimWitness reports that guaranteed shapes and non-preemptible jobs don't fit at the same time.
	ErrReclaimWitness = errors.New("invariant ReclaimWitness is broken")
	// ErrOvercommit reports that started jobs hold more than a node has.
	ErrOvercommit = errors.New("invariant NoOvercommit is broken")
	// ErrWholeGang reports that a gang is only partly placed or violates its adjacency.
	ErrWholeGang = errors.New("invariant WholeGang is broken")
)

// Check verifies the invariants of the scheduling decisions. unplacedBefore is the number of unplaced guaranteed shapes
// before the decision.
//
//   - ReclaimWitness: on each live node, the reserved guaranteed shapes and the non-preemptible borrowers fit at the
//     same time; each job under a guarantee uses only the nodes reserved for its shape; and no decision increases the
//     number of unplaced shapes.
//   - NoOvercommit: the resources of started jobs fit into each live node. Gangs found incomplete after a takeover are
//     exempt: they are being stopped, and their recorded nodes may have been assigned to other jobs since.
//   - WholeGang: each placed job has a node for every task, and the nodes satisfy its shape's adjacency. Gangs found
//     incomplete after a takeover are exempt.
func (s *State) Check(unplacedBefore int) error {
	if s.unplacedCount > unplacedBefore {
		return errors.Wrapf(ErrReclaimWitness, "%d guaranteed shapes are unplaced, %d were before the decision", s.unplacedCount, unplacedBefore)
	}
	if err := s.checkJobs(); err != nil {
		return err
	}
	return s.checkNodes()
}

func (s *State) checkJobs() error {
	for _, j := range s.placed {
		if len(j.Place) != j.Shape.Tasks && !j.partial {
			return errors.Wrapf(ErrWholeGang, "job %s has %d nodes for %d tasks", j.ID, len(j.Place), j.Shape.Tasks)
		}
		if !j.partial && !satisfiesAdjacency(s.nodesOf(j), j.Shape.Adjacent) {
			return errors.Wrapf(ErrWholeGang, "job %s is placed on %v, required adjacency is %s", j.ID, j.Place, j.Shape.Adjacent)
		}
		for i, slot := range j.slots {
			if j.entitlement.place[slot].ID != j.Place[i] {
				return errors.Wrapf(ErrReclaimWitness, "job %s uses nodes outside those of shape %s", j.ID, j.entitlement.key())
			}
		}
	}
	return nil
}

func (s *State) checkNodes() error {
	reserved := make(map[*node]ids.Resources)
	for _, e := range s.entitlements {
		for _, n := range e.place {
			reserved[n] = reserved[n].Plus(e.shape.Each)
		}
	}
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		var started, used, nonPreemptible ids.Resources
		for _, j := range n.jobs {
			held := j.Each.Times(j.tasksOn(n.ID))
			used = used.Plus(held)
			if j.phase != allocated && !j.partial {
				started = started.Plus(held)
			}
			if j.isNonPreemptibleBorrower() {
				nonPreemptible = nonPreemptible.Plus(held)
			}
		}
		if !n.Total.Contains(started) {
			return errors.Wrapf(ErrOvercommit, "node %s holds %v of %v", n.ID, started, n.Total)
		}
		if used != n.used || nonPreemptible != n.nonPreemptible || reserved[n] != n.reserved {
			return errors.Wrapf(ErrReclaimWitness, "node %s counts used %v, non-preemptible %v, reserved %v; its jobs and shapes add up to %v, %v, %v",
				n.ID, n.used, n.nonPreemptible, n.reserved, used, nonPreemptible, reserved[n])
		}
		if reserved[n] != (ids.Resources{}) && !n.Total.Contains(reserved[n].Plus(nonPreemptible)) && s.unplacedCount == 0 {
			return errors.Wrapf(ErrReclaimWitness, "node %s has %v, but %v are reserved for guarantees and %v non-preemptible", n.ID, n.Total, reserved[n], nonPreemptible)
		}
	}
	return nil
}
