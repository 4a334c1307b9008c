package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against jobs that are kept in memory after their end, since a worker that fell silent under them never answers again.
func TestEndOfJobWithUnseenCrash(t *testing.T) {
	s := testState(2, 2)
	for _, id := range []string{"a", "b"} {
		s.accept(gangJob(id, 1, 1, 4, 10*time.Second), testStart)
	}
	for _, a := range s.startAll(testStart) {
		s.recordUnseen(s.nodes[a.Worker], []lostRun{s.findRun(a.Worker, a.Run).lost()}, testStart)
	}
	require.NotEmpty(t, s.unseen)
	for _, id := range []ids.JobID{"a", "b"} {
		s.Cancel(id, testStart)
		require.NoError(t, s.Verify())
	}
	require.Empty(t, s.unseen)
}

// Guards against ended jobs that stay in the table of live jobs, and start again, after a takeover while the time of day jumps.
func TestLiveJobsWhenTheTimeOfDayJumps(t *testing.T) {
	const jobs = 30
	for name, end := range map[string]func(s *State, j *Job){
		"cancelled":       func(s *State, j *Job) { s.Cancel(j.ID, j.Submitted) },
		"failed":          func(s *State, j *Job) { s.Fail(j.ID, "cause", j.Submitted) },
		"never stored":    func(s *State, j *Job) { j.stored = false; s.Withdraw(j.ID) },
		"given back late": func(s *State, j *Job) { s.Cancel(j.ID, j.Submitted); j.stored = false; s.Withdraw(j.ID) },
		"other priority": func(s *State, j *Job) {
			s.SetPolicies(func(other *Job) (Policy, bool) {
				p := other.policy()
				p.Priority = 1 - p.Priority
				return p, other == j
			}, j.Submitted)
			s.Cancel(j.ID, j.Submitted)
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			for order := range 100 {
				random := rand.New(rand.NewPCG(uint64(order), 0))
				s := testState(4, 2)
				s.Epoch = 2
				var recovered, all []*Job
				for i, at := range testrun.StepTimes(t, start, jobs, random.IntN(jobs), 40*time.Second) {
					j := gangJob(fmt.Sprintf("a%02d", i), 0, 1, 1, time.Second)
					// A record holds the time of day alone.
					j.Submitted, j.State = at.Round(0), Accepted
					recovered = append(recovered, j)
				}
				s.Recover(recovered, start.Add(jobs*time.Second))
				s.EndRecovery(nil, start, start)
				for i, at := range testrun.StepTimes(t, start.Add(jobs*time.Second), jobs, 10, 30*time.Second) {
					j := gangJob(fmt.Sprintf("b%02d", i), 0, 1, 1, time.Second)
					s.accept(j, at)
					all = append(all, j)
				}
				all = append(all, recovered...)
				random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
				for _, j := range all {
					end(s, j)
					require.NoError(t, s.Verify())
				}
				require.Empty(t, s.live)
				for key, tag := range s.fairQueue.finishTags {
					require.GreaterOrEqual(t, tag, time.Duration(0), "a charge of %v was taken back twice", key)
				}
			}
		})
	}
}

// Jobs go in the order of their acceptance, whatever the owners' times of day were. Those of an earlier version come first.
func TestOrderOverOwners(t *testing.T) {
	now := testStart
	owner := &State{}
	for epoch, day := range []time.Duration{0, time.Hour, -time.Hour, 0} {
		next := testState(4, 2)
		next.Epoch = ids.Epoch(epoch + 1)
		jobs := storedJobs(t, owner, now)
		now = testStart.Add(day)
		next.Recover(jobs, now)
		next.EndRecovery(nil, now, now)
		for i := range 3 {
			// The ids are in no order.
			next.accept(gangJob(fmt.Sprintf("%x-%d", 7*(epoch*3+i)%16, epoch*3+i), 0, 1, 1, time.Second), now)
		}
		for _, j := range next.live {
			next.markDirty(j)
		}
		owner = next
	}
	var order []string
	for _, j := range owner.live {
		order = append(order, string(j.ID[2:]))
	}
	require.Equal(t, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"}, order)
}
