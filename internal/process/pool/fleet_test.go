package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// fleet is a large pool with three kinds of work: urgent gangs, wide gangs and jobs of many single tasks.
	fleet struct {
		racks, perRack, accounts int
		// perSecond is the rate of submissions, for length.
		perSecond float64
		length    time.Duration
		// bursts multiply the rate of a kind of work for a while.
		bursts []fleetBurst
		// leaving is the share of the workers that leave at leaveAt with a notice.
		leaving         float64
		leaveAt, notice time.Duration
	}

	fleetBurst struct {
		kind       string
		at, length time.Duration
		factor     float64
	}
)

// fleetWorker is the size of each worker.
var fleetWorker = ids.Resources{Accelerators: 8, Cores: 64000, Memory: 262144}

// largeFleet has the size and the load of a pool of several hundred workers on a day of high demand.
var largeFleet = fleet{
	racks: 45, perRack: 12, accounts: 24, perSecond: 26.6, length: 34 * time.Second,
	bursts: []fleetBurst{
		{kind: "urgent", at: 3240 * time.Millisecond, length: 6 * time.Second, factor: 1.9},
		{kind: "wide", at: 5340 * time.Millisecond, length: 4300 * time.Millisecond, factor: 2.6},
	},
	leaving: 0.16, leaveAt: 13 * time.Second, notice: 1700 * time.Millisecond,
}

// lognormal returns a value with a mean and a relative spread, of at most limit.
func lognormal(random *rand.Rand, mean, spread, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(limit, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// submissions returns the fleet's load.
func (f fleet) submissions(random *rand.Rand) []submission {
	var list []submission
	add := func(kind string, rate float64, job func(id ids.JobID) (*Job, time.Duration)) {
		for at := time.Duration(0); at < f.length; {
			factor := 1.0
			for _, b := range f.bursts {
				if b.kind == kind && at >= b.at && at < b.at+b.length {
					factor = b.factor
				}
			}
			at += time.Duration(random.ExpFloat64() / (rate * factor) * float64(time.Second))
			j, runTime := job(ids.JobID(fmt.Sprintf("%s%05d", kind, len(list))))
			j.Service, j.Account = "service", ids.AccountID(fmt.Sprintf("account%02d", random.IntN(f.accounts)))
			list = append(list, submission{submitAt: at, job: j, runTime: runTime})
		}
	}
	estimate := func(d time.Duration, off float64) time.Duration {
		return time.Duration(float64(d) * math.Exp(off*random.NormFloat64()))
	}
	// gang returns a gang of the given mean width. One that is too wide for a rack has no need to be in one rack.
	gang := func(mean, limit float64, each ids.Resources, sameRack float64, e time.Duration) Step {
		each.Accelerators = []ids.Accelerators{1, 2, 4, 8, 8}[random.IntN(5)]
		step := Step{Tasks: max(1, int(lognormal(random, mean, 0.8, limit))), Each: each, Estimate: e, Gang: true}
		perWorker := fleetWorker.Copies(each, step.Tasks)
		step.SameRack = random.Float64() < sameRack && step.Tasks <= perWorker*f.perRack
		return step
	}
	const urgent, wide, single = 17.2, 4.29, 2.7
	perUnit := f.perSecond / (urgent + wide + single)
	add("urgent", urgent*perUnit, func(id ids.JobID) (*Job, time.Duration) {
		actual := time.Duration(lognormal(random, 2500, 0.5, 8000)) * time.Millisecond
		step := gang(5.3, 32, ids.Resources{Cores: 7500, Memory: 22000}, 0.8, estimate(actual, 0.2))
		return &Job{ID: id, Queue: "urgent", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond, Steps: []Step{step}}, actual
	})
	add("wide", wide*perUnit, func(id ids.JobID) (*Job, time.Duration) {
		actual := time.Duration(lognormal(random, 6800, 0.3, 11000)) * time.Millisecond
		step := gang(13, 76, ids.Resources{Cores: 26000, Memory: 140000}, 0.6, estimate(actual, 0.5))
		step.Checkpoints = random.Float64() < 0.45
		return &Job{ID: id, Queue: "wide", Priority: 1, MaxAttempts: 4, Stretch: 3, Target: time.Second, Steps: []Step{step}}, actual
	})
	add("single", single*perUnit, func(id ids.JobID) (*Job, time.Duration) {
		actual := time.Duration(lognormal(random, 9500, 0.3, 11000)) * time.Millisecond
		j := &Job{ID: id, Queue: "single", Priority: 2, MaxAttempts: 3, Stretch: 3, Target: 3 * time.Second}
		checkpoints, declared := random.Float64() < 0.45, estimate(actual, 0.9)
		for i := range []int{1, 1, 1, 2}[random.IntN(4)] {
			step := Step{Tasks: max(1, int(lognormal(random, 38, 0.8, 230))), Each: ids.Resources{Accelerators: 1, Cores: 5600, Memory: 16000}, Estimate: declared, Checkpoints: checkpoints}
			if i > 0 {
				step.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		return j, actual
	})
	slices.SortFunc(list, func(a, b submission) int { return cmp.Compare(a.submitAt, b.submitAt) })
	return list
}

// start returns a simulator of the fleet, whose workers leave as planned.
func (f fleet) start(seed uint64) *sim {
	s := newSim(0, f.perRack, seed)
	for i := range f.racks * f.perRack {
		s.list = append(s.list, Worker{
			ID: ids.InstanceID(fmt.Sprintf("w%04d", i)), Service: "service", Rack: ids.RackID(fmt.Sprintf("r%03d", i/f.perRack)),
			Total: fleetWorker, Incarnation: 1,
		})
	}
	s.SetWorkers(s.list)
	for _, n := range s.nodes {
		n.reported = true
	}
	s.slowdown, s.uneven = func(worker int) float64 { return []float64{1, 1, 1.3}[worker%3] }, 0.15
	accounts := make(map[ids.AccountID]Account)
	for i := range f.accounts {
		accounts[ids.AccountID(fmt.Sprintf("account%02d", i))] = Account{Guaranteed: ids.Accelerators(0.62 * float64(8*f.racks*f.perRack) / float64(f.accounts))}
	}
	s.SetAccounts(accounts)
	if f.leaving > 0 {
		s.at(f.leaveAt, func() {
			for _, i := range s.random.Perm(len(s.list))[:int(f.leaving*float64(len(s.list)))] {
				s.drain(ids.InstanceID(fmt.Sprintf("w%04d", i)), f.notice)
			}
		})
	}
	return s
}

// play runs the load of a seed for the length of the load and an additional time.
func (f fleet) play(seed uint64, after time.Duration, measured bool) ([]submission, *sim) {
	s := f.start(seed)
	s.measured = measured
	submissions := f.submissions(rand.New(rand.NewPCG(seed, 3)))
	for _, o := range submissions {
		s.at(o.submitAt, func() { s.submit(o, clientRetries) })
	}
	s.playFor(f.length + after)
	return submissions, s
}

// BenchmarkLargeFleet measures the processor time that the decisions of a large fleet take.
func BenchmarkLargeFleet(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		submissions, s := largeFleet.play(1, 14*time.Second, true)
		runtime.ReadMemStats(&after)
		total := time.Duration(0)
		for kind, spent := range s.spent {
			total += spent
			b.ReportMetric(spent.Seconds(), kind+"-s")
		}
		slices.Sort(s.decisions)
		b.ReportMetric(total.Seconds(), "total-s")
		b.ReportMetric(float64(s.spent["Decide"].Microseconds())/float64(len(s.decisions)), "mean-us")
		b.ReportMetric(float64(s.decisions[len(s.decisions)*99/100].Microseconds()), "p99-us")
		b.ReportMetric(float64(len(s.decisions)), "decisions")
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1e6, "MB")
		b.ReportMetric(float64(s.starts), "starts")
		b.ReportMetric(float64(s.stops), "stops")
		b.ReportMetric(float64(s.slowStops), "slow-stops")
		b.ReportMetric(s.lostWork, "lost-core-s")
		for _, kind := range []ids.QueueID{"urgent", "wide", "single"} {
			some := slices.DeleteFunc(slices.Clone(submissions), func(o submission) bool { return o.job.Queue != kind })
			b.ReportMetric(earnedFraction(some, s.finishedAt, ""), string(kind)+"-earned")
		}
		b.ReportMetric(0, "ns/op")
	}
}

// checkFitCounts compares the cached counts of room with counts of all workers.
func (s *sim) checkFitCounts(t *testing.T) {
	for shape, cached := range s.fitCounts {
		cached.count(s.State)
		fresh := &fitCount{shape: shape, byRack: make([]rackFitCount, len(s.racks))}
		fresh.count(s.State)
		require.Equal(t, fresh, cached, "%v after %v", shape, s.now.Sub(testStart))
	}
	open := make(map[ids.ServiceID]openAccelerators)
	for _, n := range s.nodes {
		if n.schedulable() {
			sum := open[n.Service]
			open[n.Service] = openAccelerators{sum.free + n.free().Accelerators, sum.total + n.Total.Accelerators}
		}
	}
	for service, sum := range open {
		require.Equal(t, sum, s.openCapacity(service), "after %v", s.now.Sub(testStart))
	}
	for _, n := range s.nodes {
		used, pinned := ids.Resources{}, 0
		for _, r := range n.runs {
			used = used.Plus(r.resources)
			if r.pinned {
				pinned++
			}
		}
		require.Equal(t, used, n.used, n.ID)
		require.Equal(t, pinned, n.pinned, n.ID)
	}
	for _, j := range s.live {
		for _, st := range j.stages {
			inPhase := [phaseCount]int{}
			for _, u := range st.units {
				inPhase[u.phase]++
			}
			require.Equal(t, inPhase, st.inPhase, j.ID)
		}
	}
}

// A fleet with bursts, preemption, stragglers and workers that leave: what is counted incrementally stays equal to a count of
// everything, also after an owner has taken over.
func TestPatternFleetCounts(t *testing.T) {
	f := largeFleet
	f.racks, f.perSecond, f.length = 6, 4, 20*time.Second
	for seed := range uint64(3) {
		s := f.start(seed)
		for _, o := range f.submissions(s.random) {
			s.at(o.submitAt, func() { s.submit(o, clientRetries) })
		}
		for range 250 {
			s.at(time.Duration(s.random.Int64N(int64(30*time.Second))), func() { s.checkFitCounts(t) })
		}
		s.playFor(30 * time.Second)
		require.Positive(t, s.stops, "seed %d: nothing was stopped", seed)
	}
}

// A seventh of the workers fails all that it starts for ten seconds: of the urgent jobs, which may fail twice, at most 1% fails,
// although wide gangs need many workers.
func TestPatternWorkersThatFailEverything(t *testing.T) {
	f := largeFleet
	f.racks, f.perSecond, f.length, f.bursts, f.leaving = 30, 10, 30*time.Second, nil, 0
	urgent, failed := 0, 0
	for seed := range uint64(4) {
		s := f.start(seed)
		submissions := f.submissions(rand.New(rand.NewPCG(seed, 3)))
		for _, o := range submissions {
			s.at(o.submitAt, func() { s.submit(o, clientRetries) })
		}
		s.at(10*time.Second, func() {
			s.failing = make(map[ids.InstanceID]bool)
			for _, i := range s.random.Perm(len(s.list))[:len(s.list)/7] {
				s.failing[s.list[i].ID] = true
			}
		})
		s.at(20*time.Second, func() { s.failing = nil })
		s.playFor(50 * time.Second)
		for _, o := range submissions {
			if o.job.Priority > 0 {
				continue
			}
			urgent++
			if j := s.jobs[o.job.ID]; j != nil && j.State == Failed {
				failed++
			}
		}
	}
	t.Logf("%d of %d urgent jobs failed", failed, urgent)
	require.LessOrEqual(t, failed, urgent/100)
}
