package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// baseline is a simple scheduler for comparison: it admits everything, never preempts, ignores priorities, and is not given
// the jobs that are cancelled or fail.
type baseline struct {
	// backfill lets later jobs overtake one that does not fit. bestFit picks the rack with the least free accelerators.
	backfill, bestFit bool
}

// play runs the submissions on a pool and returns when each job ended.
func (b baseline) play(p pattern, submissions []submission) map[ids.JobID]time.Time {
	free := make([]ids.Resources, p.size())
	for i := range free {
		free[i] = ids.Resources{Accelerators: 8, Cores: 128000, Memory: 262144}
	}
	type running struct {
		end       time.Time
		each      ids.Resources
		placement []int
	}
	var queue []submission
	var active []running
	ends := make(map[ids.JobID]time.Time)
	next := 0
	for now := testStart; next < len(submissions) || len(queue) > 0; now = now.Add(10 * time.Millisecond) {
		for ; next < len(submissions) && !now.Before(testStart.Add(submissions[next].submitAt)); next++ {
			if submissions[next].countsForScore() {
				queue = append(queue, submissions[next])
			}
		}
		active = slices.DeleteFunc(active, func(r running) bool {
			if now.Before(r.end) {
				return false
			}
			for _, i := range r.placement {
				free[i] = free[i].Plus(r.each)
			}
			return true
		})
		blocked := false
		queue = slices.DeleteFunc(queue, func(o submission) bool {
			if blocked && !b.backfill {
				return false
			}
			placement := b.findPlacement(free, o.job.Steps[0])
			if placement == nil {
				blocked = true
				return false
			}
			slowest := 1.0
			for _, i := range placement {
				free[i] = free[i].Minus(o.job.Steps[0].Each)
				slowest = max(slowest, p.slowdownOf(i))
			}
			ends[o.job.ID] = now.Add(time.Duration(slowest * float64(o.runTime)))
			active = append(active, running{ends[o.job.ID], o.job.Steps[0].Each, placement})
			return true
		})
	}
	return ends
}

// findPlacement returns workers of one rack for a gang, or nil.
func (b baseline) findPlacement(free []ids.Resources, step Step) []int {
	var best []int
	bestLeft := ids.Accelerators(0)
	for rack := 0; rack < len(free); rack += workersPerRack {
		var placement []int
		left := ids.Accelerators(0)
		for i := rack; i < rack+workersPerRack; i++ {
			for range free[i].Copies(step.Each, step.Tasks-len(placement)) {
				placement = append(placement, i)
			}
			left += free[i].Accelerators
		}
		if len(placement) < step.Tasks {
			continue
		}
		if !b.bestFit {
			return placement
		}
		if best == nil || left < bestLeft {
			best, bestLeft = placement, left
		}
	}
	return best
}
