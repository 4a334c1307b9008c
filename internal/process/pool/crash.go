package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Crash is the loss of a worker while it ran tasks of a unit. It is part of the job's record.
	Crash struct {
		Run    ids.RunNumber
		Worker ids.InstanceID `json:",omitempty"`
		// Tasks holds the indexes of the unit's tasks on that worker.
		Tasks []int
		// Age is how long after the order to start the run the worker stopped answering.
		Age time.Duration `json:",omitempty"`
		// Conclusive is set once it is known that nothing else explains the crash: no other unit ran there, and no other worker crashed shortly before or at
		// the same time without a task that had just been started there.
		Conclusive bool `json:",omitempty"`
		// Unseen is set if the worker was not seen to end its process: it fell silent, or the owner was lost before the outcome of a start was stored.
		// Incarnation is then that of the worker; if it answers again in the same one, it has not crashed.
		Unseen      bool   `json:",omitempty"`
		Incarnation uint64 `json:",omitempty"`
		// Unconfirmed is set if the worker did not confirm the start: it may have crashed before.
		Unconfirmed bool `json:",omitempty"`
		// Coincident is set if another worker crashed at the same time that ran no task which had just been started.
		Coincident bool `json:",omitempty"`

		// Trial is set if the unit was tried there alone after a crash, and had not outlived the trial.
		Trial bool `json:",omitempty"`

		// at is when the worker may have stopped answering; zero if another owner saw it. alone is set if no other unit ran there, and judged once it is known what
		// else crashed then.
		at            time.Time
		alone, judged bool
		// aliveAt is when the worker last proved to be alive.
		aliveAt time.Time
	}

	// StartedOn is a worker on which tasks of a unit were started. It is part of the job's record.
	StartedOn struct {
		Worker      ids.InstanceID
		Incarnation uint64 `json:",omitempty"`
		Tasks       []int
	}

	// crashRecord is what is known of the crashes under a unit.
	crashRecord struct {
		list []Crash
		// survived is the number of leading crashes after which a run of the unit has outlived its trial.
		survived int
		// started lists the workers on which a run may have been started whose outcome is not known.
		started []StartedOn
		// waitsSince is since when the unit has waited for workers of its own; zero if it does not.
		waitsSince time.Time
		// searchAt is when workers for a trial are looked for again.
		searchAt time.Time
	}

	// poolCrash is a crash of any worker.
	poolCrash struct {
		at   time.Time
		rack ids.RackID
		// units are those that ran there, and suspects those of them that had just been started.
		units, suspects []*unit
	}

	// lostRun is a run that may have been lost in a crash of its worker.
	lostRun struct {
		worker.Run
		unit      *unit
		orderedAt time.Time
		confirmed bool
	}

	// CrashedRun is a run that was lost with its worker's process.
	CrashedRun struct {
		worker.Run
		// Age is how long after the order to start the run the worker stopped answering.
		Age time.Duration
	}
)

const (
	// youngRun is the age up to which a run is suspected at the first crash: a task that crashes whatever starts it does so soon after its start. The age includes
	// the time until the owner notices.
	youngRun = time.Second
	// promptCrash is the age up to which a crash hardly hits a sound run by chance, even while many workers crash.
	promptCrash = 250 * time.Millisecond
	// coincidence is the time between crashes of several workers that probably have one cause, such as a rack without power. It covers the time until
	// the owner notices each of them.
	coincidence = time.Second
	// maxPromptCrashes is the number of prompt crashes in a row after which a unit is given up, whatever else crashed.
	maxPromptCrashes = 4
	// crashMemory is how long the crashes of all workers are remembered. It covers the few starts after which a unit is given up.
	crashMemory = time.Minute
	// promptConclusive is the number of conclusive crashes in a row after which a unit is given up if all were prompt, and lateConclusive otherwise.
	promptConclusive = 2
	lateConclusive   = 3
	// minCrashes is the least number of crashes in a row for a unit to be given up.
	minCrashes = 3
	// maxCrashes is the number of crashes under young runs or of an age that is not known, after which a unit is given up although runs of it outlived their trials.
	// Until a run outlives a trial, minCrashes of them suffice if the others were later. At least one crash must have been seen. The platform allows five starts of a
	// task that crashes its workers.
	maxCrashes = 5
	// maxTrialAge is the age up to which a crash under a trial counts: tasks that last meet a crash of a sound worker sooner or later.
	maxTrialAge = 10 * time.Second
	// forgottenCrashes is how many fewer suffice for a recovered job: an earlier owner may have been lost before it could store a start or a crash.
	forgottenCrashes = 1
)

// recordCrash records that a worker's process has ended, unless the worker has left or had announced that it leaves. survives reports whether a run may be active in
// the worker's new incarnation; nil means that none can be.
func (s *State) recordCrash(n *node, cause string, now time.Time, survives func(r *run) bool) {
	if n.processEnded {
		return
	}
	n.processEnded, n.endedAt = true, now
	lost := n.lostRuns(survives)
	if n.Draining || n.left || n.reportedAt.IsZero() && len(lost) == 0 && len(s.unseen[n.ID]) == 0 {
		return
	}
	at := n.lastAnswer(now)
	n.crashedAt = now
	crash := poolCrash{at: at, rack: n.Rack, units: crashedUnits(lost)}
	var runs []CrashedRun
	for _, l := range lost {
		age := max(0, at.Sub(l.orderedAt))
		if l.unit != nil && age <= youngRun {
			crash.suspects = append(crash.suspects, l.unit)
		}
		runs = append(runs, CrashedRun{Run: l.Run, Age: age})
	}
	for _, u := range s.unseen[n.ID] {
		// Its run was given up while the worker was silent.
		if c := u.unseenCrash(n); c != nil {
			c.Unseen, c.at = false, at
			crash.units = append(crash.units, u)
			if c.Age <= youngRun {
				crash.suspects = append(crash.suspects, u)
			}
			runs = append(runs, CrashedRun{Run: worker.Run{Task: worker.Task{Job: u.job.ID, Occurrence: u.occurrence, Step: u.step, Index: c.Tasks[0]}, Number: c.Run}, Age: c.Age})
			s.markDirty(u.job)
		}
	}
	s.notice(Notice{Kind: "WorkerCrashed", Worker: n.ID, Cause: cause, Crashed: runs})
	s.crashes = slices.DeleteFunc(s.crashes, func(c poolCrash) bool { return at.Sub(c.at) > crashMemory })
	s.crashes = append(s.crashes, crash)
	ran := slices.Clone(crash.units)
	for _, l := range lost {
		ran = append(ran, l.unit)
	}
	for _, u := range crashedUnits(lost) {
		s.addCrash(u, n, lost, Crash{at: at, alone: !slices.ContainsFunc(ran, func(other *unit) bool { return other != u })}, now)
	}
	for _, u := range crash.units {
		s.undecided = append(s.undecided, u)
		s.giveUpIfCrashing(u, now)
	}
}

// lastAnswer returns the earliest time at which a worker that does not answer may have crashed.
func (n *node) lastAnswer(now time.Time) time.Time {
	switch {
	case !n.failingSince.IsZero():
		return laterOf(n.failingSince, n.reportedAt)
	case !n.reportedAt.IsZero():
		// A call got no answer in time, or it restarted before a call failed.
		return n.reportedAt
	case !n.silentSince.IsZero():
		return n.silentSince
	}
	return now
}

// unseenCrash returns the crash of a worker that was not seen, or nil.
func (u *unit) unseenCrash(n *node) *Crash {
	if u.phase == done || u.job.ended() {
		return nil
	}
	for i := range u.crashes.list {
		if c := &u.crashes.list[i]; c.Unseen && c.Worker == n.ID && c.Incarnation == n.Incarnation {
			return c
		}
	}
	return nil
}

// recordUnseen records that a worker's runs are lost although it was not seen to crash.
func (s *State) recordUnseen(n *node, lost []lostRun, now time.Time) {
	for _, u := range crashedUnits(lost) {
		if u.job.ended() {
			// It was given up for another of its units.
			continue
		}
		s.addCrash(u, n, lost, Crash{Unseen: true, Incarnation: n.Incarnation, alone: n.runsOnly(u)}, now)
		s.unseen[n.ID] = append(s.unseen[n.ID], u)
		s.giveUpIfCrashing(u, now)
	}
}

// recordLateCrash records the crash of a worker under a run of which it was not known whether it survived.
func (s *State) recordLateCrash(r *run, now time.Time) {
	if u := r.unit; u != nil && u.number == r.Number && u.phase != done && !u.job.ended() {
		s.addCrash(u, r.node, []lostRun{r.lost()}, Crash{at: r.mayHaveCrashedAt}, now)
		s.undecided = append(s.undecided, u)
		s.giveUpIfCrashing(u, now)
	}
}

// lostRuns returns the worker's runs, but those that may survive.
func (n *node) lostRuns(survives func(r *run) bool) []lostRun {
	var lost []lostRun
	for _, r := range n.runs {
		if survives != nil && survives(r) {
			r.mayHaveCrashedAt = n.reportedAt
			continue
		}
		lost = append(lost, r.lost())
	}
	return lost
}

func (r *run) lost() lostRun {
	return lostRun{Run: r.Run, unit: r.unit, orderedAt: r.orderedAt, confirmed: r.reported}
}

// crashedUnits returns the units that have not ended among those of the lost runs.
func crashedUnits(lost []lostRun) []*unit {
	var list []*unit
	for _, l := range lost {
		if u := l.unit; u != nil && u.phase != done && !u.job.ended() && !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	return list
}

// addCrash adds the crash of a worker to a unit's record. If it was recorded before under the same run, the lost tasks are added to that record.
func (s *State) addCrash(u *unit, n *node, lost []lostRun, c Crash, now time.Time) {
	c.Worker, c.Unconfirmed, c.aliveAt = n.ID, true, n.reportedAt
	var ordered time.Time
	for _, l := range lost {
		if l.unit == u {
			c.Run, ordered = l.Number, laterOf(ordered, l.orderedAt)
			c.Tasks = append(c.Tasks, l.Index)
			c.Unconfirmed = c.Unconfirmed && !l.confirmed
		}
	}
	if i := slices.IndexFunc(u.crashes.list, func(other Crash) bool { return other.Worker == c.Worker && other.Run == c.Run }); i >= 0 {
		if known := &u.crashes.list[i]; known.addTasks(c.Tasks) {
			known.Unconfirmed = known.Unconfirmed && c.Unconfirmed
			s.markDirty(u.job)
			u.job.crashVersion = u.job.version
		}
		return
	}
	at := c.at
	if at.IsZero() {
		at = n.lastAnswer(now)
	}
	c.Age = max(0, at.Sub(ordered))
	c.Trial = c.alone && u.crashesInRow() > 0 && c.Age <= min(u.trialLength(), maxTrialAge)
	u.crashes.list = append(u.crashes.list, c)
	u.crashes.waitsSince = time.Time{}
	u.crashes.started = slices.DeleteFunc(u.crashes.started, func(on StartedOn) bool { return on.Worker == n.ID && c.Run == u.number })
	s.markDirty(u.job)
	if u.mustStoreStart() {
		u.job.crashVersion = u.job.version
	}
	s.notice(Notice{
		Kind: "TaskCrashed", Job: u.job.ID, Step: u.step, Task: c.Tasks[0], Tasks: len(c.Tasks), Number: c.Run, Worker: n.ID,
		Cause: fmt.Sprintf("%s; %d in a row, %d in all", c.describe(), u.crashesInRow(), u.crashCount()), After: u.job.age(now),
	})
}

// addTasks adds those tasks that are not included yet, and reports whether there are any.
func (c *Crash) addTasks(tasks []int) bool {
	known := len(c.Tasks)
	for _, task := range tasks {
		if !slices.Contains(c.Tasks, task) {
			c.Tasks = append(c.Tasks, task)
		}
	}
	return len(c.Tasks) > known
}

// runsOnly reports whether all runs on the worker are of one unit.
func (n *node) runsOnly(u *unit) bool {
	return !slices.ContainsFunc(n.runs, func(r *run) bool { return r.unit != u })
}

// String returns the worker, the age and how sure it is that the unit is the cause, such as "w1 after 12ms conclusive".
func (c Crash) String() string {
	switch {
	case c.Unseen:
		return string(c.Worker) + " unseen"
	case c.Conclusive:
		return string(c.Worker) + " after " + c.Age.Round(time.Millisecond).String() + " conclusive"
	case c.Unconfirmed:
		return string(c.Worker) + " unconfirmed"
	}
	return string(c.Worker) + " after " + c.Age.Round(time.Millisecond).String()
}

func (c Crash) describe() string {
	switch {
	case c.Unseen:
		return "the worker fell silent and its lease has expired"
	case c.alone:
		return "the worker crashed after " + c.Age.Round(time.Millisecond).String() + " with no other unit there"
	}
	return "the worker crashed after " + c.Age.Round(time.Millisecond).String() + " with other units there"
}

// resolveUnseen decides on the crashes that were not seen when the worker answers again: it has not crashed if it is in the same incarnation.
func (s *State) resolveUnseen(n *node, now time.Time) {
	for _, u := range s.unseen[n.ID] {
		if u.job.ended() {
			continue
		}
		k := &u.crashes
		for i := range k.list {
			if c := &k.list[i]; c.Worker == n.ID && c.Unseen && c.Incarnation != 0 && c.Incarnation != n.Incarnation {
				c.Unseen = false
			}
		}
		k.list = slices.DeleteFunc(k.list, func(c Crash) bool { return c.Worker == n.ID && c.Unseen && c.Incarnation != 0 })
		k.survived = min(k.survived, len(k.list))
		s.markDirty(u.job)
		s.giveUpIfCrashing(u, now)
	}
	delete(s.unseen, n.ID)
}

// forgetUnseen removes the units of a job that has ended from those whose crashes were not seen. Their workers may never answer again.
func (s *State) forgetUnseen(j *Job) {
	for _, u := range j.units {
		for _, c := range u.crashes.list {
			if s.unseen[c.Worker] == nil {
				continue
			}
			if s.unseen[c.Worker] = slices.DeleteFunc(s.unseen[c.Worker], func(other *unit) bool { return other.job == j }); len(s.unseen[c.Worker]) == 0 {
				delete(s.unseen, c.Worker)
			}
		}
	}
}

// findCrashes counts the crashes of workers on which an earlier owner has started units that no worker runs now. It is called once all workers that may run
// them have reported or are lost.
func (s *State) findCrashes(now time.Time) {
	for _, j := range slices.Clone(s.live) {
		for _, u := range j.units {
			s.settleStarted(u, now)
		}
	}
}

// findCrash counts the crash of a worker on which an earlier owner has started a unit, if it has crashed or does not answer.
func (s *State) findCrash(u *unit, on StartedOn, now time.Time) {
	n := s.nodes[on.Worker]
	reported := n != nil && n.reported
	if reported && n.Incarnation == on.Incarnation {
		return
	}
	// How long the run had lasted is not known.
	c := Crash{Worker: on.Worker, Tasks: on.Tasks, Age: youngRun, Incarnation: on.Incarnation, Unseen: !reported}
	if c.Unseen {
		s.unseen[on.Worker] = append(s.unseen[on.Worker], u)
	}
	u.crashes.list = append(u.crashes.list, c)
	s.markDirty(u.job)
	u.job.crashVersion = u.job.version
	s.notice(Notice{
		Kind: "TaskCrashed", Job: u.job.ID, Step: u.step, Task: on.Tasks[0], Tasks: len(on.Tasks), Worker: on.Worker,
		Cause: fmt.Sprintf("an earlier owner started it there, and the worker was restarted or is gone; %d in a row, %d in all", u.crashesInRow(), u.crashCount()),
		After: u.job.age(now),
	})
}
