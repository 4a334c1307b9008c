package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// taskSpec is the text of a job's spec: what the stand-in does with each of its tasks.
	taskSpec struct {
		// MS is the run time of a task in milliseconds.
		MS int
	}

	// runner is a stand-in of a platform runner. It keeps its id and address across crashes.
	runner struct {
		rig  *rig
		id   string
		addr string
		// kind and rack are its labels.
		kind, rack string

		mu     sync.Mutex
		up     bool
		born   int64
		start  time.Time
		seq    int
		fence  uint64
		until  time.Time
		runs   map[string]*taskRun
		stops  map[string]uint64
		ended  []endRow
		ends   uint64
		wake   chan struct{}
		server *http.Server
	}

	taskRun struct {
		task    string
		run     uint64
		started time.Time
		length  time.Duration
		timer   *time.Timer
	}

	endRow struct {
		n    uint64
		task string
		run  uint64
		how  string
	}

	orderBody struct {
		Task         string `json:"task"`
		Run          uint64 `json:"run"`
		Spec         string `json:"spec"`
		UntilMS      int64  `json:"untilMs"`
		FencingToken uint64 `json:"fencingToken"`
		AckCursor    uint64 `json:"ackCursor"`
		WaitMS       int64  `json:"waitMs"`
	}
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopTime  = 100 * time.Millisecond
)

// begin starts a new life of the runner.
func (w *runner) begin() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.born, w.start, w.seq, w.fence, w.ends = true, time.Now().UnixMilli(), time.Now(), 0, 0, 0
	w.until, w.ended = time.Time{}, nil
	w.runs, w.stops, w.wake = make(map[string]*taskRun), make(map[string]uint64), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.server = server
	born := w.born
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with the life
	go w.beat(born)
	go w.lapse(born)
	w.rig.record("runner %s begins a life, born %d", w.id, born)
	return nil
}

// crash ends the life without a word: connections are closed, runs are gone, and the entry stays until it expires.
func (w *runner) crash() {
	w.mu.Lock()
	w.up = false
	var lost []string
	for _, r := range w.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d after %v", r.task, r.run, time.Since(r.started).Round(time.Millisecond)))
	}
	w.runs = make(map[string]*taskRun)
	server, born := w.server, w.born
	w.mu.Unlock()
	_ = server.Close()
	w.rig.record("runner %s crashes; with it go %v", w.id, lost)
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		gone := !w.up && w.born == born
		w.mu.Unlock()
		if gone {
			w.rig.store.Remove("servers/" + w.id)
		}
	})
}

func (w *runner) isLife(born int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.born == born
}

// beat writes the runner's entry.
func (w *runner) beat(born int64) {
	for w.isLife(born) && !w.rig.isOver() {
		w.mu.Lock()
		w.seq++
		entry := map[string]any{
			"service": "service", "address": w.addr, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": w.seq, "born": born,
			"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8}, "labels": []string{w.kind, w.rack},
		}
		w.mu.Unlock()
		w.rig.set("servers/"+w.id, entry)
		time.Sleep(heartbeat)
	}
}

// lapse kills all runs once the lease has ended.
func (w *runner) lapse(born int64) {
	for w.isLife(born) && !w.rig.isOver() {
		w.mu.Lock()
		if !w.until.IsZero() && time.Now().After(w.until) {
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func runKey(task string, run uint64) string { return fmt.Sprintf("%s/%d", task, run) }

// end ends a run. The lock must be held.
func (w *runner) end(r *taskRun, how string) {
	key := runKey(r.task, r.run)
	if w.runs[key] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, key)
	w.ends++
	w.ended = append(w.ended, endRow{w.ends, r.task, r.run, how})
	w.stops[r.task] = max(w.stops[r.task], r.run)
	w.rig.record("runner %s: %s run %d ends %s", w.id, r.task, r.run, how)
	w.rig.ended(r.task, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *runner) clock() int64 { return time.Since(w.start).Milliseconds() }

func (w *runner) serve(out http.ResponseWriter, in *http.Request) {
	var o orderBody
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if !w.up {
		// The process has ended while it read the call.
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := w.execute(strings.TrimPrefix(in.URL.Path, "/jujubegrade/"), o)
	wake := w.wake
	wait := in.URL.Path == "/jujubegrade/hold" && status == http.StatusOK && o.WaitMS > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-wake:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-in.Context().Done():
			return
		}
		w.mu.Lock()
		body = w.report()
		w.mu.Unlock()
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body) // the caller may be gone
}

// execute carries out an order. The lock must be held.
func (w *runner) execute(path string, o orderBody) (int, any) {
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clockMs": w.clock(), "born": w.born, "reason": reason}
	}
	if o.FencingToken < w.fence {
		return refuse("fence")
	}
	w.fence = o.FencingToken
	extend := func() {
		if o.UntilMS > 0 {
			until := w.start.Add(time.Duration(o.UntilMS) * time.Millisecond)
			if limit := time.Now().Add(holdMax); until.After(limit) {
				until = limit
			}
			if until.After(w.until) {
				w.until = until
			}
		}
	}
	switch path {
	case "hold":
		extend()
		for len(w.ended) > 0 && w.ended[0].n <= o.AckCursor {
			w.ended = w.ended[1:]
		}
		return http.StatusOK, w.report()
	case "run-stop":
		w.stops[o.Task] = max(w.stops[o.Task], o.Run)
		if r := w.runs[runKey(o.Task, o.Run)]; r != nil {
			w.rig.record("runner %s: stop of %s run %d", w.id, o.Task, o.Run)
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(r, "stopped")
			})
		}
		return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
	case "run-start":
		if w.runs[runKey(o.Task, o.Run)] != nil {
			return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
		}
		if o.UntilMS <= w.clock() {
			return refuse("late")
		}
		extend()
		if o.Run <= w.stops[o.Task] {
			return refuse("old")
		}
		var spec taskSpec
		if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
			return http.StatusBadRequest, map[string]any{"clockMs": w.clock(), "born": w.born}
		}
		r := &taskRun{task: o.Task, run: o.Run, started: time.Now(), length: time.Duration(spec.MS) * time.Millisecond}
		r.timer = time.AfterFunc(r.length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "done")
		})
		w.runs[runKey(o.Task, o.Run)] = r
		w.rig.record("runner %s: start of %s run %d, fencing token %d", w.id, o.Task, o.Run, o.FencingToken)
		w.rig.started(w, o.Task)
		return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born}
	}
	return http.StatusBadRequest, map[string]any{"clockMs": w.clock(), "born": w.born}
}

// report returns what runs and what has ended. The lock must be held.
func (w *runner) report() any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int(min(99, 100*time.Since(r.started)/max(1, r.length)))
		running = append(running, []any{r.task, r.run, "", percent, 1000})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "ended": ended}
}
