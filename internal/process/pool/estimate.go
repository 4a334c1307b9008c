package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// RunTimes learns the run times of a queue's tasks from the declared ones: a line through the logarithms of both. Declared
// times may say little, so the line is as steep as they were seen to tell.
type RunTimes struct {
	// Weight is the number of samples, and Declared and Real are their means.
	Weight, Declared, Real float64
	// Spread and Joint are the sums of the squared deviations of Declared, and of their products with those of Real.
	Spread, Joint float64
	// Residual is the sum of the squared deviations of the real times from those that were expected.
	Residual float64
}

const (
	// learnShare is the weight of a new sample of a smoothed mean once there are enough of them.
	learnShare = 0.1
	// longestStall bounds the time without progress that a unit is given for the work that it has done.
	longestStall = time.Minute
	// priorSpread is the spread of declared times up to which they are trusted as they are: a few samples within a factor of two.
	priorSpread = 2.0
	// priorWeight is the number of samples that a queue's mean needs to count for half.
	priorWeight = 2.0
	// priorDeviation is how far, as a logarithm, run times are off as long as little is known of a queue: declared times may
	// be off tenfold, so a factor of three is usual.
	priorDeviation = 1.1
	// maxSamples bounds the weight of the past, so that a queue that changes is learned anew.
	maxSamples = 200
	// shortestRun stands for declared and real times that are shorter.
	shortestRun = time.Millisecond
	// stallShare is the part of a run's expected time without progress after which it is taken as stalled: progress is
	// told in hundredths, and a slow worker takes up to eight times as long.
	stallShare = 0.08
	// leastStall is the shortest time without progress that counts: two reports of a worker.
	leastStall = 1500 * time.Millisecond
)

// add takes a sample in; weights below one are for samples that resemble each other.
func (r *RunTimes) add(declared, real time.Duration, weight float64) {
	x, y := logOf(declared), logOf(real)
	if r.Weight > maxSamples {
		shrink := maxSamples / r.Weight
		r.Weight, r.Spread, r.Joint, r.Residual = r.Weight*shrink, r.Spread*shrink, r.Joint*shrink, r.Residual*shrink
	}
	off := y - logOf(r.expect(declared))
	r.Residual += weight * off * off
	r.Weight += weight
	dx := x - r.Declared
	r.Declared += dx * weight / r.Weight
	r.Real += (y - r.Real) * weight / r.Weight
	r.Spread += weight * dx * (x - r.Declared)
	r.Joint += weight * dx * (y - r.Real)
}

func logOf(d time.Duration) float64 { return math.Log(max(d, shortestRun).Seconds()) }

// expect returns the run time to expect of a task with a declared one.
func (r *RunTimes) expect(declared time.Duration) time.Duration {
	if r == nil || r.Weight == 0 {
		return declared
	}
	slope := (r.Joint + priorSpread) / (r.Spread + priorSpread)
	shift := (r.Real - r.Declared) * r.Weight / (r.Weight + priorWeight)
	log := r.Declared + shift + slope*(logOf(declared)-r.Declared)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// deviation returns how far, as a logarithm, run times usually are off the expected ones.
func (r *RunTimes) deviation() float64 {
	if r == nil {
		return priorDeviation
	}
	return math.Sqrt((r.Residual + priorWeight*priorDeviation*priorDeviation) / (r.Weight + priorWeight))
}

// learn takes the run time of a unit that was done in. Runs from a checkpoint tell nothing.
func (s *State) learn(u *unit, now time.Time) {
	if u.spec().Estimate <= 0 || u.checkpoint != "" || u.adopted {
		return
	}
	real := time.Duration(float64(now.Sub(u.startedAt)) / u.slowness())
	if u.remote {
		real = time.Duration(float64(real) / s.Times.Remote)
	}
	r := s.estimates[u.job.Queue]
	if r == nil {
		r = &RunTimes{}
		s.estimates[u.job.Queue] = r
	}
	s.learned++
	r.add(u.spec().Estimate, real, float64(u.count)/float64(u.spec().Tasks))
}

// runTime returns the expected run time of a unit from its start, near its data.
func (s *State) runTime(u *unit) time.Duration {
	return s.estimates[u.job.Queue].expect(u.spec().Estimate)
}

// runTimeThere returns the expected run time of a unit where it runs, on fast workers.
func (s *State) runTimeThere(u *unit) time.Duration {
	if u.remote {
		return time.Duration(float64(s.runTime(u)) * s.Times.Remote)
	}
	return s.runTime(u)
}

// chainTime returns the expected run time of the longest chain of a job's steps.
func (s *State) chainTime(j *Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, step := range j.Steps {
		begin := time.Duration(0)
		for _, earlier := range step.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + s.estimates[j.Queue].expect(step.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns the time from submission in which a job should end.
func (s *State) objective(j *Job) time.Duration {
	return time.Duration(j.Stretch*float64(s.chainTime(j))) + j.Target
}

// remaining returns the expected time until a unit ends.
func (s *State) remaining(u *unit, now time.Time) time.Duration {
	whole := time.Duration(float64(s.runTimeThere(u)) * u.slowness())
	switch u.phase {
	case stopping:
		return s.Times.Stop
	case done:
		return 0
	case starting, running:
	default:
		return whole
	}
	const tellingPercent = 10
	elapsed := now.Sub(u.startedAt)
	if u.adopted {
		return max(whole*time.Duration(100-u.percent)/100-elapsed, whole/10)
	}
	if u.percent >= tellingPercent && u.checkpoint == "" {
		left := time.Duration(float64(u.movedAt.Sub(u.startedAt)) * float64(100-u.percent) / float64(u.percent))
		return max(0, left-now.Sub(u.movedAt))
	}
	return max(whole-elapsed, whole/10)
}

// stallTime returns how long a unit may show no progress: at least as long as the work is worth that its stop would lose,
// since it may go on any moment.
func (s *State) stallTime(u *unit) time.Duration {
	patience := max(leastStall, time.Duration(stallShare*s.Times.Remote*float64(u.spec().Estimate)))
	if u.spec().Checkpoints {
		return patience
	}
	return max(patience, min(longestStall, u.movedAt.Sub(u.startedAt)))
}

// stopTime returns how long a stopped run usually takes to end.
func (s *State) stopTime() time.Duration {
	if s.stops.count == 0 {
		return s.Times.Stop
	}
	return time.Duration(s.stops.mean)
}

// mean is a smoothed mean.
type mean struct {
	mean  float64
	count int
}

func (m *mean) add(v float64) {
	m.count++
	m.mean += (v - m.mean) * max(learnShare, 1/float64(m.count))
}

// Estimates returns what was learned of the queues' run times, and the number of samples that this owner took.
func (s *State) Estimates() (map[ids.QueueID]RunTimes, int) {
	all := make(map[ids.QueueID]RunTimes, len(s.estimates))
	for id, r := range s.estimates {
		all[id] = *r
	}
	return all, s.learned
}

// SetEstimates begins with what an earlier owner learned.
func (s *State) SetEstimates(all map[ids.QueueID]RunTimes) {
	s.init()
	for id, r := range all {
		s.estimates[id] = &r
	}
}
