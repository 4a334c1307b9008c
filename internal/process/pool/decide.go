package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// preemptionTimeout is how long a unit waits for preempted runs to end before it looks for another placement: a few times
	// the longest stop, since a stop order may have to be sent again.
	preemptionTimeout = 1500 * time.Millisecond
	// maxPassInterval is the longest time between scheduling passes: estimates change with time even without events.
	maxPassInterval = 250 * time.Millisecond
)

// Decide places waiting units, preempts others where needed, and returns the actions and notices since the last call.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.expire(now)
	if !s.recovering {
		s.updateGuaranteed()
		s.startPreempting(now)
		if s.servedRequests != s.passRequests || now.Sub(s.lastPassAt) > maxPassInterval || (!s.retryAt.IsZero() && !now.Before(s.retryAt)) {
			s.retryAt, s.lastPassAt = time.Time{}, now
			s.placeWaiting(now)
			// Starting units only reduces the free capacity, so no further pass is needed.
			s.servedRequests = s.passRequests
		}
	}
	actions, notices := s.actions, s.notices
	s.actions, s.notices = nil, nil
	return actions, notices
}

// expire handles everything whose time limit has passed.
func (s *State) expire(now time.Time) {
	for id, until := range s.unknown {
		if !now.Before(until) {
			delete(s.unknown, id)
			s.requestPass()
			s.notice(Notice{Kind: "WorkerGone", Worker: id, Cause: "it never reported, and leases of an earlier owner have expired"})
		}
	}
	for n := range s.suspects {
		id := n.ID
		if !n.quarantinedUntil.IsZero() && !now.Before(n.quarantinedUntil) {
			n.quarantinedUntil = time.Time{}
			// The worker counts as slower until its progress shows otherwise.
			n.setLogSlowdown(min(n.logSlowdown, logSlowerThreshold))
			s.requestPass()
		}
		if !n.silentSince.IsZero() {
			s.expireBrokenRuns(n)
		}
		if len(n.runs) > 0 && (!n.listed || !n.silentSince.IsZero()) && now.After(n.leaseExpiry) {
			s.notice(Notice{Kind: "WorkerLapsed", Worker: id, Cause: "it does not answer and its lease has expired"})
			n.reported = false
			s.markChanged(n)
			for r := range n.runs {
				s.runLost(r, "the worker's lease has expired", now)
			}
		}
		if !n.listed && len(n.runs) == 0 && now.After(n.leaseExpiry) {
			delete(s.nodes, id)
			delete(s.suspects, n)
			s.rebuildRacks()
		}
		if n.listed && n.silentSince.IsZero() && n.quarantinedUntil.IsZero() {
			delete(s.suspects, n)
		}
	}
}

// expireBrokenRuns removes the runs of broken gangs on a silent worker. A gang is broken on all workers once one member has
// ended. If the other workers report only that another member was lost, the member that ended was on the silent worker.
func (s *State) expireBrokenRuns(n *node) {
	for r := range n.runs {
		if r.unit == nil || !r.unit.broken || r.unit.phase != stopping || !r.unit.runsOnlyOn(n) {
			continue
		}
		if !r.reported || r.startUnanswered {
			// The start order may still be carried out.
			continue
		}
		if r.unit.possibleFailures(r.Number) >= r.unit.job.MaxAttempts {
			// The run may have failed there, which would be the last failure that the queue allows.
			continue
		}
		r.unit.maybeFailedRuns = append(r.unit.maybeFailedRuns, r.Number)
		s.notice(Notice{Kind: "RunGone", Job: r.Job, Step: r.Step, Number: r.Number, Worker: n.ID, Cause: "its gang is broken, and the worker is silent"})
		s.removeRun(r)
		s.requeueStopped(r.unit)
	}
}

// possibleFailures returns the number of distinct runs that have or may have failed, including the given one.
func (u *unit) possibleFailures(number ids.RunNumber) int {
	all := slices.Concat(u.failedRuns, u.maybeFailedRuns, []ids.RunNumber{number})
	slices.Sort(all)
	return len(slices.Compact(all))
}

// runsOnlyOn reports whether all remaining runs of the unit are on one worker.
func (u *unit) runsOnlyOn(n *node) bool {
	for _, r := range u.runs {
		if r.phase != runGone && r.node != n {
			return false
		}
	}
	return true
}

// updateGuaranteed determines which jobs of priority 0 are covered by their account's guarantee, in queue order.
func (s *State) updateGuaranteed() {
	if !s.guaranteedChanged {
		return
	}
	s.guaranteedChanged = false
	sums := make(map[ids.AccountID]ids.Accelerators)
	for _, j := range s.live {
		if j.Priority != 0 {
			break
		}
		sums[j.Account] += j.accelerators()
		j.guaranteed = sums[j.Account] <= s.accounts[j.Account].Guaranteed
	}
}

// startPreempting starts the units whose reserved workers have enough free resources.
func (s *State) startPreempting(now time.Time) {
	for _, u := range slices.Clone(s.preempting) {
		if !s.placementSchedulable(u, now) || now.Sub(u.preemptingSince) > preemptionTimeout {
			s.releasePlacement(u)
			u.phase = waiting
			continue
		}
		if placementFree(u) {
			placement := u.placement
			s.releasePlacement(u)
			s.startUnit(u, placement, now)
		}
	}
}

func (s *State) placementSchedulable(u *unit, now time.Time) bool {
	for _, n := range u.placement {
		if !n.schedulable(now) {
			return false
		}
	}
	return true
}

// placementFree reports whether a unit's reserved workers have enough unused resources for it.
func placementFree(u *unit) bool {
	need := make(map[*node]int)
	for _, n := range u.placement {
		need[n]++
	}
	for n, tasks := range need {
		if !n.Total.Minus(n.used).Contains(u.spec().Each.Times(tasks)) {
			return false
		}
	}
	return true
}

// placeWaiting starts the waiting units that fit, guaranteed jobs first, then by priority, start tag and submission time.
// Units of priority 0 that don't fit preempt others; the first gangs of each priority that don't fit get reservations.
func (s *State) placeWaiting(now time.Time) {
	p := &pass{now: now, maxRackFree: s.sumFree(now)}
	for _, guaranteed := range []bool{true, false} {
		for _, j := range s.live {
			if guaranteed && j.Priority != 0 {
				break
			}
			if j.stored && guaranteed == j.guaranteed {
				s.placeJob(j, p)
			}
		}
	}
}

// pass is the state of one scheduling pass.
type pass struct {
	now time.Time
	// maxRackFree is an upper bound on the free resources of any single rack.
	maxRackFree ids.Resources
	reserved    reservations
}

// sumFree sums the free resources of each rack and of the pool, and returns an upper bound for any single rack.
func (s *State) sumFree(now time.Time) ids.Resources {
	for _, r := range s.racks {
		r.sumFree(now)
	}
	return s.sumRacksFree()
}

// updateFree does the same as sumFree after changes on the given workers, which are grouped by rack.
func (s *State) updateFree(changed []*node, now time.Time) ids.Resources {
	for i, n := range changed {
		if i == 0 || n.rack != changed[i-1].rack {
			n.rack.sumFree(now)
		}
	}
	return s.sumRacksFree()
}

func (s *State) sumRacksFree() ids.Resources {
	var most, all ids.Resources
	for _, r := range s.racks {
		most = maxOfEach(most, r.freeSum)
		all = all.Plus(r.freeSum)
	}
	s.wholePool.freeSum = all
	return most
}

func (r *rack) sumFree(now time.Time) {
	r.freeSum = ids.Resources{}
	for _, n := range r.nodes {
		if n.schedulable(now) {
			r.freeSum = r.freeSum.Plus(n.free().ClampToZero())
		}
	}
}

func maxOfEach(a, b ids.Resources) ids.Resources {
	return ids.Resources{Accelerators: max(a.Accelerators, b.Accelerators), Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory)}
}

// mayFit reports whether the unit's needs are within the upper bound on free resources.
func (p *pass) mayFit(s *State, u *unit) bool {
	need := u.spec().Each.Times(u.count)
	if u.count > 1 && u.spec().SameRack && s.fitsOneRack(u) {
		return p.maxRackFree.Contains(need)
	}
	return s.wholePool.freeSum.Contains(need)
}

// placeJob places the waiting units of a job.
func (s *State) placeJob(j *Job, p *pass) {
	fullStep := -1
	for _, u := range j.units {
		if u.phase != waiting || u.staleRuns > 0 || u.step == fullStep || !u.dependenciesDone() || s.blocked(u) {
			continue
		}
		if at := laterOf(u.notBefore, u.job.Schedule.due(u.occurrence)); p.now.Before(at) {
			if s.retryAt.IsZero() || at.Before(s.retryAt) {
				s.retryAt = at
			}
			continue
		}
		if p.mayFit(s, u) {
			if placement := s.findPlacement(u, p.now, func(n *node) ids.Resources { return s.availableTo(u, n, &p.reserved, p.now) }); placement != nil {
				s.startUnit(u, placement, p.now)
				p.maxRackFree = s.updateFree(placement, p.now)
				continue
			}
		}
		if j.Priority == 0 && s.preempt(u, p.now) {
			p.maxRackFree = s.updateFree(u.placement, p.now)
			continue
		}
		// The step's other tasks need the same resources.
		if len(u.avoidUntil) == 0 {
			fullStep = u.step
		}
		p.reserved.add(s, u, p.now)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// availableTo returns the resources of a worker that a unit may use now.
func (s *State) availableTo(u *unit, n *node, reserved *reservations, now time.Time) ids.Resources {
	if reserved.conflicts(s, u, n, now) {
		return ids.Resources{}
	}
	return n.free()
}
