// Package operator is the API for operators of jujubegrade: its messages and a client.
package operator

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Event is one event in the timeline.
	Event struct {
		Time     time.Time
		Sequence uint64
		// Instance is the entry instance that recorded the event.
		Instance   string
		Kind       string
		DataCentre ids.DataCentreID `json:",omitempty"`
		Job        ids.JobID        `json:",omitempty"`
		Account    ids.AccountID    `json:",omitempty"`
		Request    ids.RequestID    `json:",omitempty"`
		// Target is the worker, runner or peer that the event concerns.
		Target  ids.InstanceID `json:",omitempty"`
		Epoch   ids.Epoch      `json:",omitempty"`
		Version ids.Version    `json:",omitempty"`
		Cause   string         `json:",omitempty"`
		// Evacuation is set in events on the evacuation of the data centre.
		Evacuation *EvacuationStatus `json:",omitempty"`
	}

	// Filter selects events; zero fields match everything.
	Filter struct {
		Job     ids.JobID     `json:",omitempty"`
		Account ids.AccountID `json:",omitempty"`
		Request ids.RequestID `json:",omitempty"`
		Since   time.Time     `json:",omitzero"`
	}

	// Timeline is a list of events in order.
	Timeline struct {
		Events []Event
		// Dropped is the number of events dropped because of full buffers.
		Dropped uint64
	}

	// Config is one accepted configuration.
	Config struct {
		Version ids.Version
		Author  string    `json:",omitempty"`
		Time    time.Time `json:",omitzero"`
		Note    string    `json:",omitempty"`
		// Text is the INI document.
		Text string `json:",omitempty"`
	}

	// Change is a request for a new configuration.
	Change struct {
		// Base is the version that the change is based on; if it is not the accepted version, the change is a conflict.
		Base   ids.Version
		Author string
		Note   string `json:",omitempty"`
		Text   string
		// DryRun validates the change and returns its effects without accepting it.
		DryRun bool `json:",omitempty"`
	}

	// Acceptance is the response to a change.
	Acceptance struct {
		Version ids.Version
		// Accepted reports that the change was stored; it is false for a dry run.
		Accepted bool
		// Effects describes the effects of the change on guarantees and data centres.
		Effects []string `json:",omitempty"`
	}

	// InForce reports which instances have applied the accepted configuration.
	InForce struct {
		Accepted ids.Version
		// Everywhere reports that every live instance has applied the accepted version.
		Everywhere bool
		Instances  []InstanceVersion
	}

	// InstanceVersion is the configuration version that one entry instance has applied.
	InstanceVersion struct {
		Instance string
		Version  ids.Version
		// Age is the time since the instance last reported its version, in seconds.
		Age float64
	}

	// GuaranteeStatus is the status of one guaranteed shape.
	GuaranteeStatus struct {
		Guarantee  string
		Number     int
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Shape      ids.Shape
		// Held reports that the shape is available now.
		Held bool
		// Used is the number of the shape's accelerators in use by jobs of the account.
		Used ids.Accelerators
		// Missing says what prevents a shape from being available.
		Missing   string           `json:",omitempty"`
		Instances []ids.InstanceID `json:",omitempty"`
	}

	// RackStatus is the status of one rack's accelerators.
	RackStatus struct {
		DataCentre ids.DataCentreID
		Rack       ids.RackID
		Total      ids.Accelerators
		Free       ids.Accelerators
		// Stranded is the number of free accelerators that can't be used for the largest guaranteed shape.
		Stranded ids.Accelerators
	}

	// LateJob is a job that is forecast to end after its due time, at the given quantile.
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

	// UnknownJob is a job that may have run and won't be restarted.
	UnknownJob struct {
		Job        ids.JobID
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Finished   time.Time
		// Evidence says what is known about the job's start.
		Evidence string
	}

	// InstanceStatus is the status of one worker.
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

	// EvacuationStatus is the status of the evacuation of one data centre.
	EvacuationStatus struct {
		DataCentre ids.DataCentreID
		// Since is when the owner first saw the request.
		Since time.Time
		// RunsLeft is the number of jobs that run, or may still run, on the data centre's workers.
		RunsLeft int
		// Queued is the number of jobs that wait for the end of the evacuation.
		Queued int
		// Instances is the number of workers of the data centre.
		Instances int
		// ViewAge is the time since the owner's configuration was last confirmed to be the newest, in seconds.
		ViewAge float64
	}

	// Report is an owner's report on its data centre.
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
		// Evacuation is set while the data centre is being evacuated.
		Evacuation *EvacuationStatus `json:",omitempty"`
	}
)

// Matches reports whether the filter selects an event.
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
		// Missing lists the data centres whose owner did not answer.
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
