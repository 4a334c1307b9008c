package owner

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// Submit accepts a job: it returns once the job's record is in the store. A job that was accepted before is
// answered with its state. Errors are a *placement.Never, placement.ErrQueueFull, ErrNotOwner and ErrStore, after
// which the job truly does not run, and ErrOutcomeUnknown.
func (o *Owner) Submit(ctx context.Context, account ids.AccountID, job caller.Job) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	j := &placement.Job{Job: job, ID: ids.Job(account, job.Key), Account: account, Submitted: time.Now()}
	var status caller.JobStatus
	var refusal error
	known := false
	if err := t.do(ctx, func() {
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
		t.refused(j, refusal)
		return status, refusal
	}
	if t.storeOut.Load() {
		return status, ErrStore
	}
	return t.accept(ctx, j)
}

func (t *term) refused(j *placement.Job, err error) {
	t.owner.Event(operator.Event{
		Kind: "JobRefused", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: j.ID, Account: j.Account, Cause: err.Error(),
	})
}

// accept writes the job's record, which makes it accepted, and queues the job.
func (t *term) accept(ctx context.Context, j *placement.Job) (caller.JobStatus, error) {
	record := t.recordOf(j)
	record.State = caller.Queued
	revision, err := t.write(ctx, record, store.Absent)
	switch {
	case err == nil:
		return t.accepted(j, revision), nil
	case errors.Is(err, store.ErrConflict):
		stored, at, readErr := t.read(ctx, j.ID)
		if readErr != nil {
			return caller.JobStatus{}, ErrOutcomeUnknown
		}
		t.post(func() { t.adoptUnknown(stored, at) })
		return stored.Status(), nil
	case errors.Is(err, store.ErrRefused):
		return caller.JobStatus{}, ErrStore
	}
	t.spawn(func() { t.resolve(j, record.Writer) })
	return caller.JobStatus{}, ErrOutcomeUnknown
}

// accepted queues a job whose record is in the store. The caller's patience doesn't count any more: only the end
// of the term, after which the next owner reads the record, keeps the job from being queued here.
func (t *term) accepted(j *placement.Job, revision store.Revision) caller.JobStatus {
	var status caller.JobStatus
	if err := t.do(t.ctx, func() {
		t.execution(j.ID).revision = revision
		if t.state.Job(j.ID) == nil {
			t.state.Restore(j)
			t.owner.Event(operator.Event{
				Kind: "JobAccepted", DataCentre: t.owner.DataCentre, Epoch: t.lease.epoch, Job: j.ID, Account: j.Account, Cause: "record written",
			})
		}
		status = t.status(t.state.Job(j.ID))
	}); err != nil {
		return acceptedStatus(j, t.owner.DataCentre)
	}
	return status
}

// acceptedStatus is what is told of an accepted job that this owner no longer decides for.
func acceptedStatus(j *placement.Job, dataCentre ids.DataCentreID) caller.JobStatus {
	return caller.JobStatus{ID: j.ID, Account: j.Account, DataCentre: dataCentre, State: caller.Queued, Submitted: j.Submitted, Due: j.Due}
}

// resolve finds out whether the record of a job was written although no answer came, and queues the job if so.
func (t *term) resolve(j *placement.Job, writer string) {
	t.retry(func() bool {
		stored, revision, err := t.read(t.ctx, j.ID)
		if err == nil && stored.Writer == writer {
			t.accepted(j, revision)
		}
		return err == nil || errors.Is(err, ErrNoJob)
	})
}

// Status returns what is known of a job, from memory or from its record.
func (o *Owner) Status(ctx context.Context, id ids.JobID) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	var status caller.JobStatus
	found := false
	if err := t.do(ctx, func() {
		if j := t.state.Job(id); j != nil {
			found, status = true, t.status(j)
		}
	}); err != nil {
		return status, errors.Mark(err, ErrNotOwner)
	}
	if found {
		return status, nil
	}
	stored, _, err := t.read(ctx, id)
	if err != nil {
		return status, err
	}
	return stored.Status(), nil
}

// status returns what may be told of a job: an end only once it is in the store for good.
func (t *term) status(j *placement.Job) caller.JobStatus {
	status := t.state.Status(j)
	if status.State.Over() && !t.execution(j.ID).isSaved() {
		status.State, status.Reason = caller.Stopping, "its end is being recorded"
	}
	return status
}

// Cancel ends a job for its caller and returns its state. A job that need not be stopped first is cancelled when
// Cancel returns without error.
func (o *Owner) Cancel(ctx context.Context, id ids.JobID) (caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return caller.JobStatus{}, ErrNotOwner
	}
	var saved chan struct{}
	if err := t.do(ctx, func() {
		j := t.state.Job(id)
		if j == nil {
			return
		}
		t.state.Cancel(id, time.Now())
		if j.StateOf().Over() {
			saved = t.execution(id).saved
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

// List returns the jobs of an account that are in memory, or of all accounts if it is empty, by submission.
func (o *Owner) List(ctx context.Context, account ids.AccountID) ([]caller.JobStatus, error) {
	t := o.term.Load()
	if t == nil {
		return nil, ErrNotOwner
	}
	var list []caller.JobStatus
	if err := t.do(ctx, func() {
		t.state.Jobs(func(j *placement.Job) {
			if account == "" || j.Account == account {
				list = append(list, t.status(j))
			}
		})
	}); err != nil {
		return nil, errors.Mark(err, ErrNotOwner)
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].Submitted.Equal(list[j].Submitted) {
			return list[i].Submitted.Before(list[j].Submitted)
		}
		return list[i].ID < list[j].ID
	})
	return list, nil
}

// Report tells the operators how the data centre stands.
func (o *Owner) Report(ctx context.Context) (operator.Report, error) {
	t := o.term.Load()
	if t == nil {
		return operator.Report{}, ErrNotOwner
	}
	var report operator.Report
	if err := t.do(ctx, func() {
		report = t.state.Report()
		report.Unknown = append(report.Unknown, t.unknown...)
	}); err != nil {
		return report, errors.Mark(err, ErrNotOwner)
	}
	report.Owner = string(o.Instance)
	report.Epoch = t.lease.epoch
	return report, nil
}

// Queued returns the number of jobs that waited after the last decision.
func (o *Owner) Queued() int { return int(o.queued.Load()) }
