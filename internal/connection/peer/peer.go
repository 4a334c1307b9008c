// Package peer speaks between the entry instances, in JSON-RPC 2.0 over TCP.
package peer

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Beat is what an entry instance tells of itself with each heartbeat, and gets back.
	Beat struct {
		Instance   ids.InstanceID
		DataCentre ids.DataCentreID `json:",omitempty"`
		// Leaving instances own nothing and take no new work.
		Leaving bool `json:",omitempty"`
		// Version is the configuration in force at the instance.
		Version ids.Version `json:",omitempty"`
		// ConfirmedAge is the time since the store said that no newer version was accepted.
		ConfirmedAge time.Duration `json:",omitempty"`
		// Owned are the data centres that the instance owns.
		Owned []Owned `json:",omitempty"`
	}

	// Owned tells of one owned data centre.
	Owned struct {
		DataCentre ids.DataCentreID
		Epoch      ids.Epoch
		// Queued is the number of waiting jobs.
		Queued int `json:",omitempty"`
	}

	// SubmitCall asks the owner of a data centre to accept a job.
	SubmitCall struct {
		DataCentre ids.DataCentreID
		Account    ids.AccountID
		Job        caller.Job
	}

	// JobCall asks the owner of a data centre about one job.
	JobCall struct {
		DataCentre ids.DataCentreID
		Job        ids.JobID
	}

	// ListCall asks the owner of a data centre for the jobs of an account.
	ListCall struct {
		DataCentre ids.DataCentreID
		Account    ids.AccountID `json:",omitempty"`
	}

	// ConfigCall asks for the configuration in force at the peer.
	ConfigCall struct{}

	// ReportCall asks the owner of a data centre for its report.
	ReportCall struct{ DataCentre ids.DataCentreID }

	// Request is a service request that is handled at the home instance of its idempotency key.
	Request struct {
		Service ids.ServiceID
		Account ids.AccountID
		ID      ids.RequestID
		Key     string
		Method  string
		Path    string
		Type    string        `json:",omitempty"`
		Body    []byte        `json:",omitempty"`
		Left    time.Duration `json:",omitempty"`
	}

	// Response is the answer to a Request.
	Response struct {
		Status  int
		Outcome string
		Body    []byte `json:",omitempty"`
		Type    string `json:",omitempty"`
		// RetryAfter says when to come back with a request that was not run.
		RetryAfter time.Duration `json:",omitempty"`
	}
)

// The methods that entry instances offer each other.
const (
	MethodHeartbeat = "Heartbeat"
	MethodSubmit    = "Submit"
	MethodStatus    = "Status"
	MethodCancel    = "Cancel"
	MethodList      = "List"
	MethodConfig    = "Config"
	MethodReport    = "Report"
	MethodTimeline  = "Timeline"
	MethodRequest   = "Request"
)

// Filter chooses events of the peer's time line.
type Filter = operator.Filter
