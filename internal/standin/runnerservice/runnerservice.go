// Package runnerservice is a stand-in for one runner of a service, with fault injection.
package runnerservice

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
)

type (
	// Service is one runner. Slots must be set.
	Service struct {
		Slots int
		// Work is the duration of a request, unless its query parameter Work sets another one.
		Work time.Duration

		inFlight atomic.Int64
		faults   atomic.Pointer[Faults]
		mu       sync.Mutex
		runs     map[string]int
	}

	// Faults are the faults that the runner injects.
	Faults struct {
		// Silent never responds to requests on connections opened before the fault was set; new connections work.
		Silent bool
		// Refuse rejects all requests without running them.
		Refuse bool
		// Fail responds with status 500 after running the request.
		Fail bool
		// Slow is added to the duration of each request.
		Slow time.Duration
		// CrossAnswers responds with the ID of another request.
		CrossAnswers bool
		// Truncate closes the connection in the middle of the response.
		Truncate bool
		// Drop closes the connection without a response after running the request, as a runner that crashes.
		Drop bool
		// Leaving announces in each response that the runner is leaving.
		Leaving bool
		// setAt is the time at which the faults were set.
		setAt time.Time
	}
)

// PathFaults sets the runner's faults; PathRuns returns how often a request with each body was run.
const (
	PathFaults = "/standin/faults"
	PathRuns   = "/standin/runs"
)

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	f.setAt = time.Now()
	s.faults.Store(&f)
}

// Runs returns how often a request with the given body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Handler serves the runner and its control endpoints over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	type empty struct{}
	fault := httpjson.Codes{}.Fault
	set := httpjson.Handle(func(_ context.Context, in Faults) (empty, error) {
		s.SetFaults(in)
		return empty{}, nil
	}, fault)
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case PathFaults:
			set(ctx)
		case PathRuns:
			s.mu.Lock()
			defer s.mu.Unlock()
			httpjson.Reply(ctx, fasthttp.StatusOK, s.runs)
		default:
			s.serve(ctx)
		}
	}
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	var f Faults
	if set := s.faults.Load(); set != nil {
		f = *set
	}
	id := string(ctx.Request.Header.Peek(runner.HeaderRequest))
	if f.Silent && ctx.ConnTime().Before(f.setAt) {
		<-ctx.Done()
		return
	}
	load := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx.Response.Header.Set(runner.HeaderRequest, id)
	ctx.Response.Header.Set(runner.HeaderLoad, strconv.FormatInt(load, 10))
	if f.Leaving {
		ctx.Response.Header.Set(runner.HeaderLeaving, "true")
	}
	if f.Refuse || load > int64(s.Slots) {
		ctx.Response.Header.Set(runner.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body := string(ctx.PostBody())
	if body != "" {
		s.mu.Lock()
		if s.runs == nil {
			s.runs = make(map[string]int)
		}
		s.runs[body]++
		s.mu.Unlock()
	}
	s.simulateWork(ctx, f)
	switch {
	case f.CrossAnswers:
		ctx.Response.Header.Set(runner.HeaderRequest, "another")
	case f.Fail:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.SetBodyString("answer to " + string(ctx.RequestURI()) + " " + body)
	switch {
	case f.Truncate:
		truncate(ctx, id)
	case f.Drop:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// truncate writes a partial response and closes the connection.
func truncate(ctx *fasthttp.RequestCtx, id string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// The caller gets a truncated response whether or not the write succeeds.
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + runner.HeaderRequest + ": " + id + "\r\n\r\nhalf"))
	})
}

func (s *Service) simulateWork(ctx *fasthttp.RequestCtx, f Faults) {
	work := s.Work + f.Slow
	if text := ctx.QueryArgs().Peek("Work"); len(text) > 0 {
		if d, err := time.ParseDuration(string(text)); err == nil {
			work = d + f.Slow
		}
	}
	if work > 0 {
		time.Sleep(work)
	}
}
