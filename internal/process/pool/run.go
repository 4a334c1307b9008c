package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// firstRetry is the pause of a unit after its first failed start; it doubles with each.
	firstRetry = 100 * time.Millisecond
	// maxRetryDoubled bounds the doubling.
	maxRetryDoubled = 4
	// avoidTime is how long a unit keeps off a worker on which it failed: as long as the worker would be left out first. Later
	// it may need that very worker to fit.
	avoidTime = firstQuarantine
	// strikesToQuarantine is the number of failures in a row, of different jobs, after which a worker is left out.
	strikesToQuarantine = 2
	// firstQuarantine is how long a worker is left out first; the time doubles with each quarantine in a row.
	firstQuarantine = 3 * time.Second
	maxQuarantine   = time.Minute
)

// start orders the start of a unit on its workers, one for each task.
func (s *State) start(u *unit, place []*node, now time.Time) {
	u.number = max(u.number, ids.RunNumber(s.Epoch)*runsPerEpoch) + 1
	u.phase = starting
	u.startedAt, u.movedAt = now, now
	u.percent, u.broken, u.adopted = 0, false, false
	u.remote = s.isRemote(u, place)
	u.job.beganIn(u.stepRun(), place[0].rack)
	u.runs = u.runs[:0]
	for i, n := range place {
		r := &run{
			Run:  worker.Run{Task: worker.Task{Job: u.job.ID, Occurrence: u.occurrence, Step: u.step, Index: u.first + i}, Number: u.number},
			unit: u, node: n, each: u.spec().Each,
		}
		u.runs = append(u.runs, r)
		n.runs[r] = true
		s.mark(n)
		n.used = n.used.Plus(r.each)
		s.actions = append(s.actions, Action{Kind: StartRun, Worker: n.ID, Run: r.Run, Payload: u.job.Payload, Checkpoint: u.checkpoint})
	}
	s.fair.started(u.job)
	first := !u.job.begun
	u.job.begun = true
	s.notice(Notice{
		Kind: "Placed", Job: u.job.ID, Priority: u.job.Priority, First: first, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Worker: place[0].ID,
		Cause: placedCause(u, place), After: now.Sub(u.job.Submitted),
	})
}

// beganIn notes the rack in which a step has begun.
func (j *Job) beganIn(step stepRun, r *rack) {
	if j.racks == nil {
		j.racks = make(map[stepRun]*rack)
	}
	if j.racks[step] == nil {
		j.racks[step] = r
	}
}

func placedCause(u *unit, place []*node) string {
	cause := "free room"
	if u.job.owed {
		cause = "owed by the account's guarantee"
	}
	if u.remote {
		cause += ", away from its rack or data"
	}
	return cause + ", rack " + string(place[0].Rack)
}

// find returns a run by its name on a worker, or nil.
func (n *node) find(ref worker.Run) *run {
	for r := range n.runs {
		if r.Run == ref {
			return r
		}
	}
	return nil
}

func (s *State) find(id ids.InstanceID, ref worker.Run) *run {
	if n := s.nodes[id]; n != nil {
		return n.find(ref)
	}
	return nil
}

// RunStarted takes note that a worker confirmed a start.
func (s *State) RunStarted(id ids.InstanceID, ref worker.Run, now time.Time) {
	if r := s.find(id, ref); r != nil && r.phase == runStarting {
		s.active(r, now)
	}
}

func (s *State) active(r *run, now time.Time) {
	r.phase = runActive
	r.known = true
	r.confirmed = now
	u := r.unit
	if u == nil || u.phase != starting {
		return
	}
	for _, other := range u.runs {
		if other.phase != runActive {
			return
		}
	}
	u.phase = running
	u.startedAt, u.movedAt = now, now
	if u.checkpoint == "" {
		u.paceFrom(now)
	}
}

// RunRefused takes note that a worker refused a start, so that nothing runs there. An unhealthy worker is left out for a while.
func (s *State) RunRefused(id ids.InstanceID, ref worker.Run, cause error, unhealthy bool, now time.Time) {
	r := s.find(id, ref)
	if r == nil || r.phase == runActive {
		return
	}
	if unhealthy {
		s.strike(r.node, ref.Job, now)
	}
	s.runLost(r, "the worker refused the start: "+cause.Error(), now)
}

// RunUnanswered takes note that an order to start a run got no answer; it may be sent again.
func (s *State) RunUnanswered(id ids.InstanceID, ref worker.Run) {
	if r := s.find(id, ref); r != nil {
		r.unanswered = true
	}
}

// RunUnknown takes note that a worker gave no answer to a start: the run may be there, or come later. The unit is stopped whole.
func (s *State) RunUnknown(id ids.InstanceID, ref worker.Run, now time.Time) {
	r := s.find(id, ref)
	if r == nil || r.phase != runStarting {
		return
	}
	if r.unit != nil {
		s.backOff(r.unit, now)
		s.abort(r.unit, "a start was not answered by "+string(id), now)
	}
}

// StopConfirmed takes note that a worker took a stop. The run's end, or a later report without it, tells that it is gone.
func (s *State) StopConfirmed(id ids.InstanceID, ref worker.Run, now time.Time) {
	if r := s.find(id, ref); r != nil && r.phase == runStopping && r.confirmed.IsZero() {
		r.confirmed = now
	}
}

// abort stops a unit. It waits again once all its runs are gone, unless its job is over.
func (s *State) abort(u *unit, cause string, now time.Time) {
	switch u.phase {
	case allocated:
		s.unkeep(u)
		u.phase = waiting
	case starting, running:
		u.phase = stopping
		s.notice(Notice{
			Kind: "Stopped", Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Number: u.number, Cause: cause, After: now.Sub(u.job.Submitted),
			Lost: s.workLost(u, now).Seconds() * s.size(u),
		})
		for _, r := range slices.Clone(u.runs) {
			s.stop(r, now)
		}
		s.settle(u)
	}
}

// stop orders the stop of one run.
func (s *State) stop(r *run, now time.Time) {
	if r.phase == runStopping || r.phase == runGone {
		return
	}
	r.phase = runStopping
	r.confirmed = time.Time{}
	s.runsChanged(r.node)
	r.stopSent = now
	s.actions = append(s.actions, Action{Kind: StopRun, Worker: r.node.ID, Run: r.Run})
}

// gone frees the room of a run.
func (s *State) gone(r *run) {
	if r.phase == runGone {
		return
	}
	r.phase = runGone
	delete(r.node.runs, r)
	s.mark(r.node)
	r.node.used = r.node.used.Minus(r.each)
	if r.stray != nil {
		r.stray.strays--
	}
	s.grow()
}

// runLost takes note that a run is gone although it was not done.
func (s *State) runLost(r *run, cause string, now time.Time) {
	s.gone(r)
	u := r.unit
	if u == nil || u.number != r.Number {
		return
	}
	if u.phase == starting || u.phase == running {
		s.backOff(u, now)
		s.abort(u, cause, now)
	}
	s.settle(u)
}

// settle lets a stopped unit wait again once nothing of it runs.
func (s *State) settle(u *unit) {
	if u.phase != stopping {
		return
	}
	for _, r := range u.runs {
		if r.phase != runGone {
			return
		}
	}
	u.runs = u.runs[:0]
	u.phase = waiting
	s.grow()
}

// backOff delays the next start of a unit a little more with each try.
func (s *State) backOff(u *unit, now time.Time) {
	tries := int(u.number % runsPerEpoch)
	u.notBefore = now.Add(firstRetry << min(max(tries-1, 0), maxRetryDoubled))
}

// strike counts a failure against a worker and leaves it out after failures of different jobs in a row.
func (s *State) strike(n *node, job ids.JobID, now time.Time) {
	if n.strikes > 0 && n.struckBy == job {
		return
	}
	n.strikes++
	n.struckBy = job
	if n.strikes >= strikesToQuarantine {
		s.quarantine(n, job, "different jobs failed there in a row", now)
	}
}

// quarantine leaves a worker out for a while.
func (s *State) quarantine(n *node, job ids.JobID, cause string, now time.Time) {
	if now.Before(n.quarantined) {
		return
	}
	n.quarantine = min(maxQuarantine, max(firstQuarantine, 2*n.quarantine))
	n.quarantined = now.Add(n.quarantine)
	s.suspects[n] = true
	s.forgetShapes()
	// One more failure after the quarantine brings the worker back into it.
	n.strikes = strikesToQuarantine - 1
	n.struckBy = ""
	s.notice(Notice{Kind: "WorkerQuarantined", Worker: n.ID, Job: job, Cause: cause + "; left out for " + n.quarantine.String()})
}

// cleared forgets the failures of a worker on which a task was done.
func (s *State) cleared(n *node) {
	if n.quarantine > firstQuarantine {
		s.forgetShapes()
	}
	n.strikes, n.struckBy, n.quarantine = 0, "", 0
}
