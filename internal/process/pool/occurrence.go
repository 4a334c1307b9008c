package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// openingLead is how long before it is due an occurrence is opened: a few scheduling passes.
	openingLead = 4 * maxPassInterval
	// maxOpenUnits limits the units of a job's open occurrences, unless one occurrence has more. Others that are due wait until the first of them is done, so that
	// neither the memory nor the record grows with a job that falls behind its schedule.
	maxOpenUnits = 4096
)

// unitsPerOccurrence returns the number of units of one occurrence.
func (j *Job) unitsPerOccurrence() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.units()
	}
	return sum
}

// units returns the number of units of the step: one for a gang, or else one for each task.
func (s Step) units() int {
	if s.Gang {
		return 1
	}
	return s.Tasks
}

// isOpenedFully reports whether all occurrences are open, or done.
func (j *Job) isOpenedFully() bool { return j.opened == j.Schedule.count() }

// openOne makes the units of the next occurrence.
func (j *Job) openOne() {
	for i, s := range j.Steps {
		st := &stage{stepKey: stepKey{j.opened, i}, job: j}
		if s.Gang {
			st.units = []*unit{{job: j, stage: st, occurrence: j.opened, step: i, count: s.Tasks}}
		} else {
			units := make([]unit, s.Tasks)
			st.units = make([]*unit, s.Tasks)
			for k := range units {
				units[k] = unit{job: j, stage: st, occurrence: j.opened, step: i, first: k, count: 1}
				st.units[k] = &units[k]
			}
		}
		st.inPhase[waiting] = len(st.units)
		j.stages = append(j.stages, st)
		j.units = append(j.units, st.units...)
	}
	j.opened++
}

// openThrough opens all occurrences up to one. An earlier owner may have started its tasks.
func (j *Job) openThrough(occurrence int) {
	for j.opened <= occurrence && !j.isOpenedFully() {
		j.openOne()
	}
}

// closeDone removes the units of leading occurrences that are done and of which nothing runs. The last occurrence stays, so that a live job has units.
func (j *Job) closeDone() {
	steps := len(j.Steps)
	for len(j.stages) >= steps && j.closed+1 < j.Schedule.count() {
		units := 0
		for _, st := range j.stages[:steps] {
			if !st.done() || slices.ContainsFunc(st.units, (*unit).hasRuns) {
				return
			}
			units += len(st.units)
		}
		for _, st := range j.stages[:steps] {
			delete(j.stepRacks, st.stepKey)
		}
		// The rest is copied, so that the removed units can be collected.
		j.stages, j.units = slices.Clone(j.stages[steps:]), slices.Clone(j.units[units:])
		j.closed++
	}
}

// closeAll removes all units of a job whose end is stored. Runs that are being stopped keep theirs.
func (j *Job) closeAll() {
	j.closed = j.elapsed()
	j.opened, j.stages, j.units, j.stepRacks = j.closed, nil, nil, nil
}

func (u *unit) hasRuns() bool {
	return u.staleRuns > 0 || slices.ContainsFunc(u.runs, (*run).isOnWorker)
}

func (r *run) isOnWorker() bool { return r.phase != runGone }

// openDue closes the occurrences of a job that are done, and opens those that are due soon, at least one.
func (s *State) openDue(j *Job, now time.Time) {
	if j.isOpenedFully() || j.ended() {
		return
	}
	closed, opened := j.closed, j.opened
	j.closeDone()
	for perOccurrence := j.unitsPerOccurrence(); !j.isOpenedFully(); {
		isNeeded := j.opened == j.closed
		if !isNeeded && (len(j.units)+perOccurrence > maxOpenUnits || now.Add(openingLead).Before(j.Schedule.due(j.opened)) || !s.hasMemoryFor(perOccurrence)) {
			break
		}
		j.openOne()
		s.account(j)
	}
	if j.closed != closed || j.opened != opened {
		s.account(j)
		s.requestPass()
	}
}

// unitOf returns the unit of a task, or nil. It opens the task's occurrence, which an earlier owner may have started.
func (s *State) unitOf(j *Job, t worker.Task) *unit {
	if j == nil || t.Occurrence < j.closed || t.Occurrence >= j.Schedule.count() || t.Step < 0 || t.Step >= len(j.Steps) || t.Index < 0 || t.Index >= j.Steps[t.Step].Tasks {
		return nil
	}
	if t.Occurrence >= j.opened {
		if j.ended() {
			return nil
		}
		j.openThrough(t.Occurrence)
		s.account(j)
	}
	st := j.stage(stepKey{t.Occurrence, t.Step})
	if st.step().Gang {
		return st.units[0]
	}
	return st.units[t.Index]
}

// stage returns a step of an open occurrence.
func (j *Job) stage(k stepKey) *stage { return j.stages[(k.occurrence-j.closed)*len(j.Steps)+k.step] }

// resourcesOf returns what a task of the job uses; known is false if the job has no such task.
func (j *Job) resourcesOf(t worker.Task) (each ids.Resources, known bool) {
	if j == nil || t.Step < 0 || t.Step >= len(j.Steps) {
		return ids.Resources{}, false
	}
	return j.Steps[t.Step].Each, true
}
