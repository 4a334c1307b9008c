package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// ActionKind is the kind of an action.
	ActionKind int

	// Action is an order to a worker.
	Action struct {
		Kind       ActionKind
		Worker     ids.InstanceID
		Run        worker.Run
		Payload    string
		Checkpoint string
		// Priority is that of the job, for a start.
		Priority int
		// Once means that a start order without an answer is not repeated: the run may have crashed the worker, and would crash it again.
		Once bool
		// Version is the version of the job that holds the place of a start.
		Version uint64
	}

	// Notice reports a decision and its cause.
	Notice struct {
		Kind string
		Job  ids.JobID
		Step int
		// Task is the index of the first task concerned, and Tasks is the number of tasks.
		Task   int
		Tasks  int
		Number ids.RunNumber
		Worker ids.InstanceID
		// Crashed lists the runs that were lost, for a crash.
		Crashed []CrashedRun
		// Workers lists the workers of all tasks, for a placement, and Previous is how the unit's previous run ended; nil if there was none.
		Workers  []ids.InstanceID
		Previous *Ending
		// Loss is what was known of the worker, for lost runs. OwnRun is set if this owner had started an unexpected run.
		Loss   *Loss
		OwnRun bool
		Cause  string
		// Priority is the job's priority. First is set if no task of the job was started before. Outcome is
		// the job's final state.
		Priority int
		First    bool
		Outcome  JobState
		// Queue is the job's queue, and Forecast its expected wait at its admission, for the first placement of a job with a
		// forecast.
		Queue    ids.QueueID
		Forecast *time.Duration
		// After is the time since the job's submission, or for which a worker did not answer. Lost is the work that a stop discards, in core-seconds.
		After time.Duration
		Lost  float64
	}
)

const (
	// StartRun starts a run on its worker.
	StartRun ActionKind = iota
	// StopRun stops a run on its worker.
	StopRun
)
