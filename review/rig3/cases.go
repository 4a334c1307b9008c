package main

import (
	"fmt"
	"net/http"
	"time"
)

var cases = map[string]func(r *rig) int{
	"schedules": playSchedules,
	"stall":     playStall,
	"flap":      playFlap,
}

// playSchedules submits jobs that run hourly, for a year or, without the trouble, for a day. The platform kills a process that exceeds its memory limit and
// starts it again. finish_s after the last submission the jobs are asked for.
func playSchedules(r *rig) int {
	const (
		jobs      = 25
		perYear   = 8760
		perDay    = 24
		finish    = 14 * time.Second
		attempts  = 5
		tolerated = 3
		firstIn   = time.Hour
		tries     = 5
	)
	if err := r.start(3, 8); err != nil {
		r.record("can't start: %v", err)
		return exitUnable
	}
	go r.limitMemory()
	time.Sleep(2 * time.Second)
	task := func(count int) map[string]any {
		return map[string]any{"count": count, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": 1000}
	}
	var accepted []string
	submit := func(id string, job map[string]any) {
		for try := range tries {
			status, body := r.call(try%len(r.instances), http.MethodPost, id, job)
			r.record("client: POST %s, try %d -> %d %s", id, try+1, status, body)
			if status == http.StatusOK {
				accepted = append(accepted, id)
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	submit("00000000000000a0", map[string]any{"spec": `{"MS":500}`, "steps": []any{task(1)}})
	times := perYear
	if !r.trouble {
		times = perDay
	}
	first := time.Now().Add(firstIn)
	for k := range jobs {
		submit(fmt.Sprintf("0000000000000b%02x", k), map[string]any{
			"spec": `{"MS":1000}`, "times": times, "firstMs": first.UnixMilli(), "intervalMs": 3600000, "steps": []any{task(2)},
		})
		time.Sleep(200 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return exitUnable
	}
	time.Sleep(finish)
	broken := false
	for _, id := range accepted {
		known := false
		for try := 0; try < attempts && !known; try++ {
			status, state := r.state(try%len(r.instances), id)
			r.record("client: GET %s -> %d %s", id, status, state)
			if known = status == http.StatusOK; !known {
				time.Sleep(500 * time.Millisecond)
			}
		}
		if !known {
			broken = true
			r.record("LOST: job %s was accepted, and %v after the last submission its state can't be read", id, finish)
			break
		}
	}
	often := 0
	for _, i := range r.instances {
		i.mu.Lock()
		r.record("instance %s: its processes ended %d times", i.name, i.exits)
		if i.exits >= tolerated {
			often++
		}
		i.mu.Unlock()
	}
	if often >= 2 {
		broken = true
		r.record("Fault: on %d machines processes have ended by themselves %d times", often, tolerated)
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}

// playStall hands in two jobs of one long task each, whose declared run time is far too short, or right without the trouble. Small jobs run on a runner of another
// kind all the while. The long tasks need nothing but time.
func playStall(r *rig) int {
	const (
		runTime  = 300 * time.Second
		declared = 5 * time.Second
		traffic  = 58 * time.Second
		finish   = 14 * time.Second
		window   = 3 * time.Second
		watched  = 30 * time.Second
		needs    = 2
		accs     = 8
	)
	r.otherKind = 7
	if err := r.start(3, 8); err != nil {
		r.record("can't start: %v", err)
		return exitUnable
	}
	time.Sleep(2 * time.Second)
	submit := func(at int, id, label string, real, estimate time.Duration, gpu int) bool {
		status, body := r.call(at, http.MethodPost, id, map[string]any{
			"spec": fmt.Sprintf(`{"MS":%d}`, real.Milliseconds()),
			"steps": []any{map[string]any{
				"count": 1, "cpu": 2000, "memMb": 4000, "gpu": gpu, "estimateMs": estimate.Milliseconds(), "requiredLabel": label,
			}},
		})
		r.record("client: POST %s, declared %v -> %d %s", id, estimate, status, body)
		return status == http.StatusOK
	}
	estimate := declared
	if !r.trouble {
		estimate = runTime
	}
	jobs := []string{"4c1d2e3f5a6b7cf0", "4c1d2e3f5a6b7cf1"}
	for _, id := range jobs {
		if !submit(1, id, "a", runTime, estimate, needs) {
			return exitUnable
		}
	}
	for began, n := time.Now(), 0; time.Since(began) < traffic; n++ {
		submit(n%3, fmt.Sprintf("000000000000e%03d", n), "b", 300*time.Millisecond, 300*time.Millisecond, 1)
		time.Sleep(time.Second)
	}
	r.record("the traffic ends")
	time.Sleep(finish)
	idleSince := make(map[string]time.Time)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range jobs {
			used, fits, runs := r.use(id+".0.0.0", needs)
			if runs > 0 || fits < 2 || 2*used >= len(r.runners)*accs {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			if time.Since(idleSince[id]) > window {
				status, state := r.state(2, id)
				r.record("LOST: for %v job %s (GET -> %d %s) has had nothing running while its turn had come; its task would fit %d times, %d of %d accelerators are in use; it was started %d times",
					window, id, status, state, fits, used, len(r.runners)*accs, r.endsOf(id+".0.0.0", "stopped"))
				return exitBroken
			}
		}
	}
	for _, id := range jobs {
		r.record("job %s was stopped %d times", id, r.endsOf(id+".0.0.0", "stopped"))
	}
	return exitHeld
}

// use returns how many accelerators the runs of all runners take, how often a task that needs some would fit on the runners of kind a, and how many runs there are
// of one task. Each other run takes one accelerator.
func (r *rig) use(task string, needs int) (used, fits, runs int) {
	for _, w := range r.runners {
		w.mu.Lock()
		free := 8
		for _, t := range w.runs {
			if t.task == task {
				runs++
				free -= needs
			} else {
				free--
			}
		}
		used += 8 - free
		if w.up && w.kind == "a" {
			fits += free / needs
		}
		w.mu.Unlock()
	}
	return used, fits, runs
}

// playFlap hands in eight jobs of one small task each, which share a runner. That runner crashes and comes back, and so does the one on which they run next. All
// other runners are idle.
func playFlap(r *rig) int {
	const (
		jobs       = 8
		crashes    = 2
		crashAfter = 4 * time.Second
		downFor    = 2 * time.Second
		finish     = 14 * time.Second
		window     = 3 * time.Second
	)
	if err := r.start(3, 8); err != nil {
		r.record("can't start: %v", err)
		return exitUnable
	}
	time.Sleep(2 * time.Second)
	id := func(k int) string { return fmt.Sprintf("4c1d2e3f5a6b7c%02x", 0xa0+k) }
	for k := range jobs {
		status, body := r.call(1, http.MethodPost, id(k), map[string]any{
			"spec": `{"MS":20000}`, "steps": []any{map[string]any{"count": 1, "cpu": 5000, "memMb": 16000, "gpu": 1, "estimateMs": 20000}},
		})
		r.record("client: POST %s -> %d %s", id(k), status, body)
		if status != http.StatusOK {
			return exitUnable
		}
	}
	stopTraffic := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stopTraffic:
				return
			case <-time.After(time.Second):
			}
			status, body := r.call(n%3, http.MethodPost, fmt.Sprintf("000000000000e%03d", n), map[string]any{
				"spec": `{"MS":300}`, "steps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 4000, "gpu": 1, "estimateMs": 300}},
			})
			r.record("client: POST 000000000000e%03d -> %d %s", n, status, body)
		}
	}()
	for range crashes {
		time.Sleep(crashAfter)
		if !r.trouble {
			time.Sleep(downFor)
			continue
		}
		var busiest *runner
		most := 0
		for _, w := range r.runners {
			w.mu.Lock()
			if w.up && len(w.runs) > most {
				busiest, most = w, len(w.runs)
			}
			w.mu.Unlock()
		}
		if busiest == nil {
			return exitUnable
		}
		busiest.crash()
		time.Sleep(downFor)
		if err := busiest.begin(); err != nil {
			r.record("runner %s can't be restarted: %v", busiest.id, err)
			return exitUnable
		}
	}
	close(stopTraffic)
	r.record("the traffic ends")
	time.Sleep(finish)
	idleSince := make(map[int]time.Time)
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		completed := 0
		for k := range jobs {
			task := id(k) + ".0.0.0"
			if r.endsOf(task, "done") > 0 {
				completed++
				delete(idleSince, k)
				continue
			}
			used, fits, runs := r.use(task, 1)
			if runs > 0 || fits < 2 || 2*used >= 64 {
				delete(idleSince, k)
				continue
			}
			if idleSince[k].IsZero() {
				idleSince[k] = time.Now()
			}
			if time.Since(idleSince[k]) > window {
				status, state := r.state(2, id(k))
				r.record("LOST: for %v job %s (GET -> %d %s) has had nothing running while its turn had come; its task would fit %d times, %d of 64 accelerators are in use", window, id(k), status, state, fits, used)
				return exitBroken
			}
		}
		if completed == jobs {
			return exitHeld
		}
	}
	return exitUnable
}
