package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

// BenchmarkDecide times a decision after one event on a full pool with a long queue.
func BenchmarkDecide(b *testing.B) {
	for name, size := range map[string]struct{ workers, perRack, jobs, tasks int }{
		"350 workers, 300 gangs wait":              {350, 20, 300, 8},
		"350 workers, 200 jobs of 50 single tasks": {350, 20, 200, 50},
		"2500 workers, 10000 gangs wait":           {2500, 12, 10000, 8},
	} {
		b.Run(name, func(b *testing.B) {
			s := testState(size.workers, size.perRack)
			now := testStart
			for i := range size.jobs {
				j := gangJob(fmt.Sprintf("job%05d", i), 1+i%2, size.tasks, 4, 10*time.Second)
				if size.tasks > 20 {
					j.Steps[0].Gang = false
				}
				s.accept(j, now)
			}
			actions, _ := s.Decide(now)
			for _, a := range actions {
				s.RunStarted(a.Worker, a.Run, now)
			}
			units := make(map[*unit][]Action)
			var order []*unit
			for _, a := range actions {
				u := s.jobs[a.Run.Job].unitOf(a.Run.Task)
				if units[u] == nil {
					order = append(order, u)
				}
				units[u] = append(units[u], a)
			}
			ends := uint64(0)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				// A gang ends, and another one takes its place.
				u := order[i%len(order)]
				for _, a := range units[u] {
					ends++
					s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.End{{Run: a.Run, Number: ends, How: worker.EndDone}}}, now.Add(-time.Hour), now)
				}
				s.Decide(now)
			}
		})
	}
}
