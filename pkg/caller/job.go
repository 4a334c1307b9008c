// Package caller is the API for callers of jujubegrade: its messages and a client.
package caller

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Job is a job as submitted by a caller: a gang of tasks that are scheduled all or nothing.
	Job struct {
		// Key is the idempotency key, 1 to 256 bytes: the same key of the same account identifies the same job.
		Key   string
		Shape ids.Shape
		// Kind groups similar jobs; corrections of run time and size are learned per kind.
		Kind   string     `json:",omitempty"`
		Labels labels.Set `json:",omitempty"`
		// Selector restricts the job to matching instances, in the syntax of Kubernetes label selectors.
		Selector string `json:",omitempty"`
		// DataCentre restricts the job to one data centre; if it is empty, the scheduler chooses one.
		DataCentre ids.DataCentreID `json:",omitempty"`
		// Idempotent jobs may be restarted; others are started at most once.
		Idempotent bool `json:",omitempty"`
		// Urgent jobs precede the other jobs of their account.
		Urgent bool `json:",omitempty"`
		// RunTime is the declared run time, in nanoseconds in JSON; zero means DefaultRunTime.
		RunTime time.Duration `json:",omitempty"`
		// Due is the time by which the job should have ended; the zero time means no due time.
		Due time.Time `json:",omitzero"`
		// Payload is passed unchanged to each task, at most MaxPayload bytes.
		Payload json.RawMessage `json:",omitempty"`
	}

	// State is the state of a job.
	State string

	// JobStatus is the status of a job.
	JobStatus struct {
		ID         ids.JobID
		Account    ids.AccountID
		DataCentre ids.DataCentreID `json:",omitempty"`
		State      State
		// Reason says why the job is in its state.
		Reason  string      `json:",omitempty"`
		Attempt ids.Attempt `json:",omitempty"`
		// Owed reports that the job runs under its account's guarantee.
		Owed      bool             `json:",omitempty"`
		Instances []ids.InstanceID `json:",omitempty"`
		Submitted time.Time        `json:",omitzero"`
		Started   time.Time        `json:",omitzero"`
		Finished  time.Time        `json:",omitzero"`
		Due       time.Time        `json:",omitzero"`
		// Forecast is the expected end time at the configured quantile.
		Forecast time.Time `json:",omitzero"`
	}
)

const (
	// Queued jobs are accepted but not placed yet.
	Queued State = "Queued"
	// Starting jobs are placed on instances and may already be running.
	Starting State = "Starting"
	// Running jobs have all their tasks running.
	Running State = "Running"
	// Stopping jobs are being stopped.
	Stopping State = "Stopping"
	// Done jobs ended successfully.
	Done State = "Done"
	// Failed jobs ran and failed.
	Failed State = "Failed"
	// Cancelled jobs were cancelled by their caller; Reason says whether they ran.
	Cancelled State = "Cancelled"
	// Refused jobs were not run and will not be.
	Refused State = "Refused"
	// Unknown jobs may have run, in whole or in part, and won't be restarted.
	Unknown State = "Unknown"

	// DefaultRunTime is the run time of a job without a declared run time.
	DefaultRunTime = time.Hour
	// MaxPayload is the maximum size of a job's payload, in bytes.
	MaxPayload = 64 << 10
)

// IsTerminal reports whether the state is terminal.
func (s State) IsTerminal() bool {
	switch s {
	case Done, Failed, Cancelled, Refused, Unknown:
		return true
	}
	return false
}

// Validate returns an error that names the first invalid field, or nil.
func (j *Job) Validate() error {
	const maxKeyBytes = 256
	if j.Key == "" || len(j.Key) > maxKeyBytes {
		return errors.Newf("Key must have 1 to %d bytes; it makes the submission idempotent", maxKeyBytes)
	}
	if err := j.Shape.Validate(); err != nil {
		return errors.Wrap(err, "Shape")
	}
	if _, err := labels.Parse(j.Selector); err != nil {
		return errors.Wrap(err, "Selector")
	}
	if j.RunTime < 0 {
		return errors.New("RunTime must not be negative")
	}
	if len(j.Payload) > MaxPayload {
		return errors.Newf("Payload has %d bytes, the limit is %d", len(j.Payload), MaxPayload)
	}
	return nil
}

// Declared returns the declared run time, or DefaultRunTime if none is declared.
func (j *Job) Declared() time.Duration {
	if j.RunTime > 0 {
		return j.RunTime
	}
	return DefaultRunTime
}

// JobList is one page of an account's jobs.
type JobList struct {
	Jobs []JobStatus
	// More reports that there are further jobs after the last one.
	More bool `json:",omitempty"`
	// Missing lists the data centres whose jobs are missing because their owner did not answer.
	Missing []ids.DataCentreID `json:",omitempty"`
}
