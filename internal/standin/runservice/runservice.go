// Package runservice is a stand-in of workers that start runs as they are told, under leases, without guarding their room.
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
	// Fleet is a set of workers. Gangs work across them.
	Fleet struct {
		// Describe returns what a task of a job is; it is called under the fleet's lock.
		Describe func(t worker.Task) Task
		// Observe is told of each event, under the fleet's lock; nil observes nothing.
		Observe func(e Event)

		mu      sync.Mutex
		workers map[ids.InstanceID]*Worker
		gangs   map[gangKey]*gang
	}

	// Task is what a worker knows of a task.
	Task struct {
		// Gang is the number of members of its gang; zero is a task by itself.
		Gang     int
		RunTime  time.Duration
		StopTime time.Duration
		// Fails tells that the run ends as failed.
		Fails bool
		// Checkpoints tells that the run saves its progress when it is stopped.
		Checkpoints bool
	}

	// EventKind names what happened on a worker.
	EventKind string

	// Event is something that happened on a worker.
	Event struct {
		Kind   EventKind
		Worker ids.InstanceID
		Run    worker.Run
		// Number and How tell of ends.
		Number uint64
		How    worker.Ending
	}

	// Worker is one worker.
	Worker struct {
		fleet *Fleet
		id    ids.InstanceID

		incarnation uint64
		down        bool
		// cut tells that the worker can't be reached; it works on.
		cut    bool
		hangs  bool
		fails  bool
		fault  func(order string) Fault
		epoch  ids.Epoch
		runs   map[worker.Run]*run
		barred map[worker.Task]ids.RunNumber
		ended  []worker.End
		ends   uint64
		lapse  *time.Timer
		lapses time.Time
		// changed is closed at each end.
		changed chan struct{}
	}

	// Fault is what goes wrong with one order. Its zero value is an order that goes well.
	Fault struct {
		// Late carries the order out after a delay, without an answer.
		Late time.Duration
		// LoseAnswer carries it out and doesn't answer.
		LoseAnswer bool
		Unhealthy  bool
	}

	run struct {
		worker.Run
		spec    Task
		started time.Time
		timer   *time.Timer
		// stopping tells that the run ends as stopped soon.
		stopping bool
	}

	gangKey struct {
		job        ids.JobID
		occurrence int
		step       int
		number     ids.RunNumber
	}

	gang struct {
		members map[*run]*Worker
		over    bool
	}
)

// What happens on workers.
const (
	Started EventKind = "Started"
	Ended   EventKind = "Ended"
	// Acknowledged ends are forgotten by their worker.
	Acknowledged EventKind = "Acknowledged"
	// Crashed workers have lost their runs without an end.
	Crashed EventKind = "Crashed"
)

const (
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// gangWait is how long the members of a gang wait for each other.
	gangWait = 3 * time.Second
)

// Add adds a worker that is up.
func (f *Fleet) Add(id ids.InstanceID) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers == nil {
		f.workers = make(map[ids.InstanceID]*Worker)
		f.gangs = make(map[gangKey]*gang)
	}
	w := &Worker{fleet: f, id: id}
	w.begin()
	f.workers[id] = w
	return w
}

// Worker returns a worker by its id.
func (f *Fleet) Worker(id ids.InstanceID) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// begin starts a life of the worker.
func (w *Worker) begin() {
	w.incarnation++
	w.down, w.epoch, w.ends, w.ended = false, 0, 0, nil
	w.runs = make(map[worker.Run]*run)
	w.barred = make(map[worker.Task]ids.RunNumber)
	w.changed = make(chan struct{})
}

// Incarnation returns the number of the worker's life.
func (w *Worker) Incarnation() uint64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.incarnation
}

// SetCut cuts the worker off, or connects it again.
func (w *Worker) SetCut(cut bool) { w.set(func() { w.cut = cut }) }

// SetHangs makes the runs that start from now on stand still, or not.
func (w *Worker) SetHangs(hangs bool) { w.set(func() { w.hangs = hangs }) }

// SetFails makes the runs that start from now on fail, or not.
func (w *Worker) SetFails(fails bool) { w.set(func() { w.fails = fails }) }

// SetFault replaces what goes wrong with orders; nil ends all faults.
func (w *Worker) SetFault(fault func(order string) Fault) { w.set(func() { w.fault = fault }) }

func (w *Worker) set(change func()) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	change()
}

// Crash ends the worker's process; its runs are gone, and gangs that had members there are broken.
func (w *Worker) Crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.observe(Event{Kind: Crashed})
	for _, r := range w.runs {
		w.drop(r)
		w.breakGang(r)
	}
}

// Restart begins a new life of a crashed worker under the same id.
func (w *Worker) Restart() {
	w.set(func() {
		if w.down {
			w.begin()
		}
	})
}

// drop takes a run away without an end.
func (w *Worker) drop(r *run) {
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

// Runs returns the calls of the worker.
func (w *Worker) Runs() worker.Runs {
	return worker.Runs{
		Start: func(ctx context.Context, o worker.RunOrder) error {
			until := time.Now().Add(o.Lease)
			return w.order(ctx, "start", func() error { return w.start(o, until) })
		},
		Stop: func(ctx context.Context, epoch ids.Epoch, r worker.Run) error {
			return w.order(ctx, "stop", func() error { return w.stop(epoch, r) })
		},
		Renew: w.renew,
		Close: func() {},
	}
}

// order carries an order out, with its fault.
func (w *Worker) order(ctx context.Context, name string, carryOut func() error) error {
	w.fleet.mu.Lock()
	var f Fault
	if w.fault != nil {
		f = w.fault(name)
	}
	life := w.incarnation
	silent := w.down || w.cut || f.Late > 0
	var err error
	switch {
	case silent:
	case f.Unhealthy:
		err = worker.ErrUnhealthy
	default:
		err = carryOut()
	}
	if f.Late > 0 && !w.down && !w.cut {
		time.AfterFunc(f.Late, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if !w.down && w.incarnation == life {
				_ = carryOut() // nobody learns of its outcome
			}
		})
	}
	w.fleet.mu.Unlock()
	if silent || f.LoseAnswer {
		<-ctx.Done()
		return errors.New("no answer")
	}
	return err
}

func (w *Worker) fence(epoch ids.Epoch) error {
	if epoch < w.epoch {
		return worker.ErrFenced
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) start(o worker.RunOrder, until time.Time) error {
	if err := w.fence(o.Epoch); err != nil {
		return err
	}
	if !until.After(time.Now()) {
		return worker.ErrLeaseOver
	}
	if w.runs[o.Run] != nil {
		return nil
	}
	w.extend(until)
	if o.Number <= w.barred[o.Task] {
		return worker.ErrSuperseded
	}
	r := &run{Run: o.Run, spec: w.fleet.Describe(o.Task), started: time.Now()}
	w.runs[o.Run] = r
	w.observe(Event{Kind: Started, Run: o.Run})
	w.work(r)
	return nil
}

// work lets a run begin, with its gang if it has one.
func (w *Worker) work(r *run) {
	end := worker.EndDone
	runTime := r.spec.RunTime
	if w.fails || r.spec.Fails {
		end, runTime = worker.EndFailed, runTime/4
	}
	if r.spec.Gang > 0 {
		w.join(r, end, runTime)
		return
	}
	if !w.hangs {
		r.timer = w.after(runTime, func() { w.end(r, end) })
	}
}

// after runs a function under the fleet's lock.
func (w *Worker) after(d time.Duration, run func()) *time.Timer {
	return time.AfterFunc(d, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		run()
	})
}

// join adds a run to its gang, which works once all are there.
func (w *Worker) join(r *run, end worker.Ending, runTime time.Duration) {
	key := gangKey{r.Job, r.Occurrence, r.Step, r.Number}
	g := w.fleet.gangs[key]
	if g == nil {
		g = &gang{members: make(map[*run]*Worker)}
		w.fleet.gangs[key] = g
	}
	if g.over {
		r.timer = w.after(gangWait, func() { w.end(r, worker.EndAlone) })
		return
	}
	g.members[r] = w
	r.timer = w.after(gangWait, func() { w.end(r, worker.EndAlone) })
	if end == worker.EndFailed {
		r.timer.Stop()
		r.timer = w.after(runTime, func() { w.end(r, end) })
	}
	if len(g.members) < r.spec.Gang {
		return
	}
	hangs := false
	for member, on := range g.members {
		hangs = hangs || on.hangs
		if end == worker.EndDone {
			member.timer.Stop()
		}
	}
	if hangs || end == worker.EndFailed {
		return
	}
	r.timer = w.after(runTime, func() {
		if g.over {
			return
		}
		g.over = true
		for member, on := range g.members {
			on.end(member, worker.EndDone)
		}
	})
}

// breakGang ends the other members of a run's gang.
func (w *Worker) breakGang(r *run) {
	g := w.fleet.gangs[gangKey{r.Job, r.Occurrence, r.Step, r.Number}]
	if r.spec.Gang == 0 || g == nil || g.over {
		return
	}
	g.over = true
	for member, on := range g.members {
		if member != r && on.runs[member.Run] == member {
			on.end(member, worker.EndBroken)
		}
	}
}

// end ends a run and lists its end.
func (w *Worker) end(r *run, how worker.Ending) {
	if w.runs[r.Run] != r || w.down {
		return
	}
	if r.stopping && how != worker.EndLapsed {
		how = worker.EndStopped
	}
	w.drop(r)
	w.barred[r.Task] = max(w.barred[r.Task], r.Number)
	w.ends++
	e := worker.End{Run: r.Run, Number: w.ends, How: how}
	if r.spec.Checkpoints && how == worker.EndStopped {
		e.Checkpoint = "saved"
	}
	w.ended = append(w.ended, e)
	w.observe(Event{Kind: Ended, Run: r.Run, Number: w.ends, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
	if how != worker.EndDone {
		w.breakGang(r)
	}
}

func (w *Worker) stop(epoch ids.Epoch, ref worker.Run) error {
	if err := w.fence(epoch); err != nil {
		return err
	}
	w.barred[ref.Task] = max(w.barred[ref.Task], ref.Number)
	if r := w.runs[ref]; r != nil && !r.stopping {
		r.stopping = true
		w.after(r.spec.StopTime, func() { w.end(r, worker.EndStopped) })
	}
	return nil
}

// extend lets everything on the worker run until a time, at most the longest lease.
func (w *Worker) extend(until time.Time) {
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if !until.After(w.lapses) {
		return
	}
	w.lapses = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = w.after(time.Until(until), func() {
		if time.Now().Before(w.lapses) {
			return
		}
		for _, r := range w.runs {
			w.end(r, worker.EndLapsed)
		}
	})
}

func (w *Worker) renew(ctx context.Context, o worker.RenewOrder) (worker.RunReport, error) {
	until := time.Now().Add(o.Lease)
	var report worker.RunReport
	var changed chan struct{}
	look := func() error {
		report, changed = worker.RunReport{Incarnation: w.incarnation}, w.changed
		for _, r := range w.runs {
			report.Active = append(report.Active, worker.Active{Run: r.Run, Percent: r.percent(w.hangs)})
		}
		report.Ended = append(report.Ended, w.ended...)
		return nil
	}
	err := w.order(ctx, "renew", func() error {
		if err := w.fence(o.Epoch); err != nil {
			return err
		}
		for len(w.ended) > 0 && w.ended[0].Number <= o.Acknowledged {
			w.observe(Event{Kind: Acknowledged, Run: w.ended[0].Run, Number: w.ended[0].Number, How: w.ended[0].How})
			w.ended = w.ended[1:]
		}
		if o.Lease > 0 {
			w.extend(until)
		}
		return look()
	})
	if err != nil {
		// The order may be carried out later, and then writes the report.
		return worker.RunReport{}, err
	}
	if o.Wait == 0 || len(report.Ended) > 0 {
		return report, nil
	}
	select {
	case <-changed:
	case <-time.After(o.Wait):
	case <-ctx.Done():
		return worker.RunReport{}, errors.New("no answer")
	}
	if err := w.order(ctx, "renewed", look); err != nil {
		return worker.RunReport{}, err
	}
	return report, nil
}

// percent returns the part of a run that is done.
func (r *run) percent(hangs bool) int {
	if hangs || r.spec.RunTime <= 0 {
		return 0
	}
	return int(min(99, 100*time.Since(r.started)/r.spec.RunTime))
}
