// Package peer implements the calls between entry instances, in JSON-RPC 2.0 over TCP.
package peer

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Heartbeat is both the request and the response of a heartbeat: each entry instance reports its own state.
	Heartbeat struct {
		Instance   ids.InstanceID
		DataCentre ids.DataCentreID `json:",omitempty"`
		// Leaving is set while the instance drains: it owns no data centre and accepts no new work.
		Leaving bool `json:",omitempty"`
		// Version is the version of the configuration in force at the instance.
		Version ids.Version `json:",omitempty"`
		// ConfirmedAge is the time since the store last confirmed that no newer version had been accepted.
		ConfirmedAge time.Duration `json:",omitempty"`
		// Owned lists the data centres that the instance owns.
		Owned []Owned `json:",omitempty"`
	}

	// Owned describes one owned data centre.
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

	// JobCall asks the owner of a data centre for the status of one job or to cancel it.
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

	// Request is a service request forwarded to the instance responsible for its idempotency key.
	Request struct {
		Service ids.ServiceID
		Account ids.AccountID
		ID      ids.RequestID
		Key     string
		Method  string
		Path    string
		// Type is the content type.
		Type string `json:",omitempty"`
		Body []byte `json:",omitempty"`
		// Left is the time until the request's deadline.
		Left time.Duration `json:",omitempty"`
	}

	// Response is the result of a Request.
	Response struct {
		Status  int
		Outcome string
		Body    []byte `json:",omitempty"`
		Type    string `json:",omitempty"`
		// RetryAfter is the delay before retrying a request that was not run.
		RetryAfter time.Duration `json:",omitempty"`
	}
)

// Methods that entry instances offer to each other.
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

// ChangesState reports whether a method accepts, cancels or runs something, so that its calls must not be carried out late.
func ChangesState(method string) bool {
	return method == MethodSubmit || method == MethodCancel || method == MethodRequest
}

// Filter selects events of the peer's timeline.
type Filter = operator.Filter
