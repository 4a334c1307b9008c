package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Tasks for which workers are being cleared count against the bound of tasks on a worker.
func TestMaxPerWorkerCountsKeptTasks(t *testing.T) {
	s := testState(2, 2)
	// Only covered work stops a gang that is worth more than itself.
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 16}})
	bulk := gangJob("a", 1, 2, 8, time.Second)
	s.accept(bulk, testStart)
	actions, _ := s.Decide(testStart)
	for _, a := range actions {
		s.RunStarted(a.Worker, a.Run, testStart)
	}
	urgent := gangJob("b", 0, 2, 2, time.Second)
	urgent.Steps[0].Gang, urgent.Steps[0].MaxPerWorker = false, 1
	s.accept(urgent, testStart)
	s.Decide(testStart)
	require.Len(t, s.kept, 2)
	require.NotEqual(t, s.kept[0].place[0], s.kept[1].place[0])
}

// The tasks of a step that wants one rack follow its first one, also while another rack has more room.
func TestSingleTasksKeepToOneRack(t *testing.T) {
	s := testState(4, 2)
	j := gangJob("a", 1, 6, 4, time.Second)
	j.Steps[0].Gang = false
	s.accept(j, testStart)
	actions, _ := s.Decide(testStart)
	require.Len(t, actions, 4, "a rack holds four of the tasks")
	racks := make(map[ids.RackID]bool)
	for _, a := range actions {
		racks[s.nodes[a.Worker].Rack] = true
	}
	require.Len(t, racks, 1)
}

// A gang that needs every worker starts again after it has failed on one of them.
func TestGangThatNeedsEveryWorker(t *testing.T) {
	s := testState(2, 2)
	j := gangJob("a", 1, 2, 8, time.Second)
	s.accept(j, testStart)
	actions, _ := s.Decide(testStart)
	require.Len(t, actions, 2)
	for _, a := range actions {
		s.RunStarted(a.Worker, a.Run, testStart)
	}
	for i, how := range []worker.Ending{worker.EndFailed, worker.EndBroken} {
		s.Reported(actions[i].Worker, worker.RunReport{Incarnation: 1, Ended: []worker.End{{Run: actions[i].Run, Number: 1, How: how}}}, testStart, testStart)
	}
	s.Decide(testStart)
	actions, _ = s.Decide(testStart.Add(time.Second))
	require.Empty(t, actions, "it keeps off the worker for a while")
	actions, _ = s.Decide(testStart.Add(time.Minute))
	require.Len(t, actions, 2)
}
