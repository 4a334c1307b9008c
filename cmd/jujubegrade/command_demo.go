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
	// demo runs three entry instances and the stand-ins for the platform in one process.
	demo struct {
		console
		platform platform.Platform
		entries  []*entry.Entry
		// killed is the index of the killed instance, or -1.
		killed atomic.Int64

		mu       sync.Mutex
		jobs     map[ids.AccountID][]caller.JobStatus
		requests map[string]int
		// mismatched counts the responses that belong to a different request.
		mismatched int
	}
)

const (
	demoInstances = 3
	demoRequests  = 200
	demoTimeout   = 28 * time.Second
)

// demoCommand runs gangs and requests end to end without any setup.
func (c console) demoCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "jujubegrade demo", ShortHelp: "Run gangs and requests on three entry instances, one of which is killed", FlagSet: c.flagSet("demo"),
		LongHelp: "Needs no setup and ends within 30 seconds. Exits with 0 only if every gang completed or was refused,\nand every request got the response meant for it.",
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
	d.printf("starting 50 workers, 6 runners and %d entry instances", demoInstances)
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
	d.printf("submitted %d gangs for 4 client accounts", len(submitted))
	if !sleep(ctx, 500*time.Millisecond) {
		return ctx.Err()
	}
	d.killOwner()
	err := d.awaitJobs(ctx, submitted)
	wait.Wait()
	d.printSummary()
	if err != nil {
		return err
	}
	return d.checkResults()
}

func (d *demo) printf(format string, args ...any) {
	printLine(d.out, format, args...)
}

func (d *demo) start() error {
	total := ids.Resources{Accelerators: 8, Cores: 60000, Memory: 250000}
	for dataCentre, count := range map[ids.DataCentreID]int{"attica-1": 17, "attica-2": 17, "attica-3": 16} {
		for i := range count {
			d.platform.AddWorker(dataCentre, i, total)
		}
		for i := range 2 {
			if _, err := d.platform.AddRunner(dataCentre, "catalogue", i, &runnerservice.Service{Slots: 8, Work: 5 * time.Millisecond}); err != nil {
				return err
			}
		}
	}
	entries, err := d.platform.StartEntries(demoInstances, nil)
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

// configure applies the sample configuration and waits until it is in force everywhere and each data centre has an owner.
func (d *demo) configure(ctx context.Context) error {
	c := operator.NewClient(d.entries[0].Settings.Operators, platform.OperatorToken)
	if err := retryUntilDone(ctx, func() error {
		_, err := c.Apply(ctx, operator.Change{Author: "demo", Note: "sample configuration", Text: examples.Kerotechni})
		return err
	}); err != nil {
		return err
	}
	started := time.Now()
	if err := retryUntilDone(ctx, func() error {
		status, err := c.InForce(ctx)
		if err == nil && (!status.Everywhere || len(status.Instances) < demoInstances) {
			err = errors.New("the configuration is not in force everywhere")
		}
		return err
	}); err != nil {
		return err
	}
	d.printf("configuration accepted and in force on %d instances after %v", demoInstances, time.Since(started).Round(time.Millisecond))
	return retryUntilDone(ctx, func() error {
		reports, err := c.Reports(ctx)
		if err == nil && len(reports.Missing) > 0 {
			err = errors.Newf("no owner has reported for %v", reports.Missing)
		}
		return err
	})
}

// retryUntilDone retries a function until it succeeds or ctx ends.
func retryUntilDone(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return errors.Wrap(err, "stopped retrying")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (d *demo) callerAddress(i int) string {
	index := i % demoInstances
	if int64(index) == d.killed.Load() {
		index = (index + 1) % demoInstances
	}
	return d.entries[index].Settings.Callers
}

// submitAll submits gangs for every account, including one that can never fit.
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
		c := caller.NewClient(d.callerAddress(i), platform.OperatorToken)
		status, err := c.Submit(ctx, account, job)
		var fault *caller.Fault
		switch {
		case err == nil:
			submitted = append(submitted, status)
		case errors.As(err, &fault) && fault.Code != "OutcomeUnknown":
			d.recordJob(caller.JobStatus{Account: account, State: caller.Refused, Reason: fault.Message})
		default:
			d.recordJob(caller.JobStatus{Account: account, State: caller.Unknown, Reason: err.Error()})
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

func (d *demo) recordJob(status caller.JobStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[status.Account] = append(d.jobs[status.Account], status)
}

// killOwner kills the instance that owns the most data centres.
func (d *demo) killOwner() {
	victim := 0
	for i, e := range d.entries {
		if len(e.Metrics().Owned) > len(d.entries[victim].Metrics().Owned) {
			victim = i
		}
	}
	owned := len(d.entries[victim].Metrics().Owned)
	d.killed.Store(int64(victim))
	d.entries[victim].Kill()
	d.printf("killed %s, which owned %d data centres", d.entries[victim].Settings.Name, owned)
}

// awaitJobs polls all jobs until they have ended.
func (d *demo) awaitJobs(ctx context.Context, submitted []caller.JobStatus) error {
	started := time.Now()
	for i, job := range submitted {
		err := retryUntilDone(ctx, func() error {
			status, err := caller.NewClient(d.callerAddress(i), platform.OperatorToken).Status(ctx, job.ID, job.DataCentre)
			if err != nil {
				return err
			}
			if !status.State.IsTerminal() {
				return errors.Newf("job %s of %s is %s", status.ID, status.Account, status.State)
			}
			d.recordJob(status)
			return nil
		})
		if err != nil {
			return err
		}
		if (i+1)%6 == 0 {
			d.printf("%2d of %d gangs ended after %v", i+1, len(submitted), time.Since(started).Round(100*time.Millisecond))
		}
	}
	return nil
}

// sendRequests sends requests to the instances in turn and counts their outcomes.
func (d *demo) sendRequests(ctx context.Context) {
	for i := range demoRequests {
		if !sleep(ctx, 15*time.Millisecond) {
			return
		}
		outcome := d.request(i)
		d.mu.Lock()
		d.requests[outcome]++
		d.mu.Unlock()
	}
}

// request sends one request and, like a load balancer, tries the next instance after a failed attempt.
func (d *demo) request(i int) string {
	body := fmt.Sprintf("stock-%d", i)
	for attempt := range demoInstances {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + d.callerAddress(i+attempt) + "/service/catalogue/stock?Account=kiosks")
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
			d.mismatched++
			d.mu.Unlock()
		}
		return outcome
	}
	return "no connection"
}

func (d *demo) printSummary() {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	defer func() { _ = w.Flush() }() // standard output
	printLine(w, "\nACCOUNT\tDONE\tREFUSED\tOTHER\tSTARTS\tUNDER GUARANTEE")
	for _, account := range []ids.AccountID{"wholesale", "monasteries", "parishes", "kiosks"} {
		d.printAccount(w, account)
	}
	printLine(w, "\nREQUESTS\tCOUNT")
	for outcome, count := range d.requests {
		printLine(w, "%s\t%d", outcome, count)
	}
	printLine(w, "answered with another request's response\t%d", d.mismatched)
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
	printLine(w, "%s\t%d\t%d\t%d\t%d\t%d", account, done, refused, other, starts, owed)
}

// checkResults returns an error unless every gang completed or was refused and every request got the response meant for it.
func (d *demo) checkResults() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.jobs {
		for _, j := range list {
			if j.State != caller.Done && j.State != caller.Refused {
				return errors.Newf("job %s of %s ended as %s: %s", j.ID, j.Account, j.State, j.Reason)
			}
		}
	}
	if d.mismatched > 0 || d.requests[string(caller.Answered)] != demoRequests {
		return errors.Newf("%d of %d requests got the response meant for them", d.requests[string(caller.Answered)]-d.mismatched, demoRequests)
	}
	return nil
}
