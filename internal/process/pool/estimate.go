package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// RunTimes estimates the run times of a queue's tasks from the declared ones by a linear regression of their logarithms.
// Declared times may be poor predictors, so the slope is only as steep as the samples support.
type RunTimes struct {
	// Weight is the weighted number of samples. Declared and Real are the means of the logarithms of their run times.
	Weight, Declared, Real float64
	// Spread is the sum of squared deviations of Declared, and Joint is the sum of products with the deviations of Real.
	Spread, Joint float64
	// Residual is the sum of squared prediction errors of the logarithms of the real run times.
	Residual float64

	// samples counts the changes of the estimates.
	samples uint64
}

const (
	// smoothingFactor is the minimum weight of a new sample in a moving average.
	smoothingFactor = 0.1
	// maxStallTimeout limits the extra time without progress granted to a unit for the work that it has done.
	maxStallTimeout = time.Minute
	// priorSpread is the weight of the prior slope of 1: the slope stays near 1 as long as there are only a few samples whose
	// declared times are within a factor of two.
	priorSpread = 2.0
	// priorWeight is the number of samples at which a queue's mean and the prior have equal weight.
	priorWeight = 2.0
	// priorDeviation is the assumed standard deviation of the logarithm of run times over estimates while a queue has few
	// samples: declared times may be off tenfold, so an error by a factor of three is usual.
	priorDeviation = 1.1
	// maxWeight limits the weight of past samples, so that the estimate follows a queue that changes.
	maxWeight = 200
	// minRunTime replaces shorter declared and real run times.
	minRunTime = time.Millisecond
	// stallFraction is the fraction of the declared run time without progress after which a run counts as stalled: progress
	// is reported in whole percent, and a slow worker takes up to eight times as long.
	stallFraction = 0.08
	// shownPercents is the number of percents, at the pace that the unit has shown on another worker, without one of which it counts as stalled.
	shownPercents = 2
	// maxStalls is the number of stops for want of progress after which a unit is not stopped for that any more.
	maxStalls = 4
	// minStallTimeout is the shortest time without progress that counts as a stall: two report intervals of a worker.
	minStallTimeout = 1500 * time.Millisecond
)

// add adds a sample; tasks of the same step resemble each other and get weights below one.
func (r *RunTimes) add(declared, actual time.Duration, weight float64) {
	r.samples++
	x, y := logOf(declared), logOf(actual)
	if r.Weight > maxWeight {
		decay := maxWeight / r.Weight
		r.Weight, r.Spread, r.Joint, r.Residual = r.Weight*decay, r.Spread*decay, r.Joint*decay, r.Residual*decay
	}
	residual := y - logOf(r.expect(declared))
	r.Residual += weight * residual * residual
	r.Weight += weight
	dx := x - r.Declared
	r.Declared += dx * weight / r.Weight
	r.Real += (y - r.Real) * weight / r.Weight
	r.Spread += weight * dx * (x - r.Declared)
	r.Joint += weight * dx * (y - r.Real)
}

func logOf(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// expect returns the expected run time of a task with the given declared one.
func (r *RunTimes) expect(declared time.Duration) time.Duration {
	if r == nil || r.Weight == 0 {
		return declared
	}
	slope := (r.Joint + priorSpread) / (r.Spread + priorSpread)
	shift := (r.Real - r.Declared) * r.Weight / (r.Weight + priorWeight)
	log := r.Declared + shift + slope*(logOf(declared)-r.Declared)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// deviation returns the standard deviation of the logarithm of run times over expected ones.
func (r *RunTimes) deviation() float64 {
	if r == nil {
		return priorDeviation
	}
	return math.Sqrt((r.Residual + priorWeight*priorDeviation*priorDeviation) / (r.Weight + priorWeight))
}

// learnRunTime adds the run time of a completed unit to the estimates. Runs resumed from a checkpoint are ignored.
func (s *State) learnRunTime(u *unit, now time.Time) {
	if u.spec().Estimate <= 0 || u.checkpoint != "" || u.adopted || u.ranCold() {
		return
	}
	actual := time.Duration(float64(now.Sub(u.startedAt)) / s.unitFactor(u))
	if u.remote {
		actual = time.Duration(float64(actual) / s.Times.RemoteSlowdown)
	}
	s.samples++
	s.learnedFor(u.job).add(u.spec().Estimate, actual, float64(u.count)/float64(u.spec().Tasks))
}

// runTime returns the expected run time of a unit near its data, on fast workers, or in a pool of unequal workers on the usual one.
func (s *State) runTime(u *unit) time.Duration {
	if u.isProvenLong() {
		return max(s.stepRunTime(u.job, u.step), u.shownTime)
	}
	return s.stepRunTime(u.job, u.step)
}

// stepRunTime returns the expected run time of a step's tasks on fast workers near their data.
func (s *State) stepRunTime(j *Job, step int) time.Duration {
	learned := s.learnedFor(j)
	if j.runTimes == nil || j.runTimesSamples != learned.samples {
		j.runTimes, j.runTimesSamples = j.runTimes[:0], learned.samples
		for i := range j.Steps {
			j.runTimes = append(j.runTimes, learned.expect(j.Steps[i].Estimate))
		}
	}
	return j.runTimes[step]
}

// learnedFor returns the learned run times of a job's queue.
func (s *State) learnedFor(j *Job) *RunTimes {
	if j.learned == nil {
		if j.learned = s.estimates[j.Queue]; j.learned == nil {
			j.learned = &RunTimes{}
			s.estimates[j.Queue] = j.learned
		}
	}
	return j.learned
}

// placedRunTime returns the expected run time of a unit at its current placement, on fast workers.
func (s *State) placedRunTime(u *unit) time.Duration {
	if u.remote {
		return time.Duration(float64(s.runTime(u)) * s.Times.RemoteSlowdown)
	}
	return s.runTime(u)
}

// criticalPath returns the expected run time of the longest dependency chain of a job's steps.
func (s *State) criticalPath(j *Job) time.Duration {
	if len(j.Steps) == 1 {
		return s.stepRunTime(j, 0)
	}
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, step := range j.Steps {
		begin := time.Duration(0)
		for _, earlier := range step.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + s.stepRunTime(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time from submission within which a job should end.
func (s *State) Objective(j *Job) time.Duration {
	return time.Duration(j.Stretch*float64(s.criticalPath(j))) + j.Target
}

// remaining returns the expected time until a unit ends.
func (s *State) remaining(u *unit, now time.Time) time.Duration {
	runTime := time.Duration(float64(s.placedRunTime(u)) * s.unitFactor(u))
	switch u.phase {
	case stopping:
		return s.Times.Stop
	case done:
		return 0
	case starting, running:
	default:
		return runTime
	}
	const minPercent = 10
	elapsed := now.Sub(u.startedAt)
	if u.adopted {
		return max(runTime*time.Duration(100-u.percent)/100-elapsed, runTime/10)
	}
	if u.percent >= minPercent && u.checkpoint == "" {
		left := time.Duration(float64(u.progressedAt.Sub(u.startedAt)) * float64(100-u.percent) / float64(u.percent))
		return max(0, left-now.Sub(u.progressedAt))
	}
	return max(runTime-elapsed, runTime/10)
}

// stallTimeout returns how long a unit may show no progress. It doubles with each stall, since a unit that stalls on several workers is longer than declared. Without
// checkpoints it is at least the work that a stop would lose, up to maxStallTimeout, since the unit may still make progress.
func (s *State) stallTimeout(u *unit) time.Duration {
	percent := u.shownTime / 100
	limit := max(minStallTimeout, time.Duration(stallFraction*s.Times.RemoteSlowdown*float64(u.spec().Estimate)), shownPercents*percent) << u.stalls
	if u.spec().Checkpoints {
		return limit
	}
	return max(limit, min(maxStallTimeout, u.progressedAt.Sub(u.startedAt)))
}

// expectedStopTime returns the mean time that a stopped run takes to end.
func (s *State) expectedStopTime() time.Duration {
	if s.stopTimes.count == 0 {
		return s.Times.Stop
	}
	return time.Duration(s.stopTimes.value)
}

// movingAverage is the plain mean at first, and an exponential moving average once there are enough samples.
type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(v float64) {
	m.count++
	m.value += (v - m.value) * max(smoothingFactor, 1/float64(m.count))
}

// Estimates returns the run time estimates by queue, and the number of samples taken by this owner.
func (s *State) Estimates() (map[ids.QueueID]RunTimes, int) {
	all := make(map[ids.QueueID]RunTimes, len(s.estimates))
	for id, r := range s.estimates {
		if r.Weight > 0 {
			all[id] = *r
		}
	}
	return all, s.samples
}

// SetEstimates restores the estimates of an earlier owner.
func (s *State) SetEstimates(all map[ids.QueueID]RunTimes) {
	s.init()
	for id, r := range all {
		if s.estimates[id] == nil {
			s.estimates[id] = &RunTimes{}
		}
		r.samples = s.estimates[id].samples + 1
		*s.estimates[id] = r
	}
}
