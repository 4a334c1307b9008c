package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Step is one part of a job: a gang, or a set of independent tasks.
	Step struct {
		Tasks int
		Each  ids.Resources `json:",omitzero"`
		// Estimate is the declared run time of a task.
		Estimate time.Duration `json:",omitempty"`
		// After lists the earlier steps that this step depends on.
		After []int `json:",omitempty"`
		// Checkpoints is set if the tasks save checkpoints.
		Checkpoints bool `json:",omitempty"`
		// Gang is set if all tasks must run at the same time.
		Gang bool `json:",omitempty"`
		// SameRack is set if the tasks are slower when spread over several racks.
		SameRack bool `json:",omitempty"`
		// Label is a label that the workers must have; empty means none.
		Label string `json:",omitempty"`
		// DataRack is the rack that holds the step's data; tasks are slower in other racks. Empty means none.
		DataRack ids.RackID `json:",omitempty"`
		// MaxPerWorker limits the step's tasks per worker; zero means no limit.
		MaxPerWorker int `json:",omitempty"`
	}

	// JobState is the state of a job.
	JobState string

	// Job is an accepted job, or one whose acceptance is being stored.
	Job struct {
		ID    ids.JobID
		Queue ids.QueueID
		// Host and Prefix are those at which the job was submitted; empty if an earlier version accepted it and no configuration since has named its queue.
		Host, Prefix string
		Service      ids.ServiceID
		Account      ids.AccountID
		Priority     int
		Payload      string
		Steps        []Step
		Schedule     Schedule
		// Submitted is when the job was submitted. It is a time of day for a job that an earlier owner accepted; see acceptedAt.
		Submitted time.Time
		// MaxAttempts is the number of failures of one task or gang after which the job fails.
		MaxAttempts int
		// Stretch and Target define the job's objective: to end within Stretch times its critical path, plus Target.
		Stretch float64
		Target  time.Duration

		State    JobState
		Finished time.Time

		// stored is set once the job's acceptance is stored; the job isn't started before.
		stored bool
		// ordered is set once the start of any task of the job has been ordered, and begun once a worker has begun one.
		ordered, begun bool
		// recovered is set if the job was accepted under an earlier owner.
		recovered bool
		// closed is the number of leading occurrences that are done, and opened that of those that are done or open. Only open ones have units.
		closed, opened int
		units          []*unit
		// stages holds the units by step and occurrence, in the order of units.
		stages []*stage
		// accounted is the part of State.used that the job takes.
		accounted Bytes
		// learned holds the run times of the job's queue; nil until it is first needed.
		learned *RunTimes
		// runTimes caches the expected run times of the steps; it is valid while runTimesSamples equals learned.samples.
		runTimes        []time.Duration
		runTimesSamples uint64
		// stepRacks maps each step to the rack in which it was first started.
		stepRacks map[stepKey]*rack
		// version counts the changes that have to be stored, and storedVersion is the version that is stored.
		version, storedVersion uint64
		// placesVersion is the version with the last change of the places of units that earlier owners have started, and placesOmitted is set if the record had no room
		// for the places.
		placesVersion uint64
		placesOmitted bool
		// crashVersion is the version with the last crash. Units with crashes are not started before it is stored.
		crashVersion uint64
		// pendingEndNodes holds the workers with reported ends that can be acknowledged only once the job is stored.
		pendingEndNodes []*node
		// stamp orders and times the job over owners.
		stamp tenure.Stamp
		// acceptedBefore is when a recovered job was accepted, on the clock of this process.
		acceptedBefore time.Time
		// order is the job's place in State.live, valid while isLive is set.
		order  liveOrder
		isLive bool
		// startTag orders the jobs of one priority; see fairQueue.
		startTag time.Duration
		// charge is the time that the job added to its account's finish tag.
		charge time.Duration
		// forecast is the wait expected at the job's admission.
		forecast forecast
		// guaranteed is set if the account's guarantee covers the job.
		guaranteed bool
		// overdue is set if the job has not started and can't meet its objective any more.
		overdue bool
	}

	// unit is a gang or a single task, which is started and stopped as a whole.
	unit struct {
		job   *Job
		stage *stage
		// occurrence is the index of the occurrence in the job's schedule.
		occurrence int
		step       int
		// first is the index of the unit's first task, and count is the number of its tasks.
		first int
		count int
		phase unitPhase
		// failedRuns holds the numbers of the failed runs.
		failedRuns []ids.RunNumber
		// maybeFailedRuns holds the numbers, possibly repeated, of runs that may have failed on workers that never reported
		// how they ended.
		maybeFailedRuns []ids.RunNumber
		// unreportedOn are the workers of these runs. A successor must not start the unit before they have reported how the runs ended, or have lapsed.
		unreportedOn []ids.InstanceID
		checkpoint   string
		crashes      crashRecord
		// places are the workers on which runs of earlier owners may be active; see placesOf.
		places []ids.InstanceID
		// ending is how the latest run ended that did not end as done; nil if none has.
		ending *unitEnding
		// isolated holds the workers that are kept from all other units.
		isolated []*node
		// trialPlacement holds the worker of each task for a trial whose start is being stored.
		trialPlacement []*node
		// number is the number of the latest run.
		number ids.RunNumber
		runs   []*run
		// placement holds the workers reserved for a unit in phase preempting.
		placement       []*node
		preemptingSince time.Time
		startedAt       time.Time
		notBefore       time.Time
		// staleRuns counts the runs being stopped that don't belong to the unit's latest run. They delay its next start.
		staleRuns int
		// fitsRackVersion is the value of State.rackFitsVersion for which fitsRack is valid.
		fitsRackVersion uint64
		// idleSince is when the pool became idle while the unit waited for a rack; zero if it is not idle. anyRack is set while a
		// placement outside its rack is sought.
		idleSince time.Time
		// stragglerStops counts the stops of the unit to leave a slow worker, and stalls those for want of progress.
		stragglerStops, stalls int
		// shownTime is the shortest run time that the unit has shown on the workers that it left, as on a fast one; zero if it left none. slowOn are these workers.
		shownTime time.Duration
		slowOn    []ids.InstanceID
		// nextPlanAt is the earliest time at which a further preemption plan is made after one that failed.
		nextPlanAt time.Time
		// forecast caches what was last computed of the unit; nil if nothing was.
		forecast *unitForecast
		// victimOf is the number of the latest projection that listed the unit as a victim.
		victimOf uint64
		// avoidUntil maps the workers on which the unit failed to the time until which it avoids them.
		avoidUntil map[ids.InstanceID]time.Time
		// percent is the progress of the slowest member, and progressedAt is when it last changed.
		percent      int
		progressedAt time.Time
		// isSettled is set once the starts of earlier owners have been checked for crashes.
		isSettled bool
		// retryDelayed is set if notBefore delays a retry until it is known which workers fail.
		retryDelayed bool
		// adopted is set if the run was started under an earlier owner, so that its start time is unknown.
		adopted bool
		// broken is set if all reported ends were EndGangMemberLost and no other run was lost: a member ended on a worker that has not reported that
		// end.
		broken bool
		// remote is set if the placement makes the tasks slower.
		remote bool
		// preemptionPlanned is set once a preemption plan was made for the unit: the next one relies on no run that ends by itself.
		preemptionPlanned bool
		// speedsObserved is set once the current runs have given a sample of their workers' speeds.
		speedsObserved bool
		// fitsRack caches the result of fitsOneRack.
		fitsRack bool
		anyRack  bool
	}

	// unitForecast holds the preemptionCost of a unit at costAt, and its expected end at endAt.
	unitForecast struct {
		costAt, endAt time.Time
		cost          float64
		expectedEnd   time.Time
	}

	// stage is a step of one occurrence of a job.
	stage struct {
		stepKey
		job   *Job
		units []*unit
		// inPhase counts the units in each phase.
		inPhase [phaseCount]int
		// work is what the step's single tasks that have ended show of the others' work.
		work workEstimate
		// room caches the counts for the step's tasks; it is valid while fitCountsVersion equals State.fitCountsVersion.
		fitCount         *fitCount
		fitCountsVersion uint64
	}

	// stepKey identifies a step of one occurrence of a job.
	stepKey struct{ occurrence, step int }

	unitPhase int8

	// run is a run of one task. It holds resources on its worker until it is known to have ended.
	run struct {
		worker.Run
		// seq increases with each run of this owner.
		seq  uint64
		unit *unit
		// staleOf is the unit of a run that doesn't belong to the unit's latest run.
		staleOf   *unit
		node      *node
		resources ids.Resources
		// orderedAt is when the start was ordered, or when the run of an earlier owner was found.
		orderedAt time.Time
		// listedIn is the incarnation of the worker that last listed the run; zero if none has.
		listedIn uint64
		// confirmedAt is when the worker confirmed the start, or in phase runStopping the stop.
		confirmedAt time.Time
		percent     int
		// rate is the progress in percent per second since rateFrom, when it was rateFromPercent.
		rate            float64
		rateFrom        time.Time
		rateFromPercent int
		// mayHaveCrashedAt is when the worker may have crashed with the run, if it is not known whether the run is in the worker's new incarnation.
		mayHaveCrashedAt time.Time
		// stopOrderedAt is when the run's stop was last ordered.
		stopOrderedAt time.Time
		phase         runPhase
		// reported is set once the worker has confirmed or listed the run. Until then the run may still be started.
		reported bool
		// pinned is set if the run is a single task without checkpoints, which a stop sets back to its start.
		pinned bool
		// startUnanswered is set if a start order got no answer. The worker may still carry it out, even after a restart.
		startUnanswered bool
		// endReported is set once the worker has reported the run's end.
		endReported bool
		// stopDue is set if the run has to be stopped in the worker's next incarnation.
		stopDue bool
	}

	runPhase int8
)

// States of a job.
const (
	// Accepted jobs are waiting or running.
	Accepted  JobState = "Accepted"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

const (
	waiting unitPhase = iota
	// preempting units wait for preempted runs to end on the workers reserved for them.
	preempting
	starting
	running
	stopping
	done
	phaseCount
)

const (
	runStarting runPhase = iota
	runActive
	runStopping
	runGone
)

// ended reports whether the job has ended.
func (j *Job) ended() bool { return j.State != Accepted }

// Begun reports whether a worker is known to have begun any task of the job. An order alone may be refused or lost.
func (j *Job) Begun() bool { return j.begun }

// setPhase changes the unit's phase.
func (u *unit) setPhase(phase unitPhase) {
	u.stage.inPhase[u.phase]--
	u.phase = phase
	u.stage.inPhase[phase]++
}

func (st *stage) step() *Step { return &st.job.Steps[st.stepKey.step] }

// done reports whether all tasks of the stage are done.
func (st *stage) done() bool { return st.inPhase[done] == len(st.units) }

// dependenciesDone reports whether the steps that the stage depends on are done.
func (st *stage) dependenciesDone() bool {
	for _, earlier := range st.step().After {
		if !st.job.stage(stepKey{st.occurrence, earlier}).done() {
			return false
		}
	}
	return true
}

func (u *unit) stepKey() stepKey { return stepKey{u.occurrence, u.step} }

func (u *unit) spec() *Step { return &u.job.Steps[u.step] }

// accelerators returns the accelerators of all the job's tasks, which count against its account's guarantee.
func (j *Job) accelerators() ids.Accelerators {
	sum := ids.Accelerators(0)
	for _, s := range j.Steps {
		sum += s.Each.Accelerators * ids.Accelerators(s.Tasks)
	}
	return sum
}
