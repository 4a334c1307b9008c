package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Jobs that are cancelled before their start or never stored are not charged to their account.
func TestStartTagsOfWithdrawnJobs(t *testing.T) {
	for name, drop := range map[string]func(s *State, id ids.JobID){
		"cancelled": func(s *State, id ids.JobID) { s.Cancel(id, testStart) },
		"withdrawn": func(s *State, id ids.JobID) { s.Withdraw(id) },
		// Guards against a charge that is taken back twice.
		"cancelled, then withdrawn": func(s *State, id ids.JobID) { s.Cancel(id, testStart); s.Withdraw(id) },
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 4)
			for i := range 20 {
				j := gangJob(fmt.Sprintf("job%02d", i), 1, 2, 8, 5*time.Second)
				j.Submitted = testStart
				s.Offer(j)
				drop(s, j.ID)
			}
			require.Equal(t, map[accountPriority]time.Duration{{"account", 1}: 0}, s.fairQueue.finishTags)
			j := gangJob("last", 1, 2, 8, 5*time.Second)
			s.accept(j, testStart)
			require.Zero(t, j.startTag)
		})
	}
}

// A job of a small account goes ahead of the work that another account has queued beyond its burst allowance, and behind
// it within the allowance. Higher priorities always go first, and urgent jobs go by submission time.
func TestStartTags(t *testing.T) {
	for name, test := range map[string]struct {
		queued, priority, otherPriority int
		before                          int
	}{
		"within the burst":        {queued: 1, priority: 1, otherPriority: 1, before: 1},
		"beyond the burst":        {queued: 20, priority: 1, otherPriority: 1, before: 3},
		"a higher priority":       {queued: 20, priority: 1, otherPriority: 2, before: 20},
		"urgent, by submission":   {queued: 20, priority: 0, otherPriority: 0, before: 20},
		"a lower priority queued": {queued: 20, priority: 2, otherPriority: 1, before: 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 4)
			s.SetAccounts(map[ids.AccountID]Account{"greedy": {Guaranteed: 16}, "modest": {Guaranteed: 16}})
			for i := range test.queued {
				// The job takes half of the pool for five seconds, like the account's guarantee.
				j := gangJob(fmt.Sprintf("greedy%02d", i), test.priority, 2, 8, 5*time.Second)
				j.Account = "greedy"
				s.accept(j, testStart.Add(time.Duration(i)*time.Millisecond))
			}
			modest := gangJob("modest", test.otherPriority, 2, 8, 5*time.Second)
			modest.Account = "modest"
			s.accept(modest, testStart.Add(time.Second))
			before := 0
			for _, j := range s.live {
				if j == modest {
					break
				}
				before++
			}
			require.Equal(t, test.before, before)
		})
	}
}

// More gangs than the pool can serve, so that some become overdue: the pool serves first those that can still end in time, and
// the overdue ones afterwards.
func TestPatternOverdueGangsYield(t *testing.T) {
	s := testState(1, 1)
	gang := func(id string) *Job {
		j := gangJob(id, 1, 1, 8, 10*time.Second)
		j.Stretch, j.Target = 1.5, 0
		return j
	}
	s.accept(gang("first"), testStart)
	first := s.startAll(testStart)
	require.Len(t, first, 1)
	overdue, inTime := gang("overdue"), gang("in time")
	s.accept(overdue, testStart)
	now := testStart.Add(9 * time.Second)
	s.accept(inTime, now)
	var order []ids.JobID
	for number, run := uint64(1), first[0]; number <= 2; number++ {
		now = testStart.Add(time.Duration(10*number) * time.Second)
		s.Reported(run.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: run.Run, Number: number, Reason: worker.EndDone}}}, now, now)
		started := s.startAll(now)
		require.Len(t, started, 1)
		run = started[0]
		order = append(order, run.Run.Job)
	}
	require.Equal(t, []ids.JobID{inTime.ID, overdue.ID}, order)
}
