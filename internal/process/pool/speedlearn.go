package pool

import (
	"math"
	"strconv"
	"time"
)

// minSpeedPercent is the progress from which a run's rate shows its worker's speed: progress is truncated to whole percent.
const minSpeedPercent = 8

// workEstimate estimates the logarithm of the time that a step's tasks take on the usual worker, from tasks on workers whose speeds
// are known with some variance.
type workEstimate struct{ sum, weight float64 }

func (w *workEstimate) add(value, variance float64) {
	w.sum += value / variance
	w.weight += 1 / variance
}

// without returns the mean and variance of the estimate without one of its values.
func (w workEstimate) without(value, variance float64) (mean, rest float64) {
	weight := w.weight - 1/variance
	return (w.sum - value/variance) / weight, 1 / weight
}

func (w workEstimate) mean() float64     { return w.sum / w.weight }
func (w workEstimate) variance() float64 { return 1 / w.weight }

// expectedWork returns what is known of a unit's work: the queue's estimate and, for single tasks, the step's tasks that have ended.
func (s *State) expectedWork(u *unit) workEstimate {
	deviation := s.learnedFor(u.job).deviation()
	w := u.stage.work
	w.add(logOf(s.runTime(u)), deviation*deviation)
	return w
}

// showsSpeed reports whether the run times of a unit's current runs depend only on its work and its workers.
func (u *unit) showsSpeed() bool {
	return !u.remote && !u.adopted && u.checkpoint == "" && !u.ranCold()
}

// observeGangSpeeds takes one sample of the speed of each of a gang's workers, once all members have shown progress. The members'
// work is similar, so each is compared with the others and, less reliably, with the queue's estimate: a gang that is on slow workers
// only shows in the latter.
func (s *State) observeGangSpeeds(u *unit) {
	if u.speedsObserved || u.count == 1 || !u.showsSpeed() {
		return
	}
	for _, r := range u.runs {
		if r.rate == 0 || r.percent < minSpeedPercent {
			return
		}
	}
	u.speedsObserved = true
	members := u.membersByWorker()
	work := s.expectedWork(u)
	for _, m := range members {
		work.add(m.logTime-s.referenceSpeed(m.node), m.variance+m.node.speed.variance())
	}
	// The samples of one gang must not influence each other.
	for i, m := range members {
		mean, variance := work.without(m.logTime-s.referenceSpeed(m.node), m.variance+m.node.speed.variance())
		members[i].sample, members[i].sampleVariance = m.logTime-mean, m.variance+variance
	}
	for _, m := range members {
		s.observeSpeed(m.node, m.sample, m.sampleVariance)
	}
}

// gangMember is the part of a gang that runs on one worker: the mean of the logarithms of its tasks' times with its variance, and the
// sample of the worker's speed that follows from them.
type gangMember struct {
	node                   *node
	logTime, variance      float64
	sample, sampleVariance float64
}

// membersByWorker returns the parts of a gang. The tasks on one worker are adjacent in the unit's runs.
func (u *unit) membersByWorker() []gangMember {
	var list []gangMember
	tasks := 0.0
	for _, r := range u.runs {
		if last := len(list) - 1; last >= 0 && list[last].node == r.node {
			m := &list[last]
			m.logTime = (m.logTime*tasks + r.logTime()) / (tasks + 1)
			m.variance = m.variance * tasks / (tasks + 1)
			tasks++
			continue
		}
		list = append(list, gangMember{node: r.node, logTime: r.logTime(), variance: r.logTimeVariance()})
		tasks = 1
	}
	return list
}

// logTime returns the logarithm of the time that a run takes at its current rate.
func (r *run) logTime() float64 { return math.Log(100 / r.rate) }

func (r *run) logTimeVariance() float64 {
	rounding := 0.5 / float64(r.percent)
	return taskSpread*taskSpread + rounding*rounding
}

// observeTaskSpeed takes a sample of the speed of the worker on which a single task has ended, by comparing the task with the others
// of its step.
func (s *State) observeTaskSpeed(u *unit, now time.Time) {
	if u.count > 1 || len(u.runs) != 1 || !u.showsSpeed() || u.runs[0].node.slower() {
		return
	}
	n := u.runs[0].node
	logTime := logOf(now.Sub(u.startedAt))
	work := s.expectedWork(u)
	u.stage.work.add(logTime-s.referenceSpeed(n), taskSpread*taskSpread+n.speed.variance())
	s.observeSpeed(n, logTime-work.mean(), taskSpread*taskSpread+work.variance())
}

// isLongWork reports whether a single task that is slower than its queue's estimate is as fast as the running tasks of its step are on
// their workers. The step is longer than estimated then, and the worker is not at fault.
func (s *State) isLongWork(r *run) bool {
	u := r.unit
	if !s.speeds.unequal || u.count > 1 || !u.showsSpeed() {
		return false
	}
	work := u.stage.work
	for _, other := range u.stage.units {
		if other == u || other.phase != running || len(other.runs) != 1 || !other.showsSpeed() {
			continue
		}
		if o := other.runs[0]; o.node != r.node && o.rate > 0 && o.percent >= minSpeedPercent {
			work.add(o.logTime()-s.logSpeed(o.node), o.logTimeVariance()+o.node.speed.variance())
		}
	}
	return work.weight > 0 && r.logTime()-s.logSpeed(r.node)-work.mean() < logStragglerThreshold
}

// formatFactor formats a ratio of times.
func formatFactor(factor float64) string { return strconv.FormatFloat(factor, 'f', 2, 64) }
