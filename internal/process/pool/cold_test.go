package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// coolWorkers marks workers as cold until the given time.
func (s *State) coolWorkers(until time.Time, cold func(i int) bool) {
	s.listWorkers(func(i int, w *Worker) {
		if cold(i) {
			w.ColdUntil = until
		}
	})
}

// Urgent work and gangs get warm workers while they fit there, and cold ones otherwise. Other tasks are placed as without cold workers.
func TestUrgentWorkAndGangsPreferWarmWorkers(t *testing.T) {
	single := func(id string, priority int) *Job {
		j := gangJob(id, priority, 1, 8, 10*time.Second)
		j.Steps[0].Gang, j.Steps[0].SameRack = false, false
		return j
	}
	cases := map[string]struct {
		job *Job
		// coldOnly leaves no room on warm workers.
		coldOnly bool
		wantWarm bool
	}{
		"a gang":                   {job: gangJob("j", 1, 2, 8, 10*time.Second), wantWarm: true},
		"an urgent task":           {job: single("j", 0), wantWarm: true},
		"another task":             {job: single("j", 1)},
		"a gang without warm room": {job: gangJob("j", 1, 2, 8, 10*time.Second), coldOnly: true},
		"urgent without warm room": {job: single("j", 0), coldOnly: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 2)
			if c.coldOnly {
				s.coolWorkers(testStart.Add(time.Minute), func(i int) bool { return i < 2 })
				s.Decide(testStart)
				s.accept(gangJob("fill", 0, 2, 8, 10*time.Second), testStart)
				require.Len(t, s.startAll(testStart), 2)
			}
			s.coolWorkers(testStart.Add(time.Minute), func(i int) bool { return i < 2 })
			s.accept(c.job, testStart)
			actions := s.startAll(testStart)
			require.Len(t, actions, c.job.Steps[0].Tasks)
			for _, a := range actions {
				require.Equal(t, c.wantWarm, !s.nodes[a.Worker].cold, a.Worker)
			}
		})
	}
}

// A gang runs on a cold worker that makes a third of the progress of the others. The worker is neither quarantined nor counted as slower, the
// gang isn't moved, its run time isn't learned, and the slowdown of cold workers is. Once the worker is warm, its progress counts.
func TestSlowProgressOfColdWorker(t *testing.T) {
	for name, warm := range map[string]bool{"cold to the end": false, "slow when it is warm": true} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 4)
			coldUntil := testStart.Add(time.Minute)
			if warm {
				coldUntil = testStart.Add(4500 * time.Millisecond)
			}
			s.coolWorkers(coldUntil, func(i int) bool { return i == 0 })
			j := gangJob("j", 1, 4, 8, 10*time.Second)
			s.accept(j, testStart)
			runs := s.startAllByWorker(testStart)
			require.Len(t, runs, 4)
			require.Equal(t, 1.0, s.nodes["w0000"].slowdown())
			stopped, quarantined, slower := false, false, false
			for second := 1; second <= 9; second++ {
				now := testStart.Add(time.Duration(second) * time.Second)
				s.reportProgress(runs, map[ids.InstanceID]int{"w0000": 3 * second, "w0001": 10 * second, "w0002": 10 * second, "w0003": 10 * second}, now)
				actions, _ := s.Decide(now)
				stopped = stopped || len(actions) > 0
				quarantined = quarantined || !s.nodes["w0000"].quarantinedUntil.IsZero()
				slower = slower || s.nodes["w0000"].slower()
				if second == 4 {
					require.False(t, s.nodes["w0000"].slower())
					require.InDelta(t, 3, s.nodes["w0000"].slowdown(), 0.4)
				}
			}
			require.Equal(t, warm, quarantined)
			require.Equal(t, warm, slower)
			if warm {
				return
			}
			require.False(t, stopped)
			now := testStart.Add(30 * time.Second)
			for id, list := range runs {
				s.Reported(id, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: list[0], Number: 1, Reason: worker.EndDone}}}, now, now)
			}
			require.Equal(t, Completed, j.State)
			require.Zero(t, s.samples)
		})
	}
}

// The slowdown of cold workers is 1 until there are enough samples, and bounded.
func TestColdSlowdownIsBounded(t *testing.T) {
	s := testState(2, 2)
	s.coolWorkers(testStart.Add(time.Minute), func(i int) bool { return i == 0 })
	s.accept(gangJob("j", 1, 2, 8, 10*time.Second), testStart)
	runs := s.startAllByWorker(testStart)
	for second := 1; second <= 8; second++ {
		now := testStart.Add(time.Duration(second) * time.Second)
		s.reportProgress(runs, map[ids.InstanceID]int{"w0000": second / 2, "w0001": 10 * second}, now)
		s.Decide(now)
		if second <= 2 {
			require.Equal(t, 1.0, s.nodes["w0000"].slowdown())
		}
	}
	require.InDelta(t, maxColdSlowdown, s.nodes["w0000"].slowdown(), 0.5)
	require.LessOrEqual(t, s.nodes["w0000"].slowdown(), maxColdSlowdown)
}

// The evacuation of a data centre is withdrawn while many tasks wait. If its workers are cold, they get work at a limited pace, and urgent work
// does not wait for it. If they are warm, all work starts at once.
func TestRefillOfDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		cold                bool
		atOnce, afterSecond int
	}{
		"cold": {cold: true, atOnce: 2, afterSecond: 3},
		"warm": {atOnce: 16, afterSecond: 16},
	} {
		t.Run(name, func(t *testing.T) {
			s := twoCentres(16, 8, 16)
			s.SetEvacuations([]ids.DataCentreID{"a"}, testStart)
			if c.cold {
				s.coolWorkers(testStart.Add(time.Hour), func(int) bool { return true })
			}
			for i := range 16 {
				s.accept(gangJob(fmt.Sprintf("j%02d", i), 1, 1, 8, time.Minute), testStart)
			}
			require.Empty(t, s.startAll(testStart))
			s.SetEvacuations(nil, testStart)
			started := len(s.startAll(testStart))
			require.Equal(t, c.atOnce, started)
			for d := 100 * time.Millisecond; d <= time.Second; d += 100 * time.Millisecond {
				started += len(s.startAll(testStart.Add(d)))
			}
			require.InDelta(t, c.afterSecond, started, 1)
			if c.cold {
				s.accept(gangJob("urgent", 0, 1, 8, time.Second), testStart.Add(time.Second))
				require.Len(t, s.startAll(testStart.Add(time.Second)), 1)
			}
		})
	}
}
