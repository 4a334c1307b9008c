package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// testStart is the time at which all tests begin.
var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// testState returns a state with workers of one service, in racks, that have reported.
func testState(workers, perRack int) *State {
	return testStateOf(Times{EntryInterval: 1500 * time.Millisecond}, workers, perRack)
}

// testStateOf is testState with other times.
func testStateOf(times Times, workers, perRack int) *State {
	s := &State{Epoch: 1, Times: times}
	var list []Worker
	for i := range workers {
		list = append(list, Worker{
			ID: ids.InstanceID(fmt.Sprintf("w%04d", i)), Service: "service", Rack: ids.RackID(fmt.Sprintf("r%03d", i/perRack)),
			Total: ids.Resources{Accelerators: 8, Cores: 128000, Memory: 262144}, Incarnation: 1,
		})
	}
	s.SetWorkers(list)
	for _, n := range s.nodes {
		n.reported = true
	}
	return s
}

// gangJob returns a job of one gang.
func gangJob(id string, priority, tasks, accelerators int, estimate time.Duration) *Job {
	return &Job{
		ID: ids.JobID(id), Queue: "queue", Service: "service", Account: "account", Priority: priority, MaxAttempts: 3, Stretch: 3, Target: time.Second,
		Steps: []Step{{
			Tasks: tasks, Each: ids.Resources{Accelerators: ids.Accelerators(accelerators), Cores: 1000 * ids.MilliCores(6*accelerators), Memory: 1024},
			Estimate: estimate, Gang: true, SameRack: true,
		}},
	}
}

// accept adds a job as if its acceptance had been stored.
func (s *State) accept(j *Job, now time.Time) {
	j.Submitted = now
	s.Offer(j)
	s.MarkStored(j.ID, j.Version())
}

// storedJobs returns the changed jobs as the next owner reads them.
func storedJobs(t *testing.T, s *State, now time.Time) []*Job {
	var jobs []*Job
	for _, j := range s.Dirty(1<<20, now) {
		value, err := j.Encode("writer", 0)
		require.NoError(t, err)
		j, err = Decode(value)
		require.NoError(t, err)
		jobs = append(jobs, j)
	}
	return jobs
}

// startAll calls Decide, confirms all starts and returns them.
func (s *State) startAll(now time.Time) []Action {
	actions, _ := s.Decide(now)
	actions = slices.DeleteFunc(actions, func(a Action) bool { return a.Kind != StartRun })
	for _, a := range actions {
		s.RunStarted(a.Worker, a.Run, now)
	}
	return actions
}
