package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// endsPerReport is how many ends a worker returns at a time.
	endsPerReport = 500
	// maxHold is the longest lease, and stopTime how long a stop takes.
	maxHold  = 6 * time.Second
	stopTime = 100 * time.Millisecond
	// heartbeat is the time between the writes of a worker's entry, which is removed after three intervals without one.
	heartbeat = 1500 * time.Millisecond
)

type (
	// taskRun is one run of a task on a worker.
	taskRun struct {
		task    string
		number  uint64
		began   time.Time
		length  time.Duration
		timer   *time.Timer
		stopped bool
	}

	taskEnd struct {
		n    uint64
		task string
		run  uint64
		how  string
	}

	// simWorker is a stand-in for a worker that starts whatever it is ordered to start. Its tasks save no checkpoints.
	simWorker struct {
		id, address, rack string
		store             *kvStore
		log               *record
		gangs             *gangTable
		// length returns how long a task runs, and whether it then fails.
		length func(task string) (time.Duration, bool)

		mu       sync.Mutex
		born     time.Time
		seq      int
		runs     map[string]*taskRun
		highest  map[string]uint64
		ends     []taskEnd
		endCount uint64
		fence    uint64
		until    time.Time
		lease    *time.Timer
		changed  chan struct{}
		listener net.Listener
		server   *http.Server
		// cut makes the worker unreachable: connections are reset, and its runs go on.
		cut   bool
		alive bool
		// dark makes the worker answer nothing, as a machine without power.
		dark bool
		// unhealthy makes the worker refuse to start tasks, while all else works.
		unhealthy bool
		conns     map[net.Conn]bool
	}
)

func newWorker(id, rack string, c *cluster, length func(task string) (time.Duration, bool)) *simWorker {
	w := &simWorker{id: id, rack: rack, store: c.store, log: c.log, gangs: c.gangs, length: length, address: freeAddress()}
	w.start()
	go w.beat()
	return w
}

// start begins a new incarnation, which knows nothing of the earlier ones.
func (w *simWorker) start() {
	w.mu.Lock()
	w.born, w.seq, w.alive = time.Now(), 0, true
	w.runs, w.highest = make(map[string]*taskRun), make(map[string]uint64)
	w.ends, w.endCount, w.fence, w.until = nil, 0, 0, time.Time{}
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.listen()
	w.log.add("worker %s starts at %s", w.id, w.address)
	w.writeEntry()
}

func (w *simWorker) listen() {
	l, err := net.Listen("tcp", w.address)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", w.address)
	}
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener, w.conns = l, make(map[net.Conn]bool)
	w.dark = false
	address := w.address
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		gone := w.dark || w.address != address
		w.mu.Unlock()
		if gone {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.ServeHTTP(rw, r)
	})
	w.server = &http.Server{Handler: handler, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateNew {
			w.conns[c] = true
		} else if state == http.StateClosed || state == http.StateHijacked {
			delete(w.conns, c)
		}
	}}
	server := w.server
	go func() { _ = server.Serve(l) }() // ends with the listener
}

// resetConnections closes the listener, so that new connections are refused, and resets the open ones.
func (w *simWorker) resetConnections() {
	w.mu.Lock()
	conns := make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	l := w.listener
	w.mu.Unlock()
	_ = l.Close()
	for _, c := range conns {
		if t, isTCP := c.(*net.TCPConn); isTCP {
			_ = t.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close()
	}
}

// crashDark ends the worker's runs and lets it answer nothing more.
func (w *simWorker) crashDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive, w.dark = false, true
	for _, r := range w.runs {
		r.timer.Stop()
		w.log.ended(w.id, r.task, r.number, "lost")
		go w.gangs.ended(r)
	}
	w.runs = make(map[string]*taskRun)
	w.log.add("worker %s loses power", w.id)
}

// startElsewhere starts the worker again under its id at another address. Its old address still answers nothing.
func (w *simWorker) startElsewhere() {
	w.mu.Lock()
	w.address = freeAddress()
	w.mu.Unlock()
	w.start()
}

// setCut cuts the worker off from the instances, whose connections are reset, or heals the cut. Its runs go on.
func (w *simWorker) setCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	if cut {
		w.log.add("worker %s is cut off and runs on", w.id)
		w.resetConnections()
		return
	}
	w.listen()
	w.log.add("worker %s is reachable again", w.id)
}

// setUnhealthy makes the worker refuse to start tasks, or start them again.
func (w *simWorker) setUnhealthy(unhealthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unhealthy = unhealthy
	w.log.add("worker %s unhealthy: %t", w.id, unhealthy)
}

// beat writes the worker's entry periodically. It expires after three intervals without a write.
func (w *simWorker) beat() {
	var last time.Time
	for range time.Tick(heartbeat) {
		w.mu.Lock()
		silent := !w.alive
		w.mu.Unlock()
		switch {
		case w.store.isDownNow():
		case !silent:
			w.writeEntry()
			last = time.Now()
		case time.Since(last) > 3*heartbeat && w.store.get("servers/"+w.id) != nil:
			w.store.drop("servers/" + w.id)
		}
	}
}

func (w *simWorker) writeEntry() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"service": service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": 128000, "memMb": 262144, "gpu": 8}, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": w.seq,
		"born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.store.put("servers/"+w.id, entry)
}

func (w *simWorker) clock() int64 { return time.Since(w.born).Milliseconds() }

// hasRun reports whether the worker runs a task of a job.
func (w *simWorker) hasRun(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if jobOf(r.task) == job {
			return true
		}
	}
	return false
}

// runCount returns the number of runs on the worker.
func (w *simWorker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

type workerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// ServeHTTP serves one call.
func (w *simWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var in workerCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		panic(http.ErrAbortHandler)
	}
	if in.FencingToken < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = in.FencingToken
	switch r.URL.Path {
	case "/jujubegrade/run-start":
		w.serveStart(rw, in)
	case "/jujubegrade/run-stop":
		w.serveStop(rw, in)
	case "/jujubegrade/hold":
		w.serveHold(rw, r, in)
	default:
		reply(rw, http.StatusNotFound, struct{}{})
	}
}

func (w *simWorker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *simWorker) accept(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()})
}

// extend sets the end of the lease of all runs.
func (w *simWorker) extend(untilMS int64) {
	until := w.born.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if !until.After(w.until) {
		return
	}
	w.until = until
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Until(until), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.until) || !w.alive {
			return
		}
		w.log.lapsed(w.id)
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

func (w *simWorker) serveStart(rw http.ResponseWriter, in workerCall) {
	if w.unhealthy {
		w.log.add("worker %s refuses to start %s run %d: 503", w.id, in.Task, in.Run)
		reply(rw, http.StatusServiceUnavailable, struct{}{})
		return
	}
	if in.UntilMS <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(in.UntilMS)
	if r := w.runs[in.Task]; r != nil && r.number == in.Run {
		w.accept(rw)
		return
	}
	if in.Run <= w.highest[in.Task] || w.runs[in.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	length, fails := w.length(in.Task)
	how := "done"
	if fails {
		how = "failed"
	}
	r := &taskRun{task: in.Task, number: in.Run, began: time.Now(), length: length}
	w.runs[in.Task] = r
	if w.gangs.size(in.Task) > 0 {
		length, how = gangTimeout, "alone"
		go w.gangs.join(gangMember{w, r})
	}
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, how)
	})
	w.log.started(w.id, in.Task, in.Run, in.FencingToken)
	w.accept(rw)
}

func (w *simWorker) serveStop(rw http.ResponseWriter, in workerCall) {
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.runs[in.Task]; r != nil && r.number <= in.Run && !r.stopped {
		r.stopped = true
		r.timer.Stop()
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	w.accept(rw)
}

// end ends a run and lists its end.
func (w *simWorker) end(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	if how != "done" {
		go w.gangs.ended(r)
	}
	w.endCount++
	w.ends = append(w.ends, taskEnd{w.endCount, r.task, r.number, how})
	w.log.ended(w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *simWorker) serveHold(rw http.ResponseWriter, r *http.Request, in workerCall) {
	if in.UntilMS > 0 {
		w.extend(in.UntilMS)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e taskEnd) bool {
		if e.n <= in.AckCursor {
			w.log.acknowledged(w.id, e.task, e.run, e.how)
			return true
		}
		return false
	})
	if in.WaitMS > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(in.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if !w.alive {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := min(99, int(100*time.Since(run.began)/max(1, run.length)))
		running = append(running, []any{run.task, run.number, "", percent})
	}
	for _, e := range w.ends[:min(endsPerReport, len(w.ends))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	return "127.0.0.1:" + strconv.Itoa(freePorts(1))
}

// freePorts returns the first of a number of adjacent free ports, none of which was returned before.
func freePorts(count int) int {
	for range 1000 {
		first := nextPort
		nextPort += count
		free := true
		for p := first; p < first+count; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	panic("no free ports")
}

// nextPort is below the range of ephemeral ports. Cases that run at the same time use different ports.
var nextPort = 15000 + os.Getpid()%300*50
