package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// refill limits the starts on the cold workers of a data centre whose evacuation was withdrawn. Otherwise all of them
// would get work at once and be slow with all of it.
type refill struct {
	// rate is the number of accelerators filled per second, and left the number that may be filled now, as of updatedAt.
	rate, left float64
	updatedAt  time.Time
}

const (
	// maxColdSlowdown limits the learned slowdown of cold workers. A larger ratio is more probably an error of the estimates.
	maxColdSlowdown = 4.0
	// minColdSamples is the number of samples from which the learned slowdown of cold workers is used.
	minColdSamples = 3
	// refillShare is the part of a data centre's accelerators that is filled per second while its workers are cold.
	refillShare = 0.1
	// minRefillRate is the least such number of accelerators, those of one worker.
	minRefillRate = 8.0
)

// checkCold registers a worker that may be cold.
func (s *State) checkCold(n *node) {
	if !n.ColdUntil.IsZero() {
		s.coldNodes[n] = true
	}
}

// updateCold updates which workers are cold, and the pace at which they are filled.
func (s *State) updateCold(now time.Time) {
	if len(s.coldNodes) == 0 {
		clear(s.refills)
		return
	}
	slowdown := s.learnedColdSlowdown()
	for n := range s.coldNodes {
		n.cold, n.coldSlowdown = now.Before(n.ColdUntil), slowdown
		if !n.cold || !n.listed {
			n.cold, n.coldSlowdown = false, 0
			delete(s.coldNodes, n)
		}
	}
	for _, r := range s.refills {
		r.left = min(r.rate, r.left+r.rate*now.Sub(r.updatedAt).Seconds())
		r.updatedAt = now
	}
}

// learnedColdSlowdown returns how many times as long tasks take on cold workers; 1 until it is known.
func (s *State) learnedColdSlowdown() float64 {
	if s.coldSlowdown.count < minColdSamples {
		return 1
	}
	return math.Exp(s.coldSlowdown.value)
}

// observeCold handles the progress of a run whose rate was measured while its worker was cold, and reports whether it was. Such a rate
// is compared with that of warm workers to learn how slow cold ones are, but shows nothing about the worker itself.
func (s *State) observeCold(r *run, now time.Time) bool {
	n := r.node
	if n.ColdUntil.IsZero() {
		return false
	}
	isCold := now.Before(n.ColdUntil)
	if r.rateFrom.IsZero() && !isCold || !r.rateFrom.IsZero() && !r.rateFrom.Before(n.ColdUntil) {
		return false
	}
	elapsed := now.Sub(r.rateFrom)
	if !r.rateFrom.IsZero() && isCold {
		if elapsed < minRateInterval {
			return true
		}
		// Progress is truncated to whole percent.
		rate := (float64(r.percent-r.rateFromPercent) + 0.5) / elapsed.Seconds()
		if reference := s.warmRate(r); reference > 0 {
			s.coldSlowdown.add(min(math.Log(maxColdSlowdown), max(0, math.Log(reference/rate))))
		}
	}
	r.rateFrom, r.rateFromPercent, r.rate = now, r.percent, 0
	return true
}

// warmRate returns the rate expected of a run on a warm worker: that of the warm members of its gang or, without any, by the estimate of
// its queue; zero if neither is known.
func (s *State) warmRate(r *run) float64 {
	// The rates of cold members are not measured.
	if reference := s.referenceRate(r); reference > 0 {
		return reference
	}
	if s.learnedFor(r.unit.job).Weight < priorWeight {
		return 0
	}
	return 100 / s.placedRunTime(r.unit).Seconds() / max(1, r.node.measuredSlowdown)
}

// ranCold reports whether any of the unit's workers was cold when it started.
func (u *unit) ranCold() bool {
	for _, r := range u.runs {
		if u.startedAt.Before(r.node.ColdUntil) {
			return true
		}
	}
	return false
}

// warmestPlacement is bestPlacement, but urgent units and gangs get warm workers if they fit there: one cold worker slows a
// whole gang down.
func (s *State) warmestPlacement(u *unit, now time.Time, conflicts uint64, filter workerFilter) []*node {
	if len(s.coldNodes) > 0 && (u.count > 1 || u.job.Priority == 0) {
		s.warmOnly = true
		placement := s.bestPlacement(u, now, conflicts, filter)
		s.warmOnly = false
		if placement != nil {
			return placement
		}
	}
	return s.bestPlacement(u, now, conflicts, filter)
}

// updateRefill begins to limit the starts on the cold workers of a data centre when its evacuation is withdrawn, and ends it when another one
// begins.
func (s *State) updateRefill(e evacuation.Event, now time.Time) {
	delete(s.refills, e.DataCentre)
	if e.Phase != evacuation.Withdrawn {
		return
	}
	total, isCold := ids.Accelerators(0), false
	for _, n := range s.nodes {
		if n.listed && n.DataCentre == e.DataCentre {
			total += n.Total.Accelerators
			isCold = isCold || now.Before(n.ColdUntil)
		}
	}
	if isCold {
		rate := max(minRefillRate, refillShare*float64(total))
		s.refills[e.DataCentre] = &refill{rate: rate, left: rate, updatedAt: now}
	}
}

// refillPaused reports whether a cold worker's data centre was filled at its pace already. Urgent units don't wait for it.
func (s *State) refillPaused(u *unit, n *node) bool {
	r := s.refills[n.DataCentre]
	return r != nil && u.job.Priority > 0 && r.left <= 0
}

// countRefill counts the start of a run on a cold worker against the pace of its data centre.
func (s *State) countRefill(r *run) {
	if r.node.cold {
		if fill := s.refills[r.node.DataCentre]; fill != nil {
			fill.left -= max(1, float64(r.resources.Accelerators))
		}
	}
}
