// Package caller holds what callers exchange with jujubegrade, and their client.
package caller

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Job is what a caller submits: a gang of tasks that runs whole or not at all.
	Job struct {
		// Key makes the submission idempotent: the same key of the same account names the same job.
		Key   string
		Shape ids.Shape
		// Kind groups jobs that behave alike; corrections of run time and size are learned by it.
		Kind string `json:",omitempty"`
		// Labels are the job's labels.
		Labels labels.Set `json:",omitempty"`
		// Selector restricts the instances, in the syntax of Kubernetes label selectors.
		Selector string `json:",omitempty"`
		// DataCentre restricts the job to one data centre; empty leaves the choice.
		DataCentre ids.DataCentreID `json:",omitempty"`
		// Idempotent jobs may be started again; others are started once at most.
		Idempotent bool `json:",omitempty"`
		// Urgent jobs go before the other jobs of their account.
		Urgent bool `json:",omitempty"`
		// RunTime is the declared run time; zero is taken as DefaultRunTime.
		RunTime time.Duration `json:",omitempty"`
		// Due is when the job should have ended; the zero time sets no due time.
		Due time.Time `json:",omitzero"`
		// Payload is handed to each task as it is.
		Payload json.RawMessage `json:",omitempty"`
	}

	// State is where a job stands.
	State string

	// JobStatus is what is known of a job.
	JobStatus struct {
		ID         ids.JobID
		Account    ids.AccountID
		DataCentre ids.DataCentreID `json:",omitempty"`
		State      State
		// Reason says why the job is in its state.
		Reason  string      `json:",omitempty"`
		Attempt ids.Attempt `json:",omitempty"`
		// Owed tells that the job runs under its account's guarantee.
		Owed      bool             `json:",omitempty"`
		Instances []ids.InstanceID `json:",omitempty"`
		Submitted time.Time        `json:",omitzero"`
		Started   time.Time        `json:",omitzero"`
		Finished  time.Time        `json:",omitzero"`
		Due       time.Time        `json:",omitzero"`
		// Forecast is when the job is expected to have ended, at the configured quantile.
		Forecast time.Time `json:",omitzero"`
	}
)

const (
	// Queued jobs are accepted and have no instances yet.
	Queued State = "Queued"
	// Starting jobs have been given instances, on which they may run already.
	Starting State = "Starting"
	// Running jobs run whole.
	Running State = "Running"
	// Stopping jobs are being stopped.
	Stopping State = "Stopping"
	// Done jobs ended with success.
	Done State = "Done"
	// Failed jobs ran and failed.
	Failed State = "Failed"
	// Cancelled jobs were cancelled by their caller; Reason says whether they ran.
	Cancelled State = "Cancelled"
	// Refused jobs were not run, and won't be.
	Refused State = "Refused"
	// Unknown jobs may have run, wholly or partly, and won't be started again.
	Unknown State = "Unknown"

	// DefaultRunTime is the run time of a job that declares none.
	DefaultRunTime = time.Hour
	// MaxPayload bounds a job's payload, in bytes.
	MaxPayload = 64 << 10
)

// Over reports whether a job in this state never changes again.
func (s State) Over() bool {
	switch s {
	case Done, Failed, Cancelled, Refused, Unknown:
		return true
	}
	return false
}

// Validate returns an error that names the field at fault.
func (j *Job) Validate() error {
	const maxKey = 256
	if j.Key == "" || len(j.Key) > maxKey {
		return errors.Newf("Key must have 1 to %d bytes; it makes the submission idempotent", maxKey)
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
		return errors.Newf("Payload has %d bytes, allowed are %d", len(j.Payload), MaxPayload)
	}
	return nil
}

// Declared returns the declared run time, or the default.
func (j *Job) Declared() time.Duration {
	if j.RunTime > 0 {
		return j.RunTime
	}
	return DefaultRunTime
}

// JobList is one page of an account's jobs.
type JobList struct {
	Jobs []JobStatus
	// More tells that there are jobs after the last one.
	More bool `json:",omitempty"`
	// Missing are the data centres whose jobs are not shown, since their owner did not answer.
	Missing []ids.DataCentreID `json:",omitempty"`
}
