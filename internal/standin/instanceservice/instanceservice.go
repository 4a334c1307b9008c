// Package instanceservice is a small stand-in of the platform's instance list.
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

// Service holds the list. Its zero value is empty and up to date.
type Service struct {
	// Lag is the time until a change shows.
	Lag time.Duration

	mu     sync.Mutex
	rows   map[ids.InstanceID]instancelist.Instance
	frozen bool
}

// PathSet adds or replaces a row, PathRemove removes one and PathFreeze stops all changes.
const (
	PathSet    = "/standin/set"
	PathRemove = "/standin/remove"
	PathFreeze = "/standin/freeze"
)

// Set adds or replaces a row after the lag.
func (s *Service) Set(row instancelist.Instance) {
	s.later(func() { s.rows[row.ID] = row })
}

// Remove removes a row after the lag.
func (s *Service) Remove(id ids.InstanceID) {
	s.later(func() { delete(s.rows, id) })
}

// Freeze stops all changes from showing, or lets them show again.
func (s *Service) Freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

func (s *Service) later(change func()) {
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.rows == nil {
			s.rows = make(map[ids.InstanceID]instancelist.Instance)
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

// Client returns the calls of this list, for use within one process.
func (s *Service) Client() instancelist.Client {
	return instancelist.Client{List: s.list}
}

func (s *Service) list(context.Context) ([]instancelist.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]instancelist.Instance, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	return rows, nil
}

// Handler serves the list over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	type none struct{}
	fault := httpjson.Codes{}.Fault
	set := httpjson.Handle(func(_ context.Context, in instancelist.Instance) (none, error) {
		s.Set(in)
		return none{}, nil
	}, fault)
	remove := httpjson.Handle(func(_ context.Context, in instancelist.Instance) (none, error) {
		s.Remove(in.ID)
		return none{}, nil
	}, fault)
	freeze := httpjson.Handle(func(_ context.Context, in bool) (none, error) {
		s.Freeze(in)
		return none{}, nil
	}, fault)
	list := httpjson.Handle(func(ctx context.Context, _ none) ([]instancelist.Instance, error) { return s.list(ctx) }, fault)
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
