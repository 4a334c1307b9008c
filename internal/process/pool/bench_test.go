package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
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
					if u := s.unitOf(s.jobs[a.Run.Job], a.Run.Task); a.Run.Index == u.first {
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

// BenchmarkCrashedQuarter measures the decisions of the two seconds after a quarter of the workers of a full pool with a long queue has crashed.
func BenchmarkCrashedQuarter(b *testing.B) {
	for _, workers := range []int{48, 350, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			longest, passes := time.Duration(0), 0
			for range b.N {
				b.StopTimer()
				s, now := testState(workers, 8), testStart
				for i := range workers {
					j := gangJob(fmt.Sprintf("job%07d", i), i%3, 1+i%6, 4, 10*time.Second)
					j.Steps[0].Gang = i%3 < 2
					s.accept(j, now)
				}
				for id := range s.nodes {
					s.Reported(id, worker.RunReport{Incarnation: 1}, now, now)
				}
				s.startAll(now)
				now = now.Add(500 * time.Millisecond)
				for i := 0; i < workers; i += 4 {
					s.MarkDead(ids.InstanceID(fmt.Sprintf("w%04d", i)), "its process has ended", now)
				}
				b.StartTimer()
				for range 200 {
					for _, j := range s.Dirty(workers, now) {
						s.MarkStored(j.ID, j.Version())
					}
					began := time.Now()
					s.startAll(now)
					longest = max(longest, time.Since(began))
					passes++
					now = now.Add(10 * time.Millisecond)
				}
			}
			b.ReportAllocs()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(passes), "us/pass")
			b.ReportMetric(float64(longest.Microseconds()), "longest-us")
		})
	}
}
