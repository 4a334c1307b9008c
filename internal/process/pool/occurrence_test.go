package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// scheduledJob returns a job whose two steps, of two tasks and of a gang of two, run at many times.
func scheduledJob(occurrences int, interval time.Duration) *Job {
	j := gangJob("a", 1, 2, 1, time.Second)
	j.Steps = append([]Step{{Tasks: 2, Each: j.Steps[0].Each, Estimate: time.Second}}, j.Steps...)
	j.Steps[1].After = []int{0}
	j.Schedule = Schedule{Occurrences: occurrences, First: testStart, Interval: interval}
	return j
}

// pendingEnds reports the ends of runs, and those that go on.
type pendingEnds struct {
	state   *State
	numbers map[ids.InstanceID]uint64
	active  []Action
}

// end reports that runs have ended as done.
func (e *pendingEnds) end(actions []Action, now time.Time) {
	if e.numbers == nil {
		e.numbers = make(map[ids.InstanceID]uint64)
	}
	ended := make(map[ids.InstanceID][]worker.EndedRun)
	for _, a := range actions {
		e.numbers[a.Worker]++
		ended[a.Worker] = append(ended[a.Worker], worker.EndedRun{Run: a.Run, Number: e.numbers[a.Worker], Reason: worker.EndDone})
	}
	active := make(map[ids.InstanceID][]worker.ActiveRun)
	for _, a := range e.active {
		active[a.Worker] = append(active[a.Worker], worker.ActiveRun{Run: a.Run})
	}
	for id, list := range ended {
		e.state.Reported(id, worker.RunReport{Incarnation: 1, Ended: list, Active: active[id]}, now, now)
	}
}

// Guards against a scheduled job all of whose occurrences are kept in memory: only those that are due and not done are. Each occurrence runs once, in time, also if
// a new owner takes over in the middle.
func TestOccurrencesInMemory(t *testing.T) {
	for name, test := range map[string]struct {
		interval time.Duration
		// maxOpen is the largest number of occurrences that may be open.
		maxOpen int
	}{
		"rare":            {interval: 10 * time.Second, maxOpen: 2},
		"overlapping":     {interval: 500 * time.Millisecond, maxOpen: 5},
		"all at once":     {interval: 0, maxOpen: 40},
		"faster than due": {interval: 100 * time.Millisecond, maxOpen: 25},
	} {
		t.Run(name, func(t *testing.T) {
			const occurrences, step = 40, 500 * time.Millisecond
			s, j := testState(10, 2), scheduledJob(occurrences, test.interval)
			s.accept(j, testStart)
			ends := pendingEnds{state: s}
			starts := make(map[worker.Task]int)
			now := testStart
			for i := 0; j.State == Accepted && i < 2*occurrences*int(1+test.interval/step)+20; i++ {
				started := s.startAll(now)
				for _, a := range started {
					starts[a.Run.Task]++
					require.False(t, now.Before(j.Schedule.due(a.Run.Occurrence)))
				}
				require.LessOrEqual(t, len(j.units), test.maxOpen*j.unitsPerOccurrence())
				require.Len(t, j.stages, (j.opened-j.closed)*len(j.Steps))
				require.LessOrEqual(t, len(j.stepRacks), len(j.stages))
				now = now.Add(step)
				ends.end(started, now)
				if i == occurrences/2 && j.State == Accepted {
					value, err := j.Encode("writer", 0)
					require.NoError(t, err)
					j, err = Decode(value)
					require.NoError(t, err)
					s = testState(10, 2)
					s.Epoch = 2
					s.Recover([]*Job{j}, now)
					s.EndRecovery(nil, now, now)
					ends = pendingEnds{state: s}
				}
			}
			require.Equal(t, Completed, j.State)
			require.Len(t, starts, 4*occurrences)
			for task, count := range starts {
				require.Equal(t, 1, count, task)
			}
		})
	}
}

// Guards against a job that keeps more and more occurrences behind one that does not end, in memory and in its record. The ones behind it go on once it has ended.
func TestOccurrencesBehindOne(t *testing.T) {
	s, j := testState(10, 2), scheduledJob(20000, time.Millisecond)
	s.accept(j, testStart)
	ends := pendingEnds{state: s}
	now := testStart
	for range 400 {
		var others []Action
		for _, a := range s.startAll(now) {
			if a.Run.Occurrence == 0 {
				ends.active = append(ends.active, a)
			} else {
				others = append(others, a)
			}
		}
		now = now.Add(100 * time.Millisecond)
		ends.end(others, now)
	}
	stuck := ends.active
	require.Len(t, stuck, 2)
	require.LessOrEqual(t, len(j.units), maxOpenUnits)
	opened := j.opened
	require.Positive(t, opened)
	ends.active = nil
	ends.end(stuck, now)
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		ends.end(s.startAll(now), now)
	}
	require.Greater(t, j.opened, opened)
}

// Guards against a run of an earlier owner that is stopped, or started again, since its occurrence is not open yet here.
func TestRunOfLaterOccurrence(t *testing.T) {
	j := scheduledJob(100, time.Second)
	j.State, j.stored, j.Submitted = Accepted, true, testStart
	value, err := j.Encode("writer", 0)
	require.NoError(t, err)
	j, err = Decode(value)
	require.NoError(t, err)
	s := testState(4, 2)
	s.Epoch = 2
	s.Recover([]*Job{j}, testStart)
	now := testStart.Add(7 * time.Second)
	s.Reported("w0000", worker.RunReport{
		Incarnation: 1, Active: []worker.ActiveRun{{Run: worker.Run{Task: worker.Task{Job: "a", Occurrence: 6, Index: 1}, Number: 1001}}},
		Ended: []worker.EndedRun{{Run: worker.Run{Task: worker.Task{Job: "a", Occurrence: 7}, Number: 1001}, Number: 1, Reason: worker.EndDone}},
	}, now, now)
	s.EndRecovery(nil, now, now)
	for _, a := range s.startAll(now) {
		require.NotEqual(t, worker.Task{Job: "a", Occurrence: 6, Index: 1}, a.Run.Task)
		require.NotEqual(t, worker.Task{Job: "a", Occurrence: 7}, a.Run.Task)
	}
	require.Equal(t, running, s.unitOf(j, worker.Task{Job: "a", Occurrence: 6, Index: 1}).phase)
	require.Equal(t, done, s.unitOf(j, worker.Task{Job: "a", Occurrence: 7}).phase)
	require.Nil(t, s.unitOf(j, worker.Task{Job: "a", Occurrence: 100}))
	require.Nil(t, s.unitOf(j, worker.Task{Job: "a", Occurrence: 6, Index: 2}))
}

// A job that would take more memory than there is left is refused, for good if it alone takes more than there is. Ended jobs count until they are removed.
func TestRefusalForMemory(t *testing.T) {
	tasks := func(id string, count int) *Job {
		j := gangJob(id, 1, count, 1, time.Second)
		j.Steps[0].Gang = false
		j.Schedule = Schedule{Occurrences: 1, First: testStart.Add(time.Hour)}
		return j
	}
	s := testState(4, 2)
	s.MaxMemory = tasks("", 1).size() + 150*unitBytes
	require.Nil(t, s.Admit(tasks("a", 100), testStart))
	s.accept(tasks("a", 100), testStart)
	refusal := s.Admit(tasks("b", 100), testStart)
	require.NotNil(t, refusal)
	require.Equal(t, memoryRetryAfter, refusal.RetryAfter)
	refusal = s.Admit(tasks("c", 1000), testStart)
	require.NotNil(t, refusal)
	require.Zero(t, refusal.RetryAfter, "it never fits")
	require.Nil(t, s.Admit(tasks("d", 10), testStart))
	s.Cancel("a", testStart)
	s.MarkStored("a", s.Job("a").Version())
	require.Nil(t, s.Admit(tasks("b", 100), testStart))
	require.Positive(t, s.MemoryUsed())
	s.RemoveRetired(testStart.Add(time.Hour))
	require.Zero(t, s.MemoryUsed())
}
