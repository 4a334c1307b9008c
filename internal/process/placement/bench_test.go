package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// BenchmarkDecision measures one decision on full workers with a long queue: a job ends, another one is submitted and the
// next one is placed.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 100, 200} {
		for _, queued := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) { benchmarkDecision(b, workers, queued) })
		}
	}
}

func benchmarkDecision(b *testing.B, workers, queued int) {
	s, now := &State{DataCentre: "d"}, time.Unix(0, 0)
	s.SetNodes(testNodes(workers/10, 10))
	c, err := config.Parse("bench", []byte(soakConfig))
	require.NoError(b, err)
	for _, account := range c.Accounts {
		account.QueuedJobs = 2 * queued
	}
	s.Configure(c)
	next := 0
	submit := func() {
		next++
		shape := ids.Shape{Tasks: 1 + next%3, Each: ids.Resources{Accelerators: 1 << (next % 4), Cores: 1000}}
		account := []ids.AccountID{"large", "small", "other"}[next%3]
		job := caller.Job{Key: fmt.Sprint(next), Shape: shape, Kind: fmt.Sprint(next % 5), Idempotent: next%4 > 0, RunTime: time.Hour}
		require.NoError(b, s.Submit(&Job{Job: job, ID: ids.JobID(fmt.Sprint(next)), Account: account, Submitted: now}))
	}
	var running []Action
	step := func() {
		actions, _ := s.Decide(now)
		for _, a := range actions {
			switch a.Kind {
			case Start:
				s.Started(a.Job.ID, a.Attempt, now)
				running = append(running, a)
			case Stop:
				s.StopDone(a.Job.ID, a.Attempt, 0, now)
			}
		}
	}
	for s.Queued() < queued {
		submit()
		if next%100 == 0 {
			step()
		}
	}
	step()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Second)
		a := running[0]
		running = running[1:]
		for i := range a.Job.Shape.Tasks {
			s.TaskEnded(a.Job.ID, a.Attempt, i, false, now)
		}
		s.Forget(a.Job.ID)
		submit()
		step()
	}
}
