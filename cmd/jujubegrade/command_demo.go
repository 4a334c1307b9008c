package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/examples"
	"github.com/jujubegrade/jujubegrade/internal/process/entry"
	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// demo runs three entry instances and the platform's stand-ins in one process.
	demo struct {
		console
		platform platform.Platform
		entries  []*entry.Entry
		// killed is the index of the instance that is stopped abruptly, or -1.
		killed atomic.Int64

		mu       sync.Mutex
		jobs     map[ids.AccountID][]caller.JobStatus
		requests map[string]int
		wrong    int
	}
)

const (
	demoInstances = 3
	demoRequests  = 200
	demoTimeout   = 28 * time.Second
)

// demoCommand shows the whole path without any set-up.
func (c console) demoCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "jujubegrade demo", ShortHelp: "Show gangs and requests served by three instances, one of which is lost", FlagSet: c.flagSet("demo"),
		LongHelp: "Needs no set-up and ends within 30 seconds. Exits with 0 only if every gang ran whole or was plainly refused,\nand every request got its own answer.",
		Exec: func(ctx context.Context, _ []string) error {
			d := &demo{console: c, jobs: make(map[ids.AccountID][]caller.JobStatus), requests: make(map[string]int)}
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return d.run(ctx)
		},
	}
}

func (d *demo) run(ctx context.Context) error {
	d.killed.Store(-1)
	d.say("starting 50 workers, 6 runners and %d entry instances", demoInstances)
	if err := d.start(); err != nil {
		return err
	}
	defer d.stop()
	if err := d.configure(ctx); err != nil {
		return err
	}
	var wait sync.WaitGroup
	wait.Go(func() { d.sendRequests(ctx) })
	submitted := d.submitAll(ctx)
	d.say("submitted %d gangs for 4 client accounts", len(submitted))
	if !sleepFor(ctx, 500*time.Millisecond) {
		return ctx.Err()
	}
	d.kill()
	err := d.await(ctx, submitted)
	wait.Wait()
	d.print()
	if err != nil {
		return err
	}
	return d.verdict()
}

func (d *demo) say(format string, args ...any) {
	line(d.out, format, args...)
}

func (d *demo) start() error {
	total := ids.Resources{Accelerators: 8, Cores: 60000, Memory: 250000}
	for centre, count := range map[ids.DataCentreID]int{"attica-1": 17, "attica-2": 17, "attica-3": 16} {
		for i := range count {
			d.platform.AddWorker(centre, i, total)
		}
		for i := range 2 {
			if _, err := d.platform.AddRunner(centre, "catalogue", i, &runnerservice.Service{Slots: 8, Work: 5 * time.Millisecond}); err != nil {
				return err
			}
		}
	}
	entries, err := d.platform.Entries(demoInstances, nil)
	d.entries = entries
	return err
}

func (d *demo) stop() {
	for i, e := range d.entries {
		if int64(i) != d.killed.Load() {
			e.Kill()
		}
	}
	d.platform.Close()
}

// configure accepts the sample configuration and waits until it is in force on all instances.
func (d *demo) configure(ctx context.Context) error {
	c := operator.NewClient(d.entries[0].Settings.Operators, platform.OperatorToken)
	if err := until(ctx, func() error {
		_, err := c.Apply(ctx, operator.Change{Author: "demo", Note: "sample configuration", Text: examples.Kerotechni})
		return err
	}); err != nil {
		return err
	}
	started := time.Now()
	if err := until(ctx, func() error {
		in, err := c.InForce(ctx)
		if err == nil && (!in.Everywhere || len(in.Instances) < demoInstances) {
			err = errors.New("the configuration is not in force everywhere")
		}
		return err
	}); err != nil {
		return err
	}
	d.say("configuration accepted and in force on %d instances after %v", demoInstances, time.Since(started).Round(time.Millisecond))
	return until(ctx, func() error {
		reports, err := c.Reports(ctx)
		if err == nil && len(reports.Missing) > 0 {
			err = errors.Newf("no owner yet for %v", reports.Missing)
		}
		return err
	})
}

// until tries again until a function succeeds or ctx ends.
func until(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if !sleepFor(ctx, 50*time.Millisecond) {
			return errors.Wrap(err, "gave up")
		}
	}
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (d *demo) callers(i int) string {
	at := i % demoInstances
	if int64(at) == d.killed.Load() {
		at = (at + 1) % demoInstances
	}
	return d.entries[at].Settings.Callers
}

// submitAll submits gangs of every account, one that can never run among them.
func (d *demo) submitAll(ctx context.Context) []caller.JobStatus {
	payload := func(run time.Duration) json.RawMessage {
		text, err := json.Marshal(workerservice.Payload{RunTime: run})
		if err != nil {
			return nil
		}
		return text
	}
	var submitted []caller.JobStatus
	submit := func(i int, account ids.AccountID, job caller.Job) {
		c := caller.NewClient(d.callers(i), platform.OperatorToken)
		status, err := c.Submit(ctx, account, job)
		var fault *caller.Fault
		switch {
		case err == nil:
			submitted = append(submitted, status)
		case errors.As(err, &fault) && fault.Code != "OutcomeUnknown":
			d.add(caller.JobStatus{Account: account, State: caller.Refused, Reason: fault.Message})
		default:
			d.add(caller.JobStatus{Account: account, State: caller.Unknown, Reason: err.Error()})
		}
	}
	for i := range 6 {
		key := fmt.Sprintf("demo-%d", i)
		submit(i, "kiosks", caller.Job{Key: key, Shape: ids.Shape{Tasks: 6, Each: ids.Resources{Accelerators: 8}}, Idempotent: true, RunTime: 4 * time.Second, Payload: payload(4 * time.Second)})
		submit(i, "parishes", caller.Job{Key: key, Shape: ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 2}}, RunTime: time.Second, Payload: payload(time.Second)})
		submit(i, "wholesale", caller.Job{Key: key, Shape: ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack}, Idempotent: true, RunTime: 2 * time.Second, Payload: payload(2 * time.Second)})
		submit(i, "monasteries", caller.Job{Key: key, Shape: ids.Shape{Tasks: 4, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack}, Urgent: true, Idempotent: true, RunTime: time.Second, Payload: payload(time.Second)})
	}
	submit(0, "kiosks", caller.Job{Key: "demo-never", Shape: ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 64}}, Idempotent: true})
	return submitted
}

func (d *demo) add(status caller.JobStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[status.Account] = append(d.jobs[status.Account], status)
}

// kill abruptly stops the instance that owns the most data centres.
func (d *demo) kill() {
	victim := 0
	for i, e := range d.entries {
		if len(e.Metrics().Owned) > len(d.entries[victim].Metrics().Owned) {
			victim = i
		}
	}
	owned := len(d.entries[victim].Metrics().Owned)
	d.killed.Store(int64(victim))
	d.entries[victim].Kill()
	d.say("stopped %s abruptly; it owned %d data centres", d.entries[victim].Settings.Name, owned)
}

// await follows all jobs to their end.
func (d *demo) await(ctx context.Context, submitted []caller.JobStatus) error {
	started := time.Now()
	for done, job := range submitted {
		err := until(ctx, func() error {
			status, err := caller.NewClient(d.callers(done), platform.OperatorToken).Status(ctx, job.ID, job.DataCentre)
			if err != nil {
				return err
			}
			if !status.State.Over() {
				return errors.Newf("job %s of %s is %s", status.ID, status.Account, status.State)
			}
			d.add(status)
			return nil
		})
		if err != nil {
			return err
		}
		if (done+1)%6 == 0 {
			d.say("%2d of %d gangs ended after %v", done+1, len(submitted), time.Since(started).Round(100*time.Millisecond))
		}
	}
	return nil
}

// sendRequests sends requests to the instances in turn and checks that each gets its own answer.
func (d *demo) sendRequests(ctx context.Context) {
	for i := range demoRequests {
		if !sleepFor(ctx, 15*time.Millisecond) {
			return
		}
		outcome := d.request(i)
		d.mu.Lock()
		d.requests[outcome]++
		d.mu.Unlock()
	}
}

// request sends one request; a caller behind a balancer would be led to another instance after a refused connection.
func (d *demo) request(i int) string {
	body := fmt.Sprintf("stock-%d", i)
	for attempt := range demoInstances {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + d.callers(i+attempt) + "/service/catalogue/stock?Account=kiosks")
		req.Header.SetMethod("POST")
		req.Header.Set("Authorization", "Bearer "+platform.OperatorToken)
		req.Header.Set(caller.HeaderIdempotent, "true")
		req.SetBodyString(body)
		err := fasthttp.DoTimeout(req, resp, 5*time.Second)
		outcome, answer := string(resp.Header.Peek(caller.HeaderOutcome)), string(resp.Body())
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if err != nil {
			continue
		}
		if outcome == string(caller.Answered) && !strings.HasSuffix(answer, " "+body) {
			d.mu.Lock()
			d.wrong++
			d.mu.Unlock()
		}
		return outcome
	}
	return "no connection"
}

func (d *demo) print() {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	defer func() { _ = w.Flush() }() // standard output
	line(w, "\nACCOUNT\tDONE\tREFUSED\tOTHER\tSTARTS\tUNDER GUARANTEE")
	for _, account := range []ids.AccountID{"wholesale", "monasteries", "parishes", "kiosks"} {
		d.printAccount(w, account)
	}
	line(w, "\nREQUESTS\tCOUNT")
	for outcome, count := range d.requests {
		line(w, "%s\t%d", outcome, count)
	}
	line(w, "answered with another's answer\t%d", d.wrong)
}

func (d *demo) printAccount(w io.Writer, account ids.AccountID) {
	var done, refused, other, starts, owed int
	for _, j := range d.jobs[account] {
		switch j.State {
		case caller.Done:
			done++
		case caller.Refused:
			refused++
		default:
			other++
		}
		starts += int(j.Attempt)
		if j.Owed {
			owed++
		}
	}
	line(w, "%s\t%d\t%d\t%d\t%d\t%d", account, done, refused, other, starts, owed)
}

// verdict returns an error unless every gang ran whole or was refused and every request got its own answer.
func (d *demo) verdict() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.jobs {
		for _, j := range list {
			if j.State != caller.Done && j.State != caller.Refused {
				return errors.Newf("job %s of %s ended as %s: %s", j.ID, j.Account, j.State, j.Reason)
			}
		}
	}
	if d.wrong > 0 || d.requests[string(caller.Answered)] != demoRequests {
		return errors.Newf("%d of %d requests got their own answer", d.requests[string(caller.Answered)]-d.wrong, demoRequests)
	}
	return nil
}
