package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// keepLimit is how long a unit waits for the workers that are being cleared for it before it looks for others:
	// a few times the longest stop, since a stop may have to be sent again.
	keepLimit = 1500 * time.Millisecond
	// lookInterval is the longest time between looks for room: estimates change with time alone.
	lookInterval = 250 * time.Millisecond
)

// Decide starts and stops what is to be started and stopped, and returns the orders and notices since the last call.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.expire(now)
	if !s.recovering {
		s.judgeOwed()
		s.startKept(now)
		if s.tried != s.growth || now.Sub(s.triedAt) > lookInterval || (!s.retryAt.IsZero() && !now.Before(s.retryAt)) {
			s.retryAt, s.triedAt = time.Time{}, now
			s.placeWaiting(now)
			// What the starts themselves have changed leaves less room than before.
			s.tried = s.growth
		}
	}
	actions, notices := s.actions, s.notices
	s.actions, s.notices = nil, nil
	return actions, notices
}

// expire takes what must have ended by now as gone.
func (s *State) expire(now time.Time) {
	for id, until := range s.unknown {
		if !now.Before(until) {
			delete(s.unknown, id)
			s.grow()
			s.notice(Notice{Kind: "WorkerGone", Worker: id, Cause: "it never reported, and leases of an earlier owner have ended"})
		}
	}
	for n := range s.suspects {
		id := n.ID
		if !n.quarantined.IsZero() && !now.Before(n.quarantined) {
			n.quarantined = time.Time{}
			// It counts as slower until it has shown its pace.
			n.setPace(min(n.pace, slowerPace))
			s.grow()
		}
		if !n.silentSince.IsZero() {
			s.expireBroken(n)
		}
		if len(n.runs) > 0 && (!n.listed || !n.silentSince.IsZero()) && now.After(n.lapses) {
			s.notice(Notice{Kind: "WorkerLapsed", Worker: id, Cause: "it does not answer and its lease has ended"})
			n.known = false
			s.mark(n)
			for r := range n.runs {
				s.runLost(r, "the worker's lease has ended", now)
			}
		}
		if !n.listed && len(n.runs) == 0 && now.After(n.lapses) {
			delete(s.nodes, id)
			delete(s.suspects, n)
			s.rebuildRacks()
		}
		if n.listed && n.silentSince.IsZero() && n.quarantined.IsZero() {
			delete(s.suspects, n)
		}
	}
}

// expireBroken frees the runs of broken gangs on a silent worker. A gang is broken on all workers once one of its members
// has ended. If all others have told of that and name no other cause, it was a member on the silent worker that ended.
func (s *State) expireBroken(n *node) {
	for r := range n.runs {
		if r.unit == nil || !r.unit.broken || r.unit.phase != stopping || !r.unit.onlyOn(n) {
			continue
		}
		if !r.known || r.unanswered {
			// Its start may still be carried out.
			continue
		}
		if r.unit.failuresWith(r.Number) >= r.unit.job.MaxAttempts {
			// It may have failed there for the last time that its queue allows.
			continue
		}
		r.unit.unsure = append(r.unit.unsure, r.Number)
		s.notice(Notice{Kind: "RunGone", Job: r.Job, Step: r.Step, Number: r.Number, Worker: n.ID, Cause: "its gang is broken, and the worker is silent"})
		s.gone(r)
		s.settle(r.unit)
	}
}

// failuresWith returns how often the unit has failed, with the runs that may have failed unseen and a further one.
func (u *unit) failuresWith(number ids.RunNumber) int {
	all := slices.Concat(u.failed, u.unsure, []ids.RunNumber{number})
	slices.Sort(all)
	return len(slices.Compact(all))
}

// onlyOn reports whether the runs of a unit that are left are all on one worker.
func (u *unit) onlyOn(n *node) bool {
	for _, r := range u.runs {
		if r.phase != runGone && r.node != n {
			return false
		}
	}
	return true
}

// judgeOwed finds the jobs that guarantees cover: those of priority 0, in order, as long as an account's
// accelerators suffice.
func (s *State) judgeOwed() {
	if !s.owedChanged {
		return
	}
	s.owedChanged = false
	sums := make(map[ids.AccountID]ids.Accelerators)
	for _, j := range s.live {
		if j.Priority != 0 {
			break
		}
		sums[j.Account] += j.accelerators()
		j.owed = sums[j.Account] <= s.accounts[j.Account].Guaranteed
	}
}

// startKept starts the units whose workers have been cleared.
func (s *State) startKept(now time.Time) {
	for _, u := range slices.Clone(s.kept) {
		if !s.stillOpen(u, now) || now.Sub(u.allocatedAt) > keepLimit {
			s.unkeep(u)
			u.phase = waiting
			continue
		}
		if isClear(u) {
			place := u.place
			s.unkeep(u)
			s.start(u, place, now)
		}
	}
}

func (s *State) stillOpen(u *unit, now time.Time) bool {
	for _, n := range u.place {
		if !n.open(now) {
			return false
		}
	}
	return true
}

// isClear reports whether a unit's workers have room for it beside all that may run there.
func isClear(u *unit) bool {
	need := make(map[*node]int)
	for _, n := range u.place {
		need[n]++
	}
	for n, tasks := range need {
		if !n.Total.Minus(n.used).Fits(u.spec().Each.Times(tasks)) {
			return false
		}
	}
	return true
}

// placeWaiting starts the waiting units that fit: the covered ones first, then by priority, turn and submission. Urgent
// units that don't fit stop others; the first units of each priority that don't fit get reservations.
func (s *State) placeWaiting(now time.Time) {
	p := &pass{now: now, most: s.sumRoom(now)}
	for _, covered := range []bool{true, false} {
		for _, j := range s.live {
			if covered && j.Priority != 0 {
				break
			}
			if j.stored && covered == j.owed {
				s.placeJob(j, p)
			}
		}
	}
}

// pass is one look for room for all that waits.
type pass struct {
	now time.Time
	// most is a bound on what is free in one rack.
	most  ids.Resources
	holds reservations
}

// sumRoom sums what is free in each rack and in all, and returns a bound on what is free in one.
func (s *State) sumRoom(now time.Time) ids.Resources {
	for _, r := range s.racks {
		r.sumRoom(now)
	}
	return s.sumRacks()
}

// sumRoomOf is sumRoom after a change on some workers.
func (s *State) sumRoomOf(changed []*node, now time.Time) ids.Resources {
	for i, n := range changed {
		if i == 0 || n.rack != changed[i-1].rack {
			n.rack.sumRoom(now)
		}
	}
	return s.sumRacks()
}

func (s *State) sumRacks() ids.Resources {
	var most, all ids.Resources
	for _, r := range s.racks {
		most = atLeast(most, r.room)
		all = all.Plus(r.room)
	}
	s.whole.room = all
	return most
}

func (r *rack) sumRoom(now time.Time) {
	r.room = ids.Resources{}
	for _, n := range r.nodes {
		if n.open(now) {
			r.room = r.room.Plus(n.free().NotBelowZero())
		}
	}
}

func atLeast(a, b ids.Resources) ids.Resources {
	return ids.Resources{Accelerators: max(a.Accelerators, b.Accelerators), Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory)}
}

// mayFit reports whether a unit is within the bound of what is free.
func (p *pass) mayFit(s *State, u *unit) bool {
	need := u.spec().Each.Times(u.count)
	if u.count > 1 && u.spec().SameRack && s.fitsOneRack(u) {
		return p.most.Fits(need)
	}
	return s.whole.room.Fits(need)
}

// placeJob places the waiting units of a job.
func (s *State) placeJob(j *Job, p *pass) {
	full := -1
	for _, u := range j.units {
		if u.phase != waiting || u.strays > 0 || u.step == full || !u.ready() || s.blocked(u) {
			continue
		}
		if at := later(u.notBefore, u.job.Schedule.due(u.occurrence)); p.now.Before(at) {
			if s.retryAt.IsZero() || at.Before(s.retryAt) {
				s.retryAt = at
			}
			continue
		}
		if p.mayFit(s, u) {
			if place := s.findPlace(u, p.now, func(n *node) ids.Resources { return s.roomFor(u, n, &p.holds, p.now) }); place != nil {
				s.start(u, place, p.now)
				p.most = s.sumRoomOf(place, p.now)
				continue
			}
		}
		if j.Priority == 0 && s.reclaim(u, p.now) {
			p.most = s.sumRoomOf(u.place, p.now)
			continue
		}
		// The step's other tasks are of the same size.
		if len(u.avoid) == 0 {
			full = u.step
		}
		p.holds.add(s, u, p.now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// roomFor returns what a unit may use of a worker now.
func (s *State) roomFor(u *unit, n *node, holds *reservations, now time.Time) ids.Resources {
	if holds.against(s, u, n, now) {
		return ids.Resources{}
	}
	return n.free()
}
