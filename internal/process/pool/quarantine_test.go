package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// startsOf returns how often the tasks of a job were started.
func (s *sim) startsOf(id ids.JobID) int {
	starts := 0
	for key, members := range s.startedMembers {
		if key.job == id {
			starts += members
		}
	}
	return starts
}

// Guards against tasks that take longer than declared and are chased round all workers, and against accounts and queues whose tasks take the workers from all others.
func TestTasksThatAreNotAsDeclared(t *testing.T) {
	for name, test := range map[string]struct {
		workers, jobs      int
		declared, runTime  time.Duration
		checkpoints, fails bool
		// takeovers is the time between changes of the owner; zero means none.
		takeovers time.Duration
		// hanging is the number of workers on which no task makes progress.
		hanging int
		ends    time.Duration
	}{
		"far too long":                       {workers: 8, jobs: 2, declared: 5 * time.Second, runTime: 300 * time.Second, ends: 320 * time.Second},
		"a percent takes most of a minute":   {workers: 8, jobs: 1, declared: time.Second, runTime: 5000 * time.Second, ends: 5100 * time.Second},
		"a whole queue of them":              {workers: 24, jobs: 24, declared: 2 * time.Second, runTime: 90 * time.Second, ends: 150 * time.Second},
		"with checkpoints":                   {workers: 8, jobs: 4, declared: 2 * time.Second, runTime: 100 * time.Second, checkpoints: true, ends: 130 * time.Second},
		"while owners change":                {workers: 8, jobs: 2, declared: 5 * time.Second, runTime: 200 * time.Second, takeovers: 40 * time.Second, ends: 230 * time.Second},
		"on workers some of which hang":      {workers: 16, jobs: 8, declared: 5 * time.Second, runTime: 60 * time.Second, hanging: 2, ends: 120 * time.Second},
		"they fail, and are sent many times": {workers: 16, jobs: 60, declared: time.Second, runTime: time.Second, fails: true, ends: 60 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(test.workers, 4, 1)
			for i := range test.hanging {
				s.hanging[ids.InstanceID(fmt.Sprintf("w%04d", i))] = true
			}
			var list []ids.JobID
			for i := range test.jobs {
				id := ids.JobID(fmt.Sprintf("job%d", i))
				list = append(list, id)
				s.poison[id] = test.fails
				s.at(time.Duration(i)*100*time.Millisecond, func() {
					j := gangJob(string(id), 1, 1, 8, test.declared)
					j.Account, j.Steps[0].Gang, j.Steps[0].Checkpoints, j.Target = "account", false, test.checkpoints, time.Hour
					s.submitOnce(j, test.runTime)
				})
			}
			limit := max(1, test.workers/maxBlamedShare)
			var watch, takeOver func()
			watch = func() {
				quarantined := 0
				for _, n := range s.nodes {
					if !n.quarantinedUntil.IsZero() {
						quarantined++
					}
				}
				require.LessOrEqual(t, quarantined, limit)
				s.at(100*time.Millisecond, watch)
			}
			takeOver = func() {
				s.restart(test.workers, 4)
				s.at(test.takeovers, takeOver)
			}
			s.at(0, watch)
			if test.takeovers > 0 {
				s.at(test.takeovers, takeOver)
			}
			s.playFor(test.ends)
			for _, id := range list {
				require.True(t, s.Job(id) == nil || s.Job(id).ended(), "%s has not ended after %d starts", id, s.startsOf(id))
				if !test.fails {
					require.LessOrEqual(t, s.startsOf(id), 1+provingWorkers+maxStalls+test.hanging)
				}
			}
		})
	}
}
