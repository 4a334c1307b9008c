package entry

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// readTimeout bounds the arrival of one request, so that silent connections don't pile up.
const readTimeout = 30 * time.Second

// serve answers callers and operators until the instance stops.
func (e *Entry) serve(callers, operators net.Listener) {
	e.callers = e.server(e.callerRoutes())
	e.operators = e.server(e.operatorRoutes())
	e.run(context.Background(), func(context.Context) { e.accept(e.callers, callers) })
	e.run(context.Background(), func(context.Context) { e.accept(e.operators, operators) })
}

func (e *Entry) accept(server *fasthttp.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		e.Log.Info("server: listener closed", zap.Error(err))
	}
}

func (e *Entry) server(handler fasthttp.RequestHandler) *fasthttp.Server {
	s := e.Settings
	return &fasthttp.Server{
		Handler: handler, Name: "jujubegrade", Concurrency: s.MaxConnections, ReadBufferSize: s.MaxHeader, MaxRequestBodySize: s.MaxBody,
		ReadTimeout: readTimeout, IdleTimeout: 2 * readTimeout, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ErrorHandler: refuseMalformed,
	}
}

// refuseMalformed answers requests that never reach a handler.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	fault := &httpjson.Fault{Status: fasthttp.StatusBadRequest, Code: codeInvalid, Message: err.Error()}
	if err == fasthttp.ErrBodyTooLarge {
		fault.Status, fault.Code = fasthttp.StatusRequestEntityTooLarge, "TooLarge"
	}
	if _, small := err.(*fasthttp.ErrSmallBuffer); small {
		fault.Status, fault.Code = fasthttp.StatusRequestHeaderFieldsTooLarge, "TooLarge"
	}
	httpjson.ReplyFault(ctx, fault)
	ctx.Response.Header.Set(caller.HeaderOutcome, string(caller.NotRun))
	ctx.SetConnectionClose()
}

// peerServer answers the other entry instances.
func (e *Entry) peerServer() *peer.Server {
	s := &peer.Server{}
	peer.Offer(s, peer.MethodHeartbeat, func(_ context.Context, b peer.Beat) (peer.Beat, error) {
		e.members.Hear(b, nil, 0)
		return e.beat(), nil
	})
	peer.Offer(s, peer.MethodConfig, func(context.Context, peer.ConfigCall) (operator.Config, error) {
		if current := e.config.Current(); current != nil {
			return current.Source, nil
		}
		return operator.Config{}, configNone()
	})
	peer.Offer(s, peer.MethodSubmit, func(ctx context.Context, in peer.SubmitCall) (caller.JobStatus, error) {
		return atOwner(e, in.DataCentre, func(o *ownership) (caller.JobStatus, error) { return o.Submit(ctx, in.Account, in.Job) })
	})
	peer.Offer(s, peer.MethodStatus, func(ctx context.Context, in peer.JobCall) (caller.JobStatus, error) {
		return atOwner(e, in.DataCentre, func(o *ownership) (caller.JobStatus, error) { return o.Status(ctx, in.Job) })
	})
	peer.Offer(s, peer.MethodCancel, func(ctx context.Context, in peer.JobCall) (caller.JobStatus, error) {
		return atOwner(e, in.DataCentre, func(o *ownership) (caller.JobStatus, error) { return o.Cancel(ctx, in.Job) })
	})
	peer.Offer(s, peer.MethodList, func(ctx context.Context, in peer.ListCall) ([]caller.JobStatus, error) {
		return atOwner(e, in.DataCentre, func(o *ownership) ([]caller.JobStatus, error) { return o.List(ctx, in.Account) })
	})
	peer.Offer(s, peer.MethodReport, func(ctx context.Context, in peer.ReportCall) (operator.Report, error) {
		return atOwner(e, in.DataCentre, func(o *ownership) (operator.Report, error) { return o.Report(ctx) })
	})
	peer.Offer(s, peer.MethodTimeline, func(_ context.Context, f operator.Filter) (operator.Timeline, error) {
		return e.log.Events(f), nil
	})
	peer.Offer(s, peer.MethodRequest, e.serveOnceForPeer)
	return s
}

// serveOnceForPeer runs a peer's request; a shutdown waits for it as for a caller's.
func (e *Entry) serveOnceForPeer(ctx context.Context, in peer.Request) (peer.Response, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, in.Left)
	defer cancel()
	return e.serveOnce(ctx, in)
}

// atOwner runs a peer's call if this instance owns the data centre, and never passes it on.
func atOwner[Out any](e *Entry, id ids.DataCentreID, run func(o *ownership) (Out, error)) (Out, error) {
	var none Out
	o := e.owner(id)
	if o == nil {
		return none, faultOf(owner.ErrNotOwner)
	}
	out, err := run(o)
	if err != nil {
		return none, faultOf(err)
	}
	return out, nil
}
