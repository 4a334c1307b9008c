package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// startAllByWorker is startAll with the runs grouped by worker.
func (s *State) startAllByWorker(now time.Time) map[ids.InstanceID][]worker.Run {
	started := make(map[ids.InstanceID][]worker.Run)
	for _, a := range s.startAll(now) {
		started[a.Worker] = append(started[a.Worker], a.Run)
	}
	return started
}

// reportProgress reports the runs of each worker with the given percentages.
func (s *State) reportProgress(runs map[ids.InstanceID][]worker.Run, percent map[ids.InstanceID]int, now time.Time) {
	for id, list := range runs {
		report := worker.RunReport{Incarnation: 1}
		for _, r := range list {
			report.Active = append(report.Active, worker.ActiveRun{Run: r, Percent: percent[id]})
		}
		s.Reported(id, report, now, now)
	}
}

// The members of a gang do equal work, so their progress shows which workers are slower. Further gangs avoid these while
// others have room, and urgent gangs preempt on others.
func TestGangsPreferFastWorkers(t *testing.T) {
	s := testState(4, 4)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 32}})
	s.accept(gangJob("a", 1, 4, 5, 10*time.Second), testStart)
	runs := s.startAllByWorker(testStart)
	require.Len(t, runs, 4)
	now := testStart
	for second := 1; second <= 3; second++ {
		now = testStart.Add(time.Duration(second) * time.Second)
		s.reportProgress(runs, map[ids.InstanceID]int{"w0000": 10 * second, "w0001": 77 * second / 10, "w0002": 10 * second, "w0003": 10 * second}, now)
	}
	require.InDelta(t, 1.3, s.nodes["w0001"].slowdown(), 0.07)
	for _, id := range []ids.InstanceID{"w0000", "w0002", "w0003"} {
		require.False(t, s.nodes[id].slower(), id)
	}

	s.accept(gangJob("b", 1, 3, 3, 10*time.Second), now)
	runs = s.startAllByWorker(now)
	require.Len(t, runs, 3)
	require.NotContains(t, runs, ids.InstanceID("w0001"))

	// The free capacity on the slower worker is not sufficient.
	urgent := gangJob("c", 0, 2, 6, time.Second)
	s.accept(urgent, now)
	s.Decide(now)
	require.Equal(t, preempting, urgent.units[0].phase)
	for _, n := range urgent.units[0].placement {
		require.NotEqual(t, ids.InstanceID("w0001"), n.ID)
	}
}

// Wide gangs whose tasks differ by 15% in work, on workers of which a third takes 1.3 times as long: these are no stragglers,
// so that the gangs run to their ends, and the estimates of the workers' slowdowns stay near the truth.
func TestPatternUnevenWideGangs(t *testing.T) {
	f := fleet{racks: 10, perRack: 12, accounts: 4, perSecond: 4, length: time.Minute}
	for seed := range uint64(3) {
		_, s := f.play(seed, 30*time.Second, false)
		require.LessOrEqual(t, s.slowStops, s.starts/100, "seed %d", seed)
		mean := 0.0
		for _, n := range s.nodes {
			mean += n.slowdown() / float64(len(s.nodes))
		}
		// A third of the workers is 1.3 times slower.
		require.InDelta(t, 1.1, mean, 0.1, "seed %d", seed)
	}
}

// Single tasks are placed on the slower workers first, except urgent ones.
func TestSingleTasksLeaveFastWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		priority int
		slower   ids.InstanceID
	}{
		"urgent": {0, "w0000"},
		"bulk":   {2, "w0001"},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			s.nodes[test.slower].setLogSlowdown(0.3)
			s.accept(gangJob("a", test.priority, 1, 1, time.Second), testStart)
			require.Contains(t, s.startAllByWorker(testStart), ids.InstanceID("w0001"))
		})
	}
}

// A worker on which a gang progresses at a quarter of the others' rate is quarantined, and the gang leaves it early.
func TestGangLeavesSlowWorker(t *testing.T) {
	s := testState(4, 4)
	j := gangJob("a", 1, 2, 8, 10*time.Second)
	s.accept(j, testStart)
	runs := s.startAllByWorker(testStart)
	require.Len(t, runs, 2)
	for second := 1; second <= 3; second++ {
		s.reportProgress(runs, map[ids.InstanceID]int{"w0000": 10 * second, "w0001": 5 * second / 2}, testStart.Add(time.Duration(second)*time.Second))
	}
	now := testStart.Add(3 * time.Second)
	require.Equal(t, stopping, j.units[0].phase)
	require.False(t, s.nodes["w0001"].schedulable())
	for id, list := range runs {
		s.Reported(id, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: list[0], Number: 1, Reason: worker.EndStopped}}}, now, now)
	}
	runs = s.startAllByWorker(now)
	require.Len(t, runs, 2)
	require.NotContains(t, runs, ids.InstanceID("w0001"))

	// After the quarantine, the worker counts as slower until its progress shows otherwise.
	now = now.Add(minQuarantine)
	s.Decide(now)
	require.True(t, s.nodes["w0001"].schedulable())
	require.True(t, s.nodes["w0001"].slower())
}

// A single task counts against its worker only if it is far slower than the estimate of its queue.
func TestSingleTaskDetectsSlowWorker(t *testing.T) {
	for name, test := range map[string]struct {
		ratio  func(i int) float64
		remote bool
		slow   bool
	}{
		"declared times are poor predictors": {ratio: func(i int) float64 { return []float64{0.1, 10}[i%2] }},
		"declared times are accurate":        {ratio: func(int) float64 { return 1 }, slow: true},
		"away from its data":                 {ratio: func(int) float64 { return 1 }, remote: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			r := &RunTimes{}
			for i := range 20 {
				r.add(10*time.Second, time.Duration(test.ratio(i)*float64(10*time.Second)), 1)
			}
			s.SetEstimates(map[ids.QueueID]RunTimes{"queue": *r})
			j := gangJob("a", 1, 1, 1, 10*time.Second)
			slowdown := 8
			if test.remote {
				j.Steps[0].DataRack = "elsewhere"
				slowdown = 4
			}
			s.accept(j, testStart)
			runs := s.startAllByWorker(testStart)
			require.Len(t, runs, 1)
			for second := 1; second <= 4; second++ {
				percent := make(map[ids.InstanceID]int)
				for id := range runs {
					percent[id] = 100 * second / 10 / slowdown
				}
				s.reportProgress(runs, percent, testStart.Add(time.Duration(second)*time.Second))
			}
			for id := range runs {
				require.Equal(t, test.slow, s.nodes[id].slowdown() >= stragglerThreshold, fmt.Sprint(s.nodes[id].slowdown()))
			}
		})
	}
}
