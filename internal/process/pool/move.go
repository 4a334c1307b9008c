package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// move is the move of a unit out of an evacuated data centre. The unit is stopped and then placed like any other.
	move struct {
		unit *unit
		// number is the number of the stopped run.
		number ids.RunNumber
		// nodes are the workers on which the unit fits.
		nodes []*node
		since time.Time
	}

	// movable is a unit that may move, with its expected remaining time.
	movable struct {
		unit      *unit
		remaining time.Duration
		// seq orders units of equal remaining times.
		seq uint64
	}
)

const (
	// moveCheckInterval is the time between checks for units that may move. A check takes up to 2 ms with 2,500 workers of which one data
	// centre is full of movable tasks, so that all checks take 1% of a core.
	moveCheckInterval = 200 * time.Millisecond
	// maxMoveSearches limits the searches for a placement in one check, each of which may visit all workers.
	maxMoveSearches = 32
	// moveTimeout is the time after which a unit that was stopped to move no longer keeps others from moving to the same workers. It is
	// several times the duration of a stop.
	moveTimeout = 2 * time.Second
)

// moveEvacuated stops units with checkpoints in evacuated data centres, so that they go on elsewhere: those with the longest
// remaining times first, at a limited pace, and only onto capacity that no waiting unit needs. It is called after a
// pass, so that waiting units come first. A gang is stopped as a whole, wherever its members are.
func (s *State) moveEvacuated(now time.Time) {
	s.endMoves(now)
	if s.evacuations.IsEmpty() || now.Sub(s.movesCheckedAt) < moveCheckInterval {
		return
	}
	s.movesCheckedAt = now
	list := s.movableUnits(now)
	if len(list) == 0 {
		return
	}
	spare := s.spareResources(now)
	searches, unplaceable := 0, make(map[gangShape]bool)
	for _, m := range list {
		u := m.unit
		shape := u.shape()
		need := u.spec().Each.Times(u.count)
		if unplaceable[shape] || !spare[u.job.Service].Contains(need) {
			continue
		}
		if searches++; searches > maxMoveSearches {
			return
		}
		placement := s.movePlacement(u, now)
		if placement == nil {
			// Data in another rack may be the reason.
			unplaceable[shape] = u.spec().DataRack == ""
			continue
		}
		if !s.evacuations.MayMove(m.remaining, s.Times.Restore, now) {
			// The pace is used up, or all others end sooner.
			return
		}
		spare[u.job.Service] = spare[u.job.Service].Minus(need)
		for _, n := range placement {
			n.movingTo++
		}
		s.moves = append(s.moves, move{unit: u, number: u.number, nodes: placement, since: now})
		s.stopUnit(u, "its data centre "+string(u.evacuatedFrom())+" is being evacuated", now)
	}
}

// movableUnits returns the running units with checkpoints that have a run in an evacuated data centre, the longest remaining time first.
func (s *State) movableUnits(now time.Time) []movable {
	var list []movable
	seen := make(map[*unit]bool)
	for _, n := range s.nodes {
		if !n.evacuated {
			continue
		}
		for _, r := range n.runs {
			u := r.unit
			if u == nil || seen[u] || u.number != r.Number || u.phase != running || !u.spec().Checkpoints {
				continue
			}
			seen[u] = true
			list = append(list, movable{u, s.expectedEnd(u, now).Sub(now), u.runs[0].seq})
		}
	}
	slices.SortFunc(list, func(a, b movable) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.seq, b.seq))
	})
	return list
}

// spareResources returns the free resources by service, less those that waiting and stopping units will take.
func (s *State) spareResources(now time.Time) map[ids.ServiceID]ids.Resources {
	spare := make(map[ids.ServiceID]ids.Resources)
	for _, n := range s.nodes {
		if n.schedulable() {
			spare[n.Service] = spare[n.Service].Plus(n.free())
		}
	}
	for _, j := range s.live {
		for _, st := range j.stages {
			pending := st.inPhase[waiting] + st.inPhase[stopping]
			if u := st.units[0]; pending > 0 && st.dependenciesDone() && u.isDue(now) && s.fitsRemaining(u) {
				spare[j.Service] = spare[j.Service].Minus(st.step().Each.Times(u.count * pending))
			}
		}
	}
	return spare
}

// movePlacement returns workers outside all reservations and other moves on which a unit runs no slower than now, or nil.
func (s *State) movePlacement(u *unit, now time.Time) []*node {
	s.placingMove = true
	placement := s.findPlacement(u, now, s.reserved.all())
	s.placingMove = false
	if placement == nil || (s.isRemote(u, placement) && !u.remote) {
		return nil
	}
	return placement
}

// endMoves removes the moves that no longer keep workers from others: the unit has started again, or ended, or waits for too long.
func (s *State) endMoves(now time.Time) {
	s.moves = slices.DeleteFunc(s.moves, func(m move) bool {
		if m.unit.number == m.number && (m.unit.phase == stopping || m.unit.phase == waiting) && !m.unit.job.ended() && now.Sub(m.since) < moveTimeout {
			return false
		}
		for _, n := range m.nodes {
			n.movingTo--
		}
		return true
	})
}

// skips reports whether a worker is left out of the placement that is being looked for.
func (s *State) skips(u *unit, n *node) bool {
	return s.placingMove && n.movingTo > 0 || n.cold && (s.warmOnly || s.refillPaused(u, n))
}

// evacuatedFrom returns the evacuated data centre of a unit's runs, or "".
func (u *unit) evacuatedFrom() ids.DataCentreID {
	for _, r := range u.runs {
		if r.phase != runGone && r.node.evacuated {
			return r.node.DataCentre
		}
	}
	return ""
}

// all returns the set of all reservations.
func (h *reservations) all() uint64 {
	set := uint64(0)
	for i, r := range h.list {
		if r.unit != nil {
			set |= 1 << i
		}
	}
	return set
}
