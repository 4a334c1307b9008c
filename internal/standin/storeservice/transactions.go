package storeservice

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

type (
	// Transactional is a key-value service with transactions, leases and watches of prefixes. Its zero value is ready to use.
	Transactional struct {
		mu        sync.Mutex
		entries   map[string]store.Entry
		keyLeases map[string]store.LeaseID
		leases    map[store.LeaseID]*lease
		history   []store.Event
		revision  store.Revision
		// compacted is the revision up to which the history was compacted.
		compacted  store.Revision
		nextLease  store.LeaseID
		changed    chan struct{}
		outage     outage
		fault      func(client string, write bool) CallFault
		watchFault func(client, prefix string) CallFault
		// old is the state that lists return instead of the current one; nil if they return the current one.
		old *snapshot
		// watches counts the watches, and silenced is the number of the last one that is never answered.
		watches, silenced uint64
	}

	// snapshot is an earlier state of the service.
	snapshot struct {
		entries  map[string]store.Entry
		revision store.Revision
	}

	lease struct {
		ttl   time.Duration
		timer *time.Timer
	}

	// outage is the state of an outage, in which no call is answered.
	outage struct {
		down        bool
		pauseLeases bool
	}

	// CallFault is the fault to inject into one call. Its zero value injects none.
	CallFault struct {
		// Refuse answers store.ErrRefused without executing the call.
		Refuse bool
		// RateLimit answers store.ErrRateLimited without executing the call.
		RateLimit bool
		// Silent neither executes nor answers the call.
		Silent bool
		// LoseAnswer executes the call and never answers it.
		LoseAnswer bool
		// ExecuteAfter executes the call after a delay and never answers it.
		ExecuteAfter time.Duration
		// Delay is added before the call is executed.
		Delay time.Duration
	}
)

// minTTL is the shortest TTL of a lease; it also applies to requests without a TTL.
const minTTL = time.Second

// Client returns an in-process client of the service. The function passed to SetFault can select faults by
// the name of the client.
func (s *Transactional) Client(name string) store.TransactionClient {
	return store.TransactionClient{
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
				now := snapshot{s.entries, s.revision}
				if s.old != nil {
					now = *s.old
				}
				for key, e := range now.entries {
					if strings.HasPrefix(key, prefix) {
						list = append(list, e)
					}
				}
				slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
				revision = now.revision
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
		GrantLease: func(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
			var id store.LeaseID
			var granted time.Duration
			if err := s.call(ctx, name, true, func() error {
				id, granted = s.grantLease(ttl)
				return nil
			}); err != nil {
				return 0, 0, err
			}
			return id, granted, nil
		},
		RenewLease: func(ctx context.Context, id store.LeaseID) error {
			return s.call(ctx, name, true, func() error { return s.renewLease(id) })
		},
	}
}

// SetFault replaces the function that selects the fault of each call; nil injects none. It neither starts
// nor ends an outage.
func (s *Transactional) SetFault(fault func(client string, write bool) CallFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetOutage starts or ends an outage for all clients. With pauseLeases, no lease expires during the outage, and all leases
// are renewed at its end.
func (s *Transactional) SetOutage(down, pauseLeases bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage.pauseLeases && (!down || !pauseLeases) {
		for _, l := range s.leases {
			l.timer.Reset(l.ttl)
		}
	}
	s.outage = outage{down: down, pauseLeases: down && pauseLeases}
}

// SetWatchFault replaces the function that selects the fault of each watch by its prefix: Refuse or Silent. Nil injects none.
func (s *Transactional) SetWatchFault(fault func(client, prefix string) CallFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchFault = fault
}

// SilenceWatches makes the store never answer the watches in progress, as on connections that have gone silent. Later watches
// are answered.
func (s *Transactional) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = s.watches
}

// FreezeLists makes all lists return the current state from now on, as a replica that lags does, or ends that.
func (s *Transactional) FreezeLists(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old = nil
	if frozen {
		s.old = &snapshot{maps.Clone(s.entries), s.revision}
	}
}

// Compact discards the history up to the current revision.
func (s *Transactional) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatchers()
}

// Set writes a key directly, as the platform or its operator does.
func (s *Transactional) Set(key string, value []byte) store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision++
	s.put(store.Set{Key: key, Value: value})
	s.notifyWatchers()
	return s.revision
}

// SetUnseen writes a key directly, and no watch returns the event.
func (s *Transactional) SetUnseen(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision++
	s.put(store.Set{Key: key, Value: value})
	s.history = s.history[:len(s.history)-1]
}

// Remove deletes a key directly, as the platform does.
func (s *Transactional) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
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
		s.keyLeases = make(map[string]store.LeaseID)
		s.leases = make(map[store.LeaseID]*lease)
		s.changed = make(chan struct{})
	}
}

func (s *Transactional) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// call executes one call and injects its fault.
func (s *Transactional) call(ctx context.Context, client string, write bool, execute func() error) error {
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
	if f.RateLimit {
		return errors.Mark(store.ErrRateLimited, store.ErrRefused)
	}
	if f.ExecuteAfter > 0 {
		time.AfterFunc(f.ExecuteAfter, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = execute() // the caller never gets the outcome
		})
		f.Silent = true
	}
	s.mu.Lock()
	var err error
	if !f.Silent && !s.outage.down {
		err = execute()
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
	if len(t.Conditions)+len(t.Sets)+len(t.Deletes) > store.MaxTransactionOps {
		return 0, store.ErrUnknown
	}
	for _, c := range t.Conditions {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, s.conflict(t)
		}
	}
	for _, set := range t.Sets {
		if _, found := s.leases[set.Lease]; set.Lease != 0 && !found {
			return 0, store.ErrLeaseNotFound
		}
	}
	s.revision++
	for _, set := range t.Sets {
		s.put(set)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notifyWatchers()
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
	s.keyLeases[set.Key] = set.Lease
	s.history = append(s.history, store.Event{Entry: e})
}

func (s *Transactional) remove(key string) {
	if _, found := s.entries[key]; !found {
		return
	}
	delete(s.entries, key)
	delete(s.keyLeases, key)
	s.history = append(s.history, store.Event{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Transactional) grantLease(ttl time.Duration) (store.LeaseID, time.Duration) {
	ttl = max(ttl, minTTL)
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expireLease(id) })}
	return id, ttl
}

func (s *Transactional) renewLease(id store.LeaseID) error {
	l, found := s.leases[id]
	if !found {
		return store.ErrLeaseNotFound
	}
	l.timer.Reset(l.ttl)
	return nil
}

// expireLease removes a lease and deletes its keys, unless an outage pauses leases.
func (s *Transactional) expireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage.pauseLeases {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, leaseID := range s.keyLeases {
		if leaseID == id {
			s.remove(key)
		}
	}
	s.notifyWatchers()
}

func (s *Transactional) watch(ctx context.Context, client, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	s.watches++
	number := s.watches
	s.mu.Unlock()
	for timedOut := false; ; {
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
		switch f := s.faultOfWatch(client, prefix, number); {
		case f.Refuse:
			return nil, 0, store.ErrRefused
		case f.Silent:
			<-ctx.Done()
			return nil, 0, store.ErrUnknown
		}
		if err != nil || len(events) > 0 || timedOut {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, store.ErrUnknown
		case <-timeout:
			timedOut = true
		case <-changed:
		}
	}
}

// faultOfWatch returns the fault of the watch with the given number.
func (s *Transactional) faultOfWatch(client, prefix string, number uint64) CallFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case number <= s.silenced:
		return CallFault{Silent: true}
	case s.watchFault != nil:
		return s.watchFault(client, prefix)
	}
	return CallFault{}
}
