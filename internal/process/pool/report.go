package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Reported takes a worker's report in. sent is when it was asked for: what was confirmed before and is not in the
// report no longer runs.
func (s *State) Reported(id ids.InstanceID, report worker.RunReport, sent, now time.Time) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	if !n.known || !n.silentSince.IsZero() {
		s.grow()
		s.forgetShapes()
	}
	n.silentSince, n.heard = time.Time{}, now
	reborn := report.Incarnation != 0 && report.Incarnation != n.Incarnation
	if reborn {
		if n.Incarnation != 0 {
			s.notice(Notice{Kind: "WorkerRestarted", Worker: id, Cause: "its report names another life"})
		}
		n.Incarnation = report.Incarnation
		n.seen, n.acknowledged, n.ends = 0, 0, nil
	}
	for _, e := range report.Ended {
		if e.Number > n.seen {
			n.seen = e.Number
			s.ended(n, e, now)
		}
	}
	listed := make(map[worker.Run]bool, len(report.Active))
	for _, a := range report.Active {
		listed[a.Run] = true
		s.atWork(n, a, now)
	}
	for r := range n.runs {
		if listed[r.Run] {
			continue
		}
		if reborn && r.unanswered {
			s.stopAgain(r, "the worker was restarted", now)
			continue
		}
		if r.confirmed.IsZero() || !r.confirmed.Before(sent) {
			continue
		}
		switch {
		case r.phase == runStopping, r.unit == nil, r.unit.phase == done:
			s.gone(r)
			if r.unit != nil {
				s.settle(r.unit)
			}
		default:
			s.runLost(r, "the worker no longer lists the run", now)
		}
	}
	n.known = true
	s.mark(n)
	delete(s.unknown, id)
}

// ended handles one end. The worker may forget it once the store keeps what follows from it.
func (s *State) ended(n *node, e worker.End, now time.Time) {
	j := s.jobs[e.Job]
	u := j.unitOf(e.Task)
	r := n.find(e.Run)
	if r != nil {
		if e.How == worker.EndStopped && !r.stopSent.IsZero() {
			s.stops.add(float64(now.Sub(r.stopSent)))
		}
		s.gone(r)
	}
	switch {
	case u == nil || j.over():
	case u.number == e.Run.Number || (u.number == 0 && j.restored):
		s.unitEnded(u, n, e, now)
	case e.How == worker.EndDone && e.Run.Number < u.number && u.phase != done:
		// The worker was silent until its lease was taken as over, and the unit was started elsewhere.
		s.abort(u, "an earlier run was done", now)
		s.unitDone(u, n, now)
	case e.How == worker.EndFailed && e.Run.Number < u.number:
		// An earlier owner could start the next run before the store kept the failure.
		s.countFailure(u, e.Run.Number)
		s.endFailed(u, now)
	}
	if r != nil && r.unit != nil {
		s.settle(r.unit)
	}
	p := pendingEnd{number: e.Number}
	if j != nil && j.version > j.storedVersion {
		p.job, p.version = j, j.version
		if !slices.Contains(j.endedOn, n) {
			j.endedOn = append(j.endedOn, n)
		}
	}
	n.ends = append(n.ends, p)
}

func (s *State) unitEnded(u *unit, n *node, e worker.End, now time.Time) {
	if u.phase == done || u.job.over() {
		return
	}
	if e.Checkpoint != "" && e.Checkpoint != u.checkpoint {
		u.checkpoint = e.Checkpoint
		s.touch(u.job)
	}
	u.job.begun = true
	switch e.How {
	case worker.EndDone:
		s.unitDone(u, n, now)
	case worker.EndFailed:
		s.strike(n, u.job.ID, now)
		s.countFailure(u, e.Run.Number)
		u.avoidNode(n.ID, now)
		s.interrupted(u, "a task failed on "+string(n.ID), now)
	case worker.EndStopped, worker.EndLapsed, worker.EndBroken, worker.EndAlone:
		if u.phase != stopping {
			// A gang whose start is not confirmed whole may yet get members that know nothing of the end.
			u.broken = e.How == worker.EndBroken && u.phase == running
			s.interrupted(u, "a run ended as "+string(e.How)+" on "+string(n.ID), now)
		}
	}
}

// countFailure counts a failed run; the members of a gang share one.
func (s *State) countFailure(u *unit, number ids.RunNumber) {
	if !slices.Contains(u.failed, number) {
		u.failed = append(u.failed, number)
		s.touch(u.job)
	}
}

// avoidNode keeps a unit off a worker on which it failed for a while.
func (u *unit) avoidNode(id ids.InstanceID, now time.Time) {
	if u.avoid == nil {
		u.avoid = make(map[ids.InstanceID]time.Time)
	}
	u.avoid[id] = now.Add(avoidTime)
}

// interrupted stops what is left of a unit, and ends its job if it has failed too often.
func (s *State) interrupted(u *unit, cause string, now time.Time) {
	s.abort(u, cause, now)
	s.endFailed(u, now)
}

// endFailed ends the job of a unit that has failed too often.
func (s *State) endFailed(u *unit, now time.Time) {
	if len(u.failed) >= u.job.MaxAttempts && !u.job.over() {
		s.end(u.job, Failed, "a task failed as often as its queue allows", now)
	}
}

func (s *State) unitDone(u *unit, n *node, now time.Time) {
	if u.phase == running || u.phase == starting {
		s.learn(u, now)
		s.notice(Notice{
			Kind: "Done", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: n.ID, After: now.Sub(u.job.Submitted),
			Cause: u.ranCause(now),
		})
		for _, r := range u.runs {
			s.cleared(r.node)
		}
	}
	s.cleared(n)
	if u.phase == allocated {
		s.unkeep(u)
	}
	u.phase = done
	s.grow()
	s.touch(u.job)
	for _, other := range u.job.units {
		if other.phase != done {
			return
		}
	}
	s.end(u.job, Completed, "all tasks are done", now)
}

func (u *unit) ranCause(now time.Time) string {
	cause := "ran " + now.Sub(u.startedAt).Round(time.Millisecond).String() + ", declared " + u.spec().Estimate.String()
	if slowness := u.slowness(); slowness >= slowerBound {
		cause += fmt.Sprintf(", on workers that take %.2f times as long", slowness)
	}
	return cause
}

// unitOf returns the unit of a task, or nil.
func (j *Job) unitOf(t worker.Task) *unit {
	if j == nil {
		return nil
	}
	for _, u := range j.units {
		if u.occurrence == t.Occurrence && u.step == t.Step && t.Index >= u.first && t.Index < u.first+u.count {
			return u
		}
	}
	return nil
}

// atWork takes note of a run that a worker lists. A run of an earlier owner is taken over; one that should not be is stopped.
func (s *State) atWork(n *node, a worker.Active, now time.Time) {
	r := n.find(a.Run)
	if r == nil {
		s.unexpected(n, a, now)
		return
	}
	if r.phase == runStarting {
		s.active(r, now)
	}
	r.known = true
	r.percent = a.Percent
	if u := r.unit; u != nil && u.number == r.Number {
		if a.Checkpoint != "" {
			u.checkpoint = a.Checkpoint
		}
		s.paced(r, now)
		s.moved(u, now)
	}
}

// moved takes note of the progress of a unit's slowest member, and gives the unit up if that has stood still for too long.
func (s *State) moved(u *unit, now time.Time) {
	least := 100
	for _, r := range u.runs {
		least = min(least, r.percent)
	}
	if least != u.percent {
		u.percent = least
		u.movedAt = now
		return
	}
	if u.phase != running || now.Sub(u.movedAt) < s.stallTime(u) {
		return
	}
	var slowest []*node
	for _, r := range u.runs {
		if r.percent == least {
			if !r.node.silentSince.IsZero() {
				// Its progress is not known.
				return
			}
			slowest = append(slowest, r.node)
		}
	}
	for _, n := range slowest {
		s.strike(n, u.job.ID, now)
		u.avoidNode(n.ID, now)
	}
	s.abort(u, "no progress for "+now.Sub(u.movedAt).Round(time.Millisecond).String()+", first on "+string(slowest[0].ID), now)
}

// unexpected handles a run that this owner did not order.
func (s *State) unexpected(n *node, a worker.Active, now time.Time) {
	j := s.jobs[a.Job]
	u := j.unitOf(a.Task)
	r := &run{Run: a.Run, node: n, phase: runActive, known: true, confirmed: now, percent: a.Percent}
	if u != nil {
		r.each = u.spec().Each
	}
	n.runs[r] = true
	s.mark(n)
	n.used = n.used.Plus(r.each)
	if u != nil && j.restored && !j.over() && s.adopt(u, r, now) {
		if a.Checkpoint != "" {
			u.checkpoint = a.Checkpoint
		}
		return
	}
	if u != nil {
		r.stray = u
		u.strays++
	}
	s.notice(Notice{Kind: "UnknownRunStopped", Job: a.Job, Step: a.Step, Task: a.Index, Tasks: 1, Number: a.Number, Worker: n.ID, Cause: "this owner did not order it"})
	s.stop(r, now)
}

// adopt takes a run of an earlier owner over.
func (s *State) adopt(u *unit, r *run, now time.Time) bool {
	switch {
	case u.phase == waiting && u.number == 0:
		u.number = r.Number
		u.phase = starting
		u.startedAt, u.movedAt = now, now
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
	u.job.begun = true
	u.runs = append(u.runs, r)
	r.unit = u
	u.job.beganIn(u.stepRun(), r.node.rack)
	if len(u.runs) < u.count {
		return true
	}
	u.phase = running
	s.notice(Notice{Kind: "TakenOver", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: r.node.ID, Cause: "found at work on its workers"})
	return true
}

// Recover begins with the jobs of earlier owners. Nothing is started until EndRecovery.
func (s *State) Recover(jobs []*Job) {
	s.init()
	s.recovering = true
	for _, j := range slices.SortedFunc(slices.Values(jobs), func(a, b *Job) int { return a.Submitted.Compare(b.Submitted) }) {
		j.restored = true
		j.stored = true
		s.add(j)
	}
}

// EndRecovery ends the time in which workers report what they run. Workers that have not reported, and those that an
// earlier owner used and that are not listed, may run tasks until the time given; what may run there is not started before.
func (s *State) EndRecovery(missing []ids.InstanceID, until, now time.Time) {
	s.init()
	s.recovering = false
	s.grow()
	for id, n := range s.nodes {
		if n.listed && !n.known {
			s.unknown[id] = until
		}
	}
	for _, id := range missing {
		if n := s.nodes[id]; n == nil || !n.known {
			s.unknown[id] = until
		}
	}
	for _, j := range slices.Clone(s.live) {
		for _, u := range j.units {
			if u.phase == starting && len(u.runs) < u.count {
				s.abort(u, "only a part of the gang was found at work", now)
			}
			s.endFailed(u, now)
		}
	}
}

// blocked reports whether a unit of an earlier owner may still run on a worker that can't be asked.
func (s *State) blocked(u *unit) bool {
	return u.job.restored && len(s.unknown) > 0
}

// Unknown returns the workers on which runs of an earlier owner may be left.
func (s *State) Unknown() []ids.InstanceID {
	list := make([]ids.InstanceID, 0, len(s.unknown))
	for id := range s.unknown {
		list = append(list, id)
	}
	return list
}
