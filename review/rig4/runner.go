package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// runner is a stand-in for a worker. It keeps the same id and address over its lives.
	runner struct {
		id, rack, address string
		store             *store
		log               *record

		mu     sync.Mutex
		life   *life
		server *http.Server
		// lease is that of the entry in the store.
		lease uint64
	}

	// life is what a runner holds and knows from a start to its end.
	life struct {
		number  int
		born    int64
		began   time.Time
		fence   uint64
		runs    map[string]*taskRun
		highest map[string]uint64
		ends    []taskEnd
		count   uint64
		until   int64
		changed chan struct{}
		// held is set once a hold has come, and over once the life has ended.
		held, over bool
	}

	taskRun struct {
		task  string
		run   uint64
		began time.Time
		work  time.Duration
	}

	taskEnd struct {
		number uint64
		task   string
		run    uint64
		how    string
	}

	order struct {
		Task   string `json:"task"`
		Run    uint64 `json:"run"`
		Spec   string `json:"spec"`
		Until  int64  `json:"untilMs"`
		Fence  uint64 `json:"fencingToken"`
		Cursor uint64 `json:"ackCursor"`
		Wait   int64  `json:"waitMs"`
	}
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6000
	stopTime  = 200 * time.Millisecond
)

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// start begins a life, at the address of the one before.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	number := 1
	if r.life != nil {
		number = r.life.number + 1
	}
	l := &life{number: number, born: time.Now().UnixMilli(), began: time.Now(), runs: make(map[string]*taskRun), highest: make(map[string]uint64), changed: make(chan struct{})}
	r.life, r.address = l, listener.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.mu.Unlock()
	r.log.add("runner %s: life %d begins", r.id, number)
	go func() { _ = server.Serve(listener) }() // returns when the life ends
	go r.expireLeases(l)
	return nil
}

// crash ends a life and all that runs.
func (r *runner) crash() {
	r.mu.Lock()
	l := r.life
	l.over = true
	for _, t := range l.runs {
		r.log.ended(r.id, l.number, t.task, t.run, "gone")
	}
	l.runs = map[string]*taskRun{}
	server := r.server
	r.mu.Unlock()
	r.log.add("runner %s: life %d has crashed", r.id, l.number)
	_ = server.Close() // its connections are reset
}

// beat writes the runner's entry, at the address at which callers reach it, until ctx is done.
func (r *runner) beat(ctx context.Context, reached string) {
	seq := 0
	for ctx.Err() == nil {
		r.mu.Lock()
		l := r.life
		up, born := !l.over, l.born
		r.mu.Unlock()
		if up {
			seq++
			r.store.mu.Lock()
			if s := r.store.leases[r.lease]; s != nil {
				s.timer.Reset(s.ttl)
			} else {
				r.store.next++
				r.lease = r.store.next
				id := r.lease
				r.store.leases[id] = &storeLease{ttl: 3 * heartbeat, timer: time.AfterFunc(3*heartbeat, func() { r.store.expire(id) })}
			}
			r.store.mu.Unlock()
			r.store.set("servers/"+r.id, map[string]any{
				"service": "billing", "address": reached, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": seq, "born": born,
				"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8}, "labels": []string{"a", r.rack},
			}, r.lease)
		}
		// A new life writes its entry at once.
		for until := time.Now().Add(heartbeat); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			r.mu.Lock()
			other := r.life != l
			r.mu.Unlock()
			if other {
				break
			}
		}
	}
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if q.Header.Get("X-Expect-Instance") != r.id {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var in order
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	r.mu.Lock()
	l := r.life
	if l.over {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.Fence < l.fence {
		r.mu.Unlock()
		r.refuse(w, l, "fence")
		return
	}
	l.fence = in.Fence
	var reason string
	switch q.URL.Path {
	case "/jujubegrade/run-start":
		reason = r.startRun(l, in)
	case "/jujubegrade/run-stop":
		r.stopRun(l, in)
	case "/jujubegrade/hold":
		r.mu.Unlock()
		r.hold(w, q, l, in)
		return
	}
	r.mu.Unlock()
	if reason != "" {
		r.refuse(w, l, reason)
		return
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born})
}

func (r *runner) refuse(w http.ResponseWriter, l *life, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": l.clock(), "born": l.born, "reason": reason})
}

// extend sets the end of the lease; the runner is locked.
func (l *life) extend(until int64) { l.until = max(l.until, min(until, l.clock()+holdMax)) }

// startRun returns why a run is not started; empty if it runs. The runner is locked.
func (r *runner) startRun(l *life, in order) string {
	if t := l.runs[in.Task]; t != nil && t.run == in.Run {
		l.extend(in.Until)
		return ""
	}
	if in.Run <= l.highest[in.Task] {
		l.extend(in.Until)
		return "old"
	}
	if in.Until <= l.clock() {
		return "late"
	}
	work, err := time.ParseDuration(in.Spec)
	if err != nil {
		work = time.Second
	}
	l.extend(in.Until)
	t := &taskRun{task: in.Task, run: in.Run, began: time.Now(), work: work}
	l.runs[in.Task] = t
	r.log.started(r.id, l.number, in.Task, in.Run, in.Fence, in.Spec)
	time.AfterFunc(work, func() { r.end(l, t, "done") })
	return ""
}

func (r *runner) stopRun(l *life, in order) {
	l.highest[in.Task] = max(l.highest[in.Task], in.Run)
	r.log.add("runner %s: life %d: stop of %s run %d", r.id, l.number, in.Task, in.Run)
	if t := l.runs[in.Task]; t != nil && t.run == in.Run {
		time.AfterFunc(stopTime, func() { r.end(l, t, "stopped") })
	}
}

func (r *runner) end(l *life, t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.over || l.runs[t.task] != t {
		return
	}
	delete(l.runs, t.task)
	l.highest[t.task] = max(l.highest[t.task], t.run)
	l.count++
	l.ends = append(l.ends, taskEnd{l.count, t.task, t.run, how})
	r.log.ended(r.id, l.number, t.task, t.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (r *runner) expireLeases(l *life) {
	for {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		if l.over {
			r.mu.Unlock()
			return
		}
		var lapsed []*taskRun
		if l.clock() > l.until {
			for _, t := range l.runs {
				lapsed = append(lapsed, t)
			}
		}
		r.mu.Unlock()
		for _, t := range lapsed {
			r.end(l, t, "lapsed")
		}
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, l *life, in order) {
	r.mu.Lock()
	if !l.held {
		l.held = true
		r.log.add("runner %s: life %d: first hold, fencing token %d", r.id, l.number, in.Fence)
	}
	if in.Until > 0 {
		l.extend(in.Until)
	}
	for len(l.ends) > 0 && l.ends[0].number <= in.Cursor {
		r.log.add("runner %s: life %d: end %d of %s run %d is taken note of", r.id, l.number, l.ends[0].number, l.ends[0].task, l.ends[0].run)
		r.log.noted(l.ends[0].task, l.ends[0].run)
		l.ends = l.ends[1:]
	}
	changed, has := l.changed, len(l.ends) > 0
	r.mu.Unlock()
	if !has && in.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(in.Wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	r.mu.Lock()
	if l.over {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range l.runs {
		running = append(running, []any{t.task, t.run, "", min(100, int(100*time.Since(t.began)/t.work)), 0})
	}
	for _, e := range l.ends[:min(500, len(l.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": l.clock(), "born": l.born, "running": running, "ended": ended}
	r.mu.Unlock()
	reply(w, http.StatusOK, body)
}
