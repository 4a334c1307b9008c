package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// stops returns the jobs of which runs are stopped, with the number of these runs.
func stops(actions []Action) map[ids.JobID]int {
	counts := make(map[ids.JobID]int)
	for _, a := range actions {
		if a.Kind == StopRun {
			counts[a.Run.Job]++
		}
	}
	return counts
}

// endStopped reports the ends of the stopped runs.
func (s *State) endStopped(actions []Action, now time.Time) {
	for _, a := range actions {
		if a.Kind == StopRun {
			number := s.HandledEnd(a.Worker) + 1
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: a.Run, Number: number, Reason: worker.EndStopped, Checkpoint: "c"}}}, now, now)
		}
	}
}

// A gang runs in a data centre that is evacuated. With checkpoints it moves as a whole if it would run for long, and only onto capacity that
// no waiting job needs; otherwise it ends where it is.
func TestRunningWorkInEvacuatedDataCentre(t *testing.T) {
	for name, test := range map[string]struct {
		checkpoints bool
		runTime     time.Duration
		// waits submits a job that waits for the free capacity.
		waits func(s *State)
		// dataRack is the rack of the gang's data.
		dataRack ids.RackID
		want     int
	}{
		"with checkpoints":                  {checkpoints: true, runTime: 20 * time.Second, want: 2},
		"without checkpoints":               {runTime: 20 * time.Second},
		"it ends soon":                      {checkpoints: true, runTime: 2500 * time.Millisecond},
		"a gang waits for the free workers": {checkpoints: true, runTime: 20 * time.Second, waits: func(s *State) { s.accept(gangJob("wide", 1, 3, 8, 10*time.Second), testStart) }},
		"a job waits that fits only after the evacuation": {checkpoints: true, runTime: 20 * time.Second, want: 2, waits: func(s *State) {
			s.accept(gangJob("huge", 1, 5, 8, 10*time.Second), testStart)
		}},
		"tasks wait for their next attempts": {checkpoints: true, runTime: 20 * time.Second, waits: func(s *State) {
			for _, id := range []string{"first", "second"} {
				j := gangJob(id, 1, 1, 8, 10*time.Second)
				s.accept(j, testStart)
				j.units[0].notBefore = testStart.Add(3 * time.Second)
			}
		}},
		"its data are in the data centre": {checkpoints: true, runTime: 20 * time.Second, dataRack: "r000"},
	} {
		t.Run(name, func(t *testing.T) {
			s := twoCentres(6, 2, 2)
			j := gangJob("moved", 1, 2, 8, test.runTime)
			j.Steps[0].Checkpoints, j.Steps[0].DataRack = test.checkpoints, test.dataRack
			s.accept(j, testStart)
			require.Len(t, s.startAll(testStart), 2)
			long := gangJob("long", 1, 2, 8, time.Minute)
			s.accept(long, testStart)
			require.Len(t, s.startAll(testStart), 2)
			now := testStart.Add(time.Second)
			s.SetEvacuations([]ids.DataCentreID{"a"}, now)
			if test.waits != nil {
				test.waits(s)
			}
			actions, _ := s.Decide(now)
			require.Equal(t, test.want, stops(actions)["moved"])
			require.Zero(t, stops(actions)["long"])
			if test.want == 0 {
				return
			}
			s.endStopped(actions, now)
			again := s.startAll(now.Add(100 * time.Millisecond))
			require.Len(t, again, 2)
			s.requireOutside(t, again, "a")
			require.Equal(t, "c", again[0].Checkpoint)
			s.startAll(now.Add(200 * time.Millisecond))
			for _, n := range s.nodes {
				require.Zero(t, n.movingTo)
			}
		})
	}
}

// A gang whose members are inside and outside the evacuated data centre moves with all of them.
func TestGangAcrossBorderMovesWhole(t *testing.T) {
	s := twoCentres(8, 2, 1)
	j := gangJob("gang", 1, 2, 8, 20*time.Second)
	j.Steps[0].Checkpoints = true
	s.accept(j, testStart)
	for _, a := range s.startAll(testStart) {
		require.Equal(t, ids.RackID("r000"), s.nodes[a.Worker].Rack)
	}
	s.SetEvacuations([]ids.DataCentreID{"a"}, testStart.Add(time.Second))
	actions, _ := s.Decide(testStart.Add(time.Second))
	require.Equal(t, map[ids.JobID]int{"gang": 2}, stops(actions))
}

// Two gangs could move by the sum of the free workers, but only one rack has room for one of them. The other one is not stopped, since it would
// wait.
func TestMovesNeedPlacesOfTheirOwn(t *testing.T) {
	s := twoCentres(10, 2, 4)
	s.listWorkers(func(i int, w *Worker) { w.Draining = i == 7 || i == 9 })
	for _, id := range []string{"first", "second"} {
		j := gangJob(id, 1, 2, 8, 20*time.Second)
		j.Steps[0].Checkpoints = true
		s.accept(j, testStart)
		require.Len(t, s.startAll(testStart), 2)
	}
	s.SetEvacuations([]ids.DataCentreID{"a"}, testStart.Add(time.Second))
	actions, _ := s.Decide(testStart.Add(time.Second))
	require.Len(t, stops(actions), 1)
	more, _ := s.Decide(testStart.Add(1200 * time.Millisecond))
	require.Empty(t, more)
	s.endStopped(actions, testStart.Add(1300*time.Millisecond))
	require.Len(t, s.startAll(testStart.Add(1300*time.Millisecond)), 2)
}

// Many tasks with checkpoints run in a data centre that is evacuated while there is room elsewhere. They move at a limited pace, each move
// to a place of its own, and urgent work that arrives meanwhile starts at once without preempting.
func TestMovesKeepCapacityForUrgentWork(t *testing.T) {
	s := twoCentres(32, 8, 16)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 64}})
	for i := range 16 {
		j := gangJob(fmt.Sprintf("j%02d", i), 1, 1, 8, 30*time.Second)
		j.Steps[0].Checkpoints = true
		s.accept(j, testStart)
		for _, a := range s.startAll(testStart) {
			require.Equal(t, ids.DataCentreID("a"), s.nodes[a.Worker].DataCentre)
		}
	}
	begin := testStart.Add(time.Second)
	s.SetEvacuations([]ids.DataCentreID{"a"}, begin)
	var stopping []Action
	moved, urgent, most := 0, 0, 0
	for d := time.Duration(0); d < 3*time.Second; d += 50 * time.Millisecond {
		now := begin.Add(d)
		if d == 300*time.Millisecond || d == 600*time.Millisecond {
			s.accept(gangJob(fmt.Sprintf("urgent%d", d), 0, 1, 8, 500*time.Millisecond), now)
		}
		actions, _ := s.Decide(now)
		s.requireOutside(t, starts(actions), "a")
		require.Empty(t, s.preempting)
		for _, a := range starts(actions) {
			s.RunStarted(a.Worker, a.Run, now)
			if a.Run.Job[0] == 'u' {
				urgent++
			}
		}
		count := len(stops(actions))
		moved += count
		most = max(most, count)
		s.endStopped(stopping, now)
		stopping = actions
	}
	require.Equal(t, 2, urgent)
	require.LessOrEqual(t, most, 5)
	require.Equal(t, 14, moved, "two places are taken by urgent work")
}

// starts returns the starts among some actions.
func starts(actions []Action) []Action {
	var list []Action
	for _, a := range actions {
		if a.Kind == StartRun {
			list = append(list, a)
		}
	}
	return list
}

// BenchmarkEvacuation measures a pass at the design target's size: single tasks with checkpoints fill one of 13 data centres, and others most of
// the rest. With little room elsewhere, most tasks that may move find no place.
func BenchmarkEvacuation(b *testing.B) {
	for name, c := range map[string]struct {
		evacuate bool
		others   int
	}{
		"none": {others: 1600}, "room elsewhere": {evacuate: true, others: 1600}, "no room elsewhere": {evacuate: true, others: 2305},
	} {
		b.Run(name, func(b *testing.B) {
			s := testState(2500, 8)
			s.listWorkers(func(i int, w *Worker) { w.DataCentre = ids.DataCentreID(fmt.Sprint(i * 13 / 2500)) })
			fill := func(id string, tasks, accelerators int) {
				j := gangJob(id, 2, tasks, accelerators, time.Hour)
				j.Steps[0].Gang, j.Steps[0].SameRack, j.Steps[0].Checkpoints = false, false, accelerators == 1
				s.accept(j, testStart)
				s.startAll(testStart)
			}
			fill("movable", 1536, 1)
			fill("others", c.others, 8)
			if c.evacuate {
				s.SetEvacuations([]ids.DataCentreID{"0"}, testStart)
			}
			now := testStart
			b.ResetTimer()
			for range b.N {
				now = now.Add(moveCheckInterval)
				s.requestPass()
				s.endStopped(first(s.Decide(now)), now)
			}
		})
	}
}

func first(actions []Action, _ []Notice) []Action { return actions }
