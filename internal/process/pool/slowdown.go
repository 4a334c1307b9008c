package pool

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
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
	// provingWorkers is the number of workers on which a unit must have been slow before its expected run time is taken to be wrong. Few workers are slow at a time.
	provingWorkers = 2
)

// The logarithms of the thresholds.
var (
	logSlowerThreshold    = math.Log(slowerThreshold)
	logStragglerThreshold = math.Log(stragglerThreshold)
)

// slowdown returns how many times as long tasks take on a worker as on the pool's fast ones, or in a pool of unequal workers as on
// the same worker while it is sound; 1 if unknown.
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
	s.observeGangSpeeds(u)
	reference := s.referenceRate(r)
	isCompared := reference > 0
	if !isCompared {
		s.clearBlamed(u, r, elapsed)
	}
	wasSlower := r.node.slower()
	bound := logStragglerThreshold
	if isCompared {
		// The truncation error reduces the weight of the comparison.
		uncertainty := 1 / progress / slowdownSpread
		r.node.setLogSlowdown(r.node.logSlowdown + (math.Log(reference/r.rate)-s.logSpeed(r.node)-r.node.logSlowdown)/(1+uncertainty*uncertainty))
	} else {
		// No other member to compare with, so compare with the queue's estimate.
		reference = 100 / s.placedRunTime(u).Seconds()
		deviation := s.learnedFor(u.job).deviation()
		if s.speeds.unequal && u.count == 1 && u.showsSpeed() {
			// The step's other tasks show more, and the worker's speed is an estimate as well.
			work := s.expectedWork(u)
			reference = 100 / math.Exp(work.mean())
			deviation = math.Sqrt(work.variance() + r.node.speed.variance() + taskSpread*taskSpread)
		}
		bound = max(bound, outlierDeviations*deviation)
	}
	// A lower bound that holds despite truncation applies at once, even to a worker without any progress.
	if minLogSlowdown := math.Log(reference*elapsed.Seconds()/(progress+0.5)) - s.logSpeed(r.node); minLogSlowdown >= bound && !s.isLongWork(r) {
		r.node.setLogSlowdown(max(r.node.logSlowdown, minLogSlowdown))
	}
	if isSlower := r.node.slower(); isSlower != wasSlower {
		if !isSlower {
			r.node.slowJob = ""
		}
		s.capacityChanged(r.node)
		s.notice(Notice{
			Kind: "WorkerPace", Worker: r.node.ID, Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count,
			Cause: fmt.Sprintf("tasks take %.2f times as long as on the fast workers", r.node.slowdown()),
		})
	}
	if progress > rateWindowPercent {
		r.rateFrom, r.rateFromPercent = now, r.percent
	}
	if r.node.slowdown() >= stragglerThreshold && s.isFault(r.node) {
		s.leaveStraggler(u, r, isCompared, now)
	}
}

// isFaulty reports whether a worker of a pool of unequal ones is to be quarantined: at two jobs in a row it was slower than any class of
// the pool explains. One job's progress doesn't show that, since the speeds are estimates.
func (s *State) isFaulty(n *node, job ids.JobID) bool {
	if n.speed.Mean+n.logSlowdown < s.faultBound(n) {
		return false
	}
	return n.slowJob != "" && n.slowJob != job
}

// shownTime returns the run time that a unit shows by a rate of its run in percent per second, as on a fast worker near its data.
func (s *State) shownTime(r *run, rate float64) time.Duration {
	factor := math.Exp(s.logSpeed(r.node))
	if r.unit.remote {
		factor *= s.Times.RemoteSlowdown
	}
	return time.Duration(100 / rate / factor * float64(time.Second))
}

// isProvenLong reports whether the unit has taken longer than expected on so many workers that its expected run time is wrong, and not their speed.
func (u *unit) isProvenLong() bool { return len(u.slowOn) >= provingWorkers }

// clearBlamed takes back what a unit has shown of the workers that it left, once it is certain to be about as slow on yet another one.
func (s *State) clearBlamed(u *unit, r *run, elapsed time.Duration) {
	if !u.isProvenLong() || slices.Contains(u.slowOn, r.node.ID) {
		return
	}
	// Progress is truncated to whole percent.
	highestRate := float64(r.percent-r.rateFromPercent+1) / elapsed.Seconds()
	if s.shownTime(r, highestRate) < time.Duration(float64(u.shownTime)/stragglerThreshold) {
		return
	}
	for _, id := range u.slowOn {
		n := s.nodes[id]
		if n == nil || n.slowJob != u.job.ID {
			continue
		}
		n.slowJob = ""
		n.setLogSlowdown(0)
		s.capacityChanged(n)
		if !n.quarantinedUntil.IsZero() && n.quarantinedFor == (blame{u.job.Account, u.job.Queue}) {
			s.endQuarantine(n)
		}
		s.notice(Notice{Kind: "WorkerPace", Worker: n.ID, Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count, Cause: "the task takes as long on " + string(r.node.ID)})
	}
}

// isFault reports whether a slowdown is a fault rather than a speed that isn't known yet: the worker was faster before, or no
// worker of the pool is as slow.
func (s *State) isFault(n *node) bool {
	return !s.speeds.unequal || n.speed.established() || n.speed.Mean+n.logSlowdown >= s.faultBound(n)
}

// faultBound returns the logarithm of the time from which a worker is slower than any class of the pool explains. The slowdown of a worker whose speed isn't
// known may have been measured against fast workers alone.
func (s *State) faultBound(n *node) float64 {
	bound := s.speeds.slowest + logStragglerThreshold
	if !n.speed.established() {
		bound += max(0, s.speeds.mean-s.speeds.fastest)
	}
	return bound
}

// referenceRate returns the median rate of the other members of a run's gang, as it would be on fast workers, or in a pool of
// unequal workers on the usual one; zero if it is not known.
func (s *State) referenceRate(r *run) float64 {
	rates := s.rates[:0]
	for _, other := range r.unit.runs {
		if other.node != r.node && other.rate > 0 {
			rates = append(rates, other.rate*math.Exp(s.logSpeed(other.node))*math.Pow(other.node.slowdown(), referenceExponent))
		}
	}
	s.rates = rates
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// leaveStraggler quarantines a slow worker, and stops the unit if it would end sooner elsewhere. isCompared is set if the unit's other members are faster. Otherwise the unit
// may take longer than expected on any worker; see isProvenLong.
func (s *State) leaveStraggler(u *unit, r *run, isCompared bool, now time.Time) {
	if !s.speeds.unequal || s.isFaulty(r.node, u.job.ID) {
		s.quarantineFor(r.node, u.job, "tasks take far longer than on other workers", now)
	}
	r.node.slowJob = u.job.ID
	remaining := time.Duration(float64(100-r.percent) / r.rate * float64(time.Second))
	restartTime := s.runTime(u)
	if s.speeds.unequal && u.job.Priority > 0 {
		// In a full pool the unit would wait for the workers that it leaves.
		placement := s.findPlacement(u, now, s.conflicts(u, now))
		if placement == nil {
			return
		}
		restartTime = time.Duration(float64(restartTime) * s.slowestFactor(placement))
	}
	if u.spec().Checkpoints {
		restartTime = restartTime*time.Duration(100-r.percent)/100 + s.Times.Restore
	}
	// A unit that was stopped for this before must gain more, since the next workers may turn out to be no faster.
	if remaining > time.Duration(1+u.stragglerStops)*(restartTime+restartDelay) {
		u.stragglerStops++
		if !isCompared {
			shown := s.shownTime(r, r.rate)
			if u.shownTime > 0 {
				shown = min(shown, u.shownTime)
			}
			u.shownTime = shown
			if !slices.Contains(u.slowOn, r.node.ID) {
				u.slowOn = append(u.slowOn, r.node.ID)
			}
			s.markDirty(u.job)
		}
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
