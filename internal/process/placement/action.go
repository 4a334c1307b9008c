package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// ActionKind is the kind of an Action.
	ActionKind string

	// Action is an operation that the owner has to perform for a job.
	Action struct {
		Kind    ActionKind
		Job     *Job
		Attempt ids.Attempt
		// Grace is how long a stopped job may take to write its checkpoint.
		Grace time.Duration
	}

	// NoticeKind is the kind of a Notice.
	NoticeKind string

	// Notice is an event for the operators that reports a decision and its cause.
	Notice struct {
		Kind     NoticeKind
		Job      ids.JobID      `json:",omitempty"`
		Account  ids.AccountID  `json:",omitempty"`
		Instance ids.InstanceID `json:",omitempty"`
		Cause    string         `json:",omitempty"`
		// Evacuation is set in notices on the evacuation of the data centre.
		Evacuation *operator.EvacuationStatus `json:",omitempty"`
	}
)

const (
	// Start holds the job's resources on all its instances, then starts it there.
	Start ActionKind = "Start"
	// Stop stops the job on all its instances.
	Stop ActionKind = "Stop"
	// Finish records the job's final state.
	Finish ActionKind = "Finish"
	// Requeue records that the job is queued again.
	Requeue ActionKind = "Requeue"
)

// The kinds of notices.
const (
	NoticePlaced            NoticeKind = "JobPlaced"
	NoticeReclaimed         NoticeKind = "JobReclaimed"
	NoticeRequeued          NoticeKind = "JobRequeued"
	NoticeFinished          NoticeKind = "JobFinished"
	NoticeGuaranteeAtRisk   NoticeKind = "GuaranteeAtRisk"
	NoticeGuaranteeRestored NoticeKind = "GuaranteeRestored"
	NoticeQuarantined       NoticeKind = "InstanceQuarantined"
	NoticeReleased          NoticeKind = "InstanceReleased"
	NoticeLost              NoticeKind = "InstanceLost"
	NoticeLate              NoticeKind = "JobForecastLate"
	NoticeReserved          NoticeKind = "PlaceReserved"

	NoticeEvacuationBegun     NoticeKind = "EvacuationBegun"
	NoticeEvacuationEmptied   NoticeKind = "EvacuationEmptied"
	NoticeEvacuationWithdrawn NoticeKind = "EvacuationWithdrawn"
)

// CallerState returns the job's state as reported to its caller.
func (j *Job) CallerState() caller.State {
	switch j.phase {
	case queued, allocated:
		return caller.Queued
	case starting:
		return caller.Starting
	case running:
		return caller.Running
	case stopping:
		return caller.Stopping
	}
	return j.outcome
}
