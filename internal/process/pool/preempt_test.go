package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// An urgent gang onto a full worker whose run is about to end: the run is not stopped. If it has not ended after the time
// that a stop would have taken, it is stopped.
func TestPatternUrgentBesideRunAboutToEnd(t *testing.T) {
	for name, ends := range map[string]bool{"the run ends as expected": true, "the run goes on": false} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 8}})
			bulk := gangJob("bulk", 1, 1, 8, 10*time.Second)
			s.accept(bulk, testStart)
			require.Len(t, s.startAll(testStart), 1)
			now := testStart.Add(9900 * time.Millisecond)
			run := runOf(bulk, 0, 1001)
			s.Reported("w0000", worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: run, Percent: 99}}}, now, now)
			s.accept(gangJob("urgent", 0, 1, 8, 2*time.Second), now)
			actions, _ := s.Decide(now)
			require.Empty(t, actions)
			if ends {
				now = now.Add(100 * time.Millisecond)
				s.Reported("w0000", worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: run, Number: 1, Reason: worker.EndDone}}}, now, now)
				actions, _ = s.Decide(now)
				require.Len(t, actions, 1)
				require.Equal(t, ids.JobID("urgent"), actions[0].Run.Job)
				return
			}
			now = now.Add(s.Times.Stop + time.Millisecond)
			actions, _ = s.Decide(now)
			require.Equal(t, []Action{{Kind: StopRun, Worker: "w0000", Run: run}}, actions)
		})
	}
}

// Many single tasks without checkpoints on a half-empty pool: they share workers and leave others to gangs, although another
// worker would be a better fit for the first tasks of a later job.
func TestPatternPinnedTasksShareWorkers(t *testing.T) {
	s := testState(4, 4)
	other := gangJob("other", 1, 1, 7, time.Minute)
	other.Steps[0].Checkpoints = true
	first := gangJob("first", 2, 2, 1, time.Minute)
	first.Steps[0].Gang, first.Steps[0].SameRack = false, false
	s.accept(first, testStart)
	require.Len(t, s.startAll(testStart), 2)
	s.accept(other, testStart)
	require.Len(t, s.startAll(testStart), 1)
	second := gangJob("second", 2, 1, 1, time.Minute)
	second.Steps[0].Gang, second.Steps[0].SameRack = false, false
	s.accept(second, testStart)
	s.startAll(testStart)
	pinned := 0
	for _, n := range s.nodes {
		if n.pinned > 0 {
			pinned++
		}
	}
	require.Equal(t, 1, pinned, "workers with tasks that can't be moved")
}
