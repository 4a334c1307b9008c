package worker

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Task identifies one task of one step of a job.
	Task struct {
		Job ids.JobID
		// Occurrence is the number of the occurrence in the job's schedule; zero for a job that runs once.
		Occurrence int
		Step       int
		Index      int
	}

	// Run identifies one run of a task. Number increases with each start and is the same for all members of a gang.
	Run struct {
		Task
		Number ids.RunNumber
	}

	// StartRunRequest is the request to start a run under a lease.
	StartRunRequest struct {
		Run
		Epoch ids.Epoch
		// Payload is passed to the task unchanged.
		Payload string
		// Lease is how long from now the worker's runs may continue without renewal.
		Lease time.Duration
		// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
		Checkpoint string
	}

	// RenewRunsRequest is the request to renew the lease of all runs of a worker and to return its report.
	RenewRunsRequest struct {
		Epoch ids.Epoch
		Lease time.Duration
		// Acknowledged is the number of the last end that the client has stored durably; the worker discards the ends up
		// to and including it.
		Acknowledged uint64
		// Wait is the long-poll timeout: how long the worker may wait for a run to end before it responds.
		Wait time.Duration
	}

	// ActiveRun is a run in progress.
	ActiveRun struct {
		Run
		// Checkpoint is the latest checkpoint; empty if there is none.
		Checkpoint string
		// Percent is the percentage of the work that is done.
		Percent int
	}

	// EndReason is the way in which a run ended.
	EndReason string

	// EndedRun is a run that has ended. Number is the sequence number of the end.
	EndedRun struct {
		Run
		Number     uint64
		Reason     EndReason
		Checkpoint string
	}

	// RunReport is a worker's report on its runs.
	RunReport struct {
		// Incarnation distinguishes the restarts of a worker with the same ID.
		Incarnation uint64
		// Token is the fencing token of the request: the worker does nothing for lower ones any more.
		Token  ids.Epoch
		Active []ActiveRun
		Ended  []EndedRun
		// MoreEnds is set if further runs may have ended that are listed once these ends are acknowledged.
		MoreEnds bool
		// Malformed describes the parts of the report that could not be read and were dropped.
		Malformed []string
	}

	// RunClient holds the calls of a worker that starts runs without a prior Hold.
	RunClient struct {
		// Start starts a run, or does nothing if the run has already started.
		Start func(ctx context.Context, o StartRunRequest) error
		// Stop ends a run, or prevents one that hasn't started yet from starting. The run's end is reported later.
		Stop func(ctx context.Context, epoch ids.Epoch, r Run) error
		// Renew renews the lease and returns the worker's report.
		Renew func(ctx context.Context, o RenewRunsRequest) (RunReport, error)
		// Close closes idle connections.
		Close func()
	}
)

// The ways in which runs end.
const (
	EndDone   EndReason = "Done"
	EndFailed EndReason = "Failed"
	// EndStopped means that the run was stopped on request.
	EndStopped EndReason = "Stopped"
	// EndLeaseExpired means that the worker's lease expired during the run.
	EndLeaseExpired EndReason = "Lapsed"
	// EndGangMemberLost means that another member of the gang was lost.
	EndGangMemberLost EndReason = "Broken"
	// EndGangTimeout means that the run timed out waiting for the other members of its gang.
	EndGangTimeout EndReason = "Alone"
)

// Errors of a worker that starts runs, in addition to ErrFenced. After any other error the call may have taken effect, or
// may do so later.
var (
	// ErrSuperseded means that this run or a newer run of the task was stopped or has ended on the worker.
	ErrSuperseded = errors.New("the run was stopped or has ended")
	// ErrLeaseExpired means that the lease in the request had expired by the worker's clock.
	ErrLeaseExpired = errors.New("the request's lease has expired by the worker's clock")
	// ErrNoCapacity means that the worker lacks capacity for the run.
	ErrNoCapacity = errors.New("the worker lacks capacity")
	// ErrUnhealthy means that the worker refuses new runs for now; the call had no effect.
	ErrUnhealthy = errors.New("the worker refuses new runs")
	// ErrIncarnationMismatch means that another incarnation responded at the address.
	ErrIncarnationMismatch = errors.New("another incarnation responded")
	// ErrInvalid means that the worker can't parse the request.
	ErrInvalid = errors.New("the worker refused the request as invalid")
	// ErrNotListening means that nothing listens at the worker's address.
	ErrNotListening = errors.New("nothing listens at the worker's address")
	// ErrConnectionClosed means that the connection was closed before a response: the call may have taken effect, and may still do so later.
	ErrConnectionClosed = errors.New("the worker closed the connection")
)

// String formats the task as job/step/index, or job#occurrence/step/index.
func (t Task) String() string {
	if t.Occurrence > 0 {
		return string(t.Job) + "#" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
	}
	return string(t.Job) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}
