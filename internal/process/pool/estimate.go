package pool

import (
	"math"
	"time"
)

// ratio is the smoothed ratio of real to declared run times of a queue.
type ratio struct {
	log   float64
	count int
}

const (
	// learnShare is the weight of a new sample once there are enough of them.
	learnShare = 0.1
	// maxRatio bounds what one sample can say of its queue.
	maxRatio = 20
	// stallShare is the part of a run's expected time without progress after which it is taken as stalled: progress is
	// told in hundredths, and a slow worker takes up to eight times as long.
	stallShare = 0.08
	// leastStall is the shortest time without progress that counts: two reports of a worker.
	leastStall = 2 * time.Second
)

// learn takes the run time of a unit that was done into its queue's ratio. Runs from a checkpoint tell nothing.
func (s *State) learn(u *unit, now time.Time) {
	declared := u.spec().Estimate
	if declared <= 0 || u.checkpoint != "" || u.job.restored {
		return
	}
	sample := math.Log(min(maxRatio, max(1.0/maxRatio, now.Sub(u.startedAt).Seconds()/declared.Seconds())))
	r := s.estimates[u.job.Queue]
	if r == nil {
		r = &ratio{}
		s.estimates[u.job.Queue] = r
	}
	r.count++
	r.log += (sample - r.log) * max(learnShare, 1/float64(r.count))
}

// runTime returns the expected run time of a unit from its start.
func (s *State) runTime(u *unit) time.Duration {
	const fewSamples = 4
	declared := u.spec().Estimate
	if r := s.estimates[u.job.Queue]; r != nil && r.count >= fewSamples {
		return time.Duration(float64(declared) * math.Exp(r.log))
	}
	return declared
}

// remaining returns the expected time until a unit ends.
func (s *State) remaining(u *unit, now time.Time) time.Duration {
	whole := s.runTime(u)
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
	if u.percent >= tellingPercent && u.checkpoint == "" {
		left := time.Duration(float64(u.movedAt.Sub(u.startedAt)) * float64(100-u.percent) / float64(u.percent))
		return max(0, left-now.Sub(u.movedAt))
	}
	return max(whole-elapsed, whole/10)
}

// stallTime returns how long a unit may show no progress.
func (s *State) stallTime(u *unit) time.Duration {
	return max(leastStall, time.Duration(stallShare*s.Times.Remote*float64(u.spec().Estimate)))
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
