package workerservice

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

type none struct{}

// PathFaults is where a test sets the worker's faults; PathActive lists its active tasks.
const (
	PathFaults = "/standin/faults"
	PathActive = "/standin/active"
)

// Handler serves the worker over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	c := s.Client()
	fault := worker.ErrorCodes.Fault
	routes := map[string]fasthttp.RequestHandler{
		worker.PathHold:  httpjson.Handle(without(c.Hold), fault),
		worker.PathStart: httpjson.Handle(without(c.Start), fault),
		worker.PathStop:  httpjson.Handle(c.Stop, fault),
		worker.PathRenew: httpjson.Handle(c.Renew, fault),
		PathFaults: httpjson.Handle(func(_ context.Context, in Faults) (none, error) {
			s.SetFaults(in)
			return none{}, nil
		}, fault),
		PathActive: httpjson.Handle(func(context.Context, none) ([]worker.TaskReport, error) {
			return s.Active(), nil
		}, fault),
	}
	return func(ctx *fasthttp.RequestCtx) {
		handle, found := routes[string(ctx.Path())]
		if !found {
			httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusNotFound, Code: "NoRoute", Message: "no such path"})
			return
		}
		handle(ctx)
	}
}

func without[In any](run func(context.Context, In) error) func(context.Context, In) (none, error) {
	return func(ctx context.Context, in In) (none, error) {
		return none{}, run(ctx, in)
	}
}
