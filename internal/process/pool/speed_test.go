package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// maxLearningTime is the time within which the pool has to notice under unequalLoad that its workers are unequal.
const maxLearningTime = 25 * time.Second

// unequalFactor makes a third of the workers, mixed within racks, take 2.7 times as long as another third.
func unequalFactor(worker int) float64 { return []float64{0.6, 1, 1.6}[(worker*7+worker/8)%3] }

// unequalLoad submits bulk gangs and single tasks that leave half of the pool free, and an urgent gang each 300 ms. long is the share
// of jobs whose tasks take seven times as long.
func unequalLoad(s *sim, random *rand.Rand, length time.Duration, long float64) (urgent []*Job) {
	stretched := func(d time.Duration) time.Duration {
		if random.Float64() < long {
			return 7 * d
		}
		return d
	}
	for at := time.Duration(0); at < length; at += 300 * time.Millisecond {
		actual := stretched(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
		j := gangJob(fmt.Sprintf("urgent%v", at), 0, 2+random.IntN(4), 2<<random.IntN(3), actual)
		j.Queue, j.Stretch, j.Target = "urgent", 1.5, 250*time.Millisecond
		urgent = append(urgent, j)
		s.at(at, func() { s.submitOnce(j, actual) })
	}
	for at := time.Duration(0); at < length; at += 700 * time.Millisecond {
		actual := stretched(time.Duration(4000+random.IntN(3000)) * time.Millisecond)
		gang := gangJob(fmt.Sprintf("gang%v", at), 1, 4+random.IntN(6), 4, actual)
		gang.Queue = "gangs"
		s.at(at, func() { s.submitOnce(gang, actual) })
		tasks := gangJob(fmt.Sprintf("tasks%v", at), 2, 6, 1, actual)
		tasks.Queue, tasks.Steps[0].Gang, tasks.Steps[0].SameRack = "tasks", false, false
		s.at(at, func() { s.submitOnce(tasks, actual) })
	}
	return urgent
}

// inTime returns the share of jobs that ended within Stretch times their real run time, plus Target.
func (s *sim) inTime(jobs []*Job) float64 {
	count := 0
	for _, j := range jobs {
		end := s.finishedAt[j.ID]
		if !end.IsZero() && end.Sub(j.Submitted) <= time.Duration(j.Stretch*float64(s.runTimes[j.ID]))+j.Target {
			count++
		}
	}
	return float64(count) / float64(len(jobs))
}

// A third of the workers takes 2.7 times as long as another third, for good. If that counts as a fault, gangs are stopped all the time;
// if gangs are placed regardless of it, urgent ones end late.
func TestPatternThirdOfWorkersSlowForGood(t *testing.T) {
	for name, test := range map[string]struct {
		long    float64
		restart time.Duration
		// factor replaces unequalFactor if it is set, and workers the size of the pool.
		factor  func(worker int) float64
		workers int
	}{
		"few are known of a large pool":            {workers: 960},
		"1.6 times instead of 2.7":                 {factor: func(worker int) float64 { return []float64{0.8, 1, 1.25}[worker%3] }},
		"equal lengths":                            {},
		"one job in thirty is seven times as long": {long: 1.0 / 30},
		"after a takeover":                         {restart: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newSim(cmp.Or(test.workers, 96), 8, seed)
				s.slowdown = unequalFactor
				if test.factor != nil {
					s.slowdown = test.factor
				}
				s.uneven = 0.1
				urgent := unequalLoad(s, rand.New(rand.NewPCG(seed, 2)), time.Minute, test.long)
				if test.restart > 0 {
					s.at(test.restart, func() {
						s.restart(96, 8)
						require.True(t, func() bool { s.updateSpeeds(s.now); return s.speeds.unequal }(), "the next owner doesn't know the speeds")
					})
				}
				known, learning, quarantines := false, 0, 0
				for at := time.Duration(0); at < maxLearningTime; at += time.Second {
					s.at(at, func() {
						if s.speeds.unequal && !known {
							known, learning, quarantines = true, s.slowStops, s.quarantines
						}
					})
				}
				s.playFor(2 * time.Minute)
				require.True(t, known, "seed %d: the workers were not found to be unequal", seed)
				require.GreaterOrEqual(t, s.inTime(urgent), 0.9, "seed %d", seed)
				require.LessOrEqual(t, s.slowStops-learning, s.starts/50, "seed %d", seed)
				require.Equal(t, quarantines, s.quarantines, "seed %d: sound workers were quarantined", seed)
			}
		})
	}
}

// Workers of three speeds end up in three classes, and no class is relative to the workers that happened to be known first.
func TestSpeedsConverge(t *testing.T) {
	s := newSim(96, 8, 1)
	s.slowdown = unequalFactor
	s.uneven = 0.1
	unequalLoad(s, rand.New(rand.NewPCG(1, 2)), time.Minute, 0)
	s.playFor(time.Minute)
	require.True(t, s.speeds.unequal)
	wrong, known := 0, 0
	for i, n := range s.sortedNodes() {
		if !n.speed.established() {
			continue
		}
		known++
		if math.Abs(s.logSpeed(n)-math.Log(unequalFactor(i))) > 0.25 {
			wrong++
		}
	}
	require.GreaterOrEqual(t, known, 72, "the speeds of most workers should be known after a minute")
	require.LessOrEqual(t, wrong, known/10, "of %d workers", known)
}

// Workers of which a third takes 1.3 times as long, or of which some are faulty, count as equal: their pools are scheduled as before.
func TestSlightlySlowerWorkersCountAsEqual(t *testing.T) {
	for name, factor := range map[string]func(worker int) float64{
		"a third takes 1.3 times as long": func(worker int) float64 { return []float64{1, 1, 1.3}[worker%3] },
		"a tenth takes six times as long": func(worker int) float64 { return []float64{6, 1, 1, 1, 1, 1, 1, 1, 1, 1}[worker%10] },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(96, 8, 1)
			s.slowdown = factor
			s.uneven = 0.1
			unequalLoad(s, rand.New(rand.NewPCG(1, 2)), 30*time.Second, 0)
			for at := time.Duration(0); at < 30*time.Second; at += 500 * time.Millisecond {
				s.at(at, func() { require.False(t, s.speeds.unequal) })
			}
			s.playFor(30 * time.Second)
			speeds, _ := s.Speeds()
			require.Empty(t, speeds)
		})
	}
}

// A worker that turns slow is not taken for one that is always slow, and one that changes for good is learned again.
func TestSpeedOutliers(t *testing.T) {
	v := Speed{}
	for range 5 {
		v.observe(0, 0.05)
	}
	require.True(t, v.established())
	for range maxOutliers {
		v.observe(1.5, 0.05)
		require.InDelta(t, 0, v.Mean, 0.01, "a temporary slowdown changed the speed")
	}
	for range 5 {
		v.observe(1.5, 0.05)
	}
	require.InDelta(t, 1.5, v.Mean, 0.15, "a permanent change was not learned")
}

// A fast worker that turns six times slower is left by the gangs that run there, although slow workers are usual in the pool, and is used
// again once it has recovered.
func TestPatternFastWorkerTurnsSlow(t *testing.T) {
	s := newSim(96, 8, 1)
	faulty := false
	s.slowdown = func(worker int) float64 {
		if faulty && worker < 8 && unequalFactor(worker) == 0.6 {
			return 6 * unequalFactor(worker)
		}
		return unequalFactor(worker)
	}
	s.uneven = 0.1
	urgent := unequalLoad(s, rand.New(rand.NewPCG(1, 2)), 70*time.Second, 0)
	s.at(20*time.Second, func() { faulty = true })
	s.at(35*time.Second, func() { faulty = false })
	noticed := 0
	s.at(33*time.Second, func() {
		for i, n := range s.sortedNodes()[:8] {
			if unequalFactor(i) == 0.6 && n.class > usualClass {
				noticed++
			}
		}
	})
	s.playFor(90 * time.Second)
	require.Positive(t, noticed, "no faulty worker was noticed")
	require.GreaterOrEqual(t, s.inTime(urgent), 0.85)
	require.LessOrEqual(t, s.slowStops, s.starts/30)
}

// Speeds end with a worker's incarnation: a restarted worker may be a different machine.
func TestSpeedsEndWithIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation uint64
		kept        bool
	}{"the same": {1, true}, "a later one": {2, false}} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 4)
			for _, n := range s.nodes {
				n.Incarnation = test.incarnation
			}
			s.SetSpeeds(map[ids.InstanceID]Speed{"w0000": {Mean: 0.5, Variance: 0.02, Incarnation: 1}, "gone": {Mean: 0.5, Variance: 0.02, Incarnation: 1}})
			require.Equal(t, test.kept, s.nodes["w0000"].speed.established())
		})
	}
}
