package pool

import (
	"math"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Speed estimates the logarithm of the time that tasks take on a sound worker, relative to the usual worker. It is a normal
	// distribution; the zero value is the prior.
	Speed struct {
		// Mean is the expected logarithm, and Variance its variance; a Variance of zero stands for the prior's.
		Mean, Variance float64
		// Incarnation is the worker's incarnation. A restarted worker may be a different machine.
		Incarnation uint64

		// outliers counts the samples in a row that contradict the estimate.
		outliers int
	}

	// speedClass ranks workers by the time that tasks take there; lower classes are faster.
	speedClass int

	// poolSpeeds summarizes the speeds of the pool's workers.
	poolSpeeds struct {
		// unequal is set while the workers' speeds differ so much that placement takes them into account.
		unequal bool
		// mean is the mean of all estimates. Speeds are relative to it: run times are learned from runs whose speeds are known, and speeds
		// from run times, so that a common error of all speeds would confirm itself.
		mean float64
		// slowest and fastest are the logarithms of the time on the slow and the fast workers: quantiles that a few faulty workers don't move.
		slowest, fastest float64
		// slowClass is the class of the slow workers. Workers in a higher class are slower than is normal in the pool.
		slowClass speedClass
		updatedAt time.Time
		// changes counts the samples that changed an estimate of a worker noticeably.
		changes int
		// values is a buffer of updateSpeeds.
		values []float64
	}
)

const (
	// speedClasses is the number of classes, and classWidth the width of a class in the logarithm of the time. The middle class is
	// that of the usual worker. Workers a third slower than others are in the next class.
	speedClasses = 7
	usualClass   = speedClasses / 2
	classWidth   = 0.3

	// priorSpeedVariance allows for workers that are half or twice as fast as the usual one.
	priorSpeedVariance = 0.16
	// minSpeedVariance limits the weight of past samples.
	minSpeedVariance = 0.01
	// establishedVariance is the variance up to which an estimate counts: about that after two gangs.
	establishedVariance = 0.05
	// taskSpread is the usual standard deviation of the logarithm of the run times of a step's tasks.
	taskSpread = 0.2
	// outlierLog is the deviation from an established estimate from which a sample is taken for a change rather than for noise, and
	// maxOutliers is the number of such samples in a row after which the speed is learned again.
	outlierLog  = 0.6
	maxOutliers = 3

	// minEstablishedSpeeds is the number of established estimates from which the speeds of a small pool are compared; in a larger one it takes a third of the
	// workers, but no more than enoughEstablishedSpeeds. The quantiles of few estimates lie far apart by chance.
	minEstablishedSpeeds, enoughEstablishedSpeeds = 12, 32
	// slowQuantile and fastQuantile are the quantiles of the speeds that are compared. Faults concern fewer workers than that.
	slowQuantile, fastQuantile = 0.8, 0.2
	// unequalRatio is the ratio of their times from which workers count as unequal: on the slow ones, the smallest usual stretch leaves an urgent gang
	// nothing beyond its work. Below equalRatio they count as alike again. The two differ so that noise doesn't switch between them.
	unequalRatio, equalRatio = 1.45, 1.3
	// speedsInterval is the time between updates of the summary.
	speedsInterval = 500 * time.Millisecond
	// noticeableChange is the change of an estimate that is worth storing.
	noticeableChange = 0.1
)

// The logarithms of the ratios.
var (
	logUnequalRatio = math.Log(unequalRatio)
	logEqualRatio   = math.Log(equalRatio)
)

// variance returns the variance, or the prior's.
func (v Speed) variance() float64 {
	if v.Variance == 0 {
		return priorSpeedVariance
	}
	return v.Variance
}

// established reports whether the estimate rests on enough samples.
func (v Speed) established() bool { return v.Variance > 0 && v.Variance <= establishedVariance }

// unbiased returns the mean of the samples, without the part of the estimate that is the prior's.
func (v Speed) unbiased() float64 { return v.Mean / (1 - v.variance()/priorSpeedVariance) }

// observe adds a sample with the given variance. A few samples far from an established estimate are ignored: the worker is
// temporarily slow.
func (v *Speed) observe(sample, variance float64) {
	if v.established() && math.Abs(sample-v.Mean) > outlierLog+math.Sqrt(variance) {
		if v.outliers++; v.outliers <= maxOutliers {
			return
		}
		v.Variance = 0
	}
	v.outliers = 0
	prior := v.variance()
	gain := prior / (prior + variance)
	v.Mean += gain * (sample - v.Mean)
	v.Variance = max(minSpeedVariance, prior*(1-gain))
}

// observeSpeed adds a sample to a worker's estimate. A sample that no worker of the pool explains is a fault, not a speed.
func (s *State) observeSpeed(n *node, sample, variance float64) {
	if s.speeds.unequal && sample+s.speeds.mean > s.speeds.slowest+logStragglerThreshold {
		return
	}
	old := n.speed
	n.speed.observe(sample+s.speeds.mean, variance)
	if math.Abs(n.speed.Mean-old.Mean) >= noticeableChange || n.speed.established() != old.established() {
		s.speeds.changes++
	}
}

// logSpeed returns the logarithm of the time that tasks take on a worker while it is sound, relative to the pool's mean; zero in a
// pool of equal workers.
func (s *State) logSpeed(n *node) float64 {
	if !s.speeds.unequal {
		return 0
	}
	return n.speed.Mean - s.speeds.mean
}

// referenceSpeed returns the speed to compare others with. An established estimate is taken without the prior's part: gangs get
// workers of one class, whose members would otherwise confirm each other's bias towards the prior.
func (s *State) referenceSpeed(n *node) float64 {
	if n.speed.established() {
		return n.speed.unbiased() - s.speeds.mean
	}
	return n.speed.Mean - s.speeds.mean
}

// timeFactor returns the time that tasks take on a worker now relative to the usual worker.
func (s *State) timeFactor(n *node) float64 { return math.Exp(s.logSpeed(n)) * n.slowdown() }

// slowestFactor returns the time factor of the slowest of some workers, which limits a gang.
func (s *State) slowestFactor(nodes []*node) float64 {
	largest := 0.0
	for _, n := range nodes {
		largest = max(largest, s.timeFactor(n))
	}
	return largest
}

// unitFactor returns the time factor of the slowest worker of a unit's runs, or 1 if it has none.
func (s *State) unitFactor(u *unit) float64 {
	largest := 0.0
	for _, r := range u.runs {
		largest = max(largest, s.timeFactor(r.node))
	}
	if largest == 0 {
		return 1
	}
	return largest
}

// classOf returns the class for a logarithm of the time relative to the usual worker.
func classOf(logTime float64) speedClass {
	return speedClass(min(max(int(math.Round(logTime/classWidth))+usualClass, 0), speedClasses-1))
}

// factor returns the time factor in the middle of a class.
func (c speedClass) factor() float64 { return math.Exp(float64(c-usualClass) * classWidth) }

// updateSpeeds updates the summary of the pool's speeds and the workers' classes.
func (s *State) updateSpeeds(now time.Time) {
	p := &s.speeds
	if now.Sub(p.updatedAt) < speedsInterval {
		return
	}
	p.updatedAt = now
	p.values = p.values[:0]
	sum, count := 0.0, 0
	for _, n := range s.nodes {
		if !n.listed {
			continue
		}
		count++
		sum += n.speed.Mean
		if n.speed.established() {
			p.values = append(p.values, n.speed.unbiased())
		}
	}
	p.mean = sum / float64(max(1, count))
	if len(p.values) < min(max(minEstablishedSpeeds, count/3), enoughEstablishedSpeeds) {
		return
	}
	slices.Sort(p.values)
	p.slowest = quantile(p.values, slowQuantile)
	p.fastest = quantile(p.values, fastQuantile)
	spread := p.slowest - p.fastest
	if was := p.unequal; was != (spread >= logUnequalRatio || was && spread >= logEqualRatio) {
		p.unequal = !was
		s.speedsChanged(spread)
	}
	if !p.unequal {
		return
	}
	p.slowClass = classOf(p.slowest - p.mean)
	for _, n := range s.nodes {
		if class := classOf(s.logSpeed(n) + n.logSlowdown); class != n.class {
			n.class = class
			s.capacityChanged(n)
			if n.speed.established() {
				s.notice(Notice{
					Kind: "WorkerSpeed", Worker: n.ID,
					Cause: "tasks take " + formatFactor(s.timeFactor(n)) + " times as long as on the usual worker, within a factor of " + formatFactor(math.Exp(math.Sqrt(n.speed.Variance))),
				})
			}
		}
	}
}

// speedsChanged handles that the pool's workers count as unequal, or no longer do. Slowdowns have been measured relative to the
// other kind of reference, so they are measured again.
func (s *State) speedsChanged(spread float64) {
	kind := "SpeedsEqual"
	if s.speeds.unequal {
		kind = "SpeedsUnequal"
	}
	s.notice(Notice{Kind: kind, Cause: "established speeds " + formatFactor(math.Exp(spread)) + " times apart"})
	for _, n := range s.nodes {
		n.setLogSlowdown(0)
		n.class, n.slowJob = 0, ""
		s.capacityChanged(n)
	}
	s.requestPass()
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Speeds returns the established speeds of a pool of unequal workers, and the number of noticeable changes.
func (s *State) Speeds() (map[ids.InstanceID]Speed, int) {
	if !s.speeds.unequal {
		return nil, s.speeds.changes
	}
	all := make(map[ids.InstanceID]Speed)
	for id, n := range s.nodes {
		if n.listed && n.speed.established() {
			v := n.speed
			v.Incarnation = n.Incarnation
			all[id] = v
		}
	}
	return all, s.speeds.changes
}

// SetSpeeds restores the speeds that an earlier owner learned in a pool of unequal workers. The workers must have been listed.
func (s *State) SetSpeeds(all map[ids.InstanceID]Speed) {
	s.init()
	restored := 0
	for id, v := range all {
		if n := s.nodes[id]; n != nil && n.Incarnation == v.Incarnation && v.established() {
			n.speed = v
			restored++
		}
	}
	s.speeds.unequal = restored >= minEstablishedSpeeds
}

// countSpeed counts a worker by its speed class.
func (s *State) countSpeed(c *Counts, n *node) {
	switch {
	case !s.speeds.unequal:
	case !n.speed.established():
		c.SpeedUnknown++
	case n.class < usualClass:
		c.Fast++
	case n.class == usualClass:
		c.Usual++
	default:
		c.Slow++
	}
}
