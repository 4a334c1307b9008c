package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// keepLimit is how long a unit waits for the workers that are being cleared for it before it looks for others:
	// a few times the longest stop, since a stop may have to be sent again.
	keepLimit = 1500 * time.Millisecond
)

// Decide starts and stops what is to be started and stopped, and returns the orders and notices since the last call.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.expire(now)
	if !s.recovering {
		s.judgeOwed()
		s.startKept(now)
		s.placeWaiting(now)
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
			s.notice(Notice{Kind: "WorkerGone", Worker: id, Cause: "it never reported, and leases of an earlier owner have ended"})
		}
	}
	for id, n := range s.nodes {
		if len(n.runs) > 0 && (!n.listed || !n.silentSince.IsZero()) && now.After(n.lapses) {
			s.notice(Notice{Kind: "WorkerLapsed", Worker: id, Cause: "it does not answer and its lease has ended"})
			s.Dead(id, "the worker's lease has ended", now)
		}
		if !n.listed && len(n.runs) == 0 && now.After(n.lapses) {
			delete(s.nodes, id)
			s.rebuildRacks()
		}
	}
}

// judgeOwed finds the jobs that guarantees cover: those of priority 0, in order, as long as an account's
// accelerators suffice.
func (s *State) judgeOwed() {
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
	for _, j := range s.live {
		for _, u := range j.units {
			if u.phase != allocated {
				continue
			}
			if !s.stillOpen(u, now) || now.Sub(u.allocatedAt) > keepLimit {
				s.unkeep(u)
				u.phase = waiting
				continue
			}
			if clear(u) {
				place := u.place
				s.unkeep(u)
				s.start(u, place, now)
			}
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

// clear reports whether a unit's workers have room for it beside all that may run there.
func clear(u *unit) bool {
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

// placeWaiting starts the waiting units that fit: by priority, the covered ones first, then by submission. Urgent units
// that don't fit stop others; the first unit of each priority that doesn't fit gets a reservation.
func (s *State) placeWaiting(now time.Time) {
	holds := &reservations{}
	for _, covered := range []bool{true, false} {
		for _, j := range s.live {
			if j.stored && covered == j.owed {
				s.placeJob(j, holds, now)
			}
		}
	}
}

// placeJob places the waiting units of a job.
func (s *State) placeJob(j *Job, holds *reservations, now time.Time) {
	full := -1
	for _, u := range j.units {
		if u.phase != waiting || now.Before(u.notBefore) || u.step == full || !u.ready() || s.blocked(u) {
			continue
		}
		place := s.findPlace(u, now, func(n *node) ids.Resources { return s.roomFor(u, n, holds, now) })
		if place != nil {
			s.start(u, place, now)
			continue
		}
		if j.Priority == 0 && s.reclaim(u, now) {
			continue
		}
		// The step's other tasks are of the same size.
		if len(u.avoid) == 0 {
			full = u.step
		}
		holds.add(s, u, now)
	}
}

// roomFor returns what a unit may use of a worker now.
func (s *State) roomFor(u *unit, n *node, holds *reservations, now time.Time) ids.Resources {
	if holds.against(s, u, n, now) {
		return ids.Resources{}
	}
	return n.free()
}
