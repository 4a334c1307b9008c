package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// simDeadlyTime is how long after its start a deadly task crashes its worker.
	simDeadlyTime = 10 * time.Millisecond
	// simCrashNoticed is the time until the owner knows that a worker's process has ended, and simDownTime that until it is back.
	simCrashNoticed = 300 * time.Millisecond
	simDownTime     = 3 * time.Second
	// simStoreTime is the time that a write to the store takes.
	simStoreTime = 10 * time.Millisecond
)

// crash ends the process of a worker, which is back some time later.
func (s *sim) crash(id ids.InstanceID) {
	if s.down[id] {
		return
	}
	s.down[id] = true
	gone := s.active[id]
	delete(s.active, id)
	s.MarkSilent(id, s.now, s.now)
	s.breakGangs(gone)
	s.at(simCrashNoticed, func() { s.MarkDead(id, "its process has ended", s.now) })
	s.at(simDownTime, func() {
		s.down[id], s.lastEnd[id] = false, 0
		s.restarts[id]++
		s.report(id, nil)
	})
}

// startDeadly lets a task that was just started crash its worker. From the third time on, no other job may lose work by it.
func (s *sim) startDeadly(a Action) {
	if s.crashes[a.Run.Job] >= 3 {
		s.startsAfterCrashes[a.Run.Job]++
	}
	s.at(simDeadlyTime, func() {
		if _, found := s.active[a.Worker][a.Run]; !found {
			return
		}
		s.crashes[a.Run.Job]++
		for r := range s.active[a.Worker] {
			if r.Job != a.Run.Job && s.crashes[a.Run.Job] > 2 {
				s.lostBeside++
			}
		}
		s.crash(a.Worker)
	})
}

// storeAll lets the store answer the writes of all changed jobs.
func (s *sim) storeAll() {
	for _, j := range s.Dirty(1<<20, s.now) {
		version := j.Version()
		s.at(simStoreTime, func() { s.MarkStored(j.ID, version) })
	}
	s.at(100*time.Millisecond, s.storeAll)
}

// Workers crash by themselves, alone, in racks or in turn, while some tasks crash every worker that starts them. Sound jobs must not be given up however often
// their workers crash, and deadly ones must be, before the third start after three crashes.
func TestPatternCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		// every is the time between crashes, of a number of adjacent workers among the first ones.
		every             time.Duration
		together, crashed int
		deadly            float64
	}{
		"deadly tasks alone":               {deadly: 0.1},
		"single workers":                   {every: 700 * time.Millisecond, together: 1, crashed: 48},
		"racks without power":              {every: 4 * time.Second, together: 8, crashed: 48},
		"half of the pool":                 {every: 10 * time.Second, together: 24, crashed: 48},
		"the same workers in turn":         {every: 500 * time.Millisecond, together: 1, crashed: 8},
		"deadly tasks amid single crashes": {every: 700 * time.Millisecond, together: 1, crashed: 48, deadly: 0.1},
		"deadly tasks amid lost racks":     {every: 4 * time.Second, together: 8, crashed: 48, deadly: 0.1},
		"deadly tasks amid flapping":       {every: 500 * time.Millisecond, together: 1, crashed: 8, deadly: 0.1},
		"many deadly tasks":                {deadly: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSim(48, 8, seed)
				var jobs []*Job
				for i := range 120 {
					s.at(time.Duration(i)*300*time.Millisecond, func() {
						j := gangJob(fmt.Sprintf("job%03d", i), 1+i%2, 1+s.random.IntN(4), 1<<s.random.IntN(4), 4*time.Second)
						j.Steps[0].Gang = i%3 > 0
						j.Stretch = 100
						s.deadly[j.ID] = s.random.Float64() < test.deadly
						jobs = append(jobs, j)
						s.submitOnce(j, time.Duration(2+s.random.IntN(8))*time.Second)
					})
				}
				for at := test.every; at > 0 && at < 40*time.Second; at += test.every {
					s.at(at, func() {
						first := s.random.IntN(test.crashed/test.together) * test.together
						for i := range test.together {
							s.crash(ids.InstanceID(fmt.Sprintf("w%04d", first+i)))
						}
					})
				}
				s.at(0, s.storeAll)
				s.playFor(5 * time.Minute)
				for _, j := range jobs {
					if s.deadly[j.ID] {
						require.Equal(t, Failed, j.State, "seed %d: deadly %s", seed, j.ID)
						require.Less(t, s.startsAfterCrashes[j.ID], 3, "seed %d: starts of deadly %s after three crashes", seed, j.ID)
					} else {
						require.Equal(t, Completed, j.State, "seed %d: sound %s", seed, j.ID)
					}
				}
				require.Zero(t, s.lostBeside, "seed %d: runs lost beside tasks known to crash workers", seed)
			}
		})
	}
}

// A gang's crash is counted if another member reported first that the gang has ended: its run on the silent worker is given up at once.
func TestCrashUnderBrokenGangIsCounted(t *testing.T) {
	s := testState(2, 2)
	j := gangJob("a", 1, 2, 8, time.Second)
	s.accept(j, testStart)
	actions := s.startAll(testStart)
	now := testStart.Add(time.Second)
	s.ExtendLease(actions[0].Worker, now.Add(time.Second))
	s.MarkSilent(actions[0].Worker, now, now)
	s.Reported(actions[1].Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: actions[1].Run, Number: 1, Reason: worker.EndGangMemberLost}}}, now, now)
	s.Decide(now)
	require.True(t, j.units[0].crashes.list[0].Unseen, "the worker may be cut off")
	require.Zero(t, j.units[0].crashesInRow())
	s.MarkDead(actions[0].Worker, "its process has ended", now)
	require.Equal(t, 1, j.units[0].crashesInRow())
	require.Equal(t, []int{actions[0].Run.Index}, j.units[0].crashes.list[0].Tasks)
}

// Guards against sound jobs that are failed for crashes that did not happen under them: a start that meets a worker which has crashed already, and a crash that is
// counted again when the worker's lease expires.
func TestCrashesThatDoNotCount(t *testing.T) {
	for name, test := range map[string]struct {
		// confirmed means that the worker confirms the start before it crashes, and others that another worker crashes at the same time.
		confirmed, others bool
		counted           int
	}{
		"start on a worker that is down, amid other crashes": {others: true},
		"start on a worker that is down":                     {counted: 1},
		"run lost amid other crashes":                        {confirmed: true, others: true, counted: 1},
		"run lost":                                           {confirmed: true, counted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(8, 8)
			j := gangJob("a", 1, 1, 8, 4*time.Second)
			s.accept(j, testStart)
			now := testStart
			s.Reported("w0007", worker.RunReport{Incarnation: 1}, now, now)
			actions, _ := s.Decide(now)
			a := actions[0]
			s.ExtendLease(a.Worker, now.Add(simLease))
			if test.confirmed {
				s.RunStarted(a.Worker, a.Run, now)
			}
			// The stop and a repeated order get no answer either.
			s.RunStartUnanswered(a.Worker, a.Run, now)
			s.RunStartUnknown(a.Worker, a.Run, now)
			now = now.Add(100 * time.Millisecond)
			s.MarkDead(a.Worker, "its process has ended", now)
			if test.others {
				s.MarkSilent("w0007", now, now)
				s.MarkDead("w0007", "its process has ended", now)
			}
			for range 8 {
				now = now.Add(time.Second)
				s.Decide(now)
			}
			require.Len(t, j.units[0].crashes.list, 1, "records of one crash")
			require.Equal(t, test.counted, j.units[0].crashCount())
		})
	}
}

// Guards against a task that crashes its workers and is started too often since its crashes count for other tasks of its gang: the runs on a crashed worker are
// found lost in several reports, and the crash was recorded for the first of them alone.
func TestCrashFoundInPartsCountsForAllTasks(t *testing.T) {
	for name, lose := range map[string]func(s *State, actions []Action, now time.Time){
		"starts confirmed when the worker restarts": func(s *State, actions []Action, now time.Time) {
			for _, a := range actions[1:] {
				s.RunStarted(a.Worker, a.Run, now)
			}
			s.Reported("w0000", worker.RunReport{Incarnation: 2}, now, now)
			for _, a := range actions[1:] {
				s.StopConfirmed(a.Worker, a.Run, now)
			}
			later := now.Add(time.Second)
			s.Reported("w0000", worker.RunReport{Incarnation: 2}, later, later)
		},
		"gang broken, worker silent": func(s *State, actions []Action, now time.Time) {
			for _, a := range actions {
				s.RunStarted(a.Worker, a.Run, now)
			}
			for _, a := range actions {
				s.recordUnseen(s.nodes[a.Worker], []lostRun{s.findRun(a.Worker, a.Run).lost()}, now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			j := gangJob("a", 1, 4, 2, time.Second)
			s.accept(j, testStart)
			s.Reported("w0000", worker.RunReport{Incarnation: 1}, testStart, testStart)
			actions, _ := s.Decide(testStart)
			require.Len(t, actions, 4)
			s.RunStarted("w0000", actions[0].Run, testStart)
			lose(s, actions, testStart.Add(time.Second))
			crashes := j.units[0].crashes.list
			require.Len(t, crashes, 1)
			require.ElementsMatch(t, []int{0, 1, 2, 3}, crashes[0].Tasks)
		})
	}
}

// Guards against a unit that seems to have been alone when its worker crashed: the run of another unit there was given up while the worker was silent.
func TestCrashBesideRunGivenUpIsNotAlone(t *testing.T) {
	s := testState(2, 2)
	gang, other := gangJob("gang", 1, 2, 6, time.Second), gangJob("other", 1, 1, 2, 4*time.Second)
	s.accept(gang, testStart)
	s.accept(other, testStart)
	now := testStart.Add(time.Second)
	var shared ids.InstanceID
	for _, a := range s.startAll(testStart) {
		if a.Run.Job == "other" {
			shared = a.Worker
		}
		s.ExtendLease(a.Worker, now.Add(time.Second))
	}
	gone := gang.units[0].runs[slices.IndexFunc(gang.units[0].runs, func(r *run) bool { return r.node.ID == shared })]
	s.MarkSilent(shared, now, now)
	s.recordUnseen(gone.node, []lostRun{gone.lost()}, now)
	s.removeRun(gone)
	s.MarkDead(shared, "its process has ended", now)
	require.Len(t, other.units[0].crashes.list, 1)
	require.False(t, other.units[0].crashes.list[0].alone)
}

// Guards against a task that is started a sixth time since crashes under its trials are late and never conclusive, and against sound tasks that are given up for such
// crashes after they outlived a trial.
func TestCrashesUnderTrialsCount(t *testing.T) {
	for name, test := range map[string]struct {
		// age is how long after its start the task crashes its worker. Another worker crashes after half of that time.
		age     time.Duration
		crashes int
	}{
		"late":                        {age: 4 * time.Second, crashes: maxCrashes},
		"later than the trial counts": {age: maxTrialAge + time.Second},
		"amid others":                 {age: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(40, 8)
			j := gangJob("a", 1, 1, 8, time.Minute)
			s.accept(j, testStart)
			now, crashes := testStart, 0
			kill := func(id ids.InstanceID) {
				s.MarkSilent(id, now, now)
				s.MarkDead(id, "its process has ended", now)
			}
			report := func() {
				for id, n := range s.nodes {
					if !n.processEnded {
						s.Reported(id, worker.RunReport{Incarnation: n.Incarnation, Active: activeRuns(n)}, now, now)
					}
				}
			}
			report()
			for crashes < 8 && !j.ended() {
				var started []Action
				for len(started) == 0 && !j.ended() {
					now = now.Add(100 * time.Millisecond)
					s.MarkStored(j.ID, j.Version())
					started = s.startAll(now)
					require.Less(t, now.Sub(testStart), 5*time.Minute)
				}
				if j.ended() {
					break
				}
				crashes++
				for _, id := range []ids.InstanceID{ids.InstanceID(fmt.Sprintf("w%04d", 39-crashes)), started[0].Worker} {
					// A worker without runs crashes by itself first.
					now = now.Add(test.age / 2)
					report()
					kill(id)
				}
			}
			if test.crashes == 0 {
				require.Equal(t, 8, crashes)
				return
			}
			require.Equal(t, Failed, j.State)
			require.Equal(t, test.crashes, crashes)
		})
	}
}

func activeRuns(n *node) (active []worker.ActiveRun) {
	for _, r := range n.runs {
		active = append(active, worker.ActiveRun{Run: r.Run})
	}
	return active
}

// Guards against crashes that are lost with their owner while the store is away: a gang whose worker fell silent was started again before that was stored.
func TestNoStartBeforeUnseenCrashIsStored(t *testing.T) {
	s := testState(4, 4)
	j := gangJob("a", 1, 2, 8, time.Second)
	s.accept(j, testStart)
	actions := s.startAll(testStart)
	now := testStart.Add(time.Second)
	s.Reported(actions[0].Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: actions[0].Run}}}, now, now)
	s.ExtendLease(actions[0].Worker, now.Add(time.Second))
	s.MarkSilent(actions[0].Worker, now, now)
	s.Reported(actions[1].Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: actions[1].Run, Number: 1, Reason: worker.EndGangMemberLost}}}, now, now)
	started := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		started += len(s.startAll(now))
	}
	require.True(t, j.units[0].crashes.list[0].Unseen)
	require.Zero(t, started)
	for range 3 {
		s.MarkStored(j.ID, j.Version())
		now = now.Add(100 * time.Millisecond)
		started += len(s.startAll(now))
	}
	require.Equal(t, 2, started)
}

// Guards against crashes that are lost with their owner: a start after a crash beside other runs was sent before the record named its worker, so that the next owner
// did not know of it.
func TestSharedStartAfterCrashIsStoredFirst(t *testing.T) {
	s := testState(2, 2)
	for _, id := range []string{"x", "y"} {
		s.accept(gangJob(id, 1, 1, 6, time.Minute), testStart)
	}
	require.Len(t, s.startAll(testStart), 2)
	j := gangJob("a", 1, 1, 2, time.Second)
	s.accept(j, testStart)
	j.units[0].crashes.list = []Crash{{Run: 1, Worker: "gone", Tasks: []int{0}, Age: 10 * time.Millisecond}}
	now := testStart
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, s.startAll(now))
	}
	require.Len(t, j.units[0].crashes.started, 1, "it may share a worker after a second")
	s.MarkStored(j.ID, j.Version())
	now = now.Add(100 * time.Millisecond)
	actions := s.startAll(now)
	for range 3 {
		// The workers may have been released meanwhile.
		s.MarkStored(j.ID, j.Version())
		now = now.Add(100 * time.Millisecond)
		actions = append(actions, s.startAll(now)...)
	}
	require.Len(t, actions, 1)
	stored, err := j.Encode("writer", 0)
	require.NoError(t, err)
	require.Contains(t, string(stored), `"Started":[{"Worker":"`+string(actions[0].Worker)+`"`)
}
