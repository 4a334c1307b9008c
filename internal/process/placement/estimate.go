package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// estimates learns, per account and kind, the ratios of actual to declared run times and sizes.
	estimates struct {
		runTimes map[estimateKey]*samples
		sizes    map[estimateKey]*samples
	}

	estimateKey struct {
		account ids.AccountID
		kind    string
	}

	// samples holds the latest samples of one quantity.
	samples struct {
		ring   []float64
		next   int
		sorted []float64
	}
)

const (
	medianQuantile   = 0.5
	cautiousQuantile = 0.8
	// maxSamples bounds the memory used per account and kind.
	maxSamples = 64
	// minSamples is the number of samples needed to replace the prior.
	minSamples = 4
	// minRunTimeRatio and maxRunTimeRatio bound the correction of run times.
	minRunTimeRatio = 0.02
	maxRunTimeRatio = 50
	// minSizeRatio and maxSizeRatio bound the correction of cores and memory.
	minSizeRatio = 0.5
	maxSizeRatio = 2
	// sizeMargin is the headroom factor above the largest observed size.
	sizeMargin = 1.1
)

func (s *samples) add(v float64) {
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, v)
	} else {
		s.ring[s.next] = v
		s.next = (s.next + 1) % maxSamples
	}
	s.sorted = append(s.sorted[:0], s.ring...)
	sort.Float64s(s.sorted)
}

// quantile returns a quantile of the samples that are at least floor. It returns false if there are too few samples.
func (s *samples) quantile(q, floor float64) (float64, bool) {
	if s == nil || len(s.sorted) < minSamples {
		return 0, false
	}
	rest := s.sorted[sort.SearchFloat64s(s.sorted, floor):]
	if len(rest) == 0 {
		return 0, false
	}
	return rest[min(len(rest)-1, int(q*float64(len(rest))))], true
}

// prior returns the ratio assumed before there are enough samples. It grows with the quantile because declared run times
// are inaccurate.
func prior(q float64) float64 {
	switch {
	case q <= medianQuantile:
		return 1
	case q <= cautiousQuantile:
		return 2
	}
	return 4
}

func estimateKeyOf(j *Job) estimateKey {
	return estimateKey{account: j.Account, kind: j.Kind}
}

func (e *estimates) learnRunTime(j *Job, took time.Duration) {
	if j.Progress > 0 || took <= 0 {
		return
	}
	if e.runTimes == nil {
		e.runTimes = make(map[estimateKey]*samples)
	}
	key := estimateKeyOf(j)
	if e.runTimes[key] == nil {
		e.runTimes[key] = &samples{}
	}
	ratio := took.Seconds() / j.Declared().Seconds()
	e.runTimes[key].add(min(maxRunTimeRatio, max(minRunTimeRatio, ratio)))
}

// runTime returns a quantile of a waiting job's remaining run time.
func (e *estimates) runTime(j *Job, q float64) time.Duration {
	ratio, found := e.runTimes[estimateKeyOf(j)].quantile(q, 0)
	if !found {
		ratio = prior(q)
	}
	return time.Duration(ratio * (1 - j.Progress) * float64(j.Declared()))
}

// remaining returns a quantile of a placed job's remaining run time, given how long it has run.
func (e *estimates) remaining(j *Job, q float64, now time.Time) time.Duration {
	if j.Started.IsZero() {
		return e.runTime(j, q)
	}
	elapsed := max(0, now.Sub(j.Started))
	work := float64(j.Declared()) * (1 - j.Progress)
	floor := float64(elapsed) / max(1, work)
	if ratio, found := e.runTimes[estimateKeyOf(j)].quantile(q, floor); found {
		return max(time.Second, time.Duration(ratio*work)-elapsed)
	}
	if total := time.Duration(prior(q) * work); total > elapsed {
		return total - elapsed
	}
	// A job that has run longer than all samples of its kind, or longer than the prior allows, is assumed to run for
	// another q times its elapsed time.
	return max(time.Second, time.Duration(q*float64(elapsed)))
}

// LearnSize records a task's observed usage relative to its declared cores or memory, whichever ratio is larger.
func (s *State) LearnSize(id ids.JobID, used ids.Resources) {
	j := s.jobs[id]
	if j == nil || used == (ids.Resources{}) {
		return
	}
	ratio := 0.0
	if each := j.Shape.Each; each.Cores > 0 || each.Memory > 0 {
		ratio = max(float64(used.Cores)/float64(max(1, each.Cores)), float64(used.Memory)/float64(max(1, each.Memory)))
	}
	if s.estimates.sizes == nil {
		s.estimates.sizes = make(map[estimateKey]*samples)
	}
	key := estimateKeyOf(j)
	if s.estimates.sizes[key] == nil {
		s.estimates.sizes[key] = &samples{}
	}
	s.estimates.sizes[key].add(ratio)
}

// taskSize returns the allocation of a borrower's task: its declared size with learned corrections of cores and memory.
func (e *estimates) taskSize(j *Job) ids.Resources {
	each := j.Shape.Each
	largest, found := e.sizes[estimateKeyOf(j)].quantile(1, 0)
	if !found {
		return each
	}
	ratio := min(maxSizeRatio, max(minSizeRatio, largest*sizeMargin))
	each.Cores = ids.MilliCores(float64(each.Cores) * ratio)
	each.Memory = ids.MebiBytes(float64(each.Memory) * ratio)
	return each
}
