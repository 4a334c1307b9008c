package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// callerRoutes returns the handler of the callers' listener.
func (e *Entry) callerRoutes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/jobs", e.requireToken(e.postJob))
	r.GET("/v1/jobs", e.requireToken(e.getJobs))
	r.GET("/v1/jobs/{id}", e.requireToken(e.getJob))
	r.DELETE("/v1/jobs/{id}", e.requireToken(e.deleteJob))
	r.ANY("/service/{service}/{path:*}", e.requireToken(e.forward))
	e.healthRoutes(r)
	return e.trackInFlight(r.Handler)
}

// trackInFlight counts in-flight requests, which a shutdown waits for.
func (e *Entry) trackInFlight(serve fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		e.inFlight.Add(1)
		defer e.inFlight.Done()
		serve(ctx)
		if e.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

func (e *Entry) healthRoutes(r *router.Router) {
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) {
		if reason, ready := e.Ready(); !ready {
			ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	})
}

func (e *Entry) postJob(ctx *fasthttp.RequestCtx, token *settings.Token) {
	var job caller.Job
	if err := json.Unmarshal(ctx.PostBody(), &job); err != nil {
		e.replyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusBadRequest, Code: codeInvalid, Message: "the body is not a job: " + err.Error()})
		return
	}
	if key := ctx.Request.Header.Peek(caller.HeaderKey); len(key) > 0 && job.Key == "" {
		job.Key = string(key)
	}
	status, err := e.submit(ctx, accountOf(ctx, token), job)
	if err != nil {
		e.replyFault(ctx, faultOf(err))
		return
	}
	httpjson.Reply(ctx, fasthttp.StatusAccepted, status)
	ctx.Response.Header.Set(caller.HeaderOutcome, string(caller.Accepted))
}

func (e *Entry) replyFault(ctx *fasthttp.RequestCtx, fault *httpjson.Fault) {
	httpjson.ReplyFault(ctx, fault)
	ctx.Response.Header.Set(caller.HeaderOutcome, string(outcomeOf(fault)))
}

// accountOf returns the account that a token acts for; operators may specify any account.
func accountOf(ctx *fasthttp.RequestCtx, token *settings.Token) ids.AccountID {
	if token.Operator {
		return ids.AccountID(ctx.QueryArgs().Peek("Account"))
	}
	return token.Account
}

func (e *Entry) getJobs(ctx *fasthttp.RequestCtx, token *settings.Token) {
	all, missing := e.listJobs(ctx, accountOf(ctx, token))
	page := caller.JobList{Missing: missing}
	after := ids.JobID(ctx.QueryArgs().Peek("After"))
	limit := queryInt(ctx, "Limit", 100, 1000)
	skipping := after != ""
	for _, status := range all {
		if skipping {
			skipping = status.ID != after
			continue
		}
		if len(page.Jobs) == limit {
			page.More = true
			break
		}
		page.Jobs = append(page.Jobs, status)
	}
	httpjson.Reply(ctx, fasthttp.StatusOK, page)
}

func queryInt(ctx *fasthttp.RequestCtx, name string, fallback, maximum int) int {
	n, err := strconv.Atoi(string(ctx.QueryArgs().Peek(name)))
	if err != nil || n < 1 {
		return fallback
	}
	return min(n, maximum)
}

func (e *Entry) getJob(ctx *fasthttp.RequestCtx, token *settings.Token) {
	e.replyJob(ctx, token, e.jobStatus)
}

func (e *Entry) deleteJob(ctx *fasthttp.RequestCtx, token *settings.Token) {
	cancelOwn := func(c context.Context, id ids.JobID, hint ids.DataCentreID) (caller.JobStatus, error) {
		if status, err := e.jobStatus(c, id, hint); err != nil || !mayAccess(token, status) {
			return status, err
		}
		return e.cancelJob(c, id, hint)
	}
	e.replyJob(ctx, token, cancelOwn)
}

// mayAccess reports whether a token may read and cancel a job.
func mayAccess(token *settings.Token, status caller.JobStatus) bool {
	return token.Operator || status.Account == token.Account
}

func (e *Entry) replyJob(ctx *fasthttp.RequestCtx, token *settings.Token, call func(context.Context, ids.JobID, ids.DataCentreID) (caller.JobStatus, error)) {
	id, _ := ctx.UserValue("id").(string)
	status, err := call(ctx, ids.JobID(id), ids.DataCentreID(ctx.QueryArgs().Peek("DataCentre")))
	if err != nil {
		replyError(ctx, err)
		return
	}
	if !mayAccess(token, status) {
		// Don't reveal that another account's job exists.
		httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusNotFound, Code: codeNoJob, Message: "no such job"})
		return
	}
	httpjson.Reply(ctx, fasthttp.StatusOK, status)
}

// forward proxies a request to a runner of its service.
func (e *Entry) forward(ctx *fasthttp.RequestCtx, token *settings.Token) {
	id := service.NewRequestID()
	ctx.Response.Header.Set(caller.HeaderRequest, string(id))
	if reason, ready := e.Ready(); !ready && !e.draining.Load() {
		e.replyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: reason, RetryAfter: 2})
		return
	}
	c := e.currentConfig()
	name, _ := ctx.UserValue("service").(string)
	s := e.service(ids.ServiceID(name))
	account := c.Accounts[accountOf(ctx, token)]
	if s == nil || account == nil {
		e.replyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusNotFound, Code: codeInvalid, Message: "no such service or client account"})
		return
	}
	settings := c.Service(s.ID)
	deadline, fault := deadlineOf(ctx, settings.Timeout)
	if fault != nil {
		e.replyFault(ctx, fault)
		return
	}
	req := &service.Request{
		ID: id, Account: account, Deadline: deadline, Policy: &c.Policy, Settings: settings,
		Idempotent: string(ctx.Request.Header.Peek(caller.HeaderIdempotent)) == "true",
		HTTP:       &ctx.Request,
	}
	key := string(ctx.Request.Header.Peek(caller.HeaderKey))
	rewriteRequest(ctx)
	if req.Idempotent || key == "" {
		completeResponse(ctx, id, s.Serve(req, &ctx.Response))
		return
	}
	e.forwardWithKey(ctx, s, req, key)
}

// deadlineOf returns the caller's deadline, limited by the service's timeout.
func deadlineOf(ctx *fasthttp.RequestCtx, timeout time.Duration) (time.Time, *httpjson.Fault) {
	remaining := timeout
	if text := ctx.Request.Header.Peek(caller.HeaderDeadline); len(text) > 0 {
		d, err := time.ParseDuration(string(text))
		if err != nil || d <= 0 {
			return time.Time{}, &httpjson.Fault{Status: fasthttp.StatusBadRequest, Code: codeInvalid, Message: caller.HeaderDeadline + " must be a duration such as 1500ms"}
		}
		remaining = min(remaining, d)
	}
	return time.Now().Add(remaining), nil
}

// rewriteRequest turns the caller's request into the one sent to the runner: it removes the path prefix and the token.
func rewriteRequest(ctx *fasthttp.RequestCtx) {
	path, _ := ctx.UserValue("path").(string)
	query := ctx.URI().QueryString()
	target := "/" + strings.TrimPrefix(path, "/")
	if len(query) > 0 {
		target += "?" + string(query)
	}
	h := &ctx.Request.Header
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(fasthttp.HeaderConnection)
	ctx.Request.SetRequestURI(target)
	ctx.Request.SetHost("runner")
}

// completeResponse sets the headers of the response to a caller, and replaces its body if the request was not answered.
func completeResponse(ctx *fasthttp.RequestCtx, id ids.RequestID, result service.Result) {
	if result.Outcome != caller.Answered {
		ctx.Response.Reset()
		httpjson.ReplyFault(ctx, &httpjson.Fault{Status: result.Status, Code: string(result.Outcome), Message: result.Reason, RetryAfter: result.RetryAfter.Seconds()})
		ctx.Response.Header.Set(caller.HeaderReason, result.Reason)
	}
	ctx.Response.Header.Del(runner.HeaderLoad)
	ctx.Response.Header.Del(runner.HeaderLeaving)
	ctx.Response.Header.Set(caller.HeaderRequest, string(id))
	ctx.Response.Header.Set(caller.HeaderOutcome, string(result.Outcome))
}
