package entry

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/httpserver"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/tcp"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

const (
	// readTimeout bounds the time to read one request, so that stalled connections don't accumulate.
	readTimeout = 30 * time.Second
	// minIdle is how long a caller's connection has been without a request before another may take its place.
	minIdle = 5 * time.Second
)

// unexpected is the fault of a request whose handler panicked. Its outcome is unknown.
var unexpected = httpjson.Fault{Status: fasthttp.StatusInternalServerError, Code: codeInternal, Message: "the request failed unexpectedly"}

// startServers starts the HTTP servers for callers and operators, which run until the instance stops.
func (e *Entry) startServers(callers, operators net.Listener) {
	e.callerServer, e.operatorServer = e.newServer(e.callerRoutes()), e.newServer(e.operatorRoutes())
	e.callerServer.Name, e.callerServer.Budget, e.callerServer.MaxConnections, e.callerServer.Cost = "callers", &e.calls, e.limits.Connections, callCost
	e.callerServer.MinIdle = minIdle
	e.callerServer.Admit = func(rc *fasthttp.RequestCtx) bool { return e.admit(rc, false) != nil }
	e.operatorServer.Name, e.operatorServer.Budget, e.operatorServer.MaxConnections, e.operatorServer.Cost = "operators", &e.control, e.limits.ControlConnections, operatorCost
	e.operatorServer.Admit = func(rc *fasthttp.RequestCtx) bool { return e.admit(rc, true) != nil }
	e.runInBackground(context.Background(), func(context.Context) { e.serveListener(e.callerServer, callers) })
	e.runInBackground(context.Background(), func(context.Context) { e.serveListener(e.operatorServer, operators) })
}

func (e *Entry) serveListener(server *httpserver.Server, listener net.Listener) {
	if err := server.Serve(tcp.NewRetryListener(listener, e.logAcceptError)); err != nil {
		e.Log.Info("server: listener closed", zap.Error(err))
	}
}

// logAcceptError logs the first error of a disturbance in which connections can't be accepted.
func (e *Entry) logAcceptError(err error) {
	e.Log.Warn("server: connections can't be accepted, retrying", zap.Error(err))
}

func (e *Entry) newServer(handler fasthttp.RequestHandler) *httpserver.Server {
	s := e.Settings
	return &httpserver.Server{
		Handler: httpjson.Recover(handler, unexpected, func(cause any) { e.logPanic("request", cause) }), MaxHeader: s.MaxHeader, MaxBody: s.MaxBody,
		ReadTimeout: readTimeout, IdleTimeout: 2 * readTimeout, WriteTimeout: s.WriteTimeout, Refuse: replyRefused, OnRefuse: e.refusals.Add,
		MayRefuseAnswer: func(rc *fasthttp.RequestCtx) bool { return rc.IsGet() && !isForwarded(rc) },
	}
}

func (e *Entry) logPanic(in string, cause any) {
	e.Log.Error("server: panic", zap.String("in", in), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
}

// replyRefused replies to requests that are refused before they reach a handler.
func replyRefused(ctx *fasthttp.RequestCtx, fault *httpjson.Fault) {
	if fault.Status == fasthttp.StatusBadRequest {
		fault.Code = codeInvalid
	}
	httpjson.ReplyFault(ctx, fault)
	ctx.Response.Header.Set(caller.HeaderOutcome, string(caller.NotRun))
}

// newPeerServer returns the server of the methods that the other entry instances call.
func (e *Entry) newPeerServer() *peer.Server {
	s := &peer.Server{OnPanic: func(method string, cause any) { e.logPanic("peer call "+method, cause) }, OnAcceptError: e.logAcceptError}
	s.Budget, s.MaxMessage, s.MaxConnections = &e.peers, maxPeerMessage(e.Settings), e.limits.PeerConnections
	s.OnRefuse = func(cause inflight.Cause) { e.refusals.Add("peers", cause) }
	peer.Register(s, peer.MethodHeartbeat, func(_ context.Context, hb peer.Heartbeat) (peer.Heartbeat, error) {
		e.members.ReceiveHeartbeat(hb, nil, 0)
		return e.heartbeat(), nil
	})
	peer.Register(s, peer.MethodConfig, func(context.Context, peer.ConfigCall) (operator.Config, error) {
		if current := e.config.Current(); current != nil {
			return current.Source, nil
		}
		return operator.Config{}, noConfiguration()
	})
	peer.Register(s, peer.MethodSubmit, func(ctx context.Context, in peer.SubmitCall) (caller.JobStatus, error) {
		return callLocalOwner(e, in.DataCentre, func(o *localOwner) (caller.JobStatus, error) { return o.Submit(ctx, in.Account, in.Job) })
	})
	peer.Register(s, peer.MethodStatus, func(ctx context.Context, in peer.JobCall) (caller.JobStatus, error) {
		return callLocalOwner(e, in.DataCentre, func(o *localOwner) (caller.JobStatus, error) { return o.Status(ctx, in.Job) })
	})
	peer.Register(s, peer.MethodCancel, func(ctx context.Context, in peer.JobCall) (caller.JobStatus, error) {
		return callLocalOwner(e, in.DataCentre, func(o *localOwner) (caller.JobStatus, error) { return o.Cancel(ctx, in.Job) })
	})
	peer.Register(s, peer.MethodList, func(ctx context.Context, in peer.ListCall) ([]caller.JobStatus, error) {
		return callLocalOwner(e, in.DataCentre, func(o *localOwner) ([]caller.JobStatus, error) { return o.List(ctx, in.Account) })
	})
	peer.Register(s, peer.MethodReport, func(ctx context.Context, in peer.ReportCall) (operator.Report, error) {
		return callLocalOwner(e, in.DataCentre, func(o *localOwner) (operator.Report, error) { return o.Report(ctx) })
	})
	peer.Register(s, peer.MethodTimeline, func(_ context.Context, f operator.Filter) (operator.Timeline, error) {
		return e.timeline.Events(f), nil
	})
	peer.Register(s, peer.MethodRequest, e.serveForPeer)
	return s
}

// serveForPeer serves a request forwarded by a peer; a shutdown waits for it as for a caller's request.
func (e *Entry) serveForPeer(ctx context.Context, in peer.Request) (peer.Response, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, in.Left)
	defer cancel()
	return e.serveWithKey(ctx, in)
}

// callLocalOwner runs a peer's call on this instance's owner of the data centre, and never forwards it to another instance.
func callLocalOwner[Out any](e *Entry, id ids.DataCentreID, run func(o *localOwner) (Out, error)) (Out, error) {
	var zero Out
	o := e.localOwner(id)
	if o == nil {
		return zero, faultOf(owner.ErrNotOwner)
	}
	out, err := run(o)
	if err != nil {
		return zero, faultOf(err)
	}
	return out, nil
}
