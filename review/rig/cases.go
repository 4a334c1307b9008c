package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ackTimeout is the time after which an acknowledgement is missing: ackTimeoutMs of the sheet.
const ackTimeout = 4 * time.Second

// visible is the time after which a job's state is visible everywhere: visible_ms of the sheet.
const visible = 3 * time.Second

// playEnds lets more tasks end on a worker than it lists at a time, while the store is down.
func playEnds(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	const jobs, tasks = 42, 72
	began := time.Now()
	c, err := newCluster(log, program, 3, func(task string) (time.Duration, bool) {
		index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
		// The first runs end within 1.5 s, from 8 s after the start of the case.
		return max(500*time.Millisecond, time.Until(began.Add(8*time.Second+time.Duration(index)*20*time.Millisecond))), false
	}, nil)
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	id := func(i int) string { return fmt.Sprintf("00000000000e%04x", i) }
	for i := range jobs {
		if !c.submit(id(i), step{"count": tasks, "cpu": 125, "memMb": 128, "estimateMs": 6000}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	sum := func() (begun, done int) {
		for i := range jobs {
			b, d, _ := log.count(id(i))
			begun, done = begun+b, done+d
		}
		return begun, done
	}
	if !waitFor(6*time.Second, func() bool { begun, _ := sum(); return begun >= jobs*tasks }) {
		return nil, fmt.Errorf("the tasks did not start in time")
	}
	log.add("all %d tasks have started", jobs*tasks)
	if !waitFor(20*time.Second, func() bool { _, done := sum(); return done >= 100 }) {
		return nil, fmt.Errorf("no task has ended")
	}
	if trouble {
		log.add("the store is down")
		c.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		c.store.setDown(false)
		log.add("the store answers again")
	}
	waitFor(30*time.Second, func() bool {
		for i := range jobs {
			if _, done, _ := log.count(id(i)); done < tasks {
				return false
			}
		}
		return true
	})
	time.Sleep(3 * time.Second)
	return log.twice(), nil
}

// playForeign kills the owner while the list of workers has an entry of another writer.
func playForeign(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	const first, second = "00000000000000f1", "00000000000000f2"
	c, err := newCluster(log, program, 3, func(string) (time.Duration, bool) { return 4 * time.Second, false }, func(c *cluster) {
		if !trouble {
			return
		}
		log.add("another writer adds an entry of a service that no configuration names")
		c.store.put("servers/x1", map[string]any{
			"service": "unknown", "address": freeAddress(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int64{"cpu": 1000, "memMb": 1000, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clockMs": 1, "seq": 1, "born": 1764892800000,
		})
	})
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	// The second step waits for the first.
	for _, id := range []string{first, second} {
		if !c.submit(id, step{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 4000}, step{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 4000, "after": []int{0}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	owner := c.owner()
	if owner == nil {
		return nil, fmt.Errorf("there is no owner")
	}
	log.add("the machine of the owner %s goes dark; the clients' traffic has ended", owner.name)
	if err := owner.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	end := time.Now()
	time.Sleep(3500 * time.Millisecond)
	owner.kill()
	if err := owner.start(); err != nil {
		return nil, err
	}
	log.add("instance %s starts again, process %d", owner.name, owner.cmd.Process.Pid)
	var violations []string
	idle := make(map[string]time.Time)
	waitFor(30*time.Second, func() bool {
		open := 0
		for _, id := range []string{first, second} {
			if _, done, _ := log.count(id); done == 2 {
				continue
			}
			open++
			running := false
			for _, w := range c.workers {
				running = running || w.hasRun(id)
			}
			if running || time.Since(end) < 14*time.Second {
				idle[id] = time.Now()
				continue
			}
			if since := time.Since(idle[id]); since > 3*time.Second {
				violations = append(violations, fmt.Sprintf("%.1f s after the end of the traffic, job %s has had nothing running for 3 s, its second task's turn has come, and all workers are idle", time.Since(end).Seconds(), id))
				return true
			}
		}
		return open == 0
	})
	return violations, nil
}

// playLarge hands in a job whose record outgrows a value of the store, and cancels other jobs.
func playLarge(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	const large = "00000000000000a0"
	c, err := newCluster(log, program, 12, func(task string) (time.Duration, bool) {
		if jobOf(task) == large {
			return 20 * time.Second, false
		}
		return 40 * time.Second, false
	}, nil)
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	var small []string
	for i := range 5 {
		id := fmt.Sprintf("00000000000000a%d", i+1)
		small = append(small, id)
		if !c.submit(id, step{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 40000}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	tasks := 1000
	if trouble {
		tasks = 7000
	}
	s := step{"count": tasks, "cpu": 80, "memMb": 100, "estimateMs": 20000}
	if !c.submit(large, s, s) {
		return nil, fmt.Errorf("the large job was not accepted")
	}
	waitFor(30*time.Second, func() bool { begun, _, _ := log.count(large); return begun >= 2*tasks })
	time.Sleep(2 * time.Second)
	// No disruption from here on.
	unanswered := 0
	for i, id := range small {
		acknowledged := false
		for end := time.Now().Add(ackTimeout); time.Now().Before(end) && !acknowledged; time.Sleep(100 * time.Millisecond) {
			status, _ := c.call(c.instances[i%len(c.instances)], http.MethodDelete, id, nil)
			acknowledged = status/100 == 2 || status == http.StatusGone
		}
		if !acknowledged {
			unanswered++
		}
	}
	log.add("%d of %d cancels were not acknowledged", unanswered, len(small))
	listed, noted := log.notedEnds(ackTimeout)
	log.add("%d of %d ends that were listed for %v were taken note of", noted, listed, ackTimeout)
	var violations []string
	if unanswered >= 3 && 10*unanswered > len(small) {
		violations = append(violations, fmt.Sprintf("%d of %d cancels of accepted jobs have no answer after ackTimeoutMs", unanswered, len(small)))
	}
	if 5*(listed-noted) > listed {
		violations = append(violations, fmt.Sprintf("%d of %d ends that runners list are not taken note of", listed-noted, listed))
	}
	return violations, nil
}

// playReset cuts off a worker, whose connections are reset and whose runs go on.
func playReset(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	const job = "00000000000000b1"
	c, err := newCluster(log, program, 6, func(string) (time.Duration, bool) { return 8 * time.Second, false }, nil)
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	if !c.submit(job, step{"count": 4, "cpu": 52000, "memMb": 4096, "gpu": 2, "estimateMs": 8000}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !waitFor(20*time.Second, func() bool { begun, _, _ := log.count(job); return begun == 4 }) {
		return nil, fmt.Errorf("the tasks did not start")
	}
	time.Sleep(time.Second)
	for _, w := range c.workers {
		if trouble && w.hasRun(job) {
			w.setCut(true)
			time.Sleep(5500 * time.Millisecond)
			w.setCut(false)
			break
		}
	}
	waitFor(40*time.Second, func() bool { return c.state(job) == "completed" })
	return log.twice(), nil
}

// playPending asks for the number of jobs that have not begun, while the only free worker refuses to start tasks.
func playPending(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	c, err := newCluster(log, program, 7, func(string) (time.Duration, bool) { return 25 * time.Second, false }, nil)
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	whole := step{"count": 1, "cpu": 52000, "memMb": 110000, "gpu": 8, "estimateMs": 25000}
	for i := range len(c.workers) - 1 {
		if !c.submit(fmt.Sprintf("00000000000000d%d", i), whole) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	if !waitFor(10*time.Second, func() bool {
		busy := 0
		for _, w := range c.workers {
			busy += min(1, w.runCount())
		}
		return busy == len(c.workers)-1
	}) {
		return nil, fmt.Errorf("the jobs did not start")
	}
	if trouble {
		for _, w := range c.workers {
			if w.runCount() == 0 {
				w.setUnhealthy(true)
				time.AfterFunc(6500*time.Millisecond, func() { w.setUnhealthy(false) })
			}
		}
	}
	waiting := []string{"00000000000000e1", "00000000000000e2"}
	for _, id := range waiting {
		if !c.submit(id, whole) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	accepted := time.Now()
	var violations []string
	for time.Since(accepted) < 6*time.Second {
		time.Sleep(200 * time.Millisecond)
		if time.Since(accepted) < visible+2*time.Second {
			continue
		}
		for _, p := range c.instances {
			notBegun := 0
			status, body := c.call(p, http.MethodGet, "", nil)
			for _, id := range waiting {
				if begun, _, _ := log.count(id); begun == 0 {
					notBegun++
				}
			}
			var in struct {
				Pending int `json:"pending"`
			}
			if err := json.Unmarshal([]byte(body), &in); status == http.StatusOK && err == nil && 2*in.Pending < notBegun {
				violations = append(violations, fmt.Sprintf("%s gives %d as pending, but %d jobs that were accepted over 5 s ago have not begun", p.name, in.Pending, notBegun))
			}
		}
	}
	for _, id := range waiting {
		log.add("job %s is shown as %s", id, c.state(id))
	}
	return violations, nil
}

// playMoved lets a worker lose power under a running gang, and start again under its id at another address.
func playMoved(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error) {
	const job, tasks = "00000000000000a2", 5
	c, err := newCluster(log, program, 6, func(string) (time.Duration, bool) { return 6 * time.Second, false }, nil)
	if c != nil {
		keep(c)
	}
	if err != nil {
		return nil, err
	}
	if !c.submit(job, step{"count": tasks, "gang": true, "cpu": 26000, "memMb": 50000, "gpu": 2, "estimateMs": 6000}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	end := time.Now()
	if !waitFor(5*time.Second, func() bool { begun, _, _ := log.count(job); return begun == tasks }) {
		return nil, fmt.Errorf("the gang did not start")
	}
	time.Sleep(time.Second)
	for _, w := range c.workers {
		if trouble && w.runCount() > 1 {
			w.crashDark()
			time.AfterFunc(4*time.Second, w.startElsewhere)
			break
		}
	}
	var violations []string
	idle := end
	waitFor(60*time.Second, func() bool {
		if _, done, _ := log.count(job); done == tasks {
			return true
		}
		for _, w := range c.workers {
			if w.hasRun(job) || time.Since(end) < 14*time.Second {
				idle = time.Now()
			}
		}
		if time.Since(idle) > 3*time.Second {
			violations = append(violations, fmt.Sprintf("%.1f s after the end of the traffic, job %s has had nothing running for 3 s, and all workers are idle", time.Since(end).Seconds(), job))
			return true
		}
		return false
	})
	if len(violations) > 0 {
		time.Sleep(30 * time.Second)
		begun, done, _ := log.count(job)
		log.add("30 s later, %d runs of the job have begun and %d are done", begun, done)
	}
	log.add("job %s is shown as %s", job, c.state(job))
	return violations, nil
}
