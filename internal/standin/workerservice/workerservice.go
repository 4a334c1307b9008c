// Package workerservice is a stand-in for one worker that holds resources for tasks and runs the tasks under a lease, with
// fault injection.
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
	// Service is one worker. Total must be set; all other fields are optional.
	Service struct {
		Total ids.Resources
		// Observe, if not nil, is called for each change of a task's state.
		Observe func(ref worker.TaskRef, state worker.State)
		// BootID distinguishes the successive processes of a worker.
		BootID uint64
		// RunTime returns a task's run time, and whether the task fails, from its payload; nil decodes a Payload.
		RunTime func(payload []byte) (time.Duration, bool)

		mu         sync.Mutex
		faults     Faults
		epoch      ids.Epoch
		leaseTimer *time.Timer
		renewals   uint64
		tasks      map[worker.TaskRef]*task
		stopped    map[jobAttempt]ids.Epoch
		sequence   uint64
		// restarts counts the simulated crashes; the incarnation is the sum of BootID and restarts.
		restarts uint64
	}

	// Faults are the faults that the worker injects.
	Faults struct {
		// Silent neither executes nor answers any call.
		Silent bool
		// Unreachable fails all calls with worker.ErrUnreachable.
		Unreachable bool
		// RefuseHolds and RefuseStarts reject holds and starts.
		RefuseHolds, RefuseStarts bool
		// LoseAnswers executes holds, starts and stops but never answers them.
		LoseAnswers bool
		// LoseRenewAnswers executes renewals but never answers them.
		LoseRenewAnswers bool
		// FailTasks makes each task that starts end as failed after its run time.
		FailTasks bool
		// Delay is added to each call.
		Delay time.Duration
		// IgnoreEpoch accepts calls of any epoch, like a worker without fencing tokens.
		IgnoreEpoch bool
	}

	// Payload is the content of a task's payload that this stand-in decodes.
	Payload struct {
		RunTime time.Duration
		Fail    bool `json:",omitempty"`
	}

	jobAttempt struct {
		job     ids.JobID
		attempt ids.Attempt
	}

	task struct {
		report    worker.TaskReport
		each      ids.Resources
		startedAt time.Time
		runTime   time.Duration
		timer     *time.Timer
		sequence  uint64
	}
)

// Client returns an in-process client of the worker.
func (s *Service) Client() worker.Client {
	return worker.Client{Hold: s.hold, Start: s.start, Stop: s.stop, Renew: s.renew}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ObserveStarts replaces Observe with a function that is called for each change of a task's state; its argument reports
// whether the task started.
func (s *Service) ObserveStarts(observe func(started bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Observe = func(_ worker.TaskRef, state worker.State) { observe(state == worker.Running) }
}

// Crash simulates a crash and restart of the worker: all its tasks are lost.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.sortedTasks() {
		if !t.report.State.IsTerminal() {
			s.setState(t, worker.Stopped)
		}
	}
	s.tasks = nil
	s.sequence = 0
	s.restarts++
	s.epoch = 0
	if s.leaseTimer != nil {
		s.leaseTimer.Stop()
		s.leaseTimer = nil
	}
}

// Active returns the held and running tasks, sorted by job, attempt and index.
func (s *Service) Active() []worker.TaskReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var active []worker.TaskReport
	for _, t := range s.sortedTasks() {
		if !t.report.State.IsTerminal() {
			active = append(active, t.report)
		}
	}
	return active
}

// beginCall injects the faults of a call and rejects calls of an older epoch.
func (s *Service) beginCall(ctx context.Context, epoch ids.Epoch) error {
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

// finishCall returns err. If LoseAnswers is set, it waits until ctx is done and returns worker.ErrUnknown instead.
func (s *Service) finishCall(ctx context.Context, err error) error {
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
	if err := s.beginCall(ctx, h.Epoch); err != nil {
		return err
	}
	return s.finishCall(ctx, s.holdTasks(h))
}

func (s *Service) holdTasks(h worker.Hold) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped, found := s.stopped[jobAttempt{h.Job, h.Attempt}]
	if s.faults.RefuseHolds || (found && stopped >= h.Epoch) {
		return worker.ErrRefused
	}
	free := s.Total
	for _, t := range s.tasks {
		if !t.report.State.IsTerminal() {
			free = free.Minus(t.each)
		}
	}
	if !free.Contains(h.Each.Times(len(h.Tasks))) {
		return worker.ErrRefused
	}
	for _, i := range h.Tasks {
		ref := worker.TaskRef{Job: h.Job, Attempt: h.Attempt, Index: i}
		t := &task{report: worker.TaskReport{TaskRef: ref}, each: h.Each}
		s.tasks[ref] = t
		s.setState(t, worker.Held)
		t.timer = time.AfterFunc(h.TTL, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if t.report.State == worker.Held {
				s.setState(t, worker.Stopped)
			}
		})
	}
	return nil
}

func (s *Service) start(ctx context.Context, st worker.Start) error {
	if err := s.beginCall(ctx, st.Epoch); err != nil {
		return err
	}
	return s.finishCall(ctx, s.startTasks(st))
}

func (s *Service) startTasks(st worker.Start) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []*task
	for _, t := range s.sortedTasks() {
		if t.report.Job == st.Job && t.report.Attempt == st.Attempt {
			if t.report.State != worker.Held {
				return worker.ErrRefused
			}
			held = append(held, t)
		}
	}
	if len(held) == 0 || s.faults.RefuseStarts || s.leaseTimer == nil {
		return worker.ErrRefused
	}
	runTime, fail := s.runTime(st.Payload)
	fail = fail || s.faults.FailTasks
	for _, t := range held {
		t.timer.Stop()
		t.startedAt = time.Now()
		t.runTime = runTime
		s.setState(t, worker.Running)
		end := worker.Ended
		if fail {
			end = worker.Failed
		}
		t.timer = time.AfterFunc(runTime, func() { s.endTask(t, end) })
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

func (s *Service) endTask(t *task, state worker.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.report.State == worker.Running {
		t.report.Progress = 1
		s.setState(t, state)
	}
}

func (s *Service) stop(ctx context.Context, st worker.Stop) (worker.Stopping, error) {
	if err := s.beginCall(ctx, st.Epoch); err != nil {
		return worker.Stopping{}, err
	}
	if st.Grace > 0 {
		time.Sleep(st.Grace / 2)
	}
	stopping := s.stopTasks(st)
	return stopping, s.finishCall(ctx, nil)
}

func (s *Service) stopTasks(st worker.Stop) worker.Stopping {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[jobAttempt{st.Job, st.Attempt}] = st.Epoch
	minProgress := 1.0
	for _, t := range s.sortedTasks() {
		if t.report.Job != st.Job || t.report.Attempt > st.Attempt {
			continue
		}
		if st.Grace > 0 && t.report.State == worker.Running && t.runTime > 0 {
			t.report.Progress = min(1, float64(time.Since(t.startedAt))/float64(t.runTime))
		}
		if !t.report.State.IsTerminal() {
			s.setState(t, worker.Stopped)
		}
		minProgress = min(minProgress, t.report.Progress)
	}
	return worker.Stopping{Progress: minProgress}
}

func (s *Service) renew(ctx context.Context, r worker.Renew) (worker.Report, error) {
	if err := s.beginCall(ctx, r.Epoch); err != nil {
		return worker.Report{}, err
	}
	report, lose := s.renewLease(r)
	if lose {
		<-ctx.Done()
		return worker.Report{}, worker.ErrUnknown
	}
	return report, nil
}

// renewLease extends the lease and returns the report, and whether the answer is lost.
func (s *Service) renewLease(r worker.Renew) (report worker.Report, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseTimer != nil {
		s.leaseTimer.Stop()
	}
	s.renewals++
	renewal := s.renewals
	s.leaseTimer = time.AfterFunc(r.TTL, func() { s.expireLease(renewal) })
	incarnation := s.BootID + s.restarts
	report = worker.Report{Sequence: s.sequence, Incarnation: incarnation, Full: r.Since == 0 || r.Incarnation != incarnation}
	if s.faults.LoseRenewAnswers {
		return report, true
	}
	for _, t := range s.sortedTasks() {
		if report.Full || t.sequence > r.Since {
			report.Tasks = append(report.Tasks, t.report)
		} else if t.report.State.IsTerminal() {
			delete(s.tasks, t.report.TaskRef)
		}
	}
	return report, false
}

// expireLease stops all tasks unless the lease was renewed after the given renewal.
func (s *Service) expireLease(renewal uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if renewal != s.renewals {
		return // renewed while this call waited for the lock
	}
	s.leaseTimer = nil
	for _, t := range s.sortedTasks() {
		if !t.report.State.IsTerminal() {
			s.setState(t, worker.Stopped)
		}
	}
}

func (s *Service) setState(t *task, state worker.State) {
	s.sequence++
	t.sequence = s.sequence
	t.report.State = state
	if state.IsTerminal() && t.timer != nil {
		t.timer.Stop()
	}
	if s.Observe != nil {
		s.Observe(t.report.TaskRef, state)
	}
}

func (s *Service) sortedTasks() []*task {
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
