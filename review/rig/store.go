package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on one page of a range.
const pageItems = 500

type (
	// kvItem is an item of the store, or the event of its deletion.
	kvItem struct {
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Revision  uint64 `json:"revision"`
		Created   uint64 `json:"created"`
		Lease     uint64 `json:"lease"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	kvLease struct {
		ttl   time.Duration
		until time.Time
	}

	// kvStore is a stand-in for the platform's store.
	kvStore struct {
		// valueBytes is the largest size of a value.
		valueBytes int

		mu       sync.Mutex
		items    map[string]kvItem
		history  []kvItem
		revision uint64
		leases   map[uint64]*kvLease
		nextID   uint64
		changed  chan struct{}
		// up is closed while the store answers, and replaced at the start of an outage. Leases pause during an outage.
		up        chan struct{}
		downSince time.Time
	}

	kvTransaction struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

func newStore() *kvStore {
	s := &kvStore{
		valueBytes: 1 << 20, items: make(map[string]kvItem), leases: make(map[uint64]*kvLease), changed: make(chan struct{}), up: make(chan struct{}), revision: 1,
	}
	close(s.up)
	go s.expireLeases()
	return s
}

// setDown begins or ends an outage. During an outage calls get no answer and are not executed.
func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.up, s.downSince = make(chan struct{}), time.Now()
		return
	}
	for _, l := range s.leases {
		l.until = l.until.Add(time.Since(s.downSince))
	}
	close(s.up)
}

func (s *kvStore) isDown() bool {
	select {
	case <-s.up:
		return false
	default:
		return true
	}
}

// expireLeases removes the keys of leases that have ended.
func (s *kvStore) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.isDown() && time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.signal()
}

func (s *kvStore) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *kvStore) write(key string, value []byte, lease uint64) {
	i := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item on behalf of the operator or a worker.
func (s *kvStore) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.signal()
}

// drop removes an item on behalf of the operator or a worker.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.signal()
}

// get returns the value of an item, or nil.
func (s *kvStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may have gone
}

// ServeHTTP serves one call.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	select {
	case <-up:
	default:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(2 * time.Millisecond)
	query := r.URL.Query()
	name := strings.TrimPrefix(r.URL.Path, "/jujubegrade/")
	id, _ := strconv.ParseUint(name[strings.LastIndexByte(name, '/')+1:], 10, 64) // zero is no lease
	switch {
	case name == "kv-key":
		s.serveKey(w, query.Get("key"))
	case name == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case name == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond, up)
	case name == "kv-txn":
		s.serveTransaction(w, r)
	case name == "kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.mu.Lock()
		s.nextID++
		ttl := time.Duration(max(1000, in.TTL)) * time.Millisecond
		s.leases[s.nextID] = &kvLease{ttl: ttl, until: time.Now().Add(ttl)}
		id = s.nextID
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(name, "kv-keep/"), strings.HasPrefix(name, "kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		switch {
		case l == nil:
			reply(w, http.StatusNotFound, struct{}{})
			return
		case strings.HasPrefix(name, "kv-keep/"):
			l.until = time.Now().Add(l.ttl)
		default:
			s.endLease(id)
		}
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *kvStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, found := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		CurrentRev uint64 `json:"currentRev"`
	}{i, revision})
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []kvItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": list[:min(pageItems, len(list))], "hasMore": more, "currentRev": s.revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration, up chan struct{}) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, now := s.revision, s.changed, s.up
		s.mu.Unlock()
		if now != up {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		if s.isDownNow() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
		return
	}
}

func (s *kvStore) isDownNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown()
}

func (s *kvStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var in kvTransaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected)+len(in.Writes)+len(in.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range in.Writes {
		if len(change.Value) > s.valueBytes || len(change.Key) > 200 {
			reply(w, http.StatusBadRequest, map[string]string{"reason": "a value is too large"})
			return
		}
		if strings.HasPrefix(change.Key, "op/") || strings.HasPrefix(change.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	conflict := false
	current := []kvItem{}
	for _, e := range in.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if i.Revision != 0 {
			current = append(current, i)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "currentRev": s.revision})
		return
	}
	s.revision++
	for _, change := range in.Writes {
		s.write(change.Key, change.Value, change.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}
