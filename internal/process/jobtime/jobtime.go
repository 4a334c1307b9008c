// Package jobtime accounts for the time between a job's admission and its end by cause, from the decisions that the owners of a pool have logged. It needs no
// state of an owner, so that an account continues across owners.
package jobtime

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Cause is what a part of a job's time was spent on.
	Cause string

	// Kind is the kind of a decision.
	Kind string

	// Decision is one decision on a job, or on the unit of one of its steps that begins with a task.
	Decision struct {
		At         time.Time
		Kind       Kind
		Job        ids.JobID
		Step, Task int
		Cause      string
		// Priority and Objective are those of an Admitted job. An objective of zero is not known.
		Priority  int
		Objective time.Duration
	}

	// Account is the account of one job that has ended. The parts of Spent add up to Age.
	Account struct {
		Job      ids.JobID
		Priority int
		Age      time.Duration
		Late     bool
		Outcome  string
		Spent    map[Cause]time.Duration
	}

	// Ledger collects decisions in order of time. Its zero value is empty.
	Ledger struct {
		jobs     map[ids.JobID]*job
		accounts []Account
	}

	job struct {
		admitted Decision
		units    map[unitID]*unit
		// stops are when units of other jobs were preempted for this one.
		stops []time.Time
	}

	unitID struct{ step, task int }

	unit struct {
		spent map[Cause]time.Duration
		// since is when the current part began, and lost the cause of the last stop.
		since    time.Time
		placed   bool
		lost     string
		lastDone time.Time
	}
)

// The kinds of decisions that are accounted for; others are ignored.
const (
	Admitted  Kind = "Admitted"
	Placed    Kind = "Placed"
	TakenOver Kind = "TakenOver"
	Stopped   Kind = "Stopped"
	Done      Kind = "Done"
	JobEnded  Kind = "JobEnded"
)

// What time is spent on. A lost part is the time from a start to the stop that discarded it.
const (
	EarlierSteps     Cause = "EarlierSteps"
	WaitForRoom      Cause = "WaitForRoom"
	WaitForStops     Cause = "WaitForStops"
	WaitAfterFailure Cause = "WaitAfterFailure"
	WaitAfterLoss    Cause = "WaitAfterLoss"
	LostToFailure    Cause = "LostToFailure"
	LostToPreemption Cause = "LostToPreemption"
	LostToDeparture  Cause = "LostToDeparture"
	LostToStraggler  Cause = "LostToStraggler"
	LostToOrder      Cause = "LostToOrder"
	LostToWorker     Cause = "LostToWorker"
	Run              Cause = "Run"
	// Unfinished is the time of the last start of a job that did not complete.
	Unfinished Cause = "Unfinished"
)

const preemptedFor = "preempted by urgent job "

// lossCauses maps parts of the logged cause of a stop, in this order.
var lossCauses = []struct {
	part  string
	cause Cause
}{
	{"a task failed", LostToFailure},
	{preemptedFor, LostToPreemption},
	{" leaves in ", LostToDeparture},
	{"is being evacuated", LostToDeparture},
	{"would end sooner elsewhere", LostToStraggler},
	{"no progress for", LostToStraggler},
	{"not answered", LostToOrder},
	{"refused the start", LostToOrder},
}

func lossCause(logged string) Cause {
	for _, l := range lossCauses {
		if strings.Contains(logged, l.part) {
			return l.cause
		}
	}
	return LostToWorker
}

// Add adds a decision. Decisions on a job whose admission is not known are ignored.
func (l *Ledger) Add(d Decision) {
	if l.jobs == nil {
		l.jobs = make(map[ids.JobID]*job)
	}
	if waiting, found := strings.CutPrefix(d.Cause, preemptedFor); d.Kind == Stopped && found {
		if j := l.jobs[ids.JobID(waiting)]; j != nil {
			j.stops = append(j.stops, d.At)
		}
	}
	if d.Kind == Admitted {
		l.jobs[d.Job] = &job{admitted: d, units: make(map[unitID]*unit)}
		return
	}
	j := l.jobs[d.Job]
	if j == nil {
		return
	}
	if d.Kind == JobEnded {
		l.accounts = append(l.accounts, j.account(d))
		delete(l.jobs, d.Job)
		return
	}
	id := unitID{d.Step, d.Task}
	u := j.units[id]
	if u == nil {
		u = &unit{spent: make(map[Cause]time.Duration), since: j.admitted.At}
		j.units[id] = u
	}
	switch d.Kind {
	case Placed:
		if !u.placed {
			u.end(j.waitCause(u), d.At)
		}
		u.placed = true
	case TakenOver:
		u.placed = true
	case Stopped:
		if u.placed {
			u.end(lossCause(d.Cause), d.At)
		}
		u.placed, u.lost = false, d.Cause
	case Done:
		u.end(Run, d.At)
		u.placed, u.lastDone = false, d.At
	}
}

// end ends the current part.
func (u *unit) end(cause Cause, at time.Time) {
	u.spent[cause] += at.Sub(u.since)
	u.since = at
}

// waitCause returns what a unit has waited for since its admission or its last stop.
func (j *job) waitCause(u *unit) Cause {
	switch {
	case slices.ContainsFunc(j.stops, func(at time.Time) bool { return !at.Before(u.since) }):
		return WaitForStops
	case u.lost == "":
		return WaitForRoom
	case lossCause(u.lost) == LostToFailure:
		return WaitAfterFailure
	}
	return WaitAfterLoss
}

// account returns the account of a job that has ended: that of the unit which was active last, whose start may have waited for earlier steps.
func (j *job) account(end Decision) Account {
	outcome, _, _ := strings.Cut(end.Cause, ":")
	a := Account{Job: end.Job, Priority: j.admitted.Priority, Age: end.At.Sub(j.admitted.At), Outcome: outcome, Spent: make(map[Cause]time.Duration)}
	a.Late = j.admitted.Objective > 0 && a.Age > j.admitted.Objective
	var last *unit
	var lastID unitID
	for id, u := range j.units {
		if last == nil || cmp.Or(u.since.Compare(last.since), cmp.Compare(id.step, lastID.step), cmp.Compare(id.task, lastID.task)) > 0 {
			last, lastID = u, id
		}
	}
	if last == nil {
		a.Spent[WaitForRoom] = a.Age
		return a
	}
	maps.Copy(a.Spent, last.spent)
	earlier := time.Duration(0)
	for id, u := range j.units {
		if id.step < lastID.step && !u.lastDone.IsZero() {
			earlier = max(earlier, u.lastDone.Sub(j.admitted.At))
		}
	}
	// The unit waited from the admission on.
	for _, wait := range []Cause{WaitForRoom, WaitForStops} {
		moved := min(earlier-a.Spent[EarlierSteps], a.Spent[wait])
		if moved > 0 {
			a.Spent[EarlierSteps] += moved
			a.Spent[wait] -= moved
		}
	}
	if rest := end.At.Sub(last.since); rest > 0 {
		cause := Unfinished
		if !last.placed && last.lastDone.IsZero() {
			cause = j.waitCause(last)
		}
		a.Spent[cause] += rest
	}
	maps.DeleteFunc(a.Spent, func(_ Cause, d time.Duration) bool { return d == 0 })
	return a
}

// Accounts returns the accounts of the jobs that have ended, in order of their ends.
func (l *Ledger) Accounts() []Account { return l.accounts }
