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

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	gangWait  = 3 * time.Second
	stopTime  = 100 * time.Millisecond
)

type (
	// fleet is all runners. A gang may span several of them.
	fleet struct {
		rec   *record
		store *store

		mu      sync.Mutex
		runners []*runner
		// steps describes the steps of the jobs by "ID.STEP".
		steps map[string]step
		gangs map[string]*gang
		// starts, dones and fails count the starts and ends of each task.
		starts, dones, fails map[string]int
	}

	// step is what a runner knows of a task.
	step struct {
		gang int
		work time.Duration
	}

	runner struct {
		fleet                           *fleet
		id, service, zone, rack, listen string
		kind                            string
		cpu, mem                        int64
		gpu                             int

		// The fields below are guarded by the fleet's lock.
		down    bool
		state   string
		born    int64
		started time.Time
		fence   uint64
		until   time.Time
		runs    map[string]*run
		ended   []end
		ends    uint64
		highest map[string]uint64
		changed chan struct{}
		server  *http.Server
	}

	run struct {
		task    string
		number  uint64
		step    step
		gang    *gang
		runner  *runner
		atWork  time.Time
		timer   *time.Timer
		stopped bool
	}

	gang struct {
		members []*run
		ended   bool
	}

	end struct {
		number    uint64
		task      string
		run       uint64
		how, save string
	}
)

func newFleet(rec *record, s *store) *fleet {
	return &fleet{rec: rec, store: s, steps: make(map[string]step), gangs: make(map[string]*gang), starts: make(map[string]int), dones: make(map[string]int), fails: make(map[string]int)}
}

// add adds a runner and starts it.
func (f *fleet) add(id, service, zone, rack string) *runner {
	r := &runner{fleet: f, id: id, service: service, zone: zone, rack: rack, kind: "a", listen: freeAddress(loopback(201)), cpu: 128000, mem: 262144, gpu: 8}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	r.start()
	return r
}

// start starts a life of the runner, without runs, and registers it.
func (r *runner) start() {
	l, err := listenAgain(r.listen)
	if err != nil {
		cannotRun("a runner can't listen: " + err.Error())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jujubegrade/run-start", r.handle(r.runStart))
	mux.HandleFunc("POST /jujubegrade/run-stop", r.handle(r.runStop))
	mux.HandleFunc("POST /jujubegrade/hold", r.handle(r.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	f := r.fleet
	f.mu.Lock()
	now := time.Now()
	r.down, r.state, r.born, r.started, r.fence, r.until = false, "ready", now.UnixMilli(), now, 0, now
	r.runs, r.ended, r.ends, r.highest, r.changed = make(map[string]*run), nil, 0, make(map[string]uint64), make(chan struct{})
	r.server = &http.Server{Handler: mux}
	server := r.server
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the runner goes down
	r.register()
	f.rec.log("runner %s is up at %s, born %d", r.id, r.listen, r.born)
}

// register writes the runner's entry.
func (r *runner) register() {
	r.fleet.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.listen, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state, "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": r.cpu, "memMb": r.mem, "gpu": r.gpu}, "labels": []string{r.kind, r.rack}, "seq": 1, "born": r.born,
	}
	if r.state == "draining" {
		entry["drainRemainingMs"] = 2000
	}
	r.fleet.mu.Unlock()
	r.fleet.store.set("servers/"+r.id, entry)
}

// leave empties the runner and takes it away: it reports that it drains, serves on for the announced time and exits.
func (r *runner) leave(after time.Duration) {
	f := r.fleet
	f.mu.Lock()
	r.state = "draining"
	f.mu.Unlock()
	r.register()
	f.rec.log("runner %s is draining", r.id)
	time.AfterFunc(after, func() {
		f.mu.Lock()
		r.down = true
		server, left := r.server, len(r.runs)
		for _, u := range r.runs {
			u.drop()
			u.breakGang()
		}
		f.mu.Unlock()
		f.store.remove("servers/" + r.id)
		_ = server.Close()
		f.rec.log("runner %s has left, with %d runs", r.id, left)
	})
}

// handle decodes a call, checks its instance and fencing token, and answers.
func (r *runner) handle(do func(in *order, w http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		in := &order{}
		if err := json.NewDecoder(q.Body).Decode(in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f := r.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		if in.FencingToken < r.fence {
			r.refuse(w, "fence")
			return
		}
		r.fence = in.FencingToken
		do(in, w)
	}
}

// order is the body of each call to a runner.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() }

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "born": r.born, "reason": reason})
}

// extend extends the lease of all runs, by no more than the longest one.
func (r *runner) extend(untilMS int64) {
	if untilMS == 0 {
		return
	}
	until := r.started.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if !until.After(r.until) {
		return
	}
	r.until = until
	time.AfterFunc(time.Until(until), func() {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if r.down || !r.until.Equal(until) {
			return
		}
		for _, u := range r.runs {
			u.finish("lapsed")
		}
	})
}

func (r *runner) runStart(in *order, w http.ResponseWriter) {
	f := r.fleet
	if r.started.Add(time.Duration(in.UntilMS) * time.Millisecond).Before(time.Now()) {
		r.refuse(w, "late")
		return
	}
	r.extend(in.UntilMS)
	if u := r.runs[in.Task]; u != nil && u.number == in.Run {
		reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
		return
	}
	if in.Run <= r.highest[in.Task] || r.runs[in.Task] != nil {
		r.refuse(w, "old")
		return
	}
	part := strings.Split(in.Task, ".")
	s, known := f.steps[part[0]+"."+part[2]]
	if !known {
		f.rec.log("runner %s is told to start %s, of which no client has sent anything", r.id, in.Task)
	}
	u := &run{task: in.Task, number: in.Run, step: s, runner: r}
	r.runs[in.Task] = u
	f.starts[in.Task]++
	f.rec.log("runner %s starts %s run %d", r.id, in.Task, in.Run)
	u.begin()
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
}

// begin lets the run work, with the other members of its gang.
func (u *run) begin() {
	f := u.runner.fleet
	if u.step.gang == 0 {
		u.atWork = time.Now()
		u.timer = u.after(u.step.work, func() { u.finish("done") })
		return
	}
	part := strings.Split(u.task, ".")
	key := fmt.Sprintf("%s.%s.%s.%d", part[0], part[1], part[2], u.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{}
		f.gangs[key] = g
	}
	u.gang = g
	g.members = append(g.members, u)
	if g.ended {
		u.timer = u.after(gangWait, func() { u.finish("alone") })
		return
	}
	if len(g.members) < u.step.gang {
		u.timer = u.after(gangWait, func() { u.finish("alone") })
		return
	}
	for _, m := range g.members {
		if m.timer != nil {
			m.timer.Stop()
		}
		m.atWork = time.Now()
	}
	f.rec.log("gang %s is at work", key)
	u.timer = u.after(u.step.work, func() {
		if g.ended {
			return
		}
		g.ended = true
		for _, m := range g.members {
			m.finish("done")
		}
	})
}

// after calls do under the fleet's lock, unless the run has ended by then.
func (u *run) after(d time.Duration, do func()) *time.Timer {
	f := u.runner.fleet
	return time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if u.runner.runs[u.task] == u {
			do()
		}
	})
}

func (u *run) drop() {
	if u.timer != nil && (u.gang == nil || u.gang.ended) {
		u.timer.Stop()
	}
	delete(u.runner.runs, u.task)
}

// breakGang ends the other members of a run that has ended otherwise than done.
func (u *run) breakGang() {
	if u.gang == nil || u.gang.ended {
		return
	}
	u.gang.ended = true
	for _, m := range u.gang.members {
		if m != u && m.runner.runs[m.task] == m {
			m.finish("broken")
		}
	}
}

// finish ends the run and lists its end.
func (u *run) finish(how string) {
	r := u.runner
	if r.down || r.runs[u.task] != u {
		return
	}
	u.drop()
	r.highest[u.task] = max(r.highest[u.task], u.number)
	r.ends++
	r.ended = append(r.ended, end{number: r.ends, task: u.task, run: u.number, how: how})
	r.fleet.rec.log("runner %s ends %s run %d: %s", r.id, u.task, u.number, how)
	switch how {
	case "done":
		r.fleet.dones[u.task]++
	case "failed":
		r.fleet.fails[u.task]++
	}
	close(r.changed)
	r.changed = make(chan struct{})
	if how != "done" {
		u.breakGang()
	}
}

func (r *runner) runStop(in *order, w http.ResponseWriter) {
	r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	if u := r.runs[in.Task]; u != nil && u.number <= in.Run && !u.stopped {
		u.stopped = true
		u.after(stopTime, func() { u.finish("stopped") })
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
}

func (r *runner) hold(in *order, w http.ResponseWriter) {
	for len(r.ended) > 0 && r.ended[0].number <= in.AckCursor {
		r.ended = r.ended[1:]
	}
	r.extend(in.UntilMS)
	if in.WaitMS > 0 && len(r.ended) == 0 {
		changed, server := r.changed, r.server
		r.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(in.WaitMS) * time.Millisecond):
		}
		r.fleet.mu.Lock()
		if r.down || r.server != server {
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, u := range r.runs {
		percent := 0
		if !u.atWork.IsZero() && u.step.work > 0 {
			percent = int(min(99, 100*time.Since(u.atWork)/u.step.work))
		}
		running = append(running, []any{u.task, u.number, "", percent})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.save})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born, "running": running, "ended": ended})
}

// listenAgain listens at an address, which the system may still hold for a moment.
func listenAgain(address string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}
