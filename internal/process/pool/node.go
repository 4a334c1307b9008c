package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Worker is a worker's entry in the instance list.
	Worker struct {
		ID         ids.InstanceID
		Service    ids.ServiceID
		DataCentre ids.DataCentreID
		Rack       ids.RackID
		Labels     []string
		Total      ids.Resources
		// Draining workers take no new runs. LeavesAt is the earliest time at which a draining worker leaves, as announced with
		// the given Notice; zero if unknown.
		Draining bool
		LeavesAt time.Time
		Notice   time.Duration
		// ColdUntil is until when a worker that has started recently is slow; zero if unknown. It may lie in the past.
		ColdUntil time.Time
		// Incarnation distinguishes restarts of a worker under the same id; zero means unknown.
		Incarnation uint64
	}

	// node is a worker with its runs.
	node struct {
		Worker
		rack *rack
		// listed is set if the worker is in the instance list.
		listed bool
		// evacuated is set if the worker's data centre is being evacuated, so that it takes no new runs.
		evacuated bool
		// reported is set once the worker has reported to this owner, so that all its runs are known.
		reported bool
		// silentSince is when the worker stopped answering; zero if it answers.
		silentSince time.Time
		// failingSince is the earliest time at which the worker may have stopped answering; zero if it answers, or may have stopped at its last report.
		failingSince time.Time
		// otherProcess, replaced and left are evidence that the worker's process has ended; see departure.go.
		otherProcess, replaced, left bool
		// earlier holds the latest incarnations before the present one. Incarnations are times of day, which may jump between two starts of a worker.
		earlier []uint64
		// processEnded is set once the worker's process is known to have ended, until it reports again; endedAt is when that became known.
		processEnded bool
		endedAt      time.Time
		// evidenceAt is a time before the latest evidence of the end of runs that the worker has not listed as ended.
		evidenceAt time.Time
		// joinedAt is when the worker first reported, crashedAt when it was last seen to crash, and isolatedFor the unit that alone may be started there;
		// see trial.go.
		joinedAt    time.Time
		crashedAt   time.Time
		isolatedFor *unit
		// reportedAt is when the worker last reported.
		reportedAt time.Time
		// leaseExpiry is when the worker's latest lease has certainly expired, allowing for the error of the worker's clock.
		leaseExpiry time.Time
		used        ids.Resources
		// held is the sum of the resources reserved here for units in phase preempting.
		held ids.Resources
		// runs are in the order in which they were added, and runsByID has the same ones.
		runs     []*run
		runsByID map[worker.Run]*run
		// cold is set until ColdUntil, and coldSlowdown is how many times as long tasks take meanwhile; zero if not cold.
		cold         bool
		coldSlowdown float64
		// movingTo counts the tasks that are expected to move here out of an evacuated data centre.
		movingTo int
		// pinned counts the runs of single tasks without checkpoints.
		pinned int
		// failures counts consecutive failures of different jobs.
		failures int
		// failedAt is when a task last failed, and provenAt when the latest run was started that has succeeded.
		failedAt, provenAt time.Time
		lastFailedJob      ids.JobID
		quarantinedUntil   time.Time
		quarantineTime     time.Duration
		// quarantinedFor names those whose tasks have quarantined the worker; zero if it has stated its failures itself.
		quarantinedFor blame
		// measuredSlowdown is how many times as long tasks take here as on the fast workers, and logSlowdown is its
		// logarithm; zero if unknown.
		logSlowdown, measuredSlowdown float64
		// slowJob is the latest job whose progress showed that the worker is far slower than expected.
		slowJob ids.JobID
		// speed is the worker's speed while it is sound, and class its class in a pool of unequal workers.
		speed Speed
		class speedClass
		// reservedFor is a set of indexes of State.reserved.list: those whose reservations include the worker.
		reservedFor uint64
		// projectedFree is the projected free capacity; it is valid only in the projection with the number projection.
		projectedFree ids.Resources
		projection    uint64
		// handledEnd is the number of the last end handled, and pendingEnds holds the ends not acknowledged yet.
		handledEnd  uint64
		pendingEnds []pendingEnd
		// acknowledgedEnd is the number of the last end whose effect is stored.
		acknowledgedEnd uint64
	}

	// pendingEnd is an end that may be acknowledged once the given version of its job is stored.
	pendingEnd struct {
		number  uint64
		job     *Job
		version uint64
	}

	rack struct {
		id ids.RackID
		// index is the rack's position among all racks, sorted by id.
		index int
		nodes []*node
		// changedAt is the value of State.capacityChanges at the last such change of one of its workers.
		changedAt uint64
		// openSums is the rack's part of State.openSums when capacityChanges was openSumsAt.
		openSums   map[ids.ServiceID]openAccelerators
		openSumsAt uint64
		// freeAccelerators is the sum of the workers' free accelerators when capacityChanges was summedAt.
		freeAccelerators ids.Accelerators
		summedAt         uint64
		// expectedEnds lists the runs by expected end, as computed at expectedEndsAt; endsChanged is set if any has changed.
		expectedEnds   []expectedEnd
		expectedEndsAt time.Time
		endsChanged    bool
	}

	// expectedEnd is the time at which a run is expected to release its resources.
	expectedEnd struct {
		run *run
		at  time.Time
	}
)

// free returns the resources available to new units.
func (n *node) free() ids.Resources {
	return n.Total.Minus(n.used).Minus(n.held)
}

// schedulable reports whether new runs may be placed on the worker.
func (n *node) schedulable() bool {
	return n.listed && n.reported && !n.Draining && !n.evacuated && n.silentSince.IsZero() && n.quarantinedUntil.IsZero()
}

// preferred reports whether gangs prefer the worker: it is not slower, and nothing has failed there since its last success.
func (n *node) preferred() bool { return !n.notPreferred() }

func (n *node) notPreferred() bool { return n.slower() || n.failures > 0 }

// schedulableSoon reports whether the worker takes new runs now or after a quarantine of the shortest length.
func (n *node) schedulableSoon() bool {
	return n.listed && !n.Draining && !n.evacuated && n.silentSince.IsZero() && n.quarantineTime <= minQuarantine
}

func (n *node) hasLabel(label string) bool {
	return label == "" || slices.Contains(n.Labels, label)
}

// tasksOn counts the tasks of a unit's step that run on a worker, or for which the worker is reserved.
func (s *State) tasksOn(n *node, u *unit) int {
	count := 0
	for _, r := range n.runs {
		if r.unit != nil && r.unit.job == u.job && r.unit.stepKey() == u.stepKey() {
			count++
		}
	}
	for _, other := range s.preempting {
		if other.job != u.job || other.stepKey() != u.stepKey() {
			continue
		}
		for _, reserved := range other.placement {
			if reserved == n {
				count++
			}
		}
	}
	return count
}

// SetWorkers replaces the instance list. Workers no longer listed keep their runs until these are known to have ended.
func (s *State) SetWorkers(list []Worker) {
	s.init()
	listed := make(map[ids.InstanceID]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
		n := s.nodes[w.ID]
		if n == nil {
			n = &node{}
			s.nodes[w.ID] = n
		}
		if n.Incarnation != 0 {
			if n.isNewer(w.Incarnation) {
				// A worker that had announced that it leaves has not crashed.
				n.processEnded = n.processEnded || n.Draining
				// The next report lists the runs of the new incarnation.
				n.reported = false
				s.seeEntry(w.ID, w.Incarnation)
				n.speed = Speed{}
			}
			w.Incarnation = n.Incarnation
		}
		n.Worker = w
		n.listed, n.left = true, false
		s.checkCold(n)
		n.evacuated = s.evacuations.Contains(n.DataCentre)
		s.checkLeaving(n)
	}
	for id, n := range s.nodes {
		if !listed[id] {
			n.listed = false
			s.suspects[n] = true
			s.markChanged(n)
		}
	}
	s.updateRemaining()
	s.rebuildRacks()
}

func (s *State) rebuildRacks() {
	s.invalidateRackFits()
	s.reserved.clear()
	s.fitCounts = make(map[taskShape]*fitCount)
	s.fitCountsVersion++
	s.requestPass()
	s.racksByID = make(map[ids.RackID]*rack)
	s.racks = nil
	s.openSums, s.openSumsAt = make(map[ids.ServiceID]openAccelerators), 0
	for _, n := range s.sortedNodes() {
		r := s.racksByID[n.Rack]
		if r == nil {
			s.capacityChanges++
			r = &rack{id: n.Rack, changedAt: s.capacityChanges}
			s.racksByID[n.Rack] = r
			s.racks = append(s.racks, r)
		}
		n.rack = r
		r.nodes = append(r.nodes, n)
	}
	slices.SortFunc(s.racks, func(a, b *rack) int { return cmp.Compare(a.id, b.id) })
	s.wholePool, s.total = &rack{}, ids.Resources{}
	for i, r := range s.racks {
		r.index = i
		s.wholePool.nodes = append(s.wholePool.nodes, r.nodes...)
		for _, n := range r.nodes {
			s.total = s.total.Plus(n.Total)
		}
	}
}

// invalidateRackFits clears the rackFits cache when the set of workers that count for it may have changed.
func (s *State) invalidateRackFits() {
	s.rackFits = make(map[gangShape]bool)
	s.rackFitsVersion++
}

func (s *State) sortedNodes() []*node {
	all := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// MarkDead records that a worker's process has ended.
func (s *State) MarkDead(id ids.InstanceID, cause string, now time.Time) {
	if n := s.nodes[id]; n != nil {
		s.markEnded(n, cause, now, nil)
		s.loseRuns(n, cause, now)
	}
}

// markEnded marks a worker whose process has ended. survives is as in recordCrash.
func (s *State) markEnded(n *node, cause string, now time.Time, survives func(r *run) bool) {
	if n.reported {
		s.recordDeparture(n, now)
	}
	if !n.processEnded && len(n.runs) > 0 {
		s.notice(Notice{Kind: "WorkerEnded", Worker: n.ID, Tasks: len(n.runs), After: n.silentFor(now), Cause: cause})
	}
	s.recordCrash(n, cause, now, survives)
	n.reported = false
	if n.silentSince.IsZero() {
		s.setSilent(n, now)
	}
	s.markChanged(n)
	s.capacityChanged(n)
}

// loseRuns removes the runs of a worker whose process has ended. An unanswered start may still be carried out by the
// worker's next incarnation; it is stopped there before the task may start elsewhere.
func (s *State) loseRuns(n *node, cause string, now time.Time) {
	for _, r := range slices.Clone(n.runs) {
		switch {
		case r.reported && !r.startUnanswered:
			s.runLost(r, cause, now)
		default:
			s.stopLateStart(r, cause, now)
		}
	}
}

// stopLateStart stops a run that its worker's next incarnation may still start. The stop is ordered once that reports: an order to an address at which nothing, or
// another worker, answers would only find again that the process has ended.
func (s *State) stopLateStart(r *run, cause string, now time.Time) {
	if u := r.unit; u != nil && u.number == r.Number && (u.phase == starting || u.phase == running) {
		s.backOff(u, now)
		s.stopUnit(u, cause, now)
	}
	if r.phase != runGone {
		r.phase, r.confirmedAt, r.stopDue = runStopping, time.Time{}, true
	}
}

// orderDueStops orders the stops of a worker's runs that were due when it reported.
func (s *State) orderDueStops(n *node, now time.Time) {
	for _, r := range n.runs {
		if r.stopDue {
			r.phase = runActive
			s.stopRun(r, now)
		}
	}
}

// MarkSilent records that a worker did not answer a call sent at the given time, unless it has reported since. The worker's runs
// are removed only once its lease must have expired. failed is the earliest time at which it may have stopped answering; zero means at its last report.
func (s *State) MarkSilent(id ids.InstanceID, sent, failed time.Time) {
	if n := s.nodes[id]; n != nil && n.silentSince.IsZero() && !n.reportedAt.After(sent) {
		s.setSilent(n, sent)
		n.failingSince = failed
	}
}

func (s *State) setSilent(n *node, since time.Time) {
	n.silentSince = since
	s.suspects[n] = true
	s.markChanged(n)
	s.capacityChanged(n)
	s.invalidateRackFits()
}

// ExtendLease records that a worker may hold a lease until the given time.
func (s *State) ExtendLease(id ids.InstanceID, until time.Time) {
	if n := s.nodes[id]; n != nil && until.After(n.leaseExpiry) {
		n.leaseExpiry = until
	}
}

// AcknowledgedEnd returns the number of the worker's last end whose effect is stored.
func (s *State) AcknowledgedEnd(id ids.InstanceID) uint64 {
	n := s.nodes[id]
	if n == nil {
		return 0
	}
	for len(n.pendingEnds) > 0 && (n.pendingEnds[0].job == nil || n.pendingEnds[0].job.storedVersion >= n.pendingEnds[0].version) {
		n.acknowledgedEnd = n.pendingEnds[0].number
		n.pendingEnds = n.pendingEnds[1:]
	}
	return n.acknowledgedEnd
}

// Suspects returns the workers that are quarantined, silent with runs, or not listed. The runs of silent and unlisted workers are lost
// once their leases have expired; the next call of Decide takes the leases passed to ExtendLease into account.
func (s *State) Suspects() []ids.InstanceID {
	var list []ids.InstanceID
	for n := range s.suspects {
		list = append(list, n.ID)
	}
	return list
}

// isIdleSilent reports whether a worker only waits for an answer: it has no run that could end, and stays in the list.
func (n *node) isIdleSilent() bool {
	return n.listed && len(n.runs) == 0 && !n.silentSince.IsZero() && n.quarantinedUntil.IsZero()
}

func (s *State) markChanged(n *node) {
	s.changed[n.ID] = true
	s.invalidateExpectedEnds(n)
}

// invalidateExpectedEnds records that a worker's runs, or their expected ends, have changed.
func (s *State) invalidateExpectedEnds(n *node) {
	s.wholePool.endsChanged = true
	if n.rack != nil {
		n.rack.endsChanged = true
	}
}

// Changed returns the workers whose Busy, AcknowledgedEnd, HandledEnd or Incarnation may have changed since the last call.
func (s *State) Changed() []ids.InstanceID {
	list := make([]ids.InstanceID, 0, len(s.changed))
	for id := range s.changed {
		list = append(list, id)
	}
	clear(s.changed)
	return list
}

// Busy reports whether a worker needs lease renewals: it has runs, has not reported, is silent, or may still carry out an order without an answer.
func (s *State) Busy(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && (len(n.runs) > 0 || !n.reported || !n.silentSince.IsZero() || s.lateOrders[id])
}

// HasReported reports whether a worker has reported to this owner.
func (s *State) HasReported(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && n.reported
}

// Answers reports whether a worker has reported and still answers.
func (s *State) Answers(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && n.reported && n.silentSince.IsZero()
}

// HasEnded reports whether a worker's process is known to have ended and its next incarnation has not reported.
func (s *State) HasEnded(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && n.processEnded
}

// Incarnation returns the latest reported incarnation of a worker.
func (s *State) Incarnation(id ids.InstanceID) uint64 {
	if n := s.nodes[id]; n != nil {
		return n.Incarnation
	}
	return 0
}

// HandledEnd returns the number of the last handled end of a worker.
func (s *State) HandledEnd(id ids.InstanceID) uint64 {
	if n := s.nodes[id]; n != nil {
		return n.handledEnd
	}
	return 0
}

// MayStart reports whether an order to start a run may still be sent: the run is to be started, its start is not confirmed
// yet, and its worker still takes new runs and has room for all that it may be running.
func (s *State) MayStart(id ids.InstanceID, ref worker.Run) bool {
	r := s.findRun(id, ref)
	return r != nil && r.phase == runStarting && r.unit != nil && r.unit.phase == starting && r.node.listed && !r.node.Draining && !r.node.evacuated &&
		r.node.Total.Contains(r.node.used)
}

// AwaitsEnds reports whether a worker has confirmed the stop of a run whose end it has not listed yet.
func (s *State) AwaitsEnds(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && slices.ContainsFunc(n.runs, func(r *run) bool { return r.phase == runStopping && !r.confirmedAt.IsZero() })
}

// HasRun reports whether a run holds resources on a worker.
func (s *State) HasRun(id ids.InstanceID, ref worker.Run) bool { return s.findRun(id, ref) != nil }
