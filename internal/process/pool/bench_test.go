package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

// BenchmarkDecide measures a decision after one event on a full pool with a long queue.
func BenchmarkDecide(b *testing.B) {
	for name, size := range map[string]struct{ workers, perRack, jobs, tasks int }{
		"350 workers, 300 gangs wait":              {350, 20, 300, 8},
		"350 workers, 200 jobs of 50 single tasks": {350, 20, 200, 50},
		"2500 workers, 10000 gangs wait":           {2500, 12, 10000, 8},
	} {
		b.Run(name, func(b *testing.B) {
			s := testState(size.workers, size.perRack)
			now, jobs, ends := testStart, 0, uint64(0)
			submit := func() {
				j := gangJob(fmt.Sprintf("job%07d", jobs), 1+jobs%2, size.tasks, 4, 10*time.Second)
				j.Steps[0].Gang = size.tasks <= 20
				jobs++
				s.accept(j, now)
			}
			// running holds the active units in the order of their starts.
			var running []*unit
			decide := func() {
				for _, a := range s.startAll(now) {
					if u := s.jobs[a.Run.Job].unitOf(a.Run.Task); a.Run.Index == u.first {
						running = append(running, u)
					}
				}
			}
			for range size.jobs {
				submit()
			}
			decide()
			b.ResetTimer()
			for range b.N {
				now = now.Add(10 * time.Millisecond)
				// A unit ends, and another one starts in its place.
				u := running[0]
				running = running[1:]
				for _, r := range slices.Clone(u.runs) {
					ends++
					s.Reported(r.node.ID, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: r.Run, Number: ends, Reason: worker.EndDone}}}, now.Add(-time.Hour), now)
				}
				if u.job.ended() {
					submit()
				}
				decide()
			}
			b.ReportMetric(float64(len(s.live)), "jobs")
		})
	}
}
