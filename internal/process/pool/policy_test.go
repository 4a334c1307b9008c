package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against accepted jobs that keep what a former configuration prescribed for their queue.
func TestSetPolicies(t *testing.T) {
	usual := gangJob("", 1, 1, 1, time.Second).policy()
	for name, test := range map[string]struct {
		change func(p *Policy)
		check  func(t *testing.T, s *State, j, other *Job)
	}{
		"service": {change: func(p *Policy) { p.Service = "other" }, check: func(t *testing.T, s *State, j, _ *Job) {
			actions := s.startAll(testStart.Add(time.Second))
			require.Len(t, actions, 2, "the waiting units start on the workers of the other service")
			for _, a := range actions {
				require.Equal(t, j.ID, a.Run.Job)
				require.Equal(t, ids.ServiceID("other"), s.nodes[a.Worker].Service)
			}
		}},
		"priority": {change: func(p *Policy) { p.Priority = 0 }, check: func(t *testing.T, s *State, j, other *Job) {
			require.Equal(t, []*Job{j, other}, []*Job(s.live))
			require.Equal(t, 0, j.Priority)
		}},
		"objective": {change: func(p *Policy) { p.Stretch, p.Target = 9, time.Hour }, check: func(t *testing.T, s *State, j, other *Job) {
			require.Greater(t, s.Objective(j), time.Hour)
			require.Less(t, s.Objective(other), time.Hour)
		}},
		"attempts": {change: func(p *Policy) { p.MaxAttempts = 1 }, check: func(t *testing.T, _ *State, j, _ *Job) {
			require.Equal(t, Failed, j.State, "a task has failed as often")
		}},
		"none": {change: func(*Policy) {}, check: func(t *testing.T, s *State, j, _ *Job) {
			require.True(t, s.IsCurrentVersionStored(j))
			require.Empty(t, s.startAll(testStart.Add(time.Second)))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 1)
			w := s.nodes["w0000"].Worker
			w.ID, w.Service, w.Rack = "x0000", "other", "other"
			s.SetWorkers([]Worker{s.nodes["w0000"].Worker, s.nodes["w0001"].Worker, w})
			s.nodes["x0000"].reported = true
			other := gangJob("other", 1, 2, 8, time.Minute)
			s.accept(other, testStart)
			require.Len(t, s.startAll(testStart), 2, "the service is full")
			j := gangJob("a", 1, 2, 1, time.Second)
			j.Steps[0].Gang = false
			s.accept(j, testStart)
			require.Empty(t, s.startAll(testStart))
			j.units[0].failedRuns = append(j.units[0].failedRuns, 1000)
			p := usual
			test.change(&p)
			s.SetPolicies(func(of *Job) (Policy, bool) { return p, of == j }, testStart)
			require.Equal(t, p, j.policy())
			require.Equal(t, usual, other.policy())
			require.NotEmpty(t, other.units[0].runs, "what runs goes on")
			test.check(t, s, j, other)
		})
	}
}

// A unit for which others are being stopped on the workers of the former service gives these workers up.
func TestSetPoliciesWhilePreempting(t *testing.T) {
	s := testState(2, 1)
	other := gangJob("other", 1, 2, 8, time.Minute)
	s.accept(other, testStart)
	require.Len(t, s.startAll(testStart), 2)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 16}})
	j := gangJob("a", 0, 2, 8, time.Second)
	s.accept(j, testStart)
	s.Decide(testStart.Add(time.Second))
	require.Equal(t, preempting, j.units[0].phase)
	p := j.policy()
	p.Service = "other"
	s.SetPolicies(func(of *Job) (Policy, bool) { return p, of == j }, testStart)
	require.Equal(t, waiting, j.units[0].phase)
	for _, n := range s.nodes {
		require.Zero(t, n.held)
	}
}

// Guards against an accepted job that never starts, since its account's guarantee covered it before a configuration gave its queue a lower priority.
func TestSetPoliciesOfGuaranteedJob(t *testing.T) {
	s := testState(2, 1)
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 16}})
	j := gangJob("a", 0, 1, 8, time.Second)
	s.accept(j, testStart)
	s.HoldStarts(true)
	s.Decide(testStart)
	require.True(t, j.guaranteed)
	p := j.policy()
	p.Priority = 2
	s.SetPolicies(func(*Job) (Policy, bool) { return p, true }, testStart)
	s.HoldStarts(false)
	require.Len(t, s.startAll(testStart.Add(time.Second)), 1)
}
