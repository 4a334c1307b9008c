package storeservice

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

type (
	// Transactional is a stand-in of a key-value service with transactions, leases and watches of prefixes. Its zero
	// value works.
	Transactional struct {
		mu       sync.Mutex
		entries  map[string]store.Entry
		owners   map[string]store.LeaseID
		leases   map[store.LeaseID]*grantedLease
		history  []store.Event
		revision store.Revision
		// compacted is the revision up to which the history is gone.
		compacted store.Revision
		nextLease store.LeaseID
		changed   chan struct{}
		outage    outage
		fault     func(client string, write bool) CallFault
	}

	grantedLease struct {
		ttl   time.Duration
		timer *time.Timer
	}

	// outage is a time in which nobody is answered.
	outage struct {
		down  bool
		pause bool
	}

	// CallFault is what goes wrong with one call. Its zero value is a call that goes well.
	CallFault struct {
		// Refuse answers that nothing was done.
		Refuse bool
		// Silent neither does nor answers anything.
		Silent bool
		// LoseAnswer does it and doesn't answer.
		LoseAnswer bool
		// Late does it after a delay, and doesn't answer.
		Late time.Duration
		// Delay is added before the call is carried out.
		Delay time.Duration
	}
)

// defaultTTL stands for leases that name no time.
const defaultTTL = time.Second

// Client returns the calls of the service for one client, which the faults may tell from others.
func (s *Transactional) Client(name string) store.Transactions {
	return store.Transactions{
		Get: func(ctx context.Context, key string) (entry store.Entry, err error) {
			err = s.call(ctx, name, false, func() error {
				var found bool
				if entry, found = s.entries[key]; !found {
					return store.ErrNotFound
				}
				return nil
			})
			return entry, err
		},
		List: func(ctx context.Context, prefix string) (list []store.Entry, revision store.Revision, err error) {
			err = s.call(ctx, name, false, func() error {
				for key, e := range s.entries {
					if strings.HasPrefix(key, prefix) {
						list = append(list, e)
					}
				}
				slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
				revision = s.revision
				return nil
			})
			return list, revision, err
		},
		Watch: func(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
			return s.watch(ctx, name, prefix, after, wait)
		},
		Commit: func(ctx context.Context, t store.Transaction) (store.Revision, error) {
			var revision store.Revision
			if err := s.call(ctx, name, true, func() (err error) {
				revision, err = s.commit(t)
				return err
			}); err != nil {
				return 0, err
			}
			return revision, nil
		},
		Grant: func(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
			var id store.LeaseID
			var granted time.Duration
			if err := s.call(ctx, name, true, func() error {
				id, granted = s.grant(ttl)
				return nil
			}); err != nil {
				return 0, 0, err
			}
			return id, granted, nil
		},
		Keep: func(ctx context.Context, id store.LeaseID) error {
			return s.call(ctx, name, true, func() error { return s.keep(id) })
		},
	}
}

// SetFault replaces what goes wrong with calls; nil ends all faults but an outage.
func (s *Transactional) SetFault(fault func(client string, write bool) CallFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetOutage begins or ends an outage for all clients. With pause, leases that end meanwhile last until it is over.
func (s *Transactional) SetOutage(down, pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage.pause && !down {
		for _, l := range s.leases {
			l.timer.Reset(l.ttl)
		}
	}
	s.outage = outage{down: down, pause: down && pause}
}

// Compact forgets the history.
func (s *Transactional) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.signal()
}

// Set writes a key as the platform or its operator does.
func (s *Transactional) Set(key string, value []byte) store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision++
	s.put(store.Set{Key: key, Value: value})
	s.signal()
	return s.revision
}

// Remove deletes a key as the platform does.
func (s *Transactional) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision++
	s.remove(key)
	s.signal()
}

// Entries returns a copy of the entries under a prefix.
func (s *Transactional) Entries(prefix string) map[string]store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]store.Entry)
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found[key] = e
		}
	}
	return found
}

func (s *Transactional) init() {
	if s.entries == nil {
		s.entries = make(map[string]store.Entry)
		s.owners = make(map[string]store.LeaseID)
		s.leases = make(map[store.LeaseID]*grantedLease)
		s.changed = make(chan struct{})
	}
}

func (s *Transactional) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// call carries one call out, with its fault.
func (s *Transactional) call(ctx context.Context, client string, write bool, run func() error) error {
	s.mu.Lock()
	s.init()
	var f CallFault
	if s.fault != nil {
		f = s.fault(client, write)
	}
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return store.ErrUnknown
		case <-time.After(f.Delay):
		}
	}
	if f.Refuse {
		return store.ErrRefused
	}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = run() // nobody learns of its outcome
		})
		f.Silent = true
	}
	s.mu.Lock()
	var err error
	if !f.Silent && !s.outage.down {
		err = run()
	} else {
		f.Silent = true
	}
	s.mu.Unlock()
	if f.Silent || f.LoseAnswer {
		<-ctx.Done()
		return store.ErrUnknown
	}
	return err
}

func (s *Transactional) commit(t store.Transaction) (store.Revision, error) {
	if len(t.Conditions)+len(t.Sets)+len(t.Deletes) > store.MaxTransaction {
		return 0, store.ErrUnknown
	}
	for _, c := range t.Conditions {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, s.conflict(t)
		}
	}
	for _, set := range t.Sets {
		if _, found := s.leases[set.Lease]; set.Lease != 0 && !found {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, set := range t.Sets {
		s.put(set)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.signal()
	return s.revision, nil
}

func (s *Transactional) conflict(t store.Transaction) error {
	c := &store.Conflict{}
	for _, condition := range t.Conditions {
		if e, found := s.entries[condition.Key]; found {
			c.Entries = append(c.Entries, e)
		}
	}
	return c
}

func (s *Transactional) put(set store.Set) {
	e := store.Entry{Key: set.Key, Value: slices.Clone(set.Value), Revision: s.revision}
	s.entries[set.Key] = e
	s.owners[set.Key] = set.Lease
	s.history = append(s.history, store.Event{Entry: e})
}

func (s *Transactional) remove(key string) {
	if _, found := s.entries[key]; !found {
		return
	}
	delete(s.entries, key)
	delete(s.owners, key)
	s.history = append(s.history, store.Event{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Transactional) grant(ttl time.Duration) (store.LeaseID, time.Duration) {
	ttl = max(ttl, defaultTTL)
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &grantedLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	return id, ttl
}

func (s *Transactional) keep(id store.LeaseID) error {
	l, found := s.leases[id]
	if !found {
		return store.ErrNoLease
	}
	l.timer.Reset(l.ttl)
	return nil
}

// expire ends a lease and removes its keys, unless an outage pauses leases.
func (s *Transactional) expire(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage.pause {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, owner := range s.owners {
		if owner == id {
			s.remove(key)
		}
	}
	s.signal()
}

func (s *Transactional) watch(ctx context.Context, client, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	timeout := time.After(wait)
	for {
		var events []store.Event
		var revision store.Revision
		var changed chan struct{}
		err := s.call(ctx, client, false, func() error {
			if after < s.compacted {
				return store.ErrCompacted
			}
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					events = append(events, e)
				}
			}
			revision, changed = s.revision, s.changed
			return nil
		})
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, store.ErrUnknown
		case <-timeout:
			return nil, revision, nil
		case <-changed:
		}
	}
}
