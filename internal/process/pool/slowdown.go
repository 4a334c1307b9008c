package pool

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// minRateInterval is the shortest time over which progress is measured: slightly less than the workers' report interval.
	minRateInterval = 900 * time.Millisecond
	// rateWindowPercent is the progress after which the measurement of a run's rate restarts, so that it follows changes.
	rateWindowPercent = 30
	// slowdownSpread is the usual spread of the logarithm of workers' slowdowns: some are a quarter slower than others.
	slowdownSpread = 0.2
	// slowerThreshold is the slowdown from which a worker counts as slower: half of the usual difference between the workers
	// of a pool, and more than the rounding error of progress in whole percent.
	slowerThreshold = 1.15
	// outlierDeviations is how many standard deviations a single task must exceed its expected run time to count against its
	// worker; by chance, one task in several hundred does.
	outlierDeviations = 3
	// referenceExponent reduces the weight of the other members' slowdowns in the rate to which a member is compared, so that
	// estimates that are too high don't raise the next ones.
	referenceExponent = 0.5
	// stragglerThreshold is the slowdown from which a worker is quarantined: a job there would miss its objective with the
	// smallest usual stretch, 1.5.
	stragglerThreshold = 2.0
)

// logSlowerThreshold is the logarithm of slowerThreshold.
var logSlowerThreshold = math.Log(slowerThreshold)

// slowdown returns how many times as long tasks take on a worker as on the pool's fast ones; 1 if unknown.
func (n *node) slowdown() float64 { return max(1, n.measuredSlowdown) * max(1, n.coldSlowdown) }

func (n *node) setLogSlowdown(logSlowdown float64) {
	n.logSlowdown = max(0, logSlowdown)
	n.measuredSlowdown = math.Exp(n.logSlowdown)
}

func (n *node) slower() bool { return n.logSlowdown >= logSlowerThreshold }

// slowdown returns the slowdown of the unit's slowest worker, which limits the whole gang.
func (u *unit) slowdown() float64 {
	largest := 1.0
	for _, r := range u.runs {
		largest = max(largest, r.node.slowdown())
	}
	return largest
}

// updateSlowdown updates the slowdown estimate of a run's worker by comparing the run's progress with the median of the other
// members of its gang, whose work is similar. A straggler is quarantined, and the gang is moved if it would then end sooner.
func (s *State) updateSlowdown(r *run, now time.Time) {
	u := r.unit
	if u.phase != running || r.percent >= 100 || s.observeCold(r, now) {
		return
	}
	if r.rateFrom.IsZero() {
		r.rateFrom, r.rateFromPercent = now, r.percent
	}
	elapsed := now.Sub(r.rateFrom)
	if elapsed < minRateInterval {
		return
	}
	// Progress is truncated to whole percent.
	progress := float64(r.percent-r.rateFromPercent) + 0.5
	r.rate = progress / elapsed.Seconds()
	reference := s.referenceRate(r)
	wasSlower := r.node.slower()
	bound := math.Log(stragglerThreshold)
	if reference > 0 {
		// The truncation error reduces the weight of the comparison.
		uncertainty := 1 / progress / slowdownSpread
		r.node.setLogSlowdown(r.node.logSlowdown + (math.Log(reference/r.rate)-r.node.logSlowdown)/(1+uncertainty*uncertainty))
	} else {
		// No other member to compare with, so compare with the queue's estimate.
		reference = 100 / s.placedRunTime(u).Seconds()
		bound = max(bound, outlierDeviations*s.learnedFor(u.job).deviation())
	}
	// A lower bound that holds despite truncation applies at once, even to a worker without any progress.
	if minLogSlowdown := math.Log(reference * elapsed.Seconds() / (progress + 0.5)); minLogSlowdown >= bound {
		r.node.setLogSlowdown(max(r.node.logSlowdown, minLogSlowdown))
	}
	if isSlower := r.node.slower(); isSlower != wasSlower {
		s.capacityChanged(r.node)
		s.notice(Notice{
			Kind: "WorkerPace", Worker: r.node.ID, Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count,
			Cause: fmt.Sprintf("tasks take %.2f times as long as on the fast workers", r.node.slowdown()),
		})
	}
	if progress > rateWindowPercent {
		r.rateFrom, r.rateFromPercent = now, r.percent
	}
	if r.node.slowdown() >= stragglerThreshold {
		s.leaveStraggler(u, r, now)
	}
}

// referenceRate returns the median rate of the other members of a run's gang, as it would be on fast workers; zero if it is
// not known.
func (s *State) referenceRate(r *run) float64 {
	rates := s.rates[:0]
	for _, other := range r.unit.runs {
		if other.node != r.node && other.rate > 0 {
			rates = append(rates, other.rate*math.Pow(other.node.slowdown(), referenceExponent))
		}
	}
	s.rates = rates
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// leaveStraggler quarantines a slow worker, and stops the unit if it would end sooner elsewhere.
func (s *State) leaveStraggler(u *unit, r *run, now time.Time) {
	s.quarantine(r.node, u.job.ID, "tasks take far longer than on other workers", now)
	remaining := time.Duration(float64(100-r.percent) / r.rate * float64(time.Second))
	restartTime := s.runTime(u)
	if u.spec().Checkpoints {
		restartTime = restartTime*time.Duration(100-r.percent)/100 + s.Times.Restore
	}
	// A unit that was stopped for this before must gain more, since the next workers may turn out to be no faster.
	if remaining > time.Duration(1+u.stragglerStops)*(restartTime+restartDelay) {
		u.stragglerStops++
		u.avoidNode(r.node.ID, now)
		s.stopUnit(u, "it would end sooner elsewhere than on the slow worker "+string(r.node.ID), now)
	}
}

// resetRates restarts the measurement of the runs' rates.
func (u *unit) resetRates(now time.Time) {
	for _, r := range u.runs {
		r.rateFrom, r.rateFromPercent, r.rate = now, 0, 0
	}
}

// maxSlowdown returns the slowdown of the slowest worker of a placement.
func maxSlowdown(placement []*node) float64 {
	largest := 1.0
	for _, n := range placement {
		largest = max(largest, n.slowdown())
	}
	return largest
}
