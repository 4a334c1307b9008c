package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Reported handles a worker's report. sent is when the report was requested: a run confirmed before then and missing from
// the report has ended. While further ends are to be listed, a missing run may be among them, and so may runs of an earlier
// owner: not all of the worker's runs are known.
func (s *State) Reported(id ids.InstanceID, report worker.RunReport, sent, now time.Time) {
	n := s.nodes[id]
	switch {
	case n == nil:
		return
	case n.processEnded && !sent.After(n.endedAt) && report.Incarnation == n.Incarnation:
		// The process that answered has ended since.
		return
	case report.Incarnation != 0 && n.Incarnation != 0 && report.Incarnation != n.Incarnation && !sent.After(n.reportedAt):
		// Which of the two processes is the later one is not known: one report has overtaken the other, on another connection. The next report shows it.
		return
	}
	isFenced := s.followLife(n, report)
	if !n.reported || !n.silentSince.IsZero() || !isFenced {
		n.reported = isFenced && (n.reported || !report.MoreEnds)
		s.requestPass()
		s.capacityChanged(n)
		s.invalidateRackFits()
	}
	if n.joinedAt.IsZero() {
		n.joinedAt = now
	}
	restarted := report.Incarnation != 0 && report.Incarnation != n.Incarnation
	if restarted {
		if n.Incarnation != 0 {
			s.recordCrash(n, "it reports a new incarnation", now, func(r *run) bool {
				return slices.ContainsFunc(report.Active, func(a worker.ActiveRun) bool { return a.Run == r.Run }) || !r.startUnanswered && !r.confirmedAt.Before(sent)
			})
			s.notice(Notice{Kind: "WorkerRestarted", Worker: id, Cause: "it reports a new incarnation"})
			n.speed = Speed{}
		}
		n.setIncarnation(report.Incarnation)
		n.handledEnd, n.acknowledgedEnd, n.pendingEnds = 0, 0, nil
	}
	n.silentSince, n.failingSince, n.processEnded, n.reportedAt = time.Time{}, time.Time{}, false, now
	n.otherProcess, n.replaced, n.evidenceAt = false, false, sent
	if until, unknown := s.unknown[id]; unknown {
		// This owner may have ordered no lease there yet, but an earlier one has.
		s.ExtendLease(id, until)
	}
	for _, e := range report.Ended {
		if e.Number > n.handledEnd {
			n.handledEnd = e.Number
			s.handleEnd(n, e, now)
		}
	}
	listed := make(map[worker.Run]bool, len(report.Active))
	for _, a := range report.Active {
		listed[a.Run] = true
		s.handleActive(n, a, now)
	}
	// The progress of all runs is recorded first: after a silence, those of one gang would seem to stall until the last is updated.
	for _, u := range n.unitsOf(listed) {
		s.updateProgress(u, now)
	}
	for _, r := range slices.Clone(n.runs) {
		if listed[r.Run] {
			continue
		}
		if restarted && r.startUnanswered {
			s.stopLateStart(r, "the worker was restarted", now)
			continue
		}
		if r.confirmedAt.IsZero() || !r.confirmedAt.Before(sent) || report.MoreEnds {
			continue
		}
		if !r.mayHaveCrashedAt.IsZero() {
			s.recordLateCrash(r, now)
		}
		switch {
		case r.phase == runStopping, r.unit == nil, r.unit.phase == done:
			s.removeRun(r)
			if r.unit != nil {
				s.requeueStopped(r.unit)
			}
		default:
			s.runLost(r, "the worker no longer lists the run", now)
		}
	}
	s.orderDueStops(n, now)
	s.markChanged(n)
	if _, unknown := s.unknown[id]; unknown && n.reported {
		delete(s.unknown, id)
		s.settleGangs(now)
	}
	s.resolveUnseen(n, now)
}

// handleEnd handles the end of a run. The worker may forget the end once its effect is stored.
func (s *State) handleEnd(n *node, e worker.EndedRun, now time.Time) {
	j := s.jobs[e.Job]
	u := s.unitOf(j, e.Task)
	r := n.findRun(e.Run)
	if r != nil {
		if e.Reason == worker.EndStopped && !r.stopOrderedAt.IsZero() {
			s.stopTimes.add(float64(now.Sub(r.stopOrderedAt)))
		}
		r.endReported = true
		s.removeRun(r)
	}
	if u != nil {
		j.ordered, j.begun = true, true
	}
	switch {
	case u == nil || j.ended():
	case u.number == e.Run.Number || (u.number == 0 && j.recovered):
		s.handleUnitEnd(u, n, e, now)
	case e.Reason == worker.EndDone && e.Run.Number < u.number && u.phase != done:
		// The worker was silent until its lease was assumed to have expired, and the unit was started elsewhere.
		cause, _ := s.unexpectedCause(u, e.Run.Number, now)
		s.notice(Notice{Kind: "Done", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: e.Run.Number, Worker: n.ID, After: u.job.age(now), Cause: "an earlier run; " + cause})
		s.stopUnit(u, "an earlier run completed", now)
		s.completeUnit(u, n, now)
	case e.Reason == worker.EndFailed && e.Run.Number < u.number:
		// An earlier owner may have started the next run before the failure was stored.
		s.recordFailedRun(u, e.Run.Number)
		s.failIfExhausted(u, now)
	}
	if r != nil && r.unit != nil {
		s.requeueStopped(r.unit)
	}
	p := pendingEnd{number: e.Number}
	if j != nil && j.version > j.storedVersion {
		p.job, p.version = j, j.version
		if !slices.Contains(j.pendingEndNodes, n) {
			j.pendingEndNodes = append(j.pendingEndNodes, n)
		}
	}
	n.pendingEnds = append(n.pendingEnds, p)
}

func (s *State) handleUnitEnd(u *unit, n *node, e worker.EndedRun, now time.Time) {
	if u.phase == done || u.job.ended() {
		return
	}
	if e.Checkpoint != "" && e.Checkpoint != u.checkpoint {
		u.checkpoint = e.Checkpoint
		s.markDirty(u.job)
	}
	u.broken = u.broken && e.Reason == worker.EndGangMemberLost
	if e.Reason == worker.EndDone || e.Reason == worker.EndFailed || u.count == 1 {
		// The other ends of a gang's members may follow the crash of one of them.
		u.crashes.started = nil
	}
	switch e.Reason {
	case worker.EndDone:
		s.completeUnit(u, n, now)
	case worker.EndFailed:
		s.recordTaskFailure(n, u.job, now)
		s.recordFailedRun(u, e.Run.Number)
		u.avoidNode(n.ID, now)
		s.observeGang(u, 1)
		if s.failureShare.value > failureShareThreshold {
			u.notBefore, u.retryDelayed = now.Add(retryDelay<<min(len(u.failedRuns)-1, maxBackoffDoublings)), true
		}
		s.stopRemaining(u, "a task failed on "+string(n.ID), now)
	case worker.EndStopped, worker.EndLeaseExpired, worker.EndGangMemberLost, worker.EndGangTimeout:
		if u.phase != stopping {
			// While the start of a gang isn't fully confirmed, further members may still start, unaware of the end.
			u.broken = e.Reason == worker.EndGangMemberLost && u.phase == running
			s.stopRemaining(u, "a run ended as "+string(e.Reason)+" on "+string(n.ID), now)
		}
	}
}

// recordFailedRun adds the number of a failed run, which all members of a gang share.
func (s *State) recordFailedRun(u *unit, number ids.RunNumber) {
	if !slices.Contains(u.failedRuns, number) {
		u.failedRuns = append(u.failedRuns, number)
		s.markDirty(u.job)
	}
}

// observeGang updates the share of failures among the ends of gangs. Single tasks tell less of the workers and are many.
func (s *State) observeGang(u *unit, failures float64) {
	if u.count > 1 {
		s.failureShare.add(failures)
	}
}

// avoidNode makes a unit avoid a worker on which it failed, for avoidTime.
func (u *unit) avoidNode(id ids.InstanceID, now time.Time) {
	if u.avoidUntil == nil {
		u.avoidUntil = make(map[ids.InstanceID]time.Time)
	}
	u.avoidUntil[id] = now.Add(avoidTime)
}

// stopRemaining stops the unit's remaining runs, and fails its job if no attempts are left.
func (s *State) stopRemaining(u *unit, cause string, now time.Time) {
	s.stopUnit(u, cause, now)
	s.failIfExhausted(u, now)
}

// failIfExhausted fails the job of a unit that has used up its attempts.
func (s *State) failIfExhausted(u *unit, now time.Time) {
	if len(u.failedRuns) >= u.job.MaxAttempts && !u.job.ended() {
		s.end(u.job, Failed, "a task failed as often as its queue allows", now)
	}
}

func (s *State) completeUnit(u *unit, n *node, now time.Time) {
	if u.phase == running || u.phase == starting {
		s.observeTaskSpeed(u, now)
		s.learnRunTime(u, now)
		s.observeGang(u, 0)
		s.notice(Notice{
			Kind: "Done", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: n.ID, After: u.job.age(now),
			Cause: u.doneCause(now),
		})
		for _, r := range u.runs {
			s.clearFailures(r.node, u.startedAt)
		}
	}
	s.clearFailures(n, u.startedAt)
	if u.phase == preempting {
		s.releasePlacement(u)
	}
	u.setPhase(done)
	s.requestPass()
	s.markDirty(u.job)
	if !u.job.isOpenedFully() {
		s.openDue(u.job, now)
		return
	}
	for _, st := range u.job.stages {
		if !st.done() {
			return
		}
	}
	s.end(u.job, Completed, "all tasks are done", now)
}

func (u *unit) doneCause(now time.Time) string {
	cause := "ran " + now.Sub(u.startedAt).Round(time.Millisecond).String() + ", declared " + u.spec().Estimate.String()
	if slowdown := u.slowdown(); slowdown >= slowerThreshold {
		cause += fmt.Sprintf(", on workers that take %.2f times as long", slowdown)
	}
	return cause
}

// handleActive handles a run listed by a worker. A run of an earlier owner is adopted; an unexpected one is stopped.
func (s *State) handleActive(n *node, a worker.ActiveRun, now time.Time) {
	r := n.findRun(a.Run)
	if r == nil {
		s.handleUnexpected(n, a, now)
		return
	}
	if r.phase == runStarting {
		s.confirmStart(r, now)
	}
	r.reported, r.listedIn, r.mayHaveCrashedAt = true, n.Incarnation, time.Time{}
	r.percent = a.Percent
	if r.unit != nil {
		r.unit.job.begun = true
	}
	if u := r.unit; u != nil && u.number == r.Number {
		if a.Checkpoint != "" {
			u.checkpoint = a.Checkpoint
		}
		s.updateSlowdown(r, now)
	}
}

// unitsOf returns the units whose latest runs are among those listed by a worker.
func (n *node) unitsOf(listed map[worker.Run]bool) []*unit {
	var list []*unit
	for _, r := range n.runs {
		if u := r.unit; u != nil && u.number == r.Number && listed[r.Run] && (u.count == 1 || !slices.Contains(list, u)) {
			list = append(list, u)
		}
	}
	return list
}

// updateProgress records the progress of a unit's slowest member, and stops a stalled unit.
func (s *State) updateProgress(u *unit, now time.Time) {
	minPercent := 100
	for _, r := range u.runs {
		minPercent = min(minPercent, r.percent)
	}
	if minPercent != u.percent {
		u.percent = minPercent
		u.progressedAt = now
		return
	}
	if u.phase != running || u.stalls >= maxStalls || now.Sub(u.progressedAt) < s.stallTimeout(u) {
		return
	}
	var slowest []*node
	for _, r := range u.runs {
		if r.percent == minPercent {
			if !r.node.silentSince.IsZero() || r.node.reportedAt.Sub(u.progressedAt) < s.stallTimeout(u) {
				// The current progress on a silent worker is unknown, also before a call to it has failed.
				return
			}
			slowest = append(slowest, r.node)
		}
	}
	for _, n := range slowest {
		if u.stalls == 0 {
			// Further stalls show more of the task than of its workers.
			s.recordTaskFailure(n, u.job, now)
		}
		u.avoidNode(n.ID, now)
	}
	u.stalls++
	s.stopUnit(u, "no progress for "+now.Sub(u.progressedAt).Round(time.Millisecond).String()+", first on "+string(slowest[0].ID), now)
}

// handleUnexpected handles a run that this owner did not start: it is adopted or stopped.
func (s *State) handleUnexpected(n *node, a worker.ActiveRun, now time.Time) {
	j := s.jobs[a.Job]
	u := s.unitOf(j, a.Task)
	s.lastRunSeq++
	r := &run{seq: s.lastRunSeq, Run: a.Run, node: n, phase: runActive, reported: true, listedIn: n.Incarnation, orderedAt: now, confirmedAt: now, percent: a.Percent}
	if u != nil {
		j.ordered, j.begun = true, true
	}
	var known bool
	if r.resources, known = j.resourcesOf(a.Task); !known {
		// Its size is not known, so nothing else may be started before it has ended.
		r.resources = n.Total
	}
	s.addRun(r)
	if u != nil && j.recovered && !j.ended() && s.adopt(u, r, now) {
		if a.Checkpoint != "" {
			u.checkpoint = a.Checkpoint
		}
		return
	}
	if u != nil {
		r.staleOf = u
		u.staleRuns++
		if !slices.Contains(u.places, n.ID) {
			u.places = append(u.places, n.ID)
			s.recordPlaces(j)
		}
	}
	cause, own := s.unexpectedCause(u, a.Number, now)
	s.notice(Notice{Kind: "UnknownRunStopped", Job: a.Job, Step: a.Step, Task: a.Index, Tasks: 1, Number: a.Number, Worker: n.ID, OwnRun: own, Cause: cause})
	s.stopRun(r, now)
}

// adopt adds a run started by an earlier owner to its unit. It returns false if the unit has another run.
func (s *State) adopt(u *unit, r *run, now time.Time) bool {
	switch {
	case u.phase == waiting && u.number == 0:
		u.number = r.Number
		u.setPhase(starting)
		u.startedAt, u.progressedAt = now, now
		u.adopted = true
		u.runs = u.runs[:0]
	case u.phase != starting || u.number != r.Number:
		return false
	}
	for _, other := range u.runs {
		if other.Task == r.Task {
			return false
		}
	}
	u.runs = append(u.runs, r)
	r.unit = u
	if !slices.Contains(u.places, r.node.ID) {
		s.recordPlaces(u.job)
	}
	r.pin()
	u.job.recordRack(u.stepKey(), r.node.rack)
	if len(u.runs) < u.count {
		return true
	}
	u.setPhase(running)
	s.resumeTrial(u)
	s.notice(Notice{Kind: "TakenOver", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: r.node.ID, Cause: "found running on its workers"})
	return true
}

// Recover loads the jobs of earlier owners. Nothing is started until EndRecovery.
func (s *State) Recover(jobs []*Job, now time.Time) {
	s.init()
	s.recovering = true
	s.resumeClock(jobs, now)
	for _, j := range slices.SortedFunc(slices.Values(jobs), compareRecovered) {
		j.recovered = true
		j.stored = true
		s.restoreStamp(j, now)
		s.add(j)
	}
}

// EndRecovery ends the time for workers to report their runs. Those of the workers that an earlier owner used which have not
// reported may run tasks until the given time; recovered jobs don't start before.
func (s *State) EndRecovery(used []ids.InstanceID, until, now time.Time) {
	s.init()
	s.recovering, s.recoveredAt = false, now
	s.requestPass()
	for _, id := range used {
		if n := s.nodes[id]; n == nil || !n.reported {
			s.unknown[id] = until
		}
	}
	for _, j := range slices.Clone(s.live) {
		for _, u := range j.units {
			s.failIfExhausted(u, now)
		}
	}
	s.adopting = true
	s.endAdoption(now)
	s.settleGangs(now)
}

// LeasesEndBy records that the leases of earlier owners on a worker that has not reported end by a time.
func (s *State) LeasesEndBy(id ids.InstanceID, at time.Time) {
	if until, unknown := s.unknown[id]; unknown && at.Before(until) {
		s.unknown[id] = at
	}
}

// endAdoption stops the gangs of an earlier owner of which only a part was found running, once all workers that may have the other
// members have reported or are lost. Until then none of them could be started again anyway; see blocked.
func (s *State) endAdoption(now time.Time) {
	if !s.adopting || len(s.unknown) > 0 {
		return
	}
	s.settleGangs(now)
	s.adopting = false
	s.findCrashes(now)
}

// HasUnknown reports whether workers may still have runs of an earlier owner.
func (s *State) HasUnknown() bool { return len(s.unknown) > 0 }

// UnknownUntil returns until when a worker that has not reported may have runs of an earlier owner.
func (s *State) UnknownUntil(id ids.InstanceID) time.Time { return s.unknown[id] }

// UnknownWorkers returns the workers that may still have runs of an earlier owner.
func (s *State) UnknownWorkers() []ids.InstanceID {
	list := make([]ids.InstanceID, 0, len(s.unknown))
	for id := range s.unknown {
		list = append(list, id)
	}
	return list
}
