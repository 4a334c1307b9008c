package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// Submit accepts a job: it returns once the job's record is in the store. If the job was accepted before, it returns the
// job's status. After *placement.InfeasibleError, placement.ErrEvacuated, placement.ErrQueueFull, ErrNotOwner and
// ErrStoreUnavailable the job is certain not to run; after ErrOutcomeUnknown it may run.
func (o *Owner) Submit(ctx context.Context, account ids.AccountID, job caller.Job) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	if err := job.Validate(); err != nil {
		// Entry instances check callers' jobs, but a peer's call may be malformed.
		return caller.JobStatus{}, &placement.InfeasibleError{Reason: err.Error()}
	}
	j := &placement.Job{Job: job, ID: ids.JobIDFor(account, job.Key), Account: account, Submitted: time.Now()}
	var status caller.JobStatus
	var refusal error
	known := false
	if err := t.doSync(ctx, func() {
		if old := t.state.Job(j.ID); old != nil {
			known, status = true, t.status(old)
			return
		}
		refusal = t.state.Admissible(j)
	}); err != nil {
		return status, errors.Mark(err, ErrNotOwner)
	}
	if known {
		return status, nil
	}
	if refusal != nil {
		t.reportRefusal(j, refusal)
		return status, refusal
	}
	if t.storeUnavailable.Load() {
		return status, ErrStoreUnavailable
	}
	return t.accept(ctx, j)
}

func (t *term) reportRefusal(j *placement.Job, err error) {
	t.owner.OnEvent(operator.Event{
		Kind: "JobRefused", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: j.ID, Account: j.Account, Cause: err.Error(),
	})
}

// accept writes the job's record, at which point the job is accepted, and queues the job.
func (t *term) accept(ctx context.Context, j *placement.Job) (caller.JobStatus, error) {
	record := t.recordOf(j)
	record.State = caller.Queued
	revision, err := t.writeRecord(ctx, record, store.Absent)
	switch {
	case err == nil:
		return t.enqueueAccepted(j, revision), nil
	case errors.Is(err, store.ErrConflict):
		stored, at, readErr := t.readRecord(ctx, j.ID)
		if readErr != nil {
			return caller.JobStatus{}, ErrOutcomeUnknown
		}
		t.doAsync(func() { t.adoptLateRecord(stored, at) })
		return stored.Status(), nil
	case errors.Is(err, store.ErrRefused):
		return caller.JobStatus{}, ErrStoreUnavailable
	}
	t.spawn(func() { t.resolveUnknownWrite(j, record.Writer) })
	return caller.JobStatus{}, ErrOutcomeUnknown
}

// enqueueAccepted queues a job whose record is in the store. It ignores the caller's deadline: only the end of the term,
// after which the next owner reads the record, prevents the job from being queued here.
func (t *term) enqueueAccepted(j *placement.Job, revision store.Revision) caller.JobStatus {
	var status caller.JobStatus
	if err := t.doSync(t.ctx, func() {
		t.execution(j.ID).revision = revision
		if t.state.Job(j.ID) == nil {
			t.state.Restore(j)
			t.owner.OnEvent(operator.Event{
				Kind: "JobAccepted", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: j.ID, Account: j.Account, Cause: "record written",
			})
		}
		status = t.status(t.state.Job(j.ID))
	}); err != nil {
		return acceptedStatus(j, t.owner.DataCentre)
	}
	return status
}

// acceptedStatus returns the status of an accepted job for which this instance is no longer the owner.
func acceptedStatus(j *placement.Job, dataCentre ids.DataCentreID) caller.JobStatus {
	return caller.JobStatus{ID: j.ID, Account: j.Account, DataCentre: dataCentre, State: caller.Queued, Submitted: j.Submitted, Due: j.Due}
}

// resolveUnknownWrite reads the record of a job whose write got no response, and queues the job if it was written.
func (t *term) resolveUnknownWrite(j *placement.Job, writer string) {
	t.retry(func() bool {
		stored, revision, err := t.readRecord(t.ctx, j.ID)
		if err == nil && stored.Writer == writer {
			t.enqueueAccepted(j, revision)
		}
		return err == nil || errors.Is(err, ErrNoJob)
	})
}

// Status returns the status of a job, from memory or from its record.
func (o *Owner) Status(ctx context.Context, id ids.JobID) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	var status caller.JobStatus
	found := false
	if err := t.doSync(ctx, func() {
		if j := t.state.Job(id); j != nil {
			found, status = true, t.status(j)
		}
	}); err != nil {
		return status, errors.Mark(err, ErrNotOwner)
	}
	if found {
		return status, nil
	}
	stored, _, err := t.readRecord(ctx, id)
	if err != nil {
		return status, err
	}
	return stored.Status(), nil
}

// status returns the status that callers may see: a job's end only once its final record is durable.
func (t *term) status(j *placement.Job) caller.JobStatus {
	status := t.state.Status(j)
	if status.State.IsTerminal() && !t.execution(j.ID).isFinalSaved() {
		status.State, status.Reason = caller.Stopping, "its end is being recorded"
	}
	return status
}

// Cancel ends a job at its caller's request and returns its status. A job whose tasks have to be stopped first may still be
// stopping when Cancel returns without error; any other job is cancelled by then.
func (o *Owner) Cancel(ctx context.Context, id ids.JobID) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	var saved chan struct{}
	if err := t.doSync(ctx, func() {
		j := t.state.Job(id)
		if j == nil {
			return
		}
		t.state.Cancel(id, time.Now())
		if j.CallerState().IsTerminal() {
			saved = t.execution(id).finalSaved
		}
	}); err != nil {
		return caller.JobStatus{}, errors.Mark(err, ErrNotOwner)
	}
	if saved != nil {
		select {
		case <-saved:
		case <-ctx.Done():
			return caller.JobStatus{}, ErrOutcomeUnknown
		case <-t.ctx.Done():
			return caller.JobStatus{}, ErrOutcomeUnknown
		}
	}
	return o.Status(ctx, id)
}

// List returns the jobs in memory of an account, or of all accounts if account is empty, in the order of their acceptance.
func (o *Owner) List(ctx context.Context, account ids.AccountID) ([]caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return nil, ErrNotOwner
	}
	var list []caller.JobStatus
	if err := t.doSync(ctx, func() {
		var jobs []*placement.Job
		t.state.Jobs(func(j *placement.Job) {
			if account == "" || j.Account == account {
				jobs = append(jobs, j)
			}
		})
		slices.SortFunc(jobs, func(a, b *placement.Job) int {
			return cmp.Or(a.AcceptanceTime().Compare(b.AcceptanceTime()), cmp.Compare(a.ID, b.ID))
		})
		for _, j := range jobs {
			list = append(list, t.status(j))
		}
	}); err != nil {
		return nil, errors.Mark(err, ErrNotOwner)
	}
	return list, nil
}

// Report returns the state of the data centre for operators.
func (o *Owner) Report(ctx context.Context) (operator.Report, error) {
	t := o.term.Load()
	if t == nil {
		return operator.Report{}, ErrNotOwner
	}
	var report operator.Report
	if err := t.doSync(ctx, func() {
		report = t.state.Report()
		report.Unknown = append(report.Unknown, t.unknownJobs...)
		report.Evacuation = t.withViewAge(report.Evacuation)
	}); err != nil {
		return report, errors.Mark(err, ErrNotOwner)
	}
	report.Owner = string(o.Instance)
	report.Epoch = t.lease.epoch
	return report, nil
}

// Evacuation returns the status of the data centre's evacuation after the last decision, or nil if there is none or this
// instance doesn't own the data centre.
func (o *Owner) Evacuation() *operator.EvacuationStatus { return o.evacuation.Load() }

// Emptied reports whether the data centre is being evacuated or was removed, no run is left, and the end of each is recorded.
func (o *Owner) Emptied() bool { return o.emptied.Load() }

// Queued returns the number of jobs that were queued after the last decision.
func (o *Owner) Queued() int { return int(o.queued.Load()) }
