package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// lateOrders selects start orders that are left unanswered and delivered after a delay.
	lateOrders struct {
		delay time.Duration

		mu sync.Mutex
		// job is the job whose orders are held, and most how many at most; empty means none.
		job  string
		most int
		held int
		// runner is that to which they were sent.
		runner *runner
	}

	// lateProxy passes calls to a runner on. An order that is late is delivered to whatever listens there then.
	lateProxy struct {
		runner *runner
		log    *record
		client http.Client
		late   *lateOrders
	}
)

// holds reports whether an order to a runner is to be late.
func (l *lateOrders) holds(path string, body []byte, r *runner) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.job == "" || path != "/jujubegrade/run-start" || !bytes.Contains(body, []byte(l.job)) || l.held == l.most || l.runner != nil && l.runner != r {
		return false
	}
	l.held++
	l.runner = r
	return true
}

// end ends the disruption and returns the runner whose orders are late; nil if there is none.
func (l *lateOrders) end() *runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.job = ""
	return l.runner
}

func (p *lateProxy) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, p) }() // ends with the process
	return listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (p *lateProxy) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if p.late.holds(q.URL.Path, body, p.runner) {
		p.log.add("on the way to %s: an order is left unanswered: %s", p.runner.id, body)
		time.AfterFunc(p.late.delay, func() {
			status, answer := p.pass(q, body)
			p.log.add("on the way to %s: the order arrives %v later, answer %d %s", p.runner.id, p.late.delay, status, bytes.TrimSpace(answer))
		})
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := p.pass(q, body)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer) // a caller that has left needs no answer
}

// pass returns the runner's answer; the status is zero if there is none.
func (p *lateProxy) pass(q *http.Request, body []byte) (int, []byte) {
	out, err := http.NewRequest(q.Method, "http://"+p.runner.address+q.URL.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	out.Header = q.Header.Clone()
	answer, err := p.client.Do(out)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// beginBehindProxies begins a deployment with a proxy before each runner. The orders for one job are late if there is trouble.
func (d *deployment) beginBehindProxies(late *lateOrders, trouble bool, job string) error {
	if trouble {
		late.job = job
	}
	return d.begin(6, 3, func(r *runner) (string, error) { return (&lateProxy{runner: r, log: d.log, late: late}).listen() })
}

const (
	background = "5c0e7a21d94b36f7"
	short      = "5c0e7a21d94b36f8"
	tested     = "5c0e7a21d94b36f9"
)

// lateCopy leaves the first order to start a task unanswered. The second one is carried out, and the job ends. The runner crashes and is back under its id when the
// first order arrives.
func lateCopy(d *deployment, trouble bool) int {
	late := &lateOrders{delay: 9 * time.Second, most: 1}
	if err := d.beginBehindProxies(late, trouble, tested); err != nil {
		return d.fail("%v", err)
	}
	if !d.submit(background, 24, 1, "20s") || !d.submit(tested, 1, 8, "2s") {
		return d.fail("a job was not accepted")
	}
	d.await(tested)
	if trouble {
		r := late.end()
		if r == nil {
			return d.fail("no order was late")
		}
		time.Sleep(1500 * time.Millisecond)
		if err := r.restart(1500 * time.Millisecond); err != nil {
			return d.fail("%v", err)
		}
	}
	return d.judge(background, tested)
}

// lateOrder leaves all orders to start a task on a runner unanswered. The task is stopped there and starts on another runner. Later the first one crashes and is back
// under its id when the orders arrive.
func lateOrder(d *deployment, trouble bool) int {
	late := &lateOrders{delay: 7 * time.Second, most: 3}
	if err := d.beginBehindProxies(late, trouble, tested); err != nil {
		return d.fail("%v", err)
	}
	// Each of the last two jobs takes a whole runner. The first of them ends soon, so that its runner is free for the second.
	if !d.submit(background, 24, 1, "20s") || !d.submit(short, 1, 8, "1200ms") || !d.submit(tested, 1, 8, "9s") {
		return d.fail("a job was not accepted")
	}
	if trouble {
		time.Sleep(4 * time.Second)
		r := late.end()
		if r == nil {
			return d.fail("no order was late")
		}
		if err := r.restart(1500 * time.Millisecond); err != nil {
			return d.fail("%v", err)
		}
	}
	return d.judge(background, short, tested)
}

// The bounds of the settings for cancelled jobs.
const (
	stabilityWindow = 3 * time.Second
	stopBound       = 400 * time.Millisecond
)

// lateCancelled is lateOrder with a job that its client cancels before the runner crashes: a task that a runner starts late must be stopped as well.
func lateCancelled(d *deployment, trouble bool) int {
	late := &lateOrders{delay: 7 * time.Second, most: 3}
	if err := d.beginBehindProxies(late, trouble, tested); err != nil {
		return d.fail("%v", err)
	}
	if !d.submit(background, 24, 1, "20s") || !d.submit(tested, 1, 8, "9s") {
		return d.fail("a job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	status, answer := d.call(http.MethodDelete, tested, nil, 1)
	d.log.add("client: DELETE %s: %d %s", tested, status, answer)
	if status != http.StatusOK {
		return d.fail("the job was not cancelled")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		r := late.end()
		if r == nil {
			return d.fail("no order was late")
		}
		if err := r.restart(1500 * time.Millisecond); err != nil {
			return d.fail("%v", err)
		}
	}
	cancelled := time.Since(d.log.began)
	time.Sleep(14 * time.Second)
	// A task that was started late has to be gone by then; the bound for others has passed before.
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	for _, p := range d.log.runs {
		if !strings.HasPrefix(p.task, tested) || p.from < cancelled {
			continue
		}
		to := p.to
		if to == 0 {
			to = time.Since(d.log.began)
		}
		if to > p.from+stabilityWindow+stopBound {
			d.log.write("UNASKED is broken: %s run %d began on %s at %.3f s and ran on until %.3f s (%s)", p.task, p.run, p.runner, p.from.Seconds(), to.Seconds(), p.how)
			return broken
		}
	}
	return held
}

// judge waits for jobs and returns whether the rule TWICE was kept.
func (d *deployment) judge(ids ...string) int {
	for _, id := range ids {
		d.await(id)
	}
	time.Sleep(2 * time.Second)
	list := d.log.twice()
	for _, pair := range list {
		d.log.add("TWICE is broken: %s", pair)
		fmt.Println("TWICE is broken:", pair)
	}
	if len(list) > 0 {
		return broken
	}
	return held
}

// restart crashes the runner and starts it again after a while.
func (r *runner) restart(down time.Duration) error {
	r.crash()
	time.Sleep(down)
	return r.start()
}

// submit hands in a job and reports whether it was accepted. Its tasks work for a time that its spec states.
func (d *deployment) submit(id string, tasks, gpu int, work string) bool {
	step := map[string]any{"count": tasks, "cpu": 2000 * gpu, "memMb": 4096 * gpu, "gpu": gpu, "estimateMs": 6000}
	status, answer := d.call(http.MethodPost, id, map[string]any{"spec": work, "steps": []any{step}}, 0)
	d.log.add("client: POST %s: %d %s", id, status, answer)
	return status == http.StatusOK
}

// await asks for a job's state until it has ended.
func (d *deployment) await(id string) {
	status, answer := 0, ""
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if status, answer = d.call(http.MethodGet, id, nil, 1); answer == `{"state":"completed"}` {
			break
		}
	}
	d.log.add("client: GET %s: %d %s", id, status, answer)
}
