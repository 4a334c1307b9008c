package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// headroom is what bulk work leaves free for urgent work, so that this need not stop it: as much as urgent work has held
// of late beyond what it holds now. Bulk work that saves its progress may use it.
type headroom struct {
	peak   ids.Resources
	peakAt time.Time
	// gang is the smoothed size of urgent gangs.
	gang ids.Resources
}

// headroomMemory is the time in which the memory of a peak of urgent work falls to a third: bursts come in waves of about
// ten seconds on the sites known.
const headroomMemory = 10 * time.Second

// headroomGangs is the number of usual urgent gangs for which room is kept at least.
const headroomGangs = 2

// saw takes the size of an urgent job in.
func (h *headroom) saw(j *Job) {
	var sum ids.Resources
	for _, step := range j.Steps {
		sum = atLeast(sum, step.Each.Times(step.Tasks))
	}
	if h.gang == (ids.Resources{}) {
		h.gang = sum
		return
	}
	h.gang = scale(h.gang, 1-learnShare).Plus(scale(sum, learnShare))
}

// update takes what urgent work holds and waits for now, and returns what is to be left free.
func (h *headroom) update(current ids.Resources, now time.Time) ids.Resources {
	if elapsed := now.Sub(h.peakAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / headroomMemory.Seconds())
		h.peak = scale(h.peak, factor)
		h.peakAt = now
	}
	h.peak = atLeast(h.peak, current)
	return atLeast(h.peak.Minus(current), scale(h.gang, headroomGangs))
}

func scale(r ids.Resources, f float64) ids.Resources {
	return ids.Resources{
		Accelerators: ids.Accelerators(float64(r.Accelerators) * f), Cores: ids.MilliCores(float64(r.Cores) * f), Memory: ids.MebiBytes(float64(r.Memory) * f),
	}
}

// urgentNeed returns what the units of priority 0 hold and wait for.
func (s *State) urgentNeed() ids.Resources {
	var sum ids.Resources
	for _, j := range s.live {
		if j.Priority != 0 {
			break
		}
		for _, u := range j.units {
			if u.phase != done {
				sum = sum.Plus(u.spec().Each.Times(u.count))
			}
		}
	}
	return sum
}

// cheap returns what bulk work holds that can be stopped without a loss.
func (s *State) cheap() ids.Resources {
	var sum ids.Resources
	for _, j := range s.live {
		if j.Priority == 0 {
			continue
		}
		for _, u := range j.units {
			if u.spec().Checkpoints && (u.phase == running || u.phase == starting) {
				sum = sum.Plus(u.spec().Each.Times(u.count))
			}
		}
	}
	return sum
}

// leavesHeadroom reports whether a unit may start without taking what urgent work is expected to need.
func (p *pass) leavesHeadroom(u *unit) bool {
	if u.job.Priority == 0 || u.spec().Checkpoints {
		return true
	}
	left := p.all.Plus(p.cheap).Minus(u.spec().Each.Times(u.count))
	return left.Accelerators >= p.reserve.Accelerators && left.Cores >= p.reserve.Cores
}
