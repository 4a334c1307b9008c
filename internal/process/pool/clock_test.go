package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// The time of day jumps between the end of a job and a takeover, or differs between the two owners' machines: the job is kept
// for the whole retention time after the takeover.
func TestRetentionWhenTheTimeOfDayJumps(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forwards": time.Hour, "backwards": -time.Hour, "not at all": 0} {
		t.Run(name, func(t *testing.T) {
			j := gangJob("a", 1, 1, 8, time.Second)
			s := testState(1, 1)
			s.accept(j, testStart)
			s.Cancel(j.ID, testStart)
			record, err := j.Encode("1", 0)
			require.NoError(t, err)
			restored, err := Decode(record)
			require.NoError(t, err)
			next := testState(1, 1)
			now := testStart.Add(time.Second + jump)
			next.Recover([]*Job{restored}, now)
			next.EndRecovery(nil, now, now)
			require.Empty(t, next.RemoveRetired(now.Add(next.Times.Retention)))
			require.NotNil(t, next.Job(j.ID))
			later := now.Add(next.Times.Retention + time.Second)
			if jump < 0 {
				later = later.Add(-jump)
			}
			require.Equal(t, []ids.JobID{j.ID}, next.RemoveRetired(later))
		})
	}
}

// The time of day jumps back and forth over the due times of a scheduled job: each occurrence runs once.
func TestScheduleWhenTheTimeOfDayJumps(t *testing.T) {
	s := testState(1, 1)
	j := gangJob("a", 1, 1, 1, time.Second)
	j.Schedule = Schedule{Occurrences: 3, First: testStart.Add(2 * time.Second), Interval: 2 * time.Second}
	s.accept(j, testStart)
	starts := make(map[int]int)
	ends := uint64(0)
	for _, second := range []int{0, 1, 2, -3, 2, 3, 4, 1, 0, 4, 6, 2, 7} {
		now := testStart.Add(time.Duration(second) * time.Second)
		for _, a := range s.startAll(now) {
			starts[a.Run.Occurrence]++
			require.False(t, now.Before(j.Schedule.due(a.Run.Occurrence)))
			ends++
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: a.Run, Number: ends, Reason: worker.EndDone}}}, now, now)
		}
	}
	require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1}, starts)
	require.Equal(t, Completed, j.State)
}
