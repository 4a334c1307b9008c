package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// recoveringState returns a state that recovers a job of an earlier owner.
func recoveringState(j *Job) *State {
	s := testState(4, 4)
	s.Epoch = 2
	j.State = Accepted
	j.openOne()
	s.Recover([]*Job{j}, testStart)
	return s
}

func runOf(j *Job, index int, number ids.RunNumber) worker.Run {
	return worker.Run{Task: worker.Task{Job: j.ID, Index: index}, Number: number}
}

// An owner without access to the store starts the next run after a failure that only it knows. The worker reports that end
// to the next owner, which finds the newer run active.
func TestEndsOfEarlierRunsCount(t *testing.T) {
	j := gangJob("a", 1, 1, 8, time.Second)
	j.MaxAttempts = 2
	s := recoveringState(j)
	s.Reported("w0001", worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: runOf(j, 0, 1002)}}}, testStart, testStart)
	s.Reported("w0000", worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: runOf(j, 0, 1001), Number: 1, Reason: worker.EndFailed}}}, testStart, testStart)
	s.EndRecovery(nil, testStart, testStart)
	now := testStart.Add(time.Second)
	s.Reported("w0001", worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: runOf(j, 0, 1002), Number: 1, Reason: worker.EndFailed}}}, now, now)
	actions, _ := s.Decide(now.Add(time.Minute))
	require.Empty(t, actions, "two runs have failed, and the queue allows no more")
	require.Equal(t, Failed, j.State)
}

// A worker that restarts under the same id restarts its numbering of ends.
func TestRestartedWorker(t *testing.T) {
	s := testState(1, 1)
	j := gangJob("a", 1, 1, 8, time.Second)
	s.accept(j, testStart)
	actions, _ := s.Decide(testStart)
	require.Len(t, actions, 1)
	s.RunStarted(actions[0].Worker, actions[0].Run, testStart)
	n := s.nodes["w0000"]
	n.handledEnd, n.acknowledgedEnd = 7, 7

	now := testStart.Add(time.Second)
	s.Reported("w0000", worker.RunReport{Incarnation: 2}, now, now)
	require.Empty(t, n.runs, "no run of the earlier incarnation is left")
	require.Zero(t, s.AcknowledgedEnd("w0000"))
	actions, _ = s.Decide(now.Add(time.Second))
	require.Empty(t, actions, "the crash is not stored yet")
	s.MarkStored("a", j.Version())
	actions, _ = s.Decide(now.Add(time.Second))
	require.Empty(t, actions, "the next start is not stored yet")
	s.MarkStored("a", j.Version())
	actions, _ = s.Decide(now.Add(time.Second))
	require.Len(t, actions, 1, "the job starts again")
	require.Greater(t, actions[0].Run.Number, j.units[0].number-1)
}

// A run that is being stopped holds its resources until its end is reported.
func TestStoppedRunsHoldResources(t *testing.T) {
	s := testState(1, 1)
	first, second := gangJob("a", 1, 1, 8, time.Second), gangJob("b", 1, 1, 8, time.Second)
	s.accept(first, testStart)
	actions, _ := s.Decide(testStart)
	s.RunStarted("w0000", actions[0].Run, testStart)
	s.accept(second, testStart)
	s.Cancel("a", testStart)
	actions, _ = s.Decide(testStart)
	require.Equal(t, []Action{{Kind: StopRun, Worker: "w0000", Run: runOf(first, 0, 1001)}}, actions)

	now := testStart.Add(100 * time.Millisecond)
	s.StopConfirmed("w0000", runOf(first, 0, 1001), now)
	actions, _ = s.Decide(now)
	require.Empty(t, actions)
	// A report requested before the stop was confirmed may omit the run.
	s.Reported("w0000", worker.RunReport{Incarnation: 1}, testStart, now)
	actions, _ = s.Decide(now)
	require.Empty(t, actions)

	now = now.Add(time.Second)
	s.Reported("w0000", worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: runOf(first, 0, 1001), Number: 1, Reason: worker.EndStopped}}}, now, now)
	actions, _ = s.Decide(now)
	require.Len(t, actions, 1)
	require.Equal(t, ids.JobID("b"), actions[0].Run.Job)
}

// Guards against jobs that are shown as active, and missing among the pending ones, although no worker has begun any task of them: a start that is only ordered may be
// refused or lost.
func TestPendingUntilBegun(t *testing.T) {
	unhealthy := worker.ErrUnhealthy
	for name, test := range map[string]struct {
		// answer is the outcome of the order.
		answer func(s *State, a Action, now time.Time)
		begun  bool
	}{
		"ordered":       {answer: func(*State, Action, time.Time) {}},
		"refused":       {answer: func(s *State, a Action, now time.Time) { s.RunRefused(a.Worker, a.Run, unhealthy, true, now) }},
		"no answer":     {answer: func(s *State, a Action, now time.Time) { s.RunStartUnknown(a.Worker, a.Run, now) }},
		"process ended": {answer: func(s *State, a Action, now time.Time) { s.MarkDead(a.Worker, "its process has ended", now) }},
		"confirmed":     {answer: func(s *State, a Action, now time.Time) { s.RunStarted(a.Worker, a.Run, now) }, begun: true},
		"no answer, listed": {begun: true, answer: func(s *State, a Action, now time.Time) {
			s.RunStartUnknown(a.Worker, a.Run, now)
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: a.Run}}}, now, now)
		}},
		"no answer, stopped": {begun: true, answer: func(s *State, a Action, now time.Time) {
			s.RunStartUnknown(a.Worker, a.Run, now)
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: a.Run, Number: 1, Reason: worker.EndStopped}}}, now, now)
		}},
		"confirmed, lost": {begun: true, answer: func(s *State, a Action, now time.Time) {
			s.RunStarted(a.Worker, a.Run, now)
			s.MarkDead(a.Worker, "its process has ended", now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			j := gangJob("a", 1, 1, 8, 4*time.Second)
			s.accept(j, testStart)
			actions, _ := s.Decide(testStart)
			require.Len(t, actions, 1)
			s.ExtendLease(actions[0].Worker, testStart.Add(simLease))
			test.answer(s, actions[0], testStart.Add(100*time.Millisecond))
			check := func(s *State, j *Job) {
				require.Equal(t, test.begun, j.Begun())
				require.Equal(t, !test.begun, s.Pending(func(*Job) bool { return true }) == 1)
			}
			check(s, j)
			record, err := j.Encode("1", 0)
			require.NoError(t, err)
			stored, err := Decode(record)
			require.NoError(t, err)
			next := testState(1, 1)
			next.Epoch = 2
			next.Recover([]*Job{stored}, testStart)
			check(next, stored)
		})
	}
}

// A job whose last attempt has failed ends at once, even while another member of the gang is being stopped, and a later owner
// that recovers its record does not start it.
func TestLastFailureEndsTheJob(t *testing.T) {
	s := testState(2, 2)
	j := gangJob("a", 1, 2, 8, time.Second)
	j.MaxAttempts = 1
	s.accept(j, testStart)
	actions := s.startAll(testStart)
	require.Len(t, actions, 2)
	s.Reported("w0000", worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: actions[0].Run, Number: 1, Reason: worker.EndFailed}}}, testStart, testStart)
	require.Equal(t, Failed, j.State)
	require.NotEmpty(t, s.nodes["w0001"].runs, "the other member holds its resources until it has ended")

	j.State = Accepted
	value, err := j.Encode("1", 0)
	require.NoError(t, err)
	found, err := Decode(value)
	require.NoError(t, err)
	next := testState(2, 2)
	next.Epoch = 2
	next.Recover([]*Job{found}, testStart)
	next.EndRecovery(nil, testStart, testStart)
	actions, _ = next.Decide(testStart.Add(time.Minute))
	require.Empty(t, actions)
	require.Equal(t, Failed, found.State)
}

// A stalled gang is stopped and restarted elsewhere; a failure is counted for its slowest worker.
func TestStalledGang(t *testing.T) {
	s := testState(4, 2)
	j := gangJob("a", 1, 2, 8, 4*time.Second)
	s.accept(j, testStart)
	actions := s.startAll(testStart)
	require.Len(t, actions, 2)
	now := testStart
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		s.Reported(actions[0].Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: actions[0].Run, Percent: 50}}}, now, now)
		s.Reported(actions[1].Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: actions[1].Run, Percent: 0}}}, now, now)
	}
	require.Equal(t, stopping, j.units[0].phase)
	require.Equal(t, 1, s.nodes[actions[1].Worker].failures)
	require.Zero(t, s.nodes[actions[0].Worker].failures)
}

// A broken gang's member on a silent worker counts as ended unless its start was never confirmed: it may still start. Guards against gangs that run twice, since the
// member that had ended was not on the silent worker.
func TestBrokenGangOnSilentWorker(t *testing.T) {
	cases := map[string]struct {
		confirmed           bool
		failed, maybeFailed []ids.RunNumber
		// third is what the worker of a third member reports, after another has reported that the gang is broken; nil if there is none.
		third func(r worker.Run) worker.RunReport
		left  int
	}{
		"its start was confirmed":                   {confirmed: true, left: 0},
		"its start is not known":                    {confirmed: false, left: 1},
		"it may be the last failure":                {confirmed: true, failed: []ids.RunNumber{1, 2}, left: 1},
		"an unreported failure may be the last one": {confirmed: true, failed: []ids.RunNumber{1}, maybeFailed: []ids.RunNumber{2}, left: 1},
		"an unreported failure is reported later":   {confirmed: true, failed: []ids.RunNumber{1}, maybeFailed: []ids.RunNumber{1}, left: 0},
		"a third member is broken too": {confirmed: true, left: 0, third: func(r worker.Run) worker.RunReport {
			return worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: r, Number: 1, Reason: worker.EndGangMemberLost}}}
		}},
		"a third member failed": {confirmed: true, left: 1, third: func(r worker.Run) worker.RunReport {
			return worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: r, Number: 1, Reason: worker.EndFailed}}}
		}},
		"a third member was lost with its process": {confirmed: true, left: 1, third: func(worker.Run) worker.RunReport {
			return worker.RunReport{Incarnation: 2}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tasks := 2
			if c.third != nil {
				tasks = 3
			}
			s := testState(tasks, tasks)
			j := gangJob("a", 1, tasks, 8, 4*time.Second)
			s.accept(j, testStart)
			j.units[0].failedRuns, j.units[0].maybeFailedRuns = c.failed, c.maybeFailed
			actions, _ := s.Decide(testStart)
			require.Len(t, actions, tasks)
			for _, a := range actions[2:] {
				s.RunStarted(a.Worker, a.Run, testStart)
			}
			s.RunStarted(actions[0].Worker, actions[0].Run, testStart)
			if c.confirmed {
				s.RunStarted(actions[1].Worker, actions[1].Run, testStart)
			}
			silent := actions[1].Worker
			s.ExtendLease(silent, testStart.Add(6*time.Second))
			now := testStart.Add(time.Second)
			s.MarkSilent(silent, now, now)
			s.Reported(actions[0].Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: actions[0].Run, Number: 1, Reason: worker.EndGangMemberLost}}}, now, now)
			if c.third != nil {
				s.Reported(actions[2].Worker, c.third(actions[2].Run), now, now)
			}
			s.Decide(now)
			require.Len(t, s.nodes[silent].runs, c.left)
		})
	}
}

// A run reported as done after its worker was silent counts, and the run that replaced it is stopped.
func TestEndOfAnEarlierRun(t *testing.T) {
	s := testState(2, 1)
	j := gangJob("a", 1, 1, 8, 4*time.Second)
	s.accept(j, testStart)
	actions, _ := s.Decide(testStart)
	require.Len(t, actions, 1)
	first := actions[0]
	s.RunStarted(first.Worker, first.Run, testStart)
	s.ExtendLease(first.Worker, testStart.Add(6*time.Second))
	s.MarkSilent(first.Worker, testStart.Add(2*time.Second), testStart.Add(2*time.Second))
	now := testStart.Add(7 * time.Second)
	s.Decide(now)
	now = now.Add(time.Second)
	actions, _ = s.Decide(now)
	require.Len(t, actions, 1)
	second := actions[0]
	require.Equal(t, StartRun, second.Kind)
	s.RunStarted(second.Worker, second.Run, now)
	s.Reported(first.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: first.Run, Number: 1, Reason: worker.EndDone}}}, now, now)
	require.Equal(t, Completed, j.State)
	actions, _ = s.Decide(now)
	require.Len(t, actions, 1)
	require.Equal(t, StopRun, actions[0].Kind)
	require.Equal(t, second.Run, actions[0].Run)
}

// A gang is not stopped as stalled because its worker was silent for a while: neither when the other members report before the
// silence is noticed, nor by the first report after it, which lists the members one by one.
func TestSilentWorkerIsNotStalled(t *testing.T) {
	for name, perWorker := range map[string]int{"members on two workers": 1, "members on one worker": 2} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			j := gangJob("a", 1, 2, 8/perWorker, 2*time.Second)
			j.Steps[0].Checkpoints = true
			s.accept(j, testStart)
			runs := s.startAllByWorker(testStart)
			require.Len(t, runs, 2/perWorker)
			report := func(id ids.InstanceID, percent int, now time.Time) {
				r := worker.RunReport{Incarnation: 1}
				for _, run := range runs[id] {
					r.Active = append(r.Active, worker.ActiveRun{Run: run, Percent: percent})
				}
				s.Reported(id, r, now, now)
				for _, a := range s.startedAndStopped(now) {
					require.NotEqual(t, StopRun, a.Kind, "stopped after %v", now.Sub(testStart))
				}
			}
			for id := range runs {
				report(id, 10, testStart.Add(time.Second))
			}
			if perWorker == 1 {
				report("w0001", 20, testStart.Add(2*time.Second))
				report("w0001", 30, testStart.Add(3*time.Second))
			}
			report("w0000", 40, testStart.Add(4*time.Second))
		})
	}
}

// startedAndStopped returns all actions of a decision.
func (s *State) startedAndStopped(now time.Time) []Action {
	actions, _ := s.Decide(now)
	return actions
}

// Guards against tasks that run twice after a change of the owner: a worker that first answered after the recovery, and then fell silent, had no lease of the new
// owner yet, which counted as an expired one, while the lease of the earlier owner was in force.
func TestSilentAfterFirstAnswer(t *testing.T) {
	for name, moreEnds := range map[string]bool{"whole report": false, "more ends to be listed": true} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			s.nodes["w0000"].reported = false
			j := gangJob("a", 1, 1, 8, 10*time.Second)
			j.State, j.Submitted = Accepted, testStart
			s.Recover([]*Job{j}, testStart)
			until := testStart.Add(12 * time.Second)
			s.EndRecovery([]ids.InstanceID{"w0000"}, until, testStart.Add(time.Second))
			now := testStart.Add(2 * time.Second)
			run := worker.Run{Task: worker.Task{Job: "a"}, Number: 7}
			s.Reported("w0000", worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: run}}, MoreEnds: moreEnds}, now, now)
			s.CallFailed("w0000", NoAnswer, now.Add(time.Second), now.Add(time.Second), now.Add(time.Second))
			s.Decide(until.Add(-time.Second))
			require.True(t, s.HasRun("w0000", run), "before the leases of earlier owners have ended")
			s.Decide(until.Add(time.Second))
			require.False(t, s.HasRun("w0000", run))
		})
	}
}

// A gang of an earlier owner of which only a part has reported at the end of recovery runs on while the worker with the other
// member may still report. It is stopped once that worker has reported without it.
func TestPartialGangAfterRecovery(t *testing.T) {
	for name, found := range map[string]bool{"the other member is found": true, "the other member is missing": false} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			for _, n := range s.nodes {
				n.reported = false
			}
			j := gangJob("a", 1, 2, 8, 10*time.Second)
			j.State, j.Submitted = Accepted, testStart
			s.Recover([]*Job{j}, testStart)
			report := func(id ids.InstanceID, index int, running bool, now time.Time) {
				r := worker.RunReport{Incarnation: 1}
				if running {
					r.Active = []worker.ActiveRun{{Run: worker.Run{Task: worker.Task{Job: "a", Index: index}, Number: 7}}}
				}
				s.Reported(id, r, now, now)
			}
			stops := func(now time.Time) int {
				actions, _ := s.Decide(now)
				return len(slices.DeleteFunc(actions, func(a Action) bool { return a.Kind != StopRun }))
			}
			report("w0000", 0, true, testStart)
			s.EndRecovery([]ids.InstanceID{"w0000", "w0001"}, testStart.Add(15*time.Second), testStart.Add(time.Second))
			require.Zero(t, stops(testStart.Add(time.Second)))
			report("w0001", 1, found, testStart.Add(2*time.Second))
			if found {
				require.Zero(t, stops(testStart.Add(2*time.Second)))
				require.Equal(t, running, j.units[0].phase)
				return
			}
			require.Equal(t, 1, stops(testStart.Add(2*time.Second)))
		})
	}
}

// Guards against tasks that run twice after a start order without an answer, which the worker's next process may still carry out, and against tasks that wait for the
// lease although that process has stopped the run. The task starts again only then, and not when the process that was called has ended.
func TestUnansweredStartMayOutliveProcess(t *testing.T) {
	ended := func(s *State, now time.Time) { s.MarkDead("w0000", "its process has ended", now) }
	reports := func(incarnation uint64) func(s *State, now time.Time) {
		return func(s *State, now time.Time) {
			s.Reported("w0000", worker.RunReport{Incarnation: incarnation}, now, now)
		}
	}
	for name, test := range map[string]struct {
		// endsBefore is set if the process ends before the orders are given up, and after is called once they are.
		endsBefore bool
		after      func(s *State, now time.Time)
		// stops is the incarnation that confirms the stop and reports again; zero if none does.
		stops uint64
		// lapses is set if the task starts again when the lease has expired.
		lapses bool
	}{
		"process ended":                   {after: ended, lapses: true},
		"process ended before":            {endsBefore: true, after: func(*State, time.Time) {}, lapses: true},
		"process still runs":              {after: reports(1), stops: 1},
		"process restarted":               {after: reports(2), stops: 2},
		"process ended, then restarted":   {endsBefore: true, after: reports(2), stops: 2},
		"process restarted, not stopping": {after: reports(2)},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			now := testStart
			s.Reported("w0000", worker.RunReport{Incarnation: 1}, now, now)
			j := gangJob("a", 1, 1, 8, 4*time.Second)
			s.accept(j, now)
			actions, _ := s.Decide(now)
			require.Equal(t, ids.InstanceID("w0000"), actions[0].Worker)
			run := actions[0].Run
			s.ExtendLease("w0000", now.Add(simLease))
			s.RunStartUnanswered("w0000", run, now)
			if test.endsBefore {
				ended(s, now)
			}
			s.RunStartUnknown("w0000", run, now)
			starts := func() bool {
				now = now.Add(time.Second)
				var all []Action
				for range 2 {
					s.MarkStored("a", j.Version())
					actions, _ = s.Decide(now)
					all = append(all, actions...)
				}
				return slices.ContainsFunc(all, func(a Action) bool { return a.Kind == StartRun })
			}
			now = now.Add(200 * time.Millisecond)
			test.after(s, now)
			require.False(t, starts(), "before the stop is confirmed")
			if test.stops != 0 {
				s.StopConfirmed("w0000", run, now)
				now = now.Add(200 * time.Millisecond)
				reports(test.stops)(s, now)
				require.True(t, starts(), "after the stop is confirmed")
				return
			}
			now = testStart.Add(simLease)
			require.Equal(t, test.lapses, starts(), "after the lease")
		})
	}
}
