package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// initialBackoff is the delay after a unit's first failed start; it doubles with each further one.
	initialBackoff = 100 * time.Millisecond
	// maxBackoffDoublings limits the number of doublings.
	maxBackoffDoublings = 4
	// avoidTime is how long a unit avoids a worker on which it failed. It is no longer than the shortest quarantine, since
	// the unit may need that worker in order to fit.
	avoidTime = minQuarantine
	// failureShareThreshold is the share of failures among the ends of gangs from which the cause is probably a group of workers.
	failureShareThreshold = 0.25
	// retryDelay is how long a unit then waits after its first failure, so that the failures of others show which workers to
	// avoid; it doubles with each further one.
	retryDelay = 800 * time.Millisecond
)

// startUnit orders the start of a unit, one task on each entry of the placement. After a crash the start is stored first, since the next owner must know of it.
func (s *State) startUnit(u *unit, placement []*node, now time.Time) {
	if u.mustStoreStart() && !u.isStartStored(placement) {
		s.holdPlacement(u, placement, now)
		s.storeStart(u, placement)
		return
	}
	u.number = max(u.number, ids.RunNumber(s.Epoch)*runsPerEpoch) + 1
	previous := u.previousEnding(now)
	u.setPhase(starting)
	u.startedAt, u.progressedAt = now, now
	u.percent, u.broken, u.adopted, u.retryDelayed = 0, false, false, false
	u.remote = s.isRemote(u, placement)
	u.job.recordRack(u.stepKey(), placement[0].rack)
	u.speedsObserved = false
	u.runs = u.runs[:0]
	workers := make([]ids.InstanceID, 0, len(placement))
	for i, n := range placement {
		workers = append(workers, n.ID)
		s.lastRunSeq++
		r := &run{
			seq:  s.lastRunSeq,
			Run:  worker.Run{Task: worker.Task{Job: u.job.ID, Occurrence: u.occurrence, Step: u.step, Index: u.first + i}, Number: u.number},
			unit: u, node: n, resources: u.spec().Each, orderedAt: now,
		}
		u.runs = append(u.runs, r)
		s.addRun(r)
		r.pin()
		s.countRefill(r)
		s.actions = append(s.actions, Action{Kind: StartRun, Worker: n.ID, Run: r.Run, Payload: u.job.Payload, Checkpoint: u.checkpoint, Priority: u.job.Priority, Once: u.isSuspected()})
	}
	version := u.job.storedVersion
	if !u.isStartStored(placement) {
		version = u.job.version + 1
	}
	u.crashes.started, u.places = u.startedOn(placement), nil
	s.markDirty(u.job)
	for i := range placement {
		s.actions[len(s.actions)-1-i].Version = version
	}
	u.preemptionPlanned, u.idleSince, u.crashes.waitsSince = false, time.Time{}, time.Time{}
	if u.isSuspected() {
		s.suspected[u] = true
	}
	s.fairQueue.advance(u.job)
	first := !u.job.ordered
	u.job.ordered = true
	n := Notice{
		Kind: "Placed", Job: u.job.ID, Priority: u.job.Priority, First: first, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: placement[0].ID, Workers: workers,
		Previous: previous, Cause: placedCause(u, placement), After: u.job.age(now),
	}
	if wait, isKnown := u.job.ExpectedWait(); first && isKnown {
		n.Queue, n.Forecast = u.job.Queue, &wait
	}
	s.notice(n)
}

// storeStart records a start that must be stored before it is ordered.
func (s *State) storeStart(u *unit, placement []*node) {
	u.crashes.started = u.startedOn(placement)
	s.markDirty(u.job)
	u.job.crashVersion = u.job.version
}

// isStartStored reports whether the store holds the start of a unit on the workers of a placement.
func (u *unit) isStartStored(placement []*node) bool {
	return u.job.crashVersion <= u.job.storedVersion && slices.EqualFunc(u.crashes.started, u.startedOn(placement), func(a, b StartedOn) bool {
		return a.Worker == b.Worker && a.Incarnation == b.Incarnation && slices.Equal(a.Tasks, b.Tasks)
	})
}

// startedOn returns the workers of a placement with the unit's tasks there.
func (u *unit) startedOn(placement []*node) (list []StartedOn) {
	for i, n := range placement {
		if i == 0 || placement[i-1] != n {
			list = append(list, StartedOn{Worker: n.ID, Incarnation: n.Incarnation})
		}
		last := &list[len(list)-1]
		last.Tasks = append(last.Tasks, u.first+i)
	}
	return list
}

// recordRack records the rack in which a step was first started.
func (j *Job) recordRack(step stepKey, r *rack) {
	if j.stepRacks == nil {
		j.stepRacks = make(map[stepKey]*rack)
	}
	if j.stepRacks[step] == nil {
		j.stepRacks[step] = r
	}
}

func placedCause(u *unit, placement []*node) string {
	cause := "free capacity"
	if u.job.guaranteed {
		cause = "covered by the account's guarantee"
	}
	if u.remote {
		cause += ", away from its rack or data"
	}
	return cause + ", rack " + string(placement[0].Rack)
}

// findRun returns a worker's run, or nil.
func (n *node) findRun(ref worker.Run) *run {
	return n.runsByID[ref]
}

func (s *State) findRun(id ids.InstanceID, ref worker.Run) *run {
	if n := s.nodes[id]; n != nil {
		return n.findRun(ref)
	}
	return nil
}

// RunStarted records that a worker confirmed a start.
func (s *State) RunStarted(id ids.InstanceID, ref worker.Run, now time.Time) {
	if r := s.findRun(id, ref); r != nil && r.phase == runStarting {
		s.confirmStart(r, now)
	}
}

func (s *State) confirmStart(r *run, now time.Time) {
	r.phase = runActive
	r.reported = true
	r.confirmedAt = now
	u := r.unit
	if u == nil {
		return
	}
	u.job.begun = true
	if u.phase != starting {
		return
	}
	for _, other := range u.runs {
		if other.phase != runActive {
			return
		}
	}
	u.setPhase(running)
	u.startedAt, u.progressedAt = now, now
	if u.checkpoint == "" {
		u.resetRates(now)
	}
}

// RunRefused records that a worker refused a start, so that the run doesn't exist. If unhealthy is set, the refusal counts
// as a failure of the worker.
func (s *State) RunRefused(id ids.InstanceID, ref worker.Run, cause error, unhealthy bool, now time.Time) {
	r := s.findRun(id, ref)
	if r == nil || r.phase == runActive {
		return
	}
	if unhealthy {
		s.recordFailure(r.node, ref.Job, now)
	}
	s.dropRun(r, "the worker refused the start: "+cause.Error(), now)
}

// RunStartUnanswered records that a start order got no answer; the order may be sent again.
func (s *State) RunStartUnanswered(id ids.InstanceID, ref worker.Run, now time.Time) {
	s.expectLateOrder(id, now)
	if r := s.findRun(id, ref); r != nil {
		r.startUnanswered = true
	}
}

// RunStartUnknown records that the outcome of a start is unknown and that no order for it is sent any more. The run may exist or still start, also in the worker's
// next process: what closes a connection may deliver the order later. The whole unit is stopped.
func (s *State) RunStartUnknown(id ids.InstanceID, ref worker.Run, now time.Time) {
	r := s.findRun(id, ref)
	if r != nil && r.phase == runStarting && r.unit != nil {
		s.backOff(r.unit, now)
		s.stopUnit(r.unit, "a start was not answered by "+string(id), now)
	}
}

// StopConfirmed records that a worker confirmed a stop order. The run has ended only once its end is reported or a later
// report omits it.
func (s *State) StopConfirmed(id ids.InstanceID, ref worker.Run, now time.Time) {
	if r := s.findRun(id, ref); r != nil && r.phase == runStopping && r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
}

// StopUndelivered records that a stop order could not be delivered. It is ordered again with the worker's next report.
func (s *State) StopUndelivered(id ids.InstanceID, ref worker.Run) {
	if r := s.findRun(id, ref); r != nil && r.phase == runStopping && r.confirmedAt.IsZero() {
		r.stopDue = true
	}
}

// stopUnit stops a unit. The unit waits again once all its runs have ended, unless its job has ended.
func (s *State) stopUnit(u *unit, cause string, now time.Time) {
	switch u.phase {
	case preempting:
		s.releasePlacement(u)
		u.setPhase(waiting)
	case starting, running:
		u.setPhase(stopping)
		u.ending = &unitEnding{number: u.number, cause: cause, at: now}
		s.notice(Notice{
			Kind: "Stopped", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Cause: cause, After: u.job.age(now),
			Lost: s.lostWork(u, now).Seconds() * s.weightedCores(u),
		})
		for _, r := range slices.Clone(u.runs) {
			s.stopRun(r, now)
		}
		s.requeueStopped(u)
	}
}

// stopRun orders the stop of one run.
func (s *State) stopRun(r *run, now time.Time) {
	if r.phase == runStopping || r.phase == runGone {
		return
	}
	r.phase = runStopping
	r.confirmedAt = time.Time{}
	s.invalidateExpectedEnds(r.node)
	r.stopOrderedAt, r.stopDue = now, false
	s.actions = append(s.actions, Action{Kind: StopRun, Worker: r.node.ID, Run: r.Run})
}

// addRun adds a run to its worker, whose resources it holds.
func (s *State) addRun(r *run) {
	n := r.node
	if !n.silentSince.IsZero() {
		s.suspects[n] = true
	}
	n.runs = append(n.runs, r)
	if n.runsByID == nil {
		n.runsByID = make(map[worker.Run]*run)
	}
	n.runsByID[r.Run] = r
	n.used = n.used.Plus(r.resources)
	s.markChanged(n)
	s.capacityChanged(n)
	s.checkLeaving(n)
}

// pin counts a run among its worker's pinned runs if it is a single task without checkpoints.
func (r *run) pin() {
	if r.unit.count == 1 && !r.unit.spec().Checkpoints {
		r.pinned = true
		r.node.pinned++
	}
}

// removeRun removes a run from its worker and releases its resources.
func (s *State) removeRun(r *run) {
	if r.phase == runGone {
		return
	}
	r.phase = runGone
	r.node.runs = slices.DeleteFunc(r.node.runs, func(other *run) bool { return other == r })
	if r.node.runsByID[r.Run] == r {
		delete(r.node.runsByID, r.Run)
	}
	s.markChanged(r.node)
	s.capacityChanged(r.node)
	r.node.used = r.node.used.Minus(r.resources)
	if r.pinned {
		r.node.pinned--
	}
	if r.staleOf != nil {
		r.staleOf.staleRuns--
	}
	s.requestPass()
}

// runLost handles a run that has disappeared before it was done.
func (s *State) runLost(r *run, cause string, now time.Time) {
	s.dropRun(r, cause, now)
	s.recordLoss(r, cause, now)
}

// dropRun handles a run that does not exist, or not any more, before it was done.
func (s *State) dropRun(r *run, cause string, now time.Time) {
	s.removeRun(r)
	u := r.unit
	if u == nil || u.number != r.Number {
		return
	}
	u.broken = false
	if u.phase == starting || u.phase == running {
		s.backOff(u, now)
		s.stopUnit(u, cause, now)
	}
	s.requeueStopped(u)
}

// requeueStopped returns a stopped unit to phase waiting once all its runs have ended.
func (s *State) requeueStopped(u *unit) {
	if u.phase != stopping {
		return
	}
	for _, r := range u.runs {
		if r.phase != runGone {
			return
		}
	}
	if !slices.ContainsFunc(u.runs, func(r *run) bool { return !r.endReported }) {
		u.crashes.started = nil
	}
	u.runs = u.runs[:0]
	u.setPhase(waiting)
	s.requestPass()
}

// backOff delays the next start of a unit, doubling the delay with each run up to a limit.
func (s *State) backOff(u *unit, now time.Time) {
	tries := int(u.number % runsPerEpoch)
	u.notBefore = now.Add(initialBackoff << min(max(tries-1, 0), maxBackoffDoublings))
}
