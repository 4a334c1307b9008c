// Package runnerservice is a small stand-in of one runner of a service.
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
		// Work is how long a request takes, unless it says otherwise by the query Work.
		Work time.Duration

		busy   atomic.Int64
		faults atomic.Pointer[Faults]
		mu     sync.Mutex
		runs   map[string]int
	}

	// Faults are what the runner does wrong.
	Faults struct {
		// Silent takes requests on connections opened so far without answering them; new connections work.
		Silent bool
		// Refuse refuses all requests without running them.
		Refuse bool
		// Fail answers with status 500 after running.
		Fail bool
		// Slow is added to each request.
		Slow time.Duration
		// CrossAnswers answers with the id of another request.
		CrossAnswers bool
		// Truncate closes the connection in the middle of the answer.
		Truncate bool
		// Leaving announces that the runner leaves.
		Leaving bool
		// since is when the faults were set.
		since time.Time
	}
)

// PathFaults is where a test sets the runner's faults; PathRuns counts the runs of each key.
const (
	PathFaults = "/standin/faults"
	PathRuns   = "/standin/runs"
)

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	f.since = time.Now()
	s.faults.Store(&f)
}

// Runs returns how often the request with a body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Handler serves the runner over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	type none struct{}
	fault := httpjson.Codes{}.Fault
	set := httpjson.Handle(func(_ context.Context, in Faults) (none, error) {
		s.SetFaults(in)
		return none{}, nil
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
	if f.Silent && ctx.ConnTime().Before(f.since) {
		<-ctx.Done()
		return
	}
	load := s.busy.Add(1)
	defer s.busy.Add(-1)
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
	s.work(ctx, f)
	switch {
	case f.CrossAnswers:
		ctx.Response.Header.Set(runner.HeaderRequest, "another")
	case f.Fail:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.SetBodyString("answer to " + string(ctx.RequestURI()) + " " + body)
	if f.Truncate {
		truncate(ctx, id)
	}
}

// truncate writes the beginning of an answer and closes the connection.
func truncate(ctx *fasthttp.RequestCtx, id string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// The caller sees a truncated answer whether or not the write succeeds.
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + runner.HeaderRequest + ": " + id + "\r\n\r\nhalf"))
	})
}

func (s *Service) work(ctx *fasthttp.RequestCtx, f Faults) {
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
