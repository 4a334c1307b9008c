package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["late-submission"] = lateSubmission
	cases["moved-queue"] = movedQueue
	cases["replaced-route"] = replacedRoute
}

const (
	finishTime = 14 * time.Second
	zone       = "zone-a"
	// instances is the number of entry instances of the small deployments.
	instances = 6
)

// queue returns a route of the configuration.
func queue(name, prefix, service string, priority int) route {
	return route{
		"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 1000, "priority": priority,
		"service": service, "maxAttempts": 4, "stretch": 3.0, "public": false,
	}
}

// gangOf returns a job of one gang whose tasks each take a whole runner.
func gangOf(tasks int, estimate time.Duration) map[string]any {
	return map[string]any{"spec": "text of the job", "steps": []any{map[string]any{
		"count": tasks, "cpu": 52000, "memMb": 110000, "gpu": 8, "estimateMs": estimate.Milliseconds(), "gang": true,
	}}}
}

// expect tells the runners of a job's steps.
func (f *fleet) expect(id string, steps ...step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range steps {
		f.steps[fmt.Sprintf("%s.%d", id, i)] = s
	}
}

// isRunning returns the runner of a task that is at work, or nil.
func (f *fleet) isRunning(task string) *runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if u := r.runs[task]; !r.down && u != nil && !u.atWork.IsZero() && !u.stopped {
			return r
		}
	}
	return nil
}

func (f *fleet) countOf(counts map[string]int, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return counts[task]
}

// waitFor waits until a condition holds, and reports whether it does in time.
func waitFor(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// lateSubmission: the link between two instances is cut for a moment while one forwards a client's submission to the other.
func lateSubmission(c *cluster, trouble bool) string {
	const runners = 4
	for n := range runners {
		c.fleet.add(fmt.Sprintf("i-%04d", n+1), "pool", zone, "r1-1")
	}
	c.configure([]string{"pool"}, queue("r-gangs", "/gangs/", "pool", 1))
	for range instances {
		c.addInstance(true)
	}
	owner := c.waitReady("/gangs/")
	entry := c.instances[0]
	if entry == owner {
		entry = c.instances[1]
	}
	time.Sleep(time.Second)
	// A job of another client uses the whole pool and is cancelled while the submission is on its way.
	const other, id = "00000000000000aa", "5c0e7a21d94b36f8"
	c.fleet.expect(other, step{gang: runners, work: 30 * time.Second})
	c.fleet.expect(id, step{gang: runners, work: 2 * time.Second})
	if a := owner.call("POST", "/gangs/"+other, gangOf(runners, 30*time.Second), true); a.status/100 != 2 {
		cannotRun(fmt.Sprintf("the first job is not accepted: %d", a.status))
	}
	if !waitFor(5*time.Second, func() bool { return c.fleet.isRunning(other+".0.0.0") != nil }) {
		cannotRun("the first job does not run")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		owner.link.cut(1500 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	sent := time.Now()
	time.AfterFunc(2*time.Second, func() { owner.call("DELETE", "/gangs/"+other, nil, true) })
	a := entry.call("POST", "/gangs/"+id, gangOf(runners, 2*time.Second), true)
	time.Sleep(time.Until(sent.Add(10 * time.Second)))
	c.rec.log("client: the job is shown as %s", owner.state("/gangs/"+id))
	started := c.fleet.countOf(c.fleet.starts, id+".0.0.0")
	switch {
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		if started > 0 {
			return fmt.Sprintf("REFUSED: the only attempt to hand the job in was answered %d, and its first task was started %d times", a.status, started)
		}
	case trouble:
		// The submission was not refused, so that the rule says nothing.
		cannotRun(fmt.Sprintf("the submission was answered %d", a.status))
	}
	return ""
}

// movedQueue: a configuration sends a queue to another service, and the only runner of the first one, one of eight, is emptied and taken away.
func movedQueue(c *cluster, trouble bool) string {
	old := c.fleet.add("i-old1", "old-pool", zone, "r1-1")
	for n := range 7 {
		c.fleet.add(fmt.Sprintf("i-new%d", n+1), "new-pool", zone, "r1-1")
	}
	services := []string{"old-pool", "new-pool"}
	c.configure(services, queue("r-moved", "/moved/", "old-pool", 1), queue("r-other", "/other/", "new-pool", 1))
	for range instances {
		c.addInstance(false)
	}
	c.waitReady("/moved/")
	time.Sleep(time.Second)
	const id = "5c0e7a21d94b36f8"
	const occurrences = 3
	c.fleet.expect(id, step{work: time.Second})
	first := time.Now().Add(time.Second)
	interval := 8 * time.Second
	body := map[string]any{"spec": "text of the job", "times": occurrences, "firstMs": first.UnixMilli(), "intervalMs": interval.Milliseconds(), "steps": []any{
		map[string]any{"count": 1, "cpu": 15000, "memMb": 22000, "gpu": 2, "estimateMs": 1000},
	}}
	path := "/moved/" + id
	if a := c.instances[0].call("POST", path, body, true); a.status/100 != 2 {
		cannotRun(fmt.Sprintf("the job is not accepted: %d", a.status))
	}
	if !waitFor(6*time.Second, func() bool { return c.fleet.countOf(c.fleet.dones, id+".0.0.0") > 0 }) {
		cannotRun("the first occurrence does not run")
	}
	if trouble {
		c.configure(services, queue("r-moved", "/moved/", "new-pool", 1), queue("r-other", "/other/", "new-pool", 1))
		time.Sleep(2500 * time.Millisecond)
		old.leave(2500 * time.Millisecond)
	}
	last := first.Add((occurrences - 1) * interval)
	time.Sleep(time.Until(last.Add(finishTime)))
	state := c.instances[1].state(path)
	c.rec.log("client: %v after the last occurrence was due the job is shown as %s", finishTime, state)
	for k := range occurrences {
		if task := fmt.Sprintf("%s.%d.0.0", id, k); c.fleet.countOf(c.fleet.dones, task) == 0 {
			return fmt.Sprintf("LOST: the task %s was due %v ago and has never been started, the job is shown as %s, and seven runners of the queue's service are idle",
				task, time.Since(first.Add(time.Duration(k)*interval)).Round(time.Second), state)
		}
	}
	if state != "completed" {
		return "LOST: the job is shown as " + state
	}
	return ""
}

// replacedRoute: a configuration replaces a route by another one with the same host, prefix and service while a job of it runs.
func replacedRoute(c *cluster, trouble bool) string {
	for n := range 4 {
		c.fleet.add(fmt.Sprintf("i-%04d", n+1), "pool", zone, "r1-1")
	}
	c.configure([]string{"pool"}, queue("r-before", "/jobs/", "pool", 1))
	for range instances {
		c.addInstance(false)
	}
	c.waitReady("/jobs/")
	time.Sleep(time.Second)
	const id, steps = "5c0e7a21d94b36f8", 3
	const work = 6 * time.Second
	var list []any
	for n := range steps {
		s := map[string]any{"count": 1, "cpu": 15000, "memMb": 22000, "gpu": 2, "estimateMs": work.Milliseconds()}
		if n > 0 {
			s["after"] = []int{n - 1}
		}
		list = append(list, s)
	}
	c.fleet.expect(id, step{work: work}, step{work: work}, step{work: work})
	path := "/jobs/" + id
	if a := c.instances[0].call("POST", path, map[string]any{"spec": "text of the job", "steps": list}, true); a.status/100 != 2 {
		cannotRun(fmt.Sprintf("the job is not accepted: %d", a.status))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.configure([]string{"pool"}, queue("r-after", "/jobs/", "pool", 1))
	}
	// The bounds of configurations and of the visibility of jobs have passed then.
	time.Sleep(3500 * time.Millisecond)
	broken := ""
	if a := c.instances[1].call("GET", path, nil, true); a.status == http.StatusGone {
		broken = "LOST: a GET for the accepted job is answered 410"
	}
	cancelled := time.Now()
	a := c.instances[2].call("DELETE", path, nil, true)
	if a.status/100 != 2 && a.status != http.StatusGone {
		cannotRun(fmt.Sprintf("the cancelling is answered %d", a.status))
	}
	time.Sleep(time.Until(cancelled.Add(10 * time.Second)))
	for n := 1; n < steps; n++ {
		if task := fmt.Sprintf("%s.0.%d.0", id, n); c.fleet.countOf(c.fleet.starts, task) > 0 {
			if broken != "" {
				broken += "; "
			}
			broken += fmt.Sprintf("UNASKED: the task %s was started after the cancelling had been answered %d", task, a.status)
		}
	}
	return broken
}
