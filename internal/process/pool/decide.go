package pool

import (
	"cmp"
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
	// preemptionCheckInterval is the time between checks of the units that wait for preempted runs while no worker changes.
	preemptionCheckInterval = 50 * time.Millisecond
	// overdueInterval is the time between updates of the jobs that can't meet their objectives any more.
	overdueInterval = 100 * time.Millisecond
)

// Decide places waiting units, preempts others where needed, and returns the actions and notices since the last call.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.expire(now)
	s.judgeCrashes(now)
	s.checkTrials(now)
	s.updateCold(now)
	if !s.recovering {
		s.updateGuaranteed()
		s.evacuate(now)
	}
	s.updateSpeeds(now)
	if !s.recovering && !s.held {
		s.startPreempting(now)
		if s.servedRequests != s.passRequests || now.Sub(s.lastPassAt) > maxPassInterval || (!s.retryAt.IsZero() && !now.Before(s.retryAt)) {
			s.retryAt, s.lastPassAt = time.Time{}, now
			s.placeWaiting(now)
			// Starting units only reduces the free capacity, so no further pass is needed.
			s.servedRequests = s.passRequests
			s.moveEvacuated(now)
		}
	}
	s.completeLosses()
	actions, notices := s.actions, s.notices
	s.actions, s.notices = nil, nil
	return actions, notices
}

// Results returns how many actions and notices the next call of Decide returns besides those of the pass.
func (s *State) Results() int { return len(s.actions) + len(s.notices) }

// HoldStarts sets whether waiting units are held, so that nothing is started.
func (s *State) HoldStarts(hold bool) {
	if s.held != hold {
		s.held = hold
		s.requestPass()
	}
}

// expire handles everything whose time limit has passed.
func (s *State) expire(now time.Time) {
	s.expireLateOrders(now)
	for id, until := range s.unknown {
		if n := s.nodes[id]; n != nil && !n.reportedAt.IsZero() {
			if n.silentSince.IsZero() {
				// It answers, and lists the rest of its ends with its next reports.
				continue
			}
			// This owner may have ordered a lease since it answered.
			until = laterOf(until, n.leaseExpiry)
		}
		if !now.Before(until) {
			delete(s.unknown, id)
			s.requestPass()
			s.notice(Notice{Kind: "WorkerGone", Worker: id, Cause: "it has not reported all of its runs, and its leases have expired"})
		}
	}
	if s.adopting {
		s.endAdoption(now)
	}
	for n := range s.suspects {
		if _, unknown := s.unknown[n.ID]; n.isIdleSilent() && !unknown {
			delete(s.suspects, n)
			continue
		}
		id := n.ID
		if !n.quarantinedUntil.IsZero() && !now.Before(n.quarantinedUntil) {
			n.quarantinedUntil = time.Time{}
			s.capacityChanged(n)
			// The worker counts as slower until its progress shows otherwise.
			n.setLogSlowdown(min(n.logSlowdown, logSlowerThreshold))
			s.requestPass()
		}
		if !n.silentSince.IsZero() {
			s.expireBrokenRuns(n, now)
		}
		s.expireWorker(n, now)
		if !n.listed && len(n.runs) == 0 && (n.left || n.processEnded && n.Draining || now.After(n.leaseExpiry)) {
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
func (s *State) expireBrokenRuns(n *node, now time.Time) {
	for _, r := range slices.Clone(n.runs) {
		if r.unit == nil || !r.unit.broken || r.unit.phase != stopping || !r.unit.runsOnlyOn(n) {
			continue
		}
		if !r.reported || r.startUnanswered {
			// The start order may still be carried out.
			continue
		}
		if r.unit.isSuspected() {
			// Its next start depends on whether the worker has crashed.
			continue
		}
		if r.unit.possibleFailures(r.Number) >= r.unit.job.MaxAttempts {
			// The run may have failed there, which would be the last failure that the queue allows.
			continue
		}
		r.unit.maybeFailedRuns = append(r.unit.maybeFailedRuns, r.Number)
		r.unit.unreportedOn = append(r.unit.unreportedOn, n.ID)
		s.markDirty(r.unit.job)
		s.recordLoss(r, "its gang is broken, and the worker is silent", now)
		s.recordUnseen(n, []lostRun{r.lost()}, now)
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
		j.guaranteed = sums[j.Account] <= s.guaranteeOf(j.Account)
	}
}

// startPreempting starts the units whose reserved workers have enough free resources.
func (s *State) startPreempting(now time.Time) {
	if len(s.preempting) == 0 || (s.preemptingChanges == s.capacityChanges && now.Sub(s.preemptingCheckedAt) < preemptionCheckInterval) {
		return
	}
	for _, u := range slices.Clone(s.preempting) {
		if placementSchedulable(u) && placementFree(u) && !(u.mustStoreStart() && u.job.crashVersion > u.job.storedVersion) {
			placement := u.placement
			s.releasePlacement(u)
			s.startUnit(u, placement, now)
			continue
		}
		limit := preemptionTimeout
		if !s.allStopping(u) {
			// A run that was expected to end by itself has not.
			limit = s.Times.Stop
		}
		if !placementSchedulable(u) || now.Sub(u.preemptingSince) > limit {
			s.releasePlacement(u)
			u.setPhase(waiting)
		}
	}
	s.preemptingChanges, s.preemptingCheckedAt = s.capacityChanges, now
}

// allStopping reports whether the runs that block a unit's reserved workers are all being stopped.
func (s *State) allStopping(u *unit) bool {
	for _, n := range u.placement {
		stopped := ids.Resources{}
		for _, r := range n.runs {
			if s.isEnding(r) {
				stopped = stopped.Plus(r.resources)
			}
		}
		if !n.Total.Minus(n.used).Plus(stopped).Contains(n.held) {
			return false
		}
	}
	return true
}

func placementSchedulable(u *unit) bool {
	for _, n := range u.placement {
		if !n.schedulable() {
			return false
		}
	}
	return true
}

// placementFree reports whether a unit's reserved workers have enough unused resources for it. The tasks on one worker are
// adjacent in a placement.
func placementFree(u *unit) bool {
	tasks := 0
	for i, n := range u.placement {
		tasks++
		if i+1 < len(u.placement) && u.placement[i+1] == n {
			continue
		}
		if !n.Total.Minus(n.used).Contains(u.spec().Each.Times(tasks)) {
			return false
		}
		tasks = 0
	}
	return true
}

// placeWaiting starts the waiting units that fit, in the order of compareOrder. Units of priority 0 that don't fit preempt
// others; the first gangs of each priority that don't fit get reservations.
func (s *State) placeWaiting(now time.Time) {
	s.reserved.refresh(now)
	s.updateOverdue(now)
	s.trialVisits = 0
	for from := 0; from < len(s.live); {
		to := from
		for to < len(s.live) && s.live[to].Priority == s.live[from].Priority {
			to++
		}
		s.placeJobs(s.live[from:to], now)
		from = to
	}
}

// placeJobs places the waiting units of jobs of one priority.
func (s *State) placeJobs(jobs []*Job, now time.Time) {
	if jobs[0].Priority == 0 {
		for _, j := range jobs {
			if j.stored && j.guaranteed {
				s.placeJob(j, now)
			}
		}
	}
	overdue := s.overdueJobs[:0]
	for _, j := range jobs {
		if !j.stored {
			continue
		}
		switch j.orderClass() {
		case regularClass:
			s.placeJob(j, now)
		case overdueClass:
			overdue = append(overdue, j)
		}
	}
	s.overdueJobs = overdue
	for _, j := range overdue {
		s.placeJob(j, now)
	}
}

// updateOverdue determines periodically which jobs can't meet their objectives any more. Those with started tasks keep their
// order, since they may need only a few more workers.
func (s *State) updateOverdue(now time.Time) {
	if now.Sub(s.overdueUpdatedAt) < overdueInterval {
		return
	}
	s.overdueUpdatedAt = now
	for _, j := range s.live {
		j.overdue = j.Priority > 0 && !j.ordered && now.Add(s.criticalPath(j)).After(j.units[0].releaseTime().Add(s.Objective(j)))
	}
}

// The order classes of jobs of one priority. An overdue job waits for those that can still meet their objectives: serving it first
// would make them overdue too.
const (
	guaranteedClass = iota
	regularClass
	overdueClass
)

func (j *Job) orderClass() int {
	switch {
	case j.guaranteed:
		return guaranteedClass
	case j.overdue:
		return overdueClass
	}
	return regularClass
}

// compareOrder orders jobs by priority, class, start tag and submission time.
func compareOrder(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.orderClass(), b.orderClass()), compareJobs(a, b))
}

// placeJob places the waiting units of a job.
func (s *State) placeJob(j *Job, now time.Time) {
	s.openDue(j, now)
	for _, st := range j.stages {
		if st.inPhase[waiting] == 0 || !st.dependenciesDone() {
			continue
		}
		for _, u := range st.units {
			if u.phase != waiting || u.staleRuns > 0 || s.blocked(u) {
				continue
			}
			if delay := u.startDelay(now); delay > 0 {
				if !s.retryOnProven(u, now) {
					s.retryBy(now.Add(delay))
				}
				continue
			}
			if s.adopting {
				// Other units wait for workers that do not answer.
				s.settleStarted(u, now)
			}
			if j.ended() {
				return
			}
			if u.awaitsVerdict() {
				continue
			}
			if started, mayShare := s.placeTrial(u, now); started || !mayShare {
				continue
			}
			if !s.placeUnit(u, now) && len(u.avoidUntil) == 0 {
				// The step's other tasks need the same resources.
				break
			}
		}
	}
}

// retryBy requests a scheduling pass at the given time at the latest.
func (s *State) retryBy(at time.Time) {
	if s.retryAt.IsZero() || at.Before(s.retryAt) {
		s.retryAt = at
	}
}

// placeUnit starts a unit or preempts others for it. It returns false if the unit has to wait for free resources.
func (s *State) placeUnit(u *unit, now time.Time) bool {
	if s.mayFit(u) && s.leavesHeadroom(u, now) {
		if placement := s.findPlacement(u, now, s.conflicts(u, now)); placement != nil {
			s.startUnit(u, placement, now)
			return true
		}
	}
	if u.job.Priority == 0 && s.preempt(u, now) {
		return true
	}
	if s.speeds.unequal && u.job.Priority == 0 && s.mayFit(u) {
		// The unit is late on the free workers, but neither can it preempt others.
		if placement := s.findFastest(u, now, s.conflicts(u, now), speedClasses-1); placement != nil {
			s.startUnit(u, placement, now)
			return true
		}
	}
	if placement := s.spreadIfIdle(u, now); placement != nil {
		s.startUnit(u, placement, now)
		return true
	}
	s.reserve(u, now)
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
