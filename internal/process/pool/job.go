package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Step is one part of a job: a gang, or tasks that run each by itself.
	Step struct {
		Tasks int
		Each  ids.Resources `json:",omitzero"`
		// Estimate is the declared run time of a task.
		Estimate time.Duration `json:",omitempty"`
		// After lists the earlier steps that must be done first.
		After []int `json:",omitempty"`
		// Checkpoints tells that the tasks save their progress.
		Checkpoints bool `json:",omitempty"`
		// Gang tells that the tasks work only together.
		Gang bool `json:",omitempty"`
		// SameRack tells that the tasks are slower on more than one rack.
		SameRack bool `json:",omitempty"`
		// Label is one that the workers must have; empty asks for none.
		Label string `json:",omitempty"`
		// DataRack is the rack of the data, away from which tasks are slower; empty has none.
		DataRack ids.RackID `json:",omitempty"`
		// MaxPerWorker bounds the step's tasks on one worker; zero sets no bound.
		MaxPerWorker int `json:",omitempty"`
	}

	// JobState is the state of a job.
	JobState string

	// Job is an accepted job, or one whose acceptance is being stored.
	Job struct {
		ID        ids.JobID
		Queue     ids.QueueID
		Service   ids.ServiceID
		Account   ids.AccountID
		Priority  int
		Payload   string
		Steps     []Step
		Schedule  Schedule
		Submitted time.Time
		// MaxAttempts is how often a task or gang may fail.
		MaxAttempts int
		// Stretch times the longest chain of work, plus Target, is the time in which the job should end.
		Stretch float64
		Target  time.Duration

		State    JobState
		Finished time.Time

		// stored tells that the store keeps the job; one that it doesn't keep is not started.
		stored bool
		// begun tells that a task was started at some time.
		begun bool
		// restored jobs were accepted under an earlier owner.
		restored bool
		units    []*unit
		// racks are where the steps whose tasks want one rack have begun.
		racks map[stepRun]*rack
		// version counts the changes that the store has to keep, and storedVersion is the one that it keeps.
		version, storedVersion uint64
		// endedOn are the workers with ends that wait for the store to keep the job.
		endedOn []*node
		// turn orders the jobs of one priority.
		turn time.Duration
		// charged is the time of its account's guarantee that the job was counted for.
		charged time.Duration
		// owed tells that the job is covered by its account's guarantee.
		owed bool
	}

	// unit is what is started and stopped as a whole: a gang, or one task.
	unit struct {
		job *Job
		// occurrence is the one of the job's schedule that the unit is of.
		occurrence int
		step       int
		first      int
		count      int
		phase      phase
		// failed are the numbers of the runs that failed.
		failed []ids.RunNumber
		// unsure are the numbers, maybe repeated, of the runs that may have failed on workers that did not say how they ended.
		unsure     []ids.RunNumber
		checkpoint string
		// number is that of the newest run.
		number ids.RunNumber
		runs   []*run
		// place holds the workers that are kept for a unit in phase allocated.
		place       []*node
		allocatedAt time.Time
		startedAt   time.Time
		notBefore   time.Time
		// adopted tells that the run began under an earlier owner, so that its start is not known.
		adopted bool
		// broken tells that the run was first heard of as broken: a member had ended on a worker that did not say so.
		broken bool
		// remote tells that the place makes the tasks slower.
		remote bool
		// strays are runs of the unit that are being stopped although they are not part of its newest run. It starts after them.
		strays int
		// oneRack tells whether some rack could hold the unit, as found with the shapes of number oneRackOf.
		oneRack   bool
		oneRackOf uint64
		// avoid are the workers on which the unit failed, and until when it is kept off them.
		avoid map[ids.InstanceID]time.Time
		// percent is the least progress of the members, and movedAt when it last rose.
		percent int
		movedAt time.Time
	}

	// stepRun is a step of one occurrence of a job.
	stepRun struct{ occurrence, step int }

	phase int

	// run is one member of a unit's run on a worker. It takes room there until it is known to be gone.
	run struct {
		worker.Run
		unit *unit
		// stray is the unit of a run that is not part of its newest run.
		stray *unit
		node  *node
		each  ids.Resources
		phase runPhase
		// known tells that the worker has said that the run was there. Until then its start may still be carried out.
		known bool
		// unanswered tells that an order of the start got no answer. It may be carried out late, also by the worker's next life.
		unanswered bool
		// confirmed is when the start was confirmed, or the stop in phase runStopping.
		confirmed time.Time
		percent   int
		// rate is the progress in percent a second since paceAt, when it was pacePercent.
		rate        float64
		paceAt      time.Time
		pacePercent int
		// stopSent is when a stop was last ordered.
		stopSent time.Time
	}

	runPhase int
)

// The states of a job.
const (
	// Accepted jobs wait or run.
	Accepted  JobState = "Accepted"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

const (
	waiting phase = iota
	// allocated units have workers that are being cleared for them.
	allocated
	starting
	running
	stopping
	done
)

const (
	runStarting runPhase = iota
	runActive
	runStopping
	runGone
)

// over reports whether the job has ended.
func (j *Job) over() bool { return j.State != Accepted }

// Begun reports whether a task of the job was started at some time.
func (j *Job) Begun() bool { return j.begun }

// makeUnits splits the steps of each occurrence into units.
func (j *Job) makeUnits() {
	for occurrence := range j.Schedule.count() {
		for i, s := range j.Steps {
			if s.Gang {
				j.units = append(j.units, &unit{job: j, occurrence: occurrence, step: i, count: s.Tasks})
				continue
			}
			for k := range s.Tasks {
				j.units = append(j.units, &unit{job: j, occurrence: occurrence, step: i, first: k, count: 1})
			}
		}
	}
}

// stepDone reports whether all tasks of a step are done in one occurrence.
func (j *Job) stepDone(r stepRun) bool {
	for _, u := range j.units {
		if u.stepRun() == r && u.phase != done {
			return false
		}
	}
	return true
}

// ready reports whether the steps that the unit waits for are done.
func (u *unit) ready() bool {
	for _, earlier := range u.spec().After {
		if !u.job.stepDone(stepRun{u.occurrence, earlier}) {
			return false
		}
	}
	return true
}

func (u *unit) stepRun() stepRun { return stepRun{u.occurrence, u.step} }

func (u *unit) spec() *Step { return &u.job.Steps[u.step] }

// accelerators returns what the job needs by its guarantee's measure: the accelerators of all its tasks.
func (j *Job) accelerators() ids.Accelerators {
	sum := ids.Accelerators(0)
	for _, s := range j.Steps {
		sum += s.Each.Accelerators * ids.Accelerators(s.Tasks)
	}
	return sum
}
