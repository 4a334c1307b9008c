// Package runservice is a stand-in for workers that start runs under leases on request, without checking whether their
// resources suffice.
package runservice

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Fleet is a set of workers. A gang may span several of them.
	Fleet struct {
		// Describe returns the simulated behaviour of a task; it is called under the fleet's lock.
		Describe func(t worker.Task) TaskSpec
		// Observe, if not nil, is called for each event under the fleet's lock.
		Observe func(e Event)
		// RefuseWhenDown makes calls to a crashed worker fail at once, as if its machine refused connections. Otherwise they get no answer.
		RefuseWhenDown bool
		// RestartAfter is the time after which a worker that a task has crashed restarts under its id.
		RestartAfter time.Duration

		mu sync.Mutex
		// endsPerReport limits the ends that a report holds; zero means no limit.
		endsPerReport int
		workers       map[ids.InstanceID]*Worker
		gangs         map[gangKey]*gang
	}

	// TaskSpec describes the simulated behaviour of a task.
	TaskSpec struct {
		// Gang is the number of members of the gang; zero for a task that is not in a gang.
		Gang     int
		RunTime  time.Duration
		StopTime time.Duration
		// Fails makes the run end as failed.
		Fails bool
		// CrashAfter is the time after which the run crashes its worker; zero for a run that does not.
		CrashAfter time.Duration
		// Checkpoints makes the run save a checkpoint when it is stopped.
		Checkpoints bool
	}

	// EventKind is the kind of an event on a worker.
	EventKind string

	// Event is an event on a worker.
	Event struct {
		Kind   EventKind
		Worker ids.InstanceID
		// Run is the run concerned. For a Crashed event it is the run that crashed the worker, if one did.
		Run worker.Run
		// Number is the sequence number of the end. It and Reason are set only for Ended and Acknowledged events.
		Number uint64
		Reason worker.EndReason
		// Late is set for a Started event if the worker executed the order after a delay, and Stray if the order was sent to an earlier incarnation and no call had reached
		// the present one, so that nobody could have kept it from starting the run.
		Late, Stray bool
	}

	// Worker is one worker of a fleet.
	Worker struct {
		fleet *Fleet
		id    ids.InstanceID

		incarnation uint64
		// bornAt is when the incarnation began, and with it its clock.
		bornAt time.Time
		down   bool
		// left means that the worker has closed its connections and its machine is off.
		left bool
		// partitioned means that the worker is unreachable; its runs continue.
		partitioned bool
		hangRuns    bool
		failRuns    bool
		fault       func(call string) Fault
		epoch       ids.Epoch
		runs        map[worker.Run]*run
		// tombstones holds, for each task, the highest number of a run that ended or was stopped; starting a run with this
		// number or a lower one is refused.
		tombstones  map[worker.Task]ids.RunNumber
		pendingEnds []worker.EndedRun
		endCount    uint64
		leaseTimer  *time.Timer
		leaseExpiry time.Time
		// changed is closed and replaced when a run ends.
		changed chan struct{}
	}

	// Fault is the fault to inject into one call. Its zero value injects none.
	Fault struct {
		// ExecuteAfter delivers the call after a delay to the incarnation of the worker that is up then, and never answers it. With Refusal, the call fails at
		// once and is delivered nevertheless: a device on the path has closed the caller's connection.
		ExecuteAfter time.Duration
		// LoseAnswer executes the call and never answers it.
		LoseAnswer bool
		// Silent neither executes nor answers the call.
		Silent    bool
		Unhealthy bool
		// Refusal, if set, is returned at once and the call is not executed, as if another process or none listened at the worker's address.
		Refusal error
	}

	run struct {
		worker.Run
		spec    TaskSpec
		started time.Time
		timer   *time.Timer
		// fails means that the run is to fail; its timer ends it and so its gang.
		fails bool
		// stopping means that the run was requested to stop; it ends as stopped unless its lease expires first.
		stopping bool
	}
)

// Kinds of events on a worker.
const (
	Started EventKind = "Started"
	Ended   EventKind = "Ended"
	// Acknowledged means that the worker discarded the report of an end after its acknowledgement.
	Acknowledged EventKind = "Acknowledged"
	// LeaseExpired means that the worker's lease has expired, which ends its runs.
	LeaseExpired EventKind = "LeaseExpired"
	// Crashed means that the worker lost its runs without reporting their ends.
	Crashed EventKind = "Crashed"
)

const (
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// lateThreshold is the delay from which an order counts as executed late.
	lateThreshold = 50 * time.Millisecond
	// gangStartTimeout is how long a member of a gang waits for the others to start.
	gangStartTimeout = 3 * time.Second
)

// Add adds a running worker.
func (f *Fleet) Add(id ids.InstanceID) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers == nil {
		f.workers = make(map[ids.InstanceID]*Worker)
		f.gangs = make(map[gangKey]*gang)
	}
	w := &Worker{fleet: f, id: id}
	w.startIncarnation()
	f.workers[id] = w
	return w
}

// SetEndsPerReport limits the ends that a report holds; zero means no limit.
func (f *Fleet) SetEndsPerReport(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endsPerReport = limit
}

// Worker returns the worker with the given ID.
func (f *Fleet) Worker(id ids.InstanceID) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// startIncarnation starts a new incarnation of the worker, without runs or tombstones.
func (w *Worker) startIncarnation() {
	w.incarnation++
	w.bornAt = time.Now()
	w.down, w.epoch, w.endCount, w.pendingEnds = false, 0, 0, nil
	w.leaseExpiry = time.Time{}
	w.runs = make(map[worker.Run]*run)
	w.tombstones = make(map[worker.Task]ids.RunNumber)
	w.changed = make(chan struct{})
}

// Incarnation returns the worker's current incarnation.
func (w *Worker) Incarnation() uint64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.incarnation
}

// Clock returns the reading of the worker's clock, which starts with each incarnation.
func (w *Worker) Clock() time.Duration {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return time.Since(w.bornAt)
}

// IsDown reports whether the worker has crashed and not restarted.
func (w *Worker) IsDown() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.down
}

// SetPartitioned sets whether the worker is cut off by a network partition.
func (w *Worker) SetPartitioned(partitioned bool) { w.update(func() { w.partitioned = partitioned }) }

// SetHangRuns sets whether runs that start from now on hang.
func (w *Worker) SetHangRuns(hangs bool) { w.update(func() { w.hangRuns = hangs }) }

// SetFailRuns sets whether runs that start from now on fail.
func (w *Worker) SetFailRuns(fails bool) { w.update(func() { w.failRuns = fails }) }

// SetFault replaces the function that selects the fault of each call; nil injects none.
func (w *Worker) SetFault(fault func(call string) Fault) { w.update(func() { w.fault = fault }) }

func (w *Worker) update(change func()) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	change()
}

// Crash simulates a crash of the worker: its runs are lost, and gangs with a member on it break.
func (w *Worker) Crash() {
	w.update(func() { w.crash(worker.Run{}) })
}

// Leave ends the worker's process, which closes its connections, and turns its machine off.
func (w *Worker) Leave() {
	w.update(func() {
		w.crash(worker.Run{})
		w.left = true
		if !w.fleet.RefuseWhenDown {
			close(w.changed)
		}
	})
}

// crash is Crash, caused by a run.
func (w *Worker) crash(cause worker.Run) {
	if w.down {
		return
	}
	w.down = true
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.observe(Event{Kind: Crashed, Run: cause})
	for _, r := range w.runs {
		w.removeRun(r)
		w.breakGang(r)
	}
	if w.fleet.RefuseWhenDown {
		close(w.changed)
	}
}

// crashAfter makes a run crash its worker, which restarts some time later.
func (w *Worker) crashAfter(d time.Duration, r *run) {
	w.afterFunc(d, func() {
		if w.runs[r.Run] != r {
			return
		}
		w.crash(r.Run)
		incarnation := w.incarnation
		w.afterFunc(w.fleet.RestartAfter, func() {
			if w.down && w.incarnation == incarnation {
				w.startIncarnation()
			}
		})
	})
}

// Restart starts a new incarnation of a crashed worker under the same ID.
func (w *Worker) Restart() {
	w.update(func() {
		if w.down {
			w.startIncarnation()
		}
	})
}

// removeRun removes a run without reporting its end.
func (w *Worker) removeRun(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.Run)
}

func (w *Worker) observe(e Event) {
	e.Worker = w.id
	if w.fleet.Observe != nil {
		w.fleet.Observe(e)
	}
}

// Client returns an in-process client of the worker.
func (w *Worker) Client() worker.RunClient {
	return worker.RunClient{
		Start: func(ctx context.Context, o worker.StartRunRequest) error {
			sent, sentTo := time.Now(), w.Incarnation()
			return w.handleCall(ctx, "start", func() error { return w.start(o, sent, sentTo) })
		},
		Stop: func(ctx context.Context, epoch ids.Epoch, r worker.Run) error {
			return w.handleCall(ctx, "stop", func() error { return w.stop(epoch, r) })
		},
		Renew: w.renew,
		Close: func() {},
	}
}

// handleCall executes a call and injects its fault.
func (w *Worker) handleCall(ctx context.Context, name string, execute func() error) error {
	w.fleet.mu.Lock()
	var f Fault
	if w.fault != nil {
		f = w.fault(name)
	}
	if w.left && name == "renewed" {
		w.fleet.mu.Unlock()
		return worker.ErrConnectionClosed
	}
	if w.down && w.fleet.RefuseWhenDown {
		w.fleet.mu.Unlock()
		return worker.ErrNotListening
	}
	isClosedOnPath := f.Refusal != nil && f.ExecuteAfter > 0
	unanswered := !isClosedOnPath && (w.down || w.partitioned || f.Silent || f.ExecuteAfter > 0)
	var err error
	switch {
	case unanswered:
	case f.Refusal != nil:
		err = f.Refusal
	case f.Unhealthy:
		err = worker.ErrUnhealthy
	default:
		err = execute()
	}
	if f.ExecuteAfter > 0 && !w.down && !w.partitioned {
		time.AfterFunc(f.ExecuteAfter, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if !w.down {
				_ = execute() // the caller never gets the outcome
			}
		})
	}
	w.fleet.mu.Unlock()
	if unanswered || f.LoseAnswer {
		<-ctx.Done()
		return errors.New("the worker did not answer")
	}
	return err
}

func (w *Worker) checkEpoch(epoch ids.Epoch) error {
	if epoch < w.epoch {
		return worker.ErrFenced
	}
	w.epoch = epoch
	return nil
}

// leaseEnd returns the end of a lease that was ordered from an incarnation of the worker. Another one reads the end on its own clock, which has started anew, so that
// the lease lasts as long as a lease can.
func (w *Worker) leaseEnd(sent time.Time, sentTo uint64, lease time.Duration) time.Time {
	if sentTo != w.incarnation && lease > 0 {
		return time.Now().Add(maxLease)
	}
	return sent.Add(lease)
}

func (w *Worker) start(o worker.StartRunRequest, sent time.Time, sentTo uint64) error {
	expiry, isStray := w.leaseEnd(sent, sentTo, o.Lease), sentTo != w.incarnation && w.epoch == 0
	if err := w.checkEpoch(o.Epoch); err != nil {
		return err
	}
	if !expiry.After(time.Now()) {
		return worker.ErrLeaseExpired
	}
	if w.runs[o.Run] != nil {
		return nil
	}
	w.extendLease(expiry)
	if o.Number <= w.tombstones[o.Task] {
		return worker.ErrSuperseded
	}
	r := &run{Run: o.Run, spec: w.fleet.Describe(o.Task), started: time.Now()}
	w.runs[o.Run] = r
	w.observe(Event{Kind: Started, Run: o.Run, Late: time.Since(sent) > lateThreshold, Stray: isStray})
	if r.spec.CrashAfter > 0 {
		w.crashAfter(r.spec.CrashAfter, r)
	}
	w.scheduleEnd(r)
	return nil
}

// scheduleEnd schedules the end of a run that started, or adds the run to its gang.
func (w *Worker) scheduleEnd(r *run) {
	end := worker.EndDone
	runTime := r.spec.RunTime
	if w.failRuns || r.spec.Fails {
		end, runTime = worker.EndFailed, runTime/4
	}
	if r.spec.Gang > 0 {
		w.joinGang(r, end, runTime)
		return
	}
	if !w.hangRuns {
		r.timer = w.afterFunc(runTime, func() { w.endRun(r, end) })
	}
}

// afterFunc calls run under the fleet's lock after a delay.
func (w *Worker) afterFunc(d time.Duration, run func()) *time.Timer {
	return time.AfterFunc(d, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		run()
	})
}

// endRun ends a run and queues its end for the next report.
func (w *Worker) endRun(r *run, reason worker.EndReason) {
	if w.runs[r.Run] != r || w.down {
		return
	}
	if r.stopping && reason != worker.EndLeaseExpired {
		reason = worker.EndStopped
	}
	w.removeRun(r)
	w.tombstones[r.Task] = max(w.tombstones[r.Task], r.Number)
	w.endCount++
	e := worker.EndedRun{Run: r.Run, Number: w.endCount, Reason: reason}
	if r.spec.Checkpoints && reason == worker.EndStopped {
		e.Checkpoint = "saved"
	}
	w.pendingEnds = append(w.pendingEnds, e)
	w.observe(Event{Kind: Ended, Run: r.Run, Number: w.endCount, Reason: reason})
	close(w.changed)
	w.changed = make(chan struct{})
	if reason != worker.EndDone {
		w.breakGang(r)
	}
}

func (w *Worker) stop(epoch ids.Epoch, ref worker.Run) error {
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	w.tombstones[ref.Task] = max(w.tombstones[ref.Task], ref.Number)
	if r := w.runs[ref]; r != nil && !r.stopping {
		r.stopping = true
		w.afterFunc(r.spec.StopTime, func() { w.endRun(r, worker.EndStopped) })
	}
	return nil
}

// extendLease extends the lease of all runs on the worker until expiry, but by no more than maxLease from now.
func (w *Worker) extendLease(expiry time.Time) {
	if limit := time.Now().Add(maxLease); expiry.After(limit) {
		expiry = limit
	}
	if !expiry.After(w.leaseExpiry) {
		return
	}
	w.leaseExpiry = expiry
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = w.afterFunc(time.Until(expiry), func() {
		if time.Now().Before(w.leaseExpiry) {
			return
		}
		w.observe(Event{Kind: LeaseExpired})
		for _, r := range w.runs {
			w.endRun(r, worker.EndLeaseExpired)
		}
	})
}
