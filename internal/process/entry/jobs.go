package entry

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/process/membership"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// peerCallTimeout bounds one call to a peer.
const peerCallTimeout = 3 * time.Second

// submit offers a job to the owners of the candidate data centres in turn until one accepts it or its outcome is unknown.
func (e *Entry) submit(ctx context.Context, account ids.AccountID, job caller.Job) (caller.JobStatus, error) {
	c := e.currentConfig()
	if reason, ready := e.Ready(); !ready {
		return caller.JobStatus{}, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: reason, RetryAfter: 2}
	}
	if _, found := c.Accounts[account]; !found {
		return caller.JobStatus{}, &httpjson.Fault{Status: fasthttp.StatusUnprocessableEntity, Code: codeInvalid, Message: fmt.Sprintf("client account %q is not configured", account)}
	}
	if err := job.Validate(); err != nil {
		return caller.JobStatus{}, &httpjson.Fault{Status: fasthttp.StatusUnprocessableEntity, Code: codeInvalid, Message: err.Error()}
	}
	candidates := e.candidates(c, account, job)
	if len(candidates) == 0 {
		return caller.JobStatus{}, &httpjson.Fault{Status: fasthttp.StatusUnprocessableEntity, Code: codeInvalid, Message: fmt.Sprintf("data centre %q is not configured", job.DataCentre)}
	}
	var refusals []*httpjson.Fault
	for _, id := range candidates {
		status, err := e.submitTo(ctx, id, account, job)
		if err == nil {
			return status, nil
		}
		fault := faultOf(err)
		if outcomeOf(fault) != caller.NotRun {
			return status, fault
		}
		refusals = append(refusals, fault)
	}
	if fault := allEvacuated(candidates, refusals); fault != nil {
		return caller.JobStatus{}, fault
	}
	return caller.JobStatus{}, preferRetryable(refusals)
}

// allEvacuated returns the refusal of a job that several data centres could take if all of them are being evacuated, or nil.
func allEvacuated(candidates []ids.DataCentreID, refusals []*httpjson.Fault) *httpjson.Fault {
	if len(candidates) < 2 || slices.ContainsFunc(refusals, func(f *httpjson.Fault) bool { return f.Code != codeEvacuated }) {
		return nil
	}
	fault := *refusals[0]
	fault.Message = "all data centres are being evacuated"
	return &fault
}

// preferRetryable returns the first refusal that may be retried, or the first one if all are final.
func preferRetryable(refusals []*httpjson.Fault) *httpjson.Fault {
	for _, f := range refusals {
		if f.RetryAfter > 0 {
			return f
		}
	}
	return refusals[0]
}

// candidates returns the data centres to try for a job: those in which the account holds a guarantee that covers it come
// first, then those with shorter queues. Those that are being evacuated come last: their owners refuse new jobs, but know the
// jobs that they accepted before.
func (e *Entry) candidates(c *config.Config, account ids.AccountID, job caller.Job) []ids.DataCentreID {
	if job.DataCentre != "" {
		if _, found := c.DataCentres[job.DataCentre]; !found {
			return nil
		}
		return []ids.DataCentreID{job.DataCentre}
	}
	guaranteed := make(map[ids.DataCentreID]bool)
	for _, g := range c.Guarantees {
		if g.Account == account && g.Shape.Each.Accelerators >= job.Shape.Each.Accelerators && g.Shape.Tasks >= job.Shape.Tasks {
			guaranteed[g.DataCentre] = true
		}
	}
	queued := e.queueLengths()
	var list []ids.DataCentreID
	for id := range c.DataCentres {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if c.DataCentres[a].Evacuate != c.DataCentres[b].Evacuate {
			return c.DataCentres[b].Evacuate
		}
		if guaranteed[a] != guaranteed[b] {
			return guaranteed[a]
		}
		if queued[a] != queued[b] {
			return queued[a] < queued[b]
		}
		return a < b
	})
	return list
}

func (e *Entry) queueLengths() map[ids.DataCentreID]int {
	queued := make(map[ids.DataCentreID]int)
	for _, owned := range e.heartbeat().Owned {
		queued[owned.DataCentre] = owned.Queued
	}
	for _, member := range e.members.Live() {
		for _, owned := range member.Owned {
			queued[owned.DataCentre] = owned.Queued
		}
	}
	return queued
}

func (e *Entry) submitTo(ctx context.Context, id ids.DataCentreID, account ids.AccountID, job caller.Job) (caller.JobStatus, error) {
	return callOwner(ctx, e, id, peer.MethodSubmit, peer.SubmitCall{DataCentre: id, Account: account, Job: job},
		func(ctx context.Context, o *localOwner) (caller.JobStatus, error) { return o.Submit(ctx, account, job) })
}

// callOwner runs a call on the owner of a data centre: local if this instance owns it, or else a call to the owning peer.
func callOwner[In, Out any](ctx context.Context, e *Entry, id ids.DataCentreID, method string, in In, local func(context.Context, *localOwner) (Out, error)) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var out Out
	if o := e.localOwner(id); o != nil {
		if _, owns := o.Owns(); owns {
			return local(ctx, o)
		}
	}
	remote, found := e.members.OwnerOf(id)
	if !found || remote.Caller == nil {
		return out, errors.Wrapf(owner.ErrNotOwner, "data centre %s has no owner", id)
	}
	err := remote.Caller.Call(ctx, method, in, &out)
	return out, err
}

// callJobOwner runs a call on the owner of a job's data centre. The data centre is hint or, if hint is empty, the one in the
// job's record in the store. If the record shows that the job has ended, it returns the recorded status without a call.
func (e *Entry) callJobOwner(ctx context.Context, id ids.JobID, hint ids.DataCentreID, method string,
	local func(context.Context, *localOwner) (caller.JobStatus, error),
) (caller.JobStatus, error) {
	c := e.currentConfig()
	if c == nil {
		return caller.JobStatus{}, noConfiguration()
	}
	if hint != "" {
		return callOwner(ctx, e, hint, method, peer.JobCall{DataCentre: hint, Job: id}, local)
	}
	stored, _, err := owner.ReadRecord(ctx, *e.Store, id)
	if err != nil {
		return caller.JobStatus{}, err
	}
	if stored.State.IsTerminal() {
		return stored.Status(), nil
	}
	return callOwner(ctx, e, stored.DataCentre, method, peer.JobCall{DataCentre: stored.DataCentre, Job: id}, local)
}

func noConfiguration() error {
	return &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: "no configuration is known yet", RetryAfter: 2}
}

func (e *Entry) jobStatus(ctx context.Context, id ids.JobID, hint ids.DataCentreID) (caller.JobStatus, error) {
	return e.callJobOwner(ctx, id, hint, peer.MethodStatus, func(ctx context.Context, o *localOwner) (caller.JobStatus, error) { return o.Status(ctx, id) })
}

func (e *Entry) cancelJob(ctx context.Context, id ids.JobID, hint ids.DataCentreID) (caller.JobStatus, error) {
	return e.callJobOwner(ctx, id, hint, peer.MethodCancel, func(ctx context.Context, o *localOwner) (caller.JobStatus, error) { return o.Cancel(ctx, id) })
}

// callEachOwner makes a call to the owners of all data centres concurrently. Data centres whose call fails are returned in
// missing.
func callEachOwner[In, Out any](ctx context.Context, e *Entry, method string, in func(ids.DataCentreID) In,
	local func(context.Context, *localOwner) (Out, error),
) (answers []Out, missing []ids.DataCentreID) {
	c := e.currentConfig()
	if c == nil {
		return nil, nil
	}
	var list []ids.DataCentreID
	for id := range c.DataCentres {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	results := make([]*Out, len(list))
	var group errgroup.Group
	for i, id := range list {
		group.Go(func() error {
			if out, err := callOwner(ctx, e, id, method, in(id), local); err == nil {
				results[i] = &out
			}
			return nil
		})
	}
	_ = group.Wait() // failed calls leave a nil result
	for i, r := range results {
		if r == nil {
			missing = append(missing, list[i])
			continue
		}
		answers = append(answers, *r)
	}
	return answers, missing
}

func (e *Entry) listJobs(ctx context.Context, account ids.AccountID) ([]caller.JobStatus, []ids.DataCentreID) {
	lists, missing := callEachOwner(ctx, e, peer.MethodList,
		func(id ids.DataCentreID) peer.ListCall { return peer.ListCall{DataCentre: id, Account: account} },
		func(ctx context.Context, o *localOwner) ([]caller.JobStatus, error) { return o.List(ctx, account) })
	var all []caller.JobStatus
	for _, list := range lists {
		all = append(all, list...)
	}
	return all, missing
}

// homeInstance returns the instance that serves all requests with a key, chosen by rendezvous hashing; nil means
// this instance. It returns false if that instance is unreachable.
func (e *Entry) homeInstance(key string) (membership.Caller, bool) {
	ranked := membership.Rank(key, e.members.Serving())
	if len(ranked) == 0 || ranked[0] == e.Settings.Name {
		return nil, true
	}
	for _, member := range e.members.Live() {
		if member.Instance == ranked[0] {
			return member.Caller, member.Caller != nil
		}
	}
	return nil, false
}
