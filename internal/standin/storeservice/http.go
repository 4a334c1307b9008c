package storeservice

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

// PathFaults sets the service's faults.
const PathFaults = "/standin/faults"

// Handler serves the store and its control endpoints over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	type empty struct{}
	c := s.Client()
	fault := store.ErrorCodes.Fault
	routes := map[string]fasthttp.RequestHandler{
		store.PathGet: httpjson.Handle(func(ctx context.Context, in store.GetCall) (store.Entry, error) {
			return c.Get(ctx, in.Key)
		}, fault),
		store.PathList: httpjson.Handle(c.List, fault),
		store.PathPut:  httpjson.Handle(c.Put, fault),
		store.PathDelete: httpjson.Handle(func(ctx context.Context, in store.DeleteCall) (empty, error) {
			return empty{}, c.Delete(ctx, in.Key, in.Revision)
		}, fault),
		store.PathWatch: httpjson.Handle(func(ctx context.Context, in store.GetCall) (store.Entry, error) {
			ctx, cancel := context.WithTimeout(ctx, in.Wait)
			defer cancel()
			return c.Watch(ctx, in.Key, in.After)
		}, fault),
		PathFaults: httpjson.Handle(func(_ context.Context, in Faults) (empty, error) {
			s.SetFaults(in)
			return empty{}, nil
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
