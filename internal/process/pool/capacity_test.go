package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A worker whose capacity was reduced below what its runs use must get no further start, be it of a task that needs none of the scarce resource, be it
// one that was decided before.
func TestReducedCapacity(t *testing.T) {
	fill := func(t *testing.T, s *State, accelerators int) {
		s.accept(gangJob("a", 1, 1, accelerators, time.Second), testStart)
		require.Len(t, s.startAll(testStart), 1)
	}
	reduce := func(s *State, accelerators ids.Accelerators) {
		w := s.nodes["w0000"].Worker
		w.Total.Accelerators = accelerators
		s.SetWorkers([]Worker{w})
	}
	small := func(id string, accelerators int) *Job {
		j := gangJob(id, 1, 1, 1, time.Second)
		j.Steps[0].Each.Accelerators = ids.Accelerators(accelerators)
		return j
	}
	for name, run := range map[string]func(t *testing.T, s *State){
		"task without accelerators": func(t *testing.T, s *State) {
			fill(t, s, 8)
			reduce(s, 4)
			s.accept(small("b", 0), testStart)
			require.Empty(t, s.startAll(testStart.Add(time.Second)))
			reduce(s, 8)
			require.Len(t, s.startAll(testStart.Add(2*time.Second)), 1)
		},
		"start on its way": func(t *testing.T, s *State) {
			s.accept(gangJob("a", 1, 1, 8, time.Second), testStart)
			actions, _ := s.Decide(testStart)
			require.True(t, s.MayStart("w0000", actions[0].Run))
			reduce(s, 4)
			require.False(t, s.MayStart("w0000", actions[0].Run))
		},
		"run that is being stopped": func(t *testing.T, s *State) {
			fill(t, s, 4)
			s.Cancel("a", testStart)
			reduce(s, 4)
			s.accept(small("b", 1), testStart)
			require.Empty(t, s.startAll(testStart.Add(time.Second)))
		},
		"run of unknown size": func(t *testing.T, s *State) {
			now, unknown := testStart, worker.Run{Task: worker.Task{Job: "unknown"}, Number: 1}
			s.Reported("w0000", worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: unknown}}}, now, now)
			s.accept(small("b", 1), now)
			require.Empty(t, s.startAll(now.Add(time.Second)), "the unknown run may use the whole worker until it has ended")
			s.StopConfirmed("w0000", unknown, now.Add(time.Second))
			s.Reported("w0000", worker.RunReport{Incarnation: 1}, now.Add(2*time.Second), now.Add(2*time.Second))
			require.Len(t, s.startAll(now.Add(2*time.Second)), 1)
		},
	} {
		t.Run(name, func(t *testing.T) { run(t, testState(1, 1)) })
	}
}
