package placement

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// ActionKind says what is to be done.
	ActionKind string

	// Action is something that the owner has to do for a job.
	Action struct {
		Kind    ActionKind
		Job     *Job
		Attempt ids.Attempt
		// Grace is the time that a stopped job gets for its checkpoint.
		Grace time.Duration
	}

	// NoticeKind names the kind of an event.
	NoticeKind string

	// Notice tells the operators of a decision and its cause.
	Notice struct {
		Kind     NoticeKind
		Job      ids.JobID      `json:",omitempty"`
		Account  ids.AccountID  `json:",omitempty"`
		Instance ids.InstanceID `json:",omitempty"`
		Cause    string         `json:",omitempty"`
	}
)

const (
	// Start holds the job's place on all its instances and starts it.
	Start ActionKind = "Start"
	// Stop stops the job on all its instances.
	Stop ActionKind = "Stop"
	// Finish records the job's last state.
	Finish ActionKind = "Finish"
	// Requeue records that the job waits again.
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
)

// StateOf returns the state of a job as its caller sees it.
func (j *Job) StateOf() caller.State {
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
