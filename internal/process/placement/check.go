package placement

import (
	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var (
	// ErrReclaimWitness tells that guaranteed shapes and work that can't be stopped don't fit side by side.
	ErrReclaimWitness = errors.New("invariant ReclaimWitness is broken")
	// ErrOvercommit tells that started jobs hold more than a node has.
	ErrOvercommit = errors.New("invariant NoOvercommit is broken")
	// ErrWholeGang tells that a job holds a part of its place.
	ErrWholeGang = errors.New("invariant WholeGang is broken")
)

// Check asserts the invariants of the decisions:
//
//   - ReclaimWitness: on each live node, the places of the guaranteed shapes and the borrowers that can't be stopped
//     fit side by side; each job under a guarantee stands within its shape's place; and no decision leaves more
//     shapes without a place than there were before it.
//   - NoOvercommit: what started jobs hold fits into each live node. A gang that was not found whole after a change of
//     owner is excepted: it is being stopped, and its recorded place may have been given to another job since.
//   - WholeGang: each job with a place has one for every task, as close together as its shape demands. A gang that was
//     not found whole after a change of owner is excepted.
func (s *State) Check(brokenBefore int) error {
	if s.broken > brokenBefore {
		return errors.Wrapf(ErrReclaimWitness, "%d shapes have no place, %d had none before the decision", s.broken, brokenBefore)
	}
	if err := s.checkJobs(); err != nil {
		return err
	}
	return s.checkNodes()
}

func (s *State) checkJobs() error {
	for _, j := range s.placed {
		if len(j.Place) != j.Shape.Tasks && !j.partial {
			return errors.Wrapf(ErrWholeGang, "job %s has %d places for %d tasks", j.ID, len(j.Place), j.Shape.Tasks)
		}
		if !j.partial && !adjacent(s.nodesOf(j), j.Shape.Adjacent) {
			return errors.Wrapf(ErrWholeGang, "job %s is placed on %v, demanded is %s", j.ID, j.Place, j.Shape.Adjacent)
		}
		for i, slot := range j.slots {
			if j.entry.place[slot].ID != j.Place[i] {
				return errors.Wrapf(ErrReclaimWitness, "job %s stands outside the place of %s", j.ID, j.entry.key())
			}
		}
	}
	return nil
}

func (s *State) checkNodes() error {
	reserved := make(map[*node]ids.Resources)
	for _, e := range s.entries {
		for _, n := range e.place {
			reserved[n] = reserved[n].Plus(e.shape.Each)
		}
	}
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		var started, used, fixed ids.Resources
		for _, j := range n.jobs {
			held := j.Each.Times(j.tasksOn(n.ID))
			used = used.Plus(held)
			if j.phase != allocated && !j.partial {
				started = started.Plus(held)
			}
			if j.isFixed() {
				fixed = fixed.Plus(held)
			}
		}
		if !n.Total.Fits(started) {
			return errors.Wrapf(ErrOvercommit, "node %s holds %v of %v", n.ID, started, n.Total)
		}
		if used != n.used || fixed != n.fixed || reserved[n] != n.reserved {
			return errors.Wrapf(ErrReclaimWitness, "node %s counts used %v, fixed %v, reserved %v; its jobs and shapes add up to %v, %v, %v",
				n.ID, n.used, n.fixed, n.reserved, used, fixed, reserved[n])
		}
		if reserved[n] != (ids.Resources{}) && !n.Total.Fits(reserved[n].Plus(fixed)) && s.broken == 0 {
			return errors.Wrapf(ErrReclaimWitness, "node %s has %v, guaranteed are %v beside %v that can't be stopped", n.ID, n.Total, reserved[n], fixed)
		}
	}
	return nil
}
