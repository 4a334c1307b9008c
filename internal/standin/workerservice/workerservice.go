// Package workerservice is a small stand-in of one worker that runs tasks under leases.
package workerservice

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Service is one worker. Total must be set; the other parts work when zero.
	Service struct {
		Total ids.Resources
		// Observe is told of each change of a task's state; nil observes nothing.
		Observe func(ref worker.TaskRef, state worker.State)
		// Boot tells one process of the worker from the next.
		Boot uint64
		// RunTime returns a task's run time from its payload; nil reads it as a Payload.
		RunTime func(payload []byte) (time.Duration, bool)

		mu       sync.Mutex
		faults   Faults
		epoch    ids.Epoch
		lapse    *time.Timer
		renewals uint64
		tasks    map[worker.TaskRef]*task
		stopped  map[jobAttempt]ids.Epoch
		sequence uint64
		// restarts counts the losses of all tasks; with Boot it makes the incarnation.
		restarts uint64
	}

	// Faults are what the worker does wrong.
	Faults struct {
		// Silent gives no answer to any call and doesn't act on it.
		Silent bool
		// Unreachable doesn't receive calls.
		Unreachable bool
		// RefuseHolds and RefuseStarts refuse these calls.
		RefuseHolds, RefuseStarts bool
		// LoseAnswers acts on holds, starts and stops without answering.
		LoseAnswers bool
		// FailTasks ends every task at once with failure.
		FailTasks bool
		// Delay is added to each call.
		Delay time.Duration
		// IgnoreEpoch takes calls of any epoch, as a worker without fencing tokens does.
		IgnoreEpoch bool
	}

	// Payload is what this stand-in reads from a task's payload.
	Payload struct {
		RunTime time.Duration
		Fail    bool `json:",omitempty"`
	}

	jobAttempt struct {
		job     ids.JobID
		attempt ids.Attempt
	}

	task struct {
		report   worker.TaskReport
		each     ids.Resources
		since    time.Time
		runTime  time.Duration
		timer    *time.Timer
		sequence uint64
	}
)

// Client returns the calls of this worker, for use within one process.
func (s *Service) Client() worker.Client {
	return worker.Client{Hold: s.hold, Start: s.start, Stop: s.stop, Renew: s.renew}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Watch replaces Observe by a function that is told whether a task was started, or changed otherwise.
func (s *Service) Watch(observe func(started bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Observe = func(_ worker.TaskRef, state worker.State) { observe(state == worker.Running) }
}

// Crash loses all tasks at once, as a restart of the instance does.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.sorted() {
		if !t.report.State.Over() {
			s.set(t, worker.Stopped)
		}
	}
	s.tasks = nil
	s.sequence = 0
	s.restarts++
}

// Active returns the tasks that hold resources, in order.
func (s *Service) Active() []worker.TaskReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var active []worker.TaskReport
	for _, t := range s.sorted() {
		if !t.report.State.Over() {
			active = append(active, t.report)
		}
	}
	return active
}

func (s *Service) admit(ctx context.Context, epoch ids.Epoch) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Unreachable {
		return worker.ErrUnreachable
	}
	if f.Silent {
		<-ctx.Done()
		return worker.ErrUnknown
	}
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return worker.ErrUnknown
		case <-time.After(f.Delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch && !f.IgnoreEpoch {
		return worker.ErrFenced
	}
	s.epoch = max(s.epoch, epoch)
	if s.tasks == nil {
		s.tasks = make(map[worker.TaskRef]*task)
	}
	if s.stopped == nil {
		s.stopped = make(map[jobAttempt]ids.Epoch)
	}
	return nil
}

func (s *Service) answer(ctx context.Context, err error) error {
	s.mu.Lock()
	lose := s.faults.LoseAnswers
	s.mu.Unlock()
	if !lose {
		return err
	}
	<-ctx.Done()
	return worker.ErrUnknown
}

func (s *Service) hold(ctx context.Context, h worker.Hold) error {
	if err := s.admit(ctx, h.Epoch); err != nil {
		return err
	}
	return s.answer(ctx, s.takeHold(h))
}

func (s *Service) takeHold(h worker.Hold) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped, found := s.stopped[jobAttempt{h.Job, h.Attempt}]
	if s.faults.RefuseHolds || (found && stopped >= h.Epoch) {
		return worker.ErrRefused
	}
	free := s.Total
	for _, t := range s.tasks {
		if !t.report.State.Over() {
			free = free.Minus(t.each)
		}
	}
	if !free.Fits(h.Each.Times(len(h.Tasks))) {
		return worker.ErrRefused
	}
	for _, i := range h.Tasks {
		ref := worker.TaskRef{Job: h.Job, Attempt: h.Attempt, Index: i}
		t := &task{report: worker.TaskReport{TaskRef: ref}, each: h.Each}
		s.tasks[ref] = t
		s.set(t, worker.Held)
		t.timer = time.AfterFunc(h.TTL, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if t.report.State == worker.Held {
				s.set(t, worker.Stopped)
			}
		})
	}
	return nil
}

func (s *Service) start(ctx context.Context, st worker.Start) error {
	if err := s.admit(ctx, st.Epoch); err != nil {
		return err
	}
	return s.answer(ctx, s.takeStart(st))
}

func (s *Service) takeStart(st worker.Start) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []*task
	for _, t := range s.sorted() {
		if t.report.Job == st.Job && t.report.Attempt == st.Attempt {
			if t.report.State != worker.Held {
				return worker.ErrRefused
			}
			held = append(held, t)
		}
	}
	if len(held) == 0 || s.faults.RefuseStarts || s.lapse == nil {
		return worker.ErrRefused
	}
	runTime, fail := s.runTime(st.Payload)
	fail = fail || s.faults.FailTasks
	for _, t := range held {
		t.timer.Stop()
		t.since = time.Now()
		t.runTime = runTime
		s.set(t, worker.Running)
		end := worker.Ended
		if fail {
			end = worker.Failed
		}
		t.timer = time.AfterFunc(runTime, func() { s.end(t, end) })
	}
	return nil
}

func (s *Service) runTime(payload []byte) (time.Duration, bool) {
	if s.RunTime != nil {
		return s.RunTime(payload)
	}
	var p Payload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, true
	}
	return p.RunTime, p.Fail
}

func (s *Service) end(t *task, state worker.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.report.State == worker.Running {
		t.report.Progress = 1
		s.set(t, state)
	}
}

func (s *Service) stop(ctx context.Context, st worker.Stop) (worker.Stopping, error) {
	if err := s.admit(ctx, st.Epoch); err != nil {
		return worker.Stopping{}, err
	}
	if st.Grace > 0 {
		time.Sleep(st.Grace / 2)
	}
	answer := s.takeStop(st)
	return answer, s.answer(ctx, nil)
}

func (s *Service) takeStop(st worker.Stop) worker.Stopping {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[jobAttempt{st.Job, st.Attempt}] = st.Epoch
	progress := 1.0
	for _, t := range s.sorted() {
		if t.report.Job != st.Job || t.report.Attempt > st.Attempt {
			continue
		}
		if st.Grace > 0 && t.report.State == worker.Running && t.runTime > 0 {
			t.report.Progress = min(1, float64(time.Since(t.since))/float64(t.runTime))
		}
		if !t.report.State.Over() {
			s.set(t, worker.Stopped)
		}
		progress = min(progress, t.report.Progress)
	}
	return worker.Stopping{Progress: progress}
}

func (s *Service) renew(ctx context.Context, r worker.Renew) (worker.Report, error) {
	if err := s.admit(ctx, r.Epoch); err != nil {
		return worker.Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapse != nil {
		s.lapse.Stop()
	}
	s.renewals++
	renewal := s.renewals
	s.lapse = time.AfterFunc(r.TTL, func() { s.lapsed(renewal) })
	incarnation := s.Boot + s.restarts
	report := worker.Report{Sequence: s.sequence, Incarnation: incarnation, Full: r.Since == 0 || r.Incarnation != incarnation}
	for _, t := range s.sorted() {
		if report.Full || t.sequence > r.Since {
			report.Tasks = append(report.Tasks, t.report)
		} else if t.report.State.Over() {
			delete(s.tasks, t.report.TaskRef)
		}
	}
	return report, nil
}

// lapsed stops all tasks, since nobody renewed the lease under which they ran.
func (s *Service) lapsed(renewal uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if renewal != s.renewals {
		return // a renewal came while this call waited
	}
	s.lapse = nil
	for _, t := range s.sorted() {
		if !t.report.State.Over() {
			s.set(t, worker.Stopped)
		}
	}
}

func (s *Service) set(t *task, state worker.State) {
	s.sequence++
	t.sequence = s.sequence
	t.report.State = state
	if state.Over() && t.timer != nil {
		t.timer.Stop()
	}
	if s.Observe != nil {
		s.Observe(t.report.TaskRef, state)
	}
}

func (s *Service) sorted() []*task {
	all := make([]*task, 0, len(s.tasks))
	for _, t := range s.tasks {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].report.TaskRef, all[j].report.TaskRef
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Attempt != b.Attempt {
			return a.Attempt < b.Attempt
		}
		return a.Index < b.Index
	})
	return all
}
