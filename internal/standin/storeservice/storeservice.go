// Package storeservice implements in-memory stand-ins for the platform's key-value services, with fault injection.
package storeservice

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

type (
	// Service is a key-value service with compare-and-swap writes and watches of single keys. Its zero value is ready to use.
	Service struct {
		mu           sync.Mutex
		entries      map[string]store.Entry
		expiryTimers map[string]*time.Timer
		revision     store.Revision
		changed      chan struct{}
		faults       Faults
	}

	// Faults are the faults that the service injects.
	Faults struct {
		// Outage fails all calls with store.ErrUnknown.
		Outage bool
		// Delay is added to each call.
		Delay time.Duration
		// LoseAnswer reports whether the answer to a write is lost after the write took effect; nil loses none.
		LoseAnswer func(key string) bool `json:"-"`
	}
)

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Client returns an in-process client of the service.
func (s *Service) Client() store.Client {
	return store.Client{Get: s.get, List: s.list, Put: s.put, Delete: s.remove, Watch: s.watch}
}

func (s *Service) injectFaults(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return store.ErrUnknown
		case <-time.After(f.Delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage || s.faults.Outage {
		return store.ErrUnknown
	}
	return nil
}

func (s *Service) get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.injectFaults(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.entries[key]
	if !found {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (s *Service) list(ctx context.Context, page store.Page) ([]store.Entry, error) {
	if err := s.injectFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, page.Prefix) && key > page.After {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if page.Limit > 0 && len(found) > page.Limit {
		found = found[:page.Limit]
	}
	return found, nil
}

func (s *Service) put(ctx context.Context, w store.Write) (store.Revision, error) {
	if err := s.injectFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[w.Key].Revision != w.If {
		return 0, store.ErrConflict
	}
	if s.entries == nil {
		s.entries = make(map[string]store.Entry)
		s.expiryTimers = make(map[string]*time.Timer)
	}
	s.revision++
	revision := s.revision
	s.entries[w.Key] = store.Entry{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: revision}
	s.scheduleExpiry(w, revision)
	s.notifyWatchers()
	if s.faults.LoseAnswer != nil && s.faults.LoseAnswer(w.Key) {
		return 0, store.ErrUnknown
	}
	return revision, nil
}

func (s *Service) scheduleExpiry(w store.Write, revision store.Revision) {
	if timer := s.expiryTimers[w.Key]; timer != nil {
		timer.Stop()
		delete(s.expiryTimers, w.Key)
	}
	if w.TTL <= 0 {
		return
	}
	s.expiryTimers[w.Key] = time.AfterFunc(w.TTL, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.entries[w.Key].Revision == revision {
			s.deleteEntry(w.Key)
		}
	})
}

func (s *Service) remove(ctx context.Context, key string, revision store.Revision) error {
	if err := s.injectFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return store.ErrConflict
	}
	s.deleteEntry(key)
	if s.faults.LoseAnswer != nil && s.faults.LoseAnswer(key) {
		return store.ErrUnknown
	}
	return nil
}

func (s *Service) deleteEntry(key string) {
	delete(s.entries, key)
	delete(s.expiryTimers, key)
	s.revision++
	s.notifyWatchers()
}

func (s *Service) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Service) watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	for {
		if err := s.injectFaults(ctx); err != nil {
			return store.Entry{}, err
		}
		s.mu.Lock()
		entry := s.entries[key]
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if entry.Revision > after {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return store.Entry{Key: key, Revision: after}, nil
		case <-changed:
		}
	}
}
