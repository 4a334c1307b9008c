package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// trialNeed is how a unit under which workers have crashed is started.
type trialNeed int

const (
	noTrial trialNeed = iota
	// trialPreferred units are started on workers of their own if some become free within trialWait.
	trialPreferred
	// trialRequired units are started only on workers of their own, which are kept free of others for them.
	trialRequired
)

const (
	// trialWait is how long a unit after its first crash waits for a free worker. With the time until the crash is noticed it is shorter than the 3 s for
	// which a job may have nothing running in a pool with room.
	trialWait = time.Second
	// trialMargin is added to twice the age of the oldest crash to get the length of a trial.
	trialMargin = 500 * time.Millisecond
	// crashRecency is how long after its crash a worker is avoided by trials, and a crash without a cause makes others inconclusive: what crashed the worker
	// may crash it again, or others.
	crashRecency = 10 * time.Second
	// maxTrialVisits is the number of workers that a pass looks at for trials, which bounds it however many units wait: 16 searches among 3,000 workers, of 0.4 ms each.
	// A unit without workers looks again after trialSearchInterval for each worker.
	maxTrialVisits      = 48000
	trialSearchInterval = 10 * time.Microsecond
	// maxTrialShare is the share of the workers that trials may take. One trial is always possible.
	maxTrialShare = 0.25
	// requiredTrialFrom is the number of crashes in a row from which a trial is required, and wholeTrialFrom the number of all crashes from which it lasts
	// for the whole run.
	requiredTrialFrom = 2
	wholeTrialFrom    = 3
)

// trialNeed returns how a unit must be started.
func (u *unit) trialNeed() trialNeed {
	if len(u.crashes.list) == 0 {
		return noTrial
	}
	row, last := u.crashesInRow(), u.crashes.list[len(u.crashes.list)-1]
	switch {
	case row >= requiredTrialFrom, u.isTriedToItsEnd():
		return trialRequired
	case row > 0 && last.Age <= youngRun && !last.Coincident:
		return trialPreferred
	}
	return noTrial
}

// isSuspected reports whether workers have crashed under the unit since a run of it outlived its trial.
func (u *unit) isSuspected() bool {
	return len(u.crashes.list) > u.crashes.survived || u.isTriedToItsEnd()
}

// isTriedToItsEnd reports whether so many workers have crashed under the unit that only the end of a run shows that it is sound.
func (u *unit) isTriedToItsEnd() bool { return u.crashCount() >= wholeTrialFrom && u.seenCrashes() > 0 }

// trialTime returns how long a run must last to end its trial, and whether it can do so before the end of the run.
func (u *unit) trialTime() (time.Duration, bool) {
	if u.isTriedToItsEnd() {
		return 0, false
	}
	return u.trialLength(), true
}

// trialLength returns how long a run outlives what crashed the unit's workers before.
func (u *unit) trialLength() time.Duration {
	oldest := time.Duration(0)
	for _, c := range u.crashes.list[u.crashes.survived:] {
		oldest = max(oldest, c.Age)
	}
	return 2*oldest + trialMargin
}

// placeTrial starts a unit on workers of its own. It returns false if the unit has to wait, and whether it may be placed like any other.
func (s *State) placeTrial(u *unit, now time.Time) (started, mayShare bool) {
	need := u.trialNeed()
	if need == noTrial {
		return false, true
	}
	if u.crashes.waitsSince.IsZero() {
		u.crashes.waitsSince = now
	}
	if placement := u.trialPlacement; placement != nil && s.mayUse(u, placement, now) {
		if u.job.crashVersion > u.job.storedVersion {
			return false, false
		}
		if u.isStartStored(placement) {
			u.trialPlacement = nil
			s.startUnit(u, placement, now)
			return true, false
		}
		// A worker has restarted meanwhile.
	}
	u.trialPlacement = nil
	if need == trialPreferred && !now.Before(u.crashes.waitsSince.Add(trialWait)) {
		return false, true
	}
	interval := time.Duration(len(s.nodes)) * trialSearchInterval
	if now.Before(u.crashes.searchAt) || s.trialVisits > maxTrialVisits {
		s.retryBy(laterOf(u.crashes.searchAt, now.Add(interval)))
		return false, false
	}
	s.trialVisits += len(s.nodes)
	if placement := s.findTrialPlacement(u, now); placement != nil {
		// The next owner must know of the start, so it is stored first. Nothing else starts on the workers meanwhile.
		s.isolate(u, placement)
		u.trialPlacement = placement
		s.storeStart(u, placement)
		return false, false
	}
	if need == trialRequired {
		s.keepFree(u, now)
	}
	u.crashes.searchAt = now.Add(interval)
	s.retryBy(u.crashes.searchAt)
	return false, false
}

// mayUse reports whether the workers of a planned trial are still free and take runs.
func (s *State) mayUse(u *unit, placement []*node, now time.Time) bool {
	return !slices.ContainsFunc(placement, func(n *node) bool { return n.isolatedFor != u || len(n.runs) > 0 || !s.eligible(u, n, now) }) && s.hasRoom(u, placement)
}

// hasRoom reports whether a unit's tasks fit on the workers of a placement, which are free.
func (s *State) hasRoom(u *unit, placement []*node) bool {
	tasks := make(map[*node]int)
	for _, n := range placement {
		tasks[n]++
	}
	for n, count := range tasks {
		if !n.Total.Contains(u.spec().Each.Times(count)) {
			return false
		}
	}
	return true
}

// findTrialPlacement returns workers without other runs for a unit, or nil.
func (s *State) findTrialPlacement(u *unit, now time.Time) []*node {
	if !s.mayIsolate(u) {
		return nil
	}
	empty := func(n *node) bool { return len(n.runs) == 0 && n.held == (ids.Resources{}) }
	order := func(a, b candidate) int { return s.compareCandidates(u, a, b) }
	usable := s.trialWorkers(u, now)
	placement := s.placeOnWhole(u, now, func(n *node) bool { return empty(n) && usable(n) }, order)
	if placement == nil && now.Sub(u.crashes.waitsSince) >= s.Times.IdleWait-idleWaitMargin && s.isIdlePoolFor(u) {
		// A job of an idle pool may not wait for steady workers.
		placement = s.placeOnWhole(u, now, empty, order)
	}
	return placement
}

// trialWorkers returns whether a worker may be used for a unit's trial. Workers that have crashed, or are new and may have, are left out if the unit fits on the
// others, since what crashed them may do so again; so are those of racks whose workers crash.
func (s *State) trialWorkers(u *unit, now time.Time) func(*node) bool {
	steady := func(n *node) bool { return n.crashedAt.IsZero() && !s.isNew(n, now) }
	inSteadyRack := func(n *node) bool { return steady(n) && !s.isCrashingRack(n.Rack, now) }
	recovered := func(n *node) bool { return now.Sub(n.crashedAt) > crashRecency && !s.isNew(n, now) }
	for _, usable := range []func(*node) bool{inSteadyRack, steady, recovered} {
		if s.placeOnWhole(u, now, usable, func(candidate, candidate) int { return 0 }) != nil {
			return usable
		}
	}
	return func(*node) bool { return true }
}

// isCrashingRack reports whether the rack itself may crash its workers: one of them has crashed without a cause, or two with nothing in common.
func (s *State) isCrashingRack(id ids.RackID, now time.Time) bool {
	if !s.crashingRacksAt.Equal(now) {
		s.crashingRacksAt, s.crashingRacks = now, s.findCrashingRacks(now)
	}
	return s.crashingRacks[id]
}

func (s *State) findCrashingRacks(now time.Time) map[ids.RackID]bool {
	crashing, first := make(map[ids.RackID]bool), make(map[ids.RackID]*poolCrash)
	for i := range s.crashes {
		c := &s.crashes[i]
		if crashing[c.rack] || now.Sub(c.at) > crashRecency {
			continue
		}
		before := first[c.rack]
		crashing[c.rack] = !c.isExplained() || before != nil && !slices.ContainsFunc(c.units, func(u *unit) bool { return slices.Contains(before.units, u) })
		first[c.rack] = c
	}
	return crashing
}

// isNew reports whether a worker joined the pool recently, perhaps after a crash under another id. Those found at the start of the term are not new.
func (s *State) isNew(n *node, now time.Time) bool {
	return now.Sub(n.joinedAt) < crashRecency && n.joinedAt.Sub(s.recoveredAt) > coincidence
}

// placeOnWhole returns a placement for a unit on usable workers as if nothing ran there, or nil. It fills them in the given order.
func (s *State) placeOnWhole(u *unit, now time.Time, usable func(*node) bool, order func(a, b candidate) int) []*node {
	racks, spread := s.candidateRacks(u, now)
	if first := u.job.stepRacks[u.stepKey()]; first != nil && s.isCrashingRack(first.id, now) {
		spread = true
	}
	if spread {
		racks = []*rack{s.wholePool}
	}
	spec := u.spec()
	for _, r := range racks {
		var list []candidate
		for _, n := range r.nodes {
			tasks := n.Total.Copies(spec.Each, u.count)
			if spec.MaxPerWorker > 0 {
				tasks = min(tasks, spec.MaxPerWorker)
			}
			if tasks > 0 && s.eligible(u, n, now) && !s.skips(u, n) && usable(n) {
				list = append(list, newCandidate(u, n, tasks, n.Total))
			}
		}
		slices.SortStableFunc(list, order)
		if placement := fill(u, list); placement != nil {
			return placement
		}
	}
	return nil
}

// keepFree keeps the workers that are expected to become free first from other units, until the unit's trial can start on them.
func (s *State) keepFree(u *unit, now time.Time) {
	if len(u.isolated) > 0 && !slices.ContainsFunc(u.isolated, func(n *node) bool { return !s.eligible(u, n, now) }) {
		return
	}
	s.endIsolation(u)
	if !s.mayIsolate(u) {
		return
	}
	freeAt := func(n *node) time.Time {
		at := now
		for _, r := range n.runs {
			if r.unit != nil {
				at = laterOf(at, s.expectedEnd(r.unit, now))
			}
		}
		return at
	}
	usable := s.trialWorkers(u, now)
	placement := s.placeOnWhole(u, now, func(n *node) bool { return n.held == (ids.Resources{}) && usable(n) }, func(a, b candidate) int {
		return cmp.Or(freeAt(a.node).Compare(freeAt(b.node)), cmp.Compare(a.node.ID, b.node.ID))
	})
	if placement == nil {
		return
	}
	s.isolate(u, placement)
	s.notice(Notice{
		Kind: "KeptFree", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Worker: placement[0].ID, Cause: "workers crashed under it; it is tried alone next",
		After: u.job.age(now),
	})
}

// mayIsolate reports whether a unit may take workers of its own.
func (s *State) mayIsolate(u *unit) bool {
	taken := 0
	for other := range s.isolating {
		if other != u {
			taken += len(other.isolated)
		}
	}
	return taken == 0 || float64(taken+1) <= maxTrialShare*float64(len(s.nodes))
}

// resumeTrial keeps others from the workers of a unit that an earlier owner started.
func (s *State) resumeTrial(u *unit) {
	if !u.isSuspected() {
		return
	}
	s.suspected[u] = true
	if u.trialNeed() == noTrial {
		return
	}
	var alone []*node
	for _, r := range u.runs {
		if r.node.runsOnly(u) {
			alone = append(alone, r.node)
		}
	}
	s.isolate(u, alone)
}

// isolate keeps workers from all units but one.
func (s *State) isolate(u *unit, placement []*node) {
	s.endIsolation(u)
	for _, n := range placement {
		if n.isolatedFor != u {
			n.isolatedFor = u
			u.isolated = append(u.isolated, n)
			s.capacityChanged(n)
		}
	}
	s.isolating[u] = true
}

// endIsolation opens the workers of a unit's trial to others.
func (s *State) endIsolation(u *unit) {
	if len(u.isolated) == 0 {
		return
	}
	for _, n := range u.isolated {
		n.isolatedFor = nil
		s.capacityChanged(n)
	}
	u.isolated, u.trialPlacement = nil, nil
	delete(s.isolating, u)
	s.requestPass()
}

// endWaitingTrials opens the workers that are kept free for trials which have not started, and reports whether there were any.
func (s *State) endWaitingTrials() bool {
	ended := false
	for u := range s.isolating {
		if u.phase == waiting && u.trialPlacement == nil {
			s.endIsolation(u)
			ended = true
		}
	}
	return ended
}

// checkTrials ends the trials that are over, and clears the units that have outlived them.
func (s *State) checkTrials(now time.Time) {
	for u := range s.isolating {
		switch {
		case u.phase == done, u.phase == stopping, u.phase == preempting, u.job.ended(), u.phase == waiting && u.trialNeed() != trialRequired && u.trialPlacement == nil:
			s.endIsolation(u)
		}
	}
	for u := range s.suspected {
		if u.phase != starting && u.phase != running || u.job.ended() {
			delete(s.suspected, u)
			continue
		}
		length, canEnd := u.trialTime()
		if !canEnd || u.phase != running {
			continue
		}
		if end := u.startedAt.Add(length); now.Before(end) || slices.ContainsFunc(u.runs, func(r *run) bool { return r.node.reportedAt.Before(end) || !r.mayHaveCrashedAt.IsZero() }) {
			continue
		}
		delete(s.suspected, u)
		s.endIsolation(u)
		u.crashes.survived = len(u.crashes.list)
		s.markDirty(u.job)
		s.notice(Notice{
			Kind: "TrialPassed", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: u.runs[0].node.ID,
			Cause: "it outlived " + length.String(), After: u.job.age(now),
		})
	}
}
