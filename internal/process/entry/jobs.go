package entry

import (
	"context"
	"fmt"
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

// peerCall bounds one call to a peer.
const peerCall = 3 * time.Second

// submit takes a job to the owner of a data centre that can hold it.
func (e *Entry) submit(ctx context.Context, account ids.AccountID, job caller.Job) (caller.JobStatus, error) {
	c := e.compiled()
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
	return caller.JobStatus{}, mildest(refusals)
}

// mildest returns the refusal that leaves the most hope: one with a time to come back before a final one.
func mildest(refusals []*httpjson.Fault) *httpjson.Fault {
	for _, f := range refusals {
		if f.RetryAfter > 0 {
			return f
		}
	}
	return refusals[0]
}

// candidates orders the data centres for a job: where the account holds a guarantee for it first, then the shortest queue.
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
	queued := e.queuedByDataCentre()
	var list []ids.DataCentreID
	for id := range c.DataCentres {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
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

func (e *Entry) queuedByDataCentre() map[ids.DataCentreID]int {
	queued := make(map[ids.DataCentreID]int)
	for _, owned := range e.beat().Owned {
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
	return toOwner(ctx, e, id, peer.MethodSubmit, peer.SubmitCall{DataCentre: id, Account: account, Job: job},
		func(ctx context.Context, o *ownership) (caller.JobStatus, error) { return o.Submit(ctx, account, job) })
}

// toOwner runs a call at the owner of a data centre: here, or at the peer that owns it.
func toOwner[In, Out any](ctx context.Context, e *Entry, id ids.DataCentreID, method string, in In, here func(context.Context, *ownership) (Out, error)) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCall)
	defer cancel()
	var out Out
	if o := e.owner(id); o != nil {
		if _, owns := o.Owns(); owns {
			return here(ctx, o)
		}
	}
	remote, found := e.members.OwnerOf(id)
	if !found || remote.Caller == nil {
		return out, errors.Wrapf(owner.ErrNotOwner, "data centre %s has no owner now", id)
	}
	err := remote.Caller.Call(ctx, method, in, &out)
	return out, err
}

// findJob asks the owners for a job, then the store.
func (e *Entry) findJob(ctx context.Context, id ids.JobID, hint ids.DataCentreID, method string,
	here func(context.Context, *ownership) (caller.JobStatus, error),
) (caller.JobStatus, error) {
	c := e.compiled()
	if c == nil {
		return caller.JobStatus{}, configNone()
	}
	if hint != "" {
		return toOwner(ctx, e, hint, method, peer.JobCall{DataCentre: hint, Job: id}, here)
	}
	stored, _, err := owner.ReadRecord(ctx, *e.Store, id)
	if err != nil {
		return caller.JobStatus{}, err
	}
	if stored.State.Over() {
		return stored.Status(), nil
	}
	return toOwner(ctx, e, stored.DataCentre, method, peer.JobCall{DataCentre: stored.DataCentre, Job: id}, here)
}

func configNone() error {
	return &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: "no configuration is known yet", RetryAfter: 2}
}

func (e *Entry) jobStatus(ctx context.Context, id ids.JobID, hint ids.DataCentreID) (caller.JobStatus, error) {
	return e.findJob(ctx, id, hint, peer.MethodStatus, func(ctx context.Context, o *ownership) (caller.JobStatus, error) { return o.Status(ctx, id) })
}

func (e *Entry) cancelJob(ctx context.Context, id ids.JobID, hint ids.DataCentreID) (caller.JobStatus, error) {
	return e.findJob(ctx, id, hint, peer.MethodCancel, func(ctx context.Context, o *ownership) (caller.JobStatus, error) { return o.Cancel(ctx, id) })
}

// eachDataCentre makes a call to the owner of every data centre at once. Those that don't answer are left out
// and named in missing.
func eachDataCentre[In, Out any](ctx context.Context, e *Entry, method string, in func(ids.DataCentreID) In,
	here func(context.Context, *ownership) (Out, error),
) (answers []Out, missing []ids.DataCentreID) {
	c := e.compiled()
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
			if out, err := toOwner(ctx, e, id, method, in(id), here); err == nil {
				results[i] = &out
			}
			return nil
		})
	}
	_ = group.Wait() // the results hold the failures
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
	lists, missing := eachDataCentre(ctx, e, peer.MethodList,
		func(id ids.DataCentreID) peer.ListCall { return peer.ListCall{DataCentre: id, Account: account} },
		func(ctx context.Context, o *ownership) ([]caller.JobStatus, error) { return o.List(ctx, account) })
	var all []caller.JobStatus
	for _, list := range lists {
		all = append(all, list...)
	}
	return all, missing
}

// home returns the peer at which a key's requests meet; nil is this instance.
func (e *Entry) home(key string) (membership.Caller, bool) {
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
