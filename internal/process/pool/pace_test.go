package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// startedOn is startAll with the runs by worker.
func (s *State) startedOn(now time.Time) map[ids.InstanceID][]worker.Run {
	started := make(map[ids.InstanceID][]worker.Run)
	for _, a := range s.startAll(now) {
		started[a.Worker] = append(started[a.Worker], a.Run)
	}
	return started
}

// progress reports the runs of each worker at some percent.
func (s *State) progress(runs map[ids.InstanceID][]worker.Run, percent map[ids.InstanceID]int, now time.Time) {
	for id, list := range runs {
		report := worker.RunReport{Incarnation: 1}
		for _, r := range list {
			report.Active = append(report.Active, worker.Active{Run: r, Percent: percent[id]})
		}
		s.Reported(id, report, now, now)
	}
}

// The members of a gang do the same work, so their progress tells which workers are slower. Further gangs keep off these as
// long as others have room, and urgent ones clear others.
func TestGangsKeepToFastWorkers(t *testing.T) {
	s := testState(4, 4)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 32}})
	s.accept(gangJob("a", 1, 4, 5, 10*time.Second), testStart)
	runs := s.startedOn(testStart)
	require.Len(t, runs, 4)
	now := testStart
	for second := 1; second <= 3; second++ {
		now = testStart.Add(time.Duration(second) * time.Second)
		s.progress(runs, map[ids.InstanceID]int{"w0000": 10 * second, "w0001": 77 * second / 10, "w0002": 10 * second, "w0003": 10 * second}, now)
	}
	require.InDelta(t, 1.3, s.nodes["w0001"].slowness(), 0.07)
	for _, id := range []ids.InstanceID{"w0000", "w0002", "w0003"} {
		require.False(t, s.nodes[id].slower(), id)
	}

	s.accept(gangJob("b", 1, 3, 3, 10*time.Second), now)
	runs = s.startedOn(now)
	require.Len(t, runs, 3)
	require.NotContains(t, runs, ids.InstanceID("w0001"))

	// What is free is on the slower worker and does not suffice.
	urgent := gangJob("c", 0, 2, 6, time.Second)
	s.accept(urgent, now)
	s.Decide(now)
	require.Equal(t, allocated, urgent.units[0].phase)
	for _, n := range urgent.units[0].place {
		require.NotEqual(t, ids.InstanceID("w0001"), n.ID)
	}
}

// Single tasks go to the slower workers first, urgent ones do not.
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
			s.nodes[test.slower].setPace(0.3)
			s.accept(gangJob("a", test.priority, 1, 1, time.Second), testStart)
			require.Contains(t, s.startedOn(testStart), ids.InstanceID("w0001"))
		})
	}
}

// A worker on which a gang gets on at a quarter of the pace of the others is left out, and the gang leaves it early.
func TestGangLeavesSlowWorker(t *testing.T) {
	s := testState(4, 4)
	j := gangJob("a", 1, 2, 8, 10*time.Second)
	s.accept(j, testStart)
	runs := s.startedOn(testStart)
	require.Len(t, runs, 2)
	for second := 1; second <= 3; second++ {
		s.progress(runs, map[ids.InstanceID]int{"w0000": 10 * second, "w0001": 5 * second / 2}, testStart.Add(time.Duration(second)*time.Second))
	}
	now := testStart.Add(3 * time.Second)
	require.Equal(t, stopping, j.units[0].phase)
	require.False(t, s.nodes["w0001"].open(now))
	for id, list := range runs {
		s.Reported(id, worker.RunReport{Incarnation: 1, Ended: []worker.End{{Run: list[0], Number: 1, How: worker.EndStopped}}}, now, now)
	}
	runs = s.startedOn(now)
	require.Len(t, runs, 2)
	require.NotContains(t, runs, ids.InstanceID("w0001"))

	// Once it is taken again, it counts as slower until it has shown its pace.
	now = now.Add(firstQuarantine)
	s.Decide(now)
	require.True(t, s.nodes["w0001"].open(now))
	require.True(t, s.nodes["w0001"].slower())
}

// A task that works alone tells of its worker only if it is far off what its queue's tasks take.
func TestSingleTaskTellsOfSlowWorker(t *testing.T) {
	for name, test := range map[string]struct {
		off  func(i int) float64
		away bool
		slow bool
	}{
		"declared times say little": {off: func(i int) float64 { return []float64{0.1, 10}[i%2] }},
		"declared times are true":   {off: func(int) float64 { return 1 }, slow: true},
		"away from its data":        {off: func(int) float64 { return 1 }, away: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			r := &RunTimes{}
			for i := range 20 {
				r.add(10*time.Second, time.Duration(test.off(i)*float64(10*time.Second)), 1)
			}
			s.SetEstimates(map[ids.QueueID]RunTimes{"queue": *r})
			j := gangJob("a", 1, 1, 1, 10*time.Second)
			slowness := 8
			if test.away {
				j.Steps[0].DataRack = "elsewhere"
				slowness = 4
			}
			s.accept(j, testStart)
			runs := s.startedOn(testStart)
			require.Len(t, runs, 1)
			for second := 1; second <= 4; second++ {
				percent := make(map[ids.InstanceID]int)
				for id := range runs {
					percent[id] = 100 * second / 10 / slowness
				}
				s.progress(runs, percent, testStart.Add(time.Duration(second)*time.Second))
			}
			for id := range runs {
				require.Equal(t, test.slow, s.nodes[id].slowness() >= harmfulBound, fmt.Sprint(s.nodes[id].slowness()))
			}
		})
	}
}
