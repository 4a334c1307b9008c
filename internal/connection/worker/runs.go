package worker

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Task names one task of one step of a job.
	Task struct {
		Job ids.JobID
		// Occurrence is the one of the job's schedule; zero for a job that runs once.
		Occurrence int
		Step       int
		Index      int
	}

	// Run names one run of a task. Numbers rise with each start; the members of a gang share one.
	Run struct {
		Task
		Number ids.RunNumber
	}

	// RunOrder starts a run under a lease.
	RunOrder struct {
		Run
		Epoch ids.Epoch
		// Payload is handed to the task as it is.
		Payload string
		// Lease is how long the worker's runs last from now without renewal.
		Lease time.Duration
		// Checkpoint is where the run goes on from; empty starts from the beginning.
		Checkpoint string
	}

	// RenewOrder renews the lease of all runs of a worker and asks for its report.
	RenewOrder struct {
		Epoch ids.Epoch
		Lease time.Duration
		// Acknowledged is the last end that is kept for good; the worker forgets the ends up to it.
		Acknowledged uint64
		// Wait is how long the worker may wait for an end before it answers.
		Wait time.Duration
	}

	// Active is a run at work.
	Active struct {
		Run
		// Checkpoint is the newest one, empty without any.
		Checkpoint string
		// Percent is the part of the work that is done.
		Percent int
	}

	// Ending says how a run ended.
	Ending string

	// End is a run that ended, with the number of the end.
	End struct {
		Run
		Number     uint64
		How        Ending
		Checkpoint string
	}

	// RunReport is what a worker says of its runs.
	RunReport struct {
		// Incarnation tells the lives of a worker under one id apart.
		Incarnation uint64
		Active      []Active
		Ended       []End
	}

	// Runs holds the calls of a worker that starts runs without a hold before.
	Runs struct {
		// Start starts a run; a run that is there already is no error.
		Start func(ctx context.Context, o RunOrder) error
		// Stop ends a run, and keeps one that is not there yet from starting. The run's end is reported later.
		Stop func(ctx context.Context, epoch ids.Epoch, r Run) error
		// Renew renews the lease and reports.
		Renew func(ctx context.Context, o RenewOrder) (RunReport, error)
		// Close closes idle connections.
		Close func()
	}
)

// How runs end.
const (
	EndDone   Ending = "Done"
	EndFailed Ending = "Failed"
	// EndStopped runs were stopped by an order.
	EndStopped Ending = "Stopped"
	// EndLapsed runs outlived the worker's lease.
	EndLapsed Ending = "Lapsed"
	// EndBroken runs lost another member of their gang.
	EndBroken Ending = "Broken"
	// EndAlone runs waited in vain for the other members of their gang.
	EndAlone Ending = "Alone"
)

// The errors of a worker that starts runs. With any other error the call may have been carried out, or may be later.
var (
	// ErrSuperseded tells that this or a newer run of the task was stopped or ended there.
	ErrSuperseded = errors.New("the run was stopped or has ended")
	// ErrLeaseOver tells that the order's lease had ended on the worker's clock.
	ErrLeaseOver = errors.New("the order's lease has ended on the worker's clock")
	// ErrNoRoom tells that the worker has no room for the run.
	ErrNoRoom = errors.New("the worker has no room")
	// ErrUnhealthy tells that the worker refuses work for now; nothing was done.
	ErrUnhealthy = errors.New("the worker refuses work")
	// ErrReborn tells that another incarnation answers at the address.
	ErrReborn = errors.New("another incarnation answers")
	// ErrInvalid tells that the worker can't read the order.
	ErrInvalid = errors.New("the worker refused the order as invalid")
	// ErrGone tells that nothing listens at the worker's address.
	ErrGone = errors.New("nothing listens at the worker's address")
)

// String writes the task as job/step/index.
func (t Task) String() string {
	if t.Occurrence > 0 {
		return string(t.Job) + "#" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
	}
	return string(t.Job) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}
