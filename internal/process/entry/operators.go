package entry

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/process/timeline"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// operatorRoutes returns the handler of the operators' listener.
func (e *Entry) operatorRoutes() fasthttp.RequestHandler {
	r := router.New()
	e.healthRoutes(r)
	r.GET("/debug/vars", e.requireOperator(expvarhandler.ExpvarHandler))
	r.GET("/v1/config", e.requireOperator(e.getConfig))
	r.POST("/v1/config", e.requireOperator(e.postConfig))
	r.GET("/v1/config/history", e.requireOperator(e.getHistory))
	r.GET("/v1/config/status", e.requireOperator(e.getConfigStatus))
	r.GET("/v1/reports", e.requireOperator(e.getReports))
	r.GET("/v1/timeline", e.requireOperator(e.getTimeline))
	r.GET("/v1/accounts", e.requireOperator(e.getAccounts))
	return r.Handler
}

func (e *Entry) getConfig(ctx *fasthttp.RequestCtx) {
	current := e.config.Current()
	if current == nil {
		httpjson.Reply(ctx, fasthttp.StatusOK, operator.Config{})
		return
	}
	httpjson.Reply(ctx, fasthttp.StatusOK, current.Source)
}

func (e *Entry) postConfig(ctx *fasthttp.RequestCtx) {
	var change operator.Change
	if err := json.Unmarshal(ctx.PostBody(), &change); err != nil {
		httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusBadRequest, Code: codeInvalid, Message: "the body is not a change: " + err.Error()})
		return
	}
	acceptance, err := e.config.Accept(ctx, change)
	if err != nil {
		replyError(ctx, err)
		return
	}
	httpjson.Reply(ctx, fasthttp.StatusOK, acceptance)
}

func (e *Entry) getHistory(ctx *fasthttp.RequestCtx) {
	below := ids.Version(queryInt(ctx, "Below", 0, 1<<60))
	list, err := e.config.History(ctx, below, queryInt(ctx, "Limit", 20, 100))
	if err != nil {
		replyError(ctx, err)
		return
	}
	httpjson.Reply(ctx, fasthttp.StatusOK, list)
}

// getConfigStatus reports on which instances the accepted version is in force. It ignores older versions on instances whose
// last heartbeat is older than Settings.ConfigMaxAge, because those accept no new work.
func (e *Entry) getConfigStatus(ctx *fasthttp.RequestCtx) {
	refreshCtx, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	// If the store is unavailable, report what this instance knows.
	_ = e.config.Refresh(refreshCtx)
	var in operator.InForce
	in.Instances = append(in.Instances, operator.InstanceVersion{Instance: string(e.Settings.Name), Version: e.config.Version()})
	for _, member := range e.members.Known() {
		in.Instances = append(in.Instances, operator.InstanceVersion{
			Instance: string(member.Instance), Version: member.Version, Age: time.Since(member.LastHeartbeat).Seconds(),
		})
	}
	summarizeVersions(&in, e.Settings.ConfigMaxAge)
	httpjson.Reply(ctx, fasthttp.StatusOK, in)
}

// summarizeVersions sets the newest version that any instance has, and whether all instances apply it. An instance that has
// been silent for longer than maxAge can no longer act under an older version.
func summarizeVersions(in *operator.InForce, maxAge time.Duration) {
	for _, i := range in.Instances {
		in.Accepted = max(in.Accepted, i.Version)
	}
	in.Everywhere = true
	for _, i := range in.Instances {
		if i.Version < in.Accepted && i.Age <= maxAge.Seconds() {
			in.Everywhere = false
		}
	}
}

func (e *Entry) getReports(ctx *fasthttp.RequestCtx) {
	reports, missing := callEachOwner(ctx, e, peer.MethodReport,
		func(id ids.DataCentreID) peer.ReportCall { return peer.ReportCall{DataCentre: id} },
		func(ctx context.Context, o *localOwner) (operator.Report, error) { return o.Report(ctx) })
	httpjson.Reply(ctx, fasthttp.StatusOK, operator.Reports{Reports: reports, Missing: missing})
}

func (e *Entry) getTimeline(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	f := operator.Filter{Job: ids.JobID(args.Peek("Job")), Account: ids.AccountID(args.Peek("Account")), Request: ids.RequestID(args.Peek("Request"))}
	live := e.members.Live()
	all := make([]operator.Timeline, len(live)+1)
	all[0] = e.timeline.Events(f)
	var group errgroup.Group
	for i, member := range live {
		if member.Caller == nil {
			continue
		}
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			// The merged timeline lacks the events of a peer that doesn't answer.
			_ = member.Caller.Call(callCtx, peer.MethodTimeline, f, &all[i+1])
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	httpjson.Reply(ctx, fasthttp.StatusOK, timeline.Merge(all...))
}

func (e *Entry) getAccounts(ctx *fasthttp.RequestCtx) {
	c := e.currentConfig()
	if c == nil {
		replyError(ctx, noConfiguration())
		return
	}
	var list []operator.Account
	for _, a := range c.Accounts {
		account := operator.Account{ID: a.ID, Labels: a.Labels, Selector: a.Selector.String(), Weight: a.Weight, Quota: a.Quota, RequestShare: a.RequestShare}
		for _, g := range c.Guarantees {
			if g.Account == a.ID {
				account.Guarantees = append(account.Guarantees, operator.AccountGuarantee{Name: g.Name, DataCentre: g.DataCentre, Shape: g.Shape, Count: g.Count})
			}
		}
		list = append(list, account)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	httpjson.Reply(ctx, fasthttp.StatusOK, list)
}
