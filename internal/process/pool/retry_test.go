package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Forty callers ask at once for a whole rack each, of which the pool has four. It guards against callers that are told to return
// together: most of them were then refused again, and one that was refused late went ahead of one that was refused early.
func TestPatternCallersReturnInTurn(t *testing.T) {
	s := newSim(32, 8, 1)
	s.SetAccounts(nil)
	const callers, mostRetries = 40, 10
	calls, returns := 0, make(map[time.Time]int)
	var served []ids.JobID
	var submit func(j *Job, retries int)
	submit = func(j *Job, retries int) {
		calls++
		j.Submitted = s.now
		refusal := s.Admit(j, s.now)
		if refusal == nil {
			s.runTimes[j.ID] = 2 * time.Second
			served = append(served, j.ID)
			s.accept(j, s.now)
			return
		}
		returns[s.now.Add(refusal.RetryAfter)]++
		if retries > 0 {
			s.at(refusal.RetryAfter, func() { submit(j, retries-1) })
		}
	}
	for i := range callers {
		j := gangJob(fmt.Sprintf("job%02d", i), 0, 8, 8, 2*time.Second)
		j.Stretch, j.Target = 1.5, 250*time.Millisecond
		s.at(time.Duration(i/10)*time.Millisecond, func() { submit(j, mostRetries) })
	}
	s.playFor(time.Minute)
	require.True(t, slices.IsSorted(served), "%v", served)
	for at, n := range returns {
		require.Equal(t, 1, n, "returns after %v", at.Sub(testStart))
	}
	// With one second for all, 25 were served in 302 calls, and ten returned at a time.
	t.Logf("served %d in %d calls", len(served), calls)
	require.Len(t, served, callers)
	require.LessOrEqual(t, calls, 100)
}

// The order of the returns goes by priority and shape: callers of less urgent or larger jobs don't delay others.
func TestRetryAfterByPriorityAndShape(t *testing.T) {
	for name, test := range map[string]struct {
		priority, accelerators int
		waits                  bool
	}{
		"the same":    {priority: 1, accelerators: 8, waits: true},
		"less urgent": {priority: 2, accelerators: 8, waits: true},
		"more urgent": {priority: 0, accelerators: 8},
		"smaller":     {priority: 1, accelerators: 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(8, 8)
			for i := range 5 {
				first := gangJob(fmt.Sprintf("first%d", i), 1, 8, 8, 2*time.Second)
				first.makeUnits()
				require.InDelta(t, (minRetryAfter + time.Duration(i)*2*time.Second).Seconds(), s.retryAfter(first, 0, testStart).Seconds(), 0.01)
			}
			j := gangJob("job", test.priority, 8, test.accelerators, 2*time.Second)
			j.makeUnits()
			after := s.retryAfter(j, 0, testStart)
			if test.waits {
				require.Greater(t, after, 9*time.Second)
				return
			}
			require.Greater(t, after, minRetryAfter)
			require.Less(t, after, minRetryAfter+2*retrySpacing)
		})
	}
}
