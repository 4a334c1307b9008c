package workerservice

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

type empty struct{}

// PathFaults sets the worker's faults; PathActive returns its held and running tasks.
const (
	PathFaults = "/standin/faults"
	PathActive = "/standin/active"
)

// Handler serves the worker and its control endpoints over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	c := s.Client()
	fault := worker.ErrorCodes.Fault
	routes := map[string]fasthttp.RequestHandler{
		worker.PathHold:  httpjson.Handle(withoutResult(c.Hold), fault),
		worker.PathStart: httpjson.Handle(withoutResult(c.Start), fault),
		worker.PathStop:  httpjson.Handle(c.Stop, fault),
		worker.PathRenew: httpjson.Handle(c.Renew, fault),
		PathFaults: httpjson.Handle(func(_ context.Context, in Faults) (empty, error) {
			s.SetFaults(in)
			return empty{}, nil
		}, fault),
		PathActive: httpjson.Handle(func(context.Context, empty) ([]worker.TaskReport, error) {
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

func withoutResult[In any](run func(context.Context, In) error) func(context.Context, In) (empty, error) {
	return func(ctx context.Context, in In) (empty, error) {
		return empty{}, run(ctx, in)
	}
}
