package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/testrun"
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
			require.Equal(t, []ids.JobID{j.ID}, next.RemoveRetired(now.Add(next.Times.Retention+time.Second)))
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

// Guards against deciding by the difference of two owners' times of day: a gang that can still end in time goes before one that can't, whatever the time of day of the
// owner is that took over, and each counts from its acceptance.
func TestAgeOverOwners(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forwards": time.Hour, "backwards": -time.Hour, "not at all": 0} {
		t.Run(name, func(t *testing.T) {
			gang := func(id string) *Job {
				j := gangJob(id, 1, 1, 8, 10*time.Second)
				j.Stretch, j.Target = 1.5, 0
				return j
			}
			s := testState(1, 1)
			s.accept(gang("overdue"), testStart)
			now := testStart.Add(9 * time.Second)
			s.accept(gang("in time"), now)
			jobs := storedJobs(t, s, now)
			next := testState(1, 1)
			next.Epoch = 2
			now = now.Add(jump)
			next.Recover(jobs, now)
			next.EndRecovery(nil, now, now)
			require.Equal(t, 9*time.Second, next.Job("overdue").age(now))
			require.Zero(t, next.Job("in time").age(now))
			started := next.startAll(now)
			require.Len(t, started, 1)
			require.Equal(t, ids.JobID("in time"), started[0].Run.Job)
		})
	}
}

// Guards against ended jobs that are never removed, and take memory, while owners change more often than the retention.
func TestRetentionOverOwners(t *testing.T) {
	s, now := testState(1, 1), testStart
	s.accept(gangJob("ended", 1, 1, 8, time.Second), now)
	s.Cancel("ended", now)
	s.accept(gangJob("live", 1, 1, 8, time.Hour), now)
	var kept time.Duration
	for epoch := ids.Epoch(2); s.Job("ended") != nil; epoch++ {
		require.LessOrEqual(t, kept, 2*s.Times.Retention)
		for _, j := range s.jobs {
			s.markDirty(j)
		}
		jobs := storedJobs(t, s, now)
		s = testState(1, 1)
		s.Epoch = epoch
		// Each owner's time of day is another one.
		now = testStart.Add(time.Duration(epoch%3) * time.Hour)
		s.Recover(jobs, now)
		s.EndRecovery(nil, now, now)
		now = now.Add(s.Times.Retention / 4)
		kept += s.Times.Retention / 4
		if len(s.RemoveRetired(now)) > 0 {
			require.GreaterOrEqual(t, kept, s.Times.Retention)
		}
	}
}

// Guards against an occurrence that starts before it is due, or does not wait after a failure, since the time of day was stepped in between.
func TestBackoffWhenTheTimeOfDayJumps(t *testing.T) {
	for name, test := range map[string]struct{ step, due, delay time.Duration }{
		"ahead, and back before it is due": {step: 30 * time.Second, due: 10 * time.Second, delay: 10 * time.Second},
		"back, and ahead after a failure":  {step: -30 * time.Second, due: -time.Second, delay: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			j := gangJob("a", 1, 1, 8, time.Second)
			j.Schedule = Schedule{Occurrences: 1, First: now.Add(test.due).Round(0)}
			s := testState(1, 1)
			s.accept(j, now)
			j.units[0].notBefore = testrun.StepTimeOfDay(t, now.Add(2*time.Second), test.step)
			require.Empty(t, s.startAll(now.Add(test.delay-time.Millisecond)))
			require.Len(t, s.startAll(now.Add(test.delay)), 1)
		})
	}
}

// Guards against occurrences that start at once, since the sum of the intervals up to them exceeds the longest duration.
func TestScheduleBeyondTheLongestDuration(t *testing.T) {
	const year = 365 * 24 * time.Hour
	s := Schedule{Occurrences: 40000, First: testStart, Interval: year + time.Millisecond}
	require.Equal(t, testStart.Add(2*s.Interval).UnixNano(), s.due(2).UnixNano())
	for last := range s.Occurrences - 1 {
		require.True(t, s.due(last).Before(s.due(last+1)), last)
	}
	j := gangJob("a", 1, 1, 1, time.Second)
	j.Schedule = Schedule{Occurrences: 400, First: testStart.Add(-200 * year), Interval: year}
	state := testState(1, 1)
	state.accept(j, testStart)
	j.openThrough(399)
	require.Positive(t, j.units[399].startDelay(testStart))
	require.Negative(t, j.units[0].startDelay(testStart))
	require.Error(t, Validate(gangJob("a", 1, 1, 1, 0).Steps, Schedule{Occurrences: 2, Interval: -1}))
}
