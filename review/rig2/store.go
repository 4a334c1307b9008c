package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxItems is the number of items of a page.
const maxItems = 500

type (
	// item is an entry of the store, or the tombstone of one.
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  uint64 `json:"revision"`
		Created   uint64 `json:"created,omitempty"`
		Lease     uint64 `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	// store is the platform's key-value store. It keeps its whole history.
	store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]item
		history  []item
		leases   map[uint64]*lease
		nextID   uint64
		changed  chan struct{}
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	// view is the store as one instance reaches it. rewrite replaces the value of an item that it reads; nil leaves all as they are.
	view struct {
		*store
		rewrite func(item) item
	}

	condition struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}

	transaction struct {
		Expected []condition `json:"expected"`
		Writes   []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), nextID: 7000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply makes one change of several keys.
func (s *store) apply(writes []item, deletes []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, found := s.items[w.Key]; found {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, key := range deletes {
		if _, found := s.items[key]; found {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an item as the operator or a runner does.
func (s *store) set(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: text}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

// get returns the value of a key; nil if it does not exist.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// serve serves the store on a listener.
func (v view) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jujubegrade/kv-key", v.key)
	mux.HandleFunc("GET /jujubegrade/kv-range", v.list)
	mux.HandleFunc("GET /jujubegrade/kv-watch", v.watch)
	mux.HandleFunc("POST /jujubegrade/kv-txn", v.transact)
	mux.HandleFunc("POST /jujubegrade/kv-lease", v.grant)
	mux.HandleFunc("POST /jujubegrade/kv-keep/{id}", v.keep)
	mux.HandleFunc("DELETE /jujubegrade/kv-lease-end/{id}", v.end)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }() // ends with the process
}

func (v view) shown(i item) item {
	if v.rewrite != nil && !i.Tombstone {
		return v.rewrite(i)
	}
	return i
}

func (v view) key(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	i, found := v.items[r.FormValue("key")]
	revision := v.revision
	v.mu.Unlock()
	if !found {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{v.shown(i), revision})
}

func (v view) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	v.mu.Lock()
	var keys []string
	for key := range v.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxItems
	items := []item{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		items = append(items, v.shown(v.items[key]))
	}
	revision := v.revision
	v.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (v view) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		v.mu.Lock()
		events := []item{}
		for _, i := range v.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, v.shown(i))
			}
		}
		revision, changed := v.revision, v.changed
		v.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

func (v view) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	failed := false
	current := []item{}
	for _, c := range t.Expected {
		i, found := v.items[c.Key]
		failed = failed || i.Revision != c.Revision
		if found {
			current = append(current, v.shown(i))
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "currentRev": v.revision})
		return
	}
	var writes []item
	for _, s := range t.Writes {
		if strings.HasPrefix(s.Key, "op/") || strings.HasPrefix(s.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if s.Lease != 0 && v.leases[s.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writes = append(writes, item{Key: s.Key, Value: s.Value, Lease: s.Lease})
	}
	v.apply(writes, t.Deletes)
	reply(w, http.StatusOK, map[string]any{"revision": v.revision})
}

func (v view) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nextID++
	ttl := time.Duration(max(1000, in.TTL)) * time.Millisecond
	v.leases[v.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": v.nextID, "ttlMs": ttl.Milliseconds()})
}

func (v view) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (v view) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may have left
}
