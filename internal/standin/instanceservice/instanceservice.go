// Package instanceservice is an in-memory stand-in for the platform's instance list.
package instanceservice

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Service holds the instance list. Its zero value is an empty list that applies changes immediately.
type Service struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration

	mu        sync.Mutex
	instances map[ids.InstanceID]instancelist.Instance
	frozen    bool
}

// PathSet adds or replaces an instance, PathRemove removes one and PathFreeze freezes or unfreezes the list.
const (
	PathSet    = "/standin/set"
	PathRemove = "/standin/remove"
	PathFreeze = "/standin/freeze"
)

// Set adds or replaces an instance after Lag.
func (s *Service) Set(instance instancelist.Instance) {
	s.applyAfterLag(func() { s.instances[instance.ID] = instance })
}

// Remove removes an instance after Lag.
func (s *Service) Remove(id ids.InstanceID) {
	s.applyAfterLag(func() { delete(s.instances, id) })
}

// Freeze sets whether the list drops changes instead of applying them.
func (s *Service) Freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

func (s *Service) applyAfterLag(change func()) {
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.instances == nil {
			s.instances = make(map[ids.InstanceID]instancelist.Instance)
		}
		if !s.frozen {
			change()
		}
	}
	if s.Lag == 0 {
		apply()
		return
	}
	time.AfterFunc(s.Lag, apply)
}

// Client returns an in-process client of the instance list.
func (s *Service) Client() instancelist.Client {
	return instancelist.Client{List: s.list}
}

func (s *Service) list(context.Context) ([]instancelist.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances := make([]instancelist.Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		instances = append(instances, instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return instances, nil
}

// Handler serves the instance list and its control endpoints over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	type empty struct{}
	fault := httpjson.Codes{}.Fault
	set := httpjson.Handle(func(_ context.Context, in instancelist.Instance) (empty, error) {
		s.Set(in)
		return empty{}, nil
	}, fault)
	remove := httpjson.Handle(func(_ context.Context, in instancelist.Instance) (empty, error) {
		s.Remove(in.ID)
		return empty{}, nil
	}, fault)
	freeze := httpjson.Handle(func(_ context.Context, in bool) (empty, error) {
		s.Freeze(in)
		return empty{}, nil
	}, fault)
	list := httpjson.Handle(func(ctx context.Context, _ empty) ([]instancelist.Instance, error) { return s.list(ctx) }, fault)
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case PathSet:
			set(ctx)
		case PathRemove:
			remove(ctx)
		case PathFreeze:
			freeze(ctx)
		default:
			list(ctx)
		}
	}
}
