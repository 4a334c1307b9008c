package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// baseline is a simple scheduler to compare with: it refuses nothing, stops nothing, knows
// no priorities, and is spared what is cancelled or fails.
type baseline struct {
	// backfill lets later jobs pass one that does not fit, and bestFit takes the rack with the least room.
	backfill, bestFit bool
}

// play runs the offers on a pool and returns when each ended.
func (b baseline) play(p pattern, offers []offer) map[ids.JobID]time.Time {
	free := make([]ids.Resources, p.size())
	for i := range free {
		free[i] = ids.Resources{Accelerators: 8, Cores: 128000, Memory: 262144}
	}
	type running struct {
		end   time.Time
		each  ids.Resources
		place []int
	}
	var queue []offer
	var active []running
	ends := make(map[ids.JobID]time.Time)
	next := 0
	for now := testStart; next < len(offers) || len(queue) > 0; now = now.Add(10 * time.Millisecond) {
		for ; next < len(offers) && !now.Before(testStart.Add(offers[next].at)); next++ {
			if offers[next].isOwed() {
				queue = append(queue, offers[next])
			}
		}
		active = slices.DeleteFunc(active, func(r running) bool {
			if now.Before(r.end) {
				return false
			}
			for _, i := range r.place {
				free[i] = free[i].Plus(r.each)
			}
			return true
		})
		blocked := false
		queue = slices.DeleteFunc(queue, func(o offer) bool {
			if blocked && !b.backfill {
				return false
			}
			place := b.place(free, o.job.Steps[0])
			if place == nil {
				blocked = true
				return false
			}
			slowest := 1.0
			for _, i := range place {
				free[i] = free[i].Minus(o.job.Steps[0].Each)
				slowest = max(slowest, p.slownessOf(i))
			}
			ends[o.job.ID] = now.Add(time.Duration(slowest * float64(o.runTime)))
			active = append(active, running{ends[o.job.ID], o.job.Steps[0].Each, place})
			return true
		})
	}
	return ends
}

// place returns workers of one rack for a gang, or nil.
func (b baseline) place(free []ids.Resources, step Step) []int {
	var best []int
	bestLeft := ids.Accelerators(0)
	for rack := 0; rack < len(free); rack += comparePerRack {
		var place []int
		left := ids.Accelerators(0)
		for i := rack; i < rack+comparePerRack; i++ {
			for range free[i].Copies(step.Each, step.Tasks-len(place)) {
				place = append(place, i)
			}
			left += free[i].Accelerators
		}
		if len(place) < step.Tasks {
			continue
		}
		if !b.bestFit {
			return place
		}
		if best == nil || left < bestLeft {
			best, bestLeft = place, left
		}
	}
	return best
}
