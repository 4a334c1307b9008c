package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is an entry of the store on the wire.
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  uint64 `json:"revision"`
		Created   uint64 `json:"created,omitempty"`
		Lease     uint64 `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	// store is a stand-in for the platform's metadata store.
	store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]item
		history  []item
		leases   map[uint64]*storeLease
		next     uint64
		changed  chan struct{}
	}

	storeLease struct {
		ttl   time.Duration
		timer *time.Timer
	}

	storeTxn struct {
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

// answerDelay is how long the store takes for an answer.
const answerDelay = 4 * time.Millisecond

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]*storeLease), changed: make(chan struct{})}
}

// set writes a key as the operator or a runner does; the lease may be zero.
func (s *store) set(key string, value any, lease uint64) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, body, lease)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease uint64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.leases[id]; !found {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	name := strings.TrimPrefix(r.URL.Path, "/jujubegrade/")
	switch {
	case name == "kv-key":
		s.mu.Lock()
		i, found := s.items[q.Get("key")]
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, i)
	case name == "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case name == "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case name == "kv-txn":
		s.serveTxn(w, r)
	case name == "kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.next++
		id, ttl := s.next, max(time.Second, time.Duration(in.TTL)*time.Millisecond)
		s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(name, "kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(name, "kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.timer.Reset(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, struct{}{})
	case strings.HasPrefix(name, "kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(name, "kv-lease-end/"), 10, 64)
		s.expire(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > page
	reply(w, http.StatusOK, map[string]any{"items": list[:min(page, len(list))], "hasMore": more, "currentRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		from := sort.Search(len(s.history), func(k int) bool { return s.history[k].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in storeTxn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected)+len(in.Writes)+len(in.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, now := true, []item{}
	for _, e := range in.Expected {
		i, found := s.items[e.Key]
		if !found {
			i = item{Key: e.Key}
		}
		now = append(now, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, e := range in.Writes {
		if _, found := s.leases[e.Lease]; e.Lease != 0 && !found {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, e := range in.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Deletes {
		s.drop(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
