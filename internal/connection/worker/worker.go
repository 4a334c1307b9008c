// Package worker is a client of the platform's workers, which run tasks under leases.
package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// State is the state of a task as its worker reports it.
	State string

	// TaskRef identifies one attempt of one task of a job.
	TaskRef struct {
		Job     ids.JobID
		Attempt ids.Attempt
		Index   int
	}

	// Hold temporarily reserves resources for tasks of one job.
	Hold struct {
		Epoch   ids.Epoch
		Job     ids.JobID
		Attempt ids.Attempt
		Tasks   []int
		Each    ids.Resources
		TTL     time.Duration
	}

	// Start starts the tasks of one job whose resources are held.
	Start struct {
		Epoch   ids.Epoch
		Job     ids.JobID
		Attempt ids.Attempt
		// Resume requests to resume from the last checkpoint.
		Resume bool `json:",omitempty"`
		// Payload is passed to the task unchanged.
		Payload []byte `json:",omitempty"`
	}

	// Stop ends all tasks and holds of one job up to and including Attempt; a later hold of that attempt
	// in this epoch is refused.
	Stop struct {
		Epoch   ids.Epoch
		Job     ids.JobID
		Attempt ids.Attempt
		// Grace is the time allowed for a checkpoint; zero stops immediately.
		Grace time.Duration `json:",omitempty"`
	}

	// Stopping is the response to a Stop.
	Stopping struct {
		// Progress is the smallest checkpointed fraction of the work among the job's tasks, from 0 to 1.
		Progress float64 `json:",omitempty"`
	}

	// Renew extends the worker's lease, under which all its tasks run, and fences older epochs.
	Renew struct {
		Epoch ids.Epoch
		TTL   time.Duration
		// Since is the last report sequence received; zero requests a full report.
		Since uint64 `json:",omitempty"`
		// Incarnation is that of the last report; a worker that has restarted since sends a full report.
		Incarnation uint64 `json:",omitempty"`
	}

	// TaskReport is the state of one task.
	TaskReport struct {
		TaskRef
		State State
		// Progress is the checkpointed fraction of the work, from 0 to 1.
		Progress float64 `json:",omitempty"`
		// Used is the task's measured resource usage, which lags behind by the platform's reporting delay.
		Used ids.Resources `json:",omitzero"`
	}

	// Report lists the tasks that changed since the requested sequence, or all tasks if Full is set.
	Report struct {
		Sequence uint64
		// Incarnation differs after each restart of the worker.
		Incarnation uint64
		Full        bool         `json:",omitempty"`
		Tasks       []TaskReport `json:",omitempty"`
	}

	// Client holds the calls of one worker.
	Client struct {
		Hold  func(ctx context.Context, hold Hold) error
		Start func(ctx context.Context, start Start) error
		// Stop returns once the job's tasks on the worker have ended.
		Stop  func(ctx context.Context, stop Stop) (Stopping, error)
		Renew func(ctx context.Context, renew Renew) (Report, error)
	}
)

const (
	// Held means that resources are reserved for the task.
	Held State = "Held"
	// Running means that the task has been started.
	Running State = "Running"
	// Ended means that the task succeeded.
	Ended State = "Ended"
	// Failed means that the task failed.
	Failed State = "Failed"
	// Stopped means that the task was stopped before it completed.
	Stopped State = "Stopped"
)

var (
	// ErrFenced means that the worker has seen a newer epoch; the call had no effect.
	ErrFenced = errors.New("the worker has seen a newer epoch")
	// ErrRefused means that the worker refused the request.
	ErrRefused = errors.New("the worker refused")
	// ErrUnreachable means that the request was never delivered.
	ErrUnreachable = errors.New("the worker could not be reached")
	// ErrUnknown means that no response was received; the call may have taken effect.
	ErrUnknown = errors.New("the worker did not respond")
)

// IsTerminal reports whether the state is terminal: the task no longer holds resources.
func (s State) IsTerminal() bool {
	return s == Ended || s == Failed || s == Stopped
}
