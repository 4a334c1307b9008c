// Package operator holds what operators exchange with jujubegrade, and their client.
package operator

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Event is one entry of the time line.
	Event struct {
		Time     time.Time
		Sequence uint64
		// Instance is the entry instance that saw the event.
		Instance   string
		Kind       string
		DataCentre ids.DataCentreID `json:",omitempty"`
		Job        ids.JobID        `json:",omitempty"`
		Account    ids.AccountID    `json:",omitempty"`
		Request    ids.RequestID    `json:",omitempty"`
		// Target is the worker, the runner or the peer concerned.
		Target  ids.InstanceID `json:",omitempty"`
		Epoch   ids.Epoch      `json:",omitempty"`
		Version ids.Version    `json:",omitempty"`
		Cause   string         `json:",omitempty"`
	}

	// Filter chooses events; zero fields match everything.
	Filter struct {
		Job     ids.JobID     `json:",omitempty"`
		Account ids.AccountID `json:",omitempty"`
		Request ids.RequestID `json:",omitempty"`
		Since   time.Time     `json:",omitzero"`
	}

	// Timeline is a list of events in order.
	Timeline struct {
		Events []Event
		// Dropped counts the events that full buffers have dropped.
		Dropped uint64
	}

	// Config is one accepted configuration.
	Config struct {
		Version ids.Version
		Author  string    `json:",omitempty"`
		Time    time.Time `json:",omitzero"`
		Note    string    `json:",omitempty"`
		// Text is the document, in INI.
		Text string `json:",omitempty"`
	}

	// Change asks for a new configuration.
	Change struct {
		// Base is the version that the change was made from; another accepted version makes it a conflict.
		Base   ids.Version
		Author string
		Note   string `json:",omitempty"`
		Text   string
		// DryRun checks the change and tells its effect without accepting it.
		DryRun bool `json:",omitempty"`
	}

	// Acceptance is the answer to a change.
	Acceptance struct {
		Version ids.Version
		// Accepted tells that the change is kept; false for a dry run.
		Accepted bool
		// Effects says what the change would do or has done to guarantees.
		Effects []string `json:",omitempty"`
	}

	// InForce tells where the accepted configuration is in force.
	InForce struct {
		Accepted ids.Version
		// Everywhere tells that every live instance has applied the accepted version.
		Everywhere bool
		Instances  []InstanceVersion
	}

	// InstanceVersion is what one entry instance has applied.
	InstanceVersion struct {
		Instance string
		Version  ids.Version
		// Age is the time since the instance last said so, in seconds.
		Age float64
	}

	// GuaranteeStatus tells how one guaranteed shape stands.
	GuaranteeStatus struct {
		Guarantee  string
		Number     int
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Shape      ids.Shape
		// Held tells that the shape can be had now.
		Held bool
		// Used is the part of the shape's accelerators that jobs of the account use.
		Used ids.Accelerators
		// Missing says what blocks a shape that is not held.
		Missing   string           `json:",omitempty"`
		Instances []ids.InstanceID `json:",omitempty"`
	}

	// RackStatus tells how the accelerators of one rack stand.
	RackStatus struct {
		DataCentre ids.DataCentreID
		Rack       ids.RackID
		Total      ids.Accelerators
		Free       ids.Accelerators
		// Stranded are free accelerators that can't serve the largest guaranteed shape.
		Stranded ids.Accelerators
	}

	// LateJob is a job that is forecast to end after its due time.
	LateJob struct {
		Job        ids.JobID
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Due        time.Time
		Forecast   time.Time
		Quantile   float64
		Reason     string
		Warned     time.Time
	}

	// UnknownJob is a job that may have run and won't be started again.
	UnknownJob struct {
		Job        ids.JobID
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Finished   time.Time
		// Evidence says what is known of the job's start.
		Evidence string
	}

	// InstanceStatus tells how one worker stands.
	InstanceStatus struct {
		ID         ids.InstanceID
		DataCentre ids.DataCentreID
		Rack       ids.RackID `json:",omitempty"`
		// State is Live, Lost, Leaving or Quarantined.
		State string
		Total ids.Resources
		Used  ids.Resources
		Jobs  int
	}

	// Report is what an owner tells of its data centre.
	Report struct {
		DataCentre ids.DataCentreID
		Owner      string
		Epoch      ids.Epoch
		Queued     int
		Late       []LateJob         `json:",omitempty"`
		Guarantees []GuaranteeStatus `json:",omitempty"`
		Racks      []RackStatus      `json:",omitempty"`
		Unknown    []UnknownJob      `json:",omitempty"`
		Instances  []InstanceStatus  `json:",omitempty"`
	}
)

// Matches reports whether the filter chooses an event.
func (f *Filter) Matches(e Event) bool {
	return (f.Job == "" || f.Job == e.Job) &&
		(f.Account == "" || f.Account == e.Account) &&
		(f.Request == "" || f.Request == e.Request) &&
		!e.Time.Before(f.Since)
}

type (
	// Reports are the reports of all data centres.
	Reports struct {
		Reports []Report
		// Missing are the data centres whose owner did not answer.
		Missing []ids.DataCentreID `json:",omitempty"`
	}

	// Account is one client account of the configuration in force.
	Account struct {
		ID           ids.AccountID
		Labels       map[string]string `json:",omitempty"`
		Selector     string            `json:",omitempty"`
		Weight       float64
		Quota        ids.Accelerators `json:",omitempty"`
		RequestShare float64
		Guarantees   []AccountGuarantee `json:",omitempty"`
	}

	// AccountGuarantee is one guarantee of an account.
	AccountGuarantee struct {
		Name       string
		DataCentre ids.DataCentreID
		Shape      ids.Shape
		Count      int
	}
)
