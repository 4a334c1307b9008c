// Package experiment measures placement decisions on generated workloads in virtual time and compares them with
// baselines. It also measures request loads and per-unit costs in real time.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Scenario is a data centre with its configuration and workload.
	Scenario struct {
		Name       string
		DataCentre ids.DataCentreID
		// ConfigText is the configuration in its file format.
		ConfigText string
		// Nodes are the workers.
		Nodes []placement.Node
		// ArrivalPeriod is the period during which jobs arrive.
		ArrivalPeriod time.Duration
		// Load is the accelerator time that all jobs need, as a share of the capacity.
		Load float64
		// LargeShape is the shape of the large borrowing gangs.
		LargeShape ids.Shape
		// Faults enables failures of workers, racks and tasks, and cancellations by callers.
		Faults bool
	}

	// arrival is one generated job with its true properties.
	arrival struct {
		at      time.Duration
		account ids.AccountID
		job     caller.Job
		// runTime is the job's true run time, without interruptions.
		runTime time.Duration
		// cancelAt is when the caller cancels the job; zero means never.
		cancelAt time.Duration
		// guaranteed reports whether the job has the shape of a guarantee of its account.
		guaranteed bool
		kind       string
		// alwaysFails marks a job that fails on every worker.
		alwaysFails bool
	}

	generator struct {
		scenario Scenario
		config   *config.Config
		random   *rand.Rand
		jobCount int
		arrivals []arrival
	}
)

const (
	workersPerRack = 8
	// declaredLogStdDev is the standard deviation of the logarithm of declared over true run time: one declaration in
	// forty is off by more than a factor of ten.
	declaredLogStdDev = 1.03
)

// CurrentSize returns a data centre of the current size under a sample configuration.
func CurrentSize(name string, dataCentre ids.DataCentreID, text string, cores ids.MilliCores, large ids.Shape, faults bool) Scenario {
	const workers = 17
	s := Scenario{Name: name, DataCentre: dataCentre, ConfigText: text, ArrivalPeriod: 48 * time.Hour, Load: 0.9, LargeShape: large, Faults: faults}
	for i := range workers {
		s.Nodes = append(s.Nodes, workerNode(dataCentre, i, ids.Resources{Accelerators: 8, Cores: cores, Memory: 250000}))
	}
	return s
}

// TargetSize returns a data centre of the target size: 190 workers with 464 accelerators in total, and 18 accounts.
func TargetSize(faults bool) Scenario {
	const (
		workers, withAccelerators, accounts = 190, 58, 18
	)
	id := ids.DataCentreID("target")
	text := fmt.Sprintf("[DataCentre %q]\n", id)
	for i := range accounts {
		text += fmt.Sprintf("[ClientAccount \"team-%02d\"]\nWeight = %d\n", i, 1+i%3)
		shape, count := "1x4", 2
		if i%6 == 0 {
			shape, count = "4x8/Rack", 1
		}
		text += fmt.Sprintf("[Guarantee \"g-%02d\"]\nAccount = team-%02d\nDataCentre = %s\nShape = %s\nCount = %d\n", i, i, id, shape, count)
	}
	s := Scenario{
		Name: "target", DataCentre: id, ConfigText: text, ArrivalPeriod: 12 * time.Hour, Load: 0.9, Faults: faults,
		LargeShape: ids.Shape{Tasks: 4, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack},
	}
	for i := range workers {
		total := ids.Resources{Cores: 60000, Memory: 250000}
		if i < withAccelerators {
			total.Accelerators = 8
		}
		s.Nodes = append(s.Nodes, workerNode(id, i, total))
	}
	return s
}

func workerNode(dataCentre ids.DataCentreID, i int, total ids.Resources) placement.Node {
	return placement.Node{
		ID:   ids.InstanceID(fmt.Sprintf("%s-w%03d", dataCentre, i)),
		Rack: ids.RackID(fmt.Sprintf("%s-r%02d", dataCentre, i/workersPerRack)), Total: total,
	}
}

// generateArrivals returns the arrivals of a scenario. The same seed gives the same arrivals.
func generateArrivals(s Scenario, c *config.Config, seed uint64) []arrival {
	g := &generator{scenario: s, config: c, random: rand.New(rand.NewPCG(seed, 1))}
	g.addGuaranteedJobs()
	g.addBorrowedJobs()
	if s.Faults {
		g.markFailingJobs()
		g.cancelBorrowedJobs()
	}
	sort.SliceStable(g.arrivals, func(i, j int) bool { return g.arrivals[i].at < g.arrivals[j].at })
	return g.arrivals
}

// addGuaranteedJobs adds jobs that use each guaranteed shape one after another, with exponentially distributed gaps.
func (g *generator) addGuaranteedJobs() {
	for _, guarantee := range g.config.Guarantees {
		if guarantee.DataCentre != g.scenario.DataCentre {
			continue
		}
		for range guarantee.Count {
			for at := g.exponential(4 * time.Hour); at < g.scenario.ArrivalPeriod; at += g.exponential(4 * time.Hour) {
				run := g.logNormal(90*time.Minute, 0.5)
				shape := guarantee.Shape
				g.addJob(at, guarantee.Account, "guaranteed", shape, run, g.random.IntN(2) == 0, true)
				at += run
			}
		}
	}
}

// addBorrowedJobs adds bursts of small jobs, single medium jobs and large gangs until the load is reached.
func (g *generator) addBorrowedJobs() {
	capacity := 0.0
	for _, n := range g.scenario.Nodes {
		capacity += float64(n.Total.Accelerators)
	}
	remaining := capacity * g.scenario.ArrivalPeriod.Hours() * g.scenario.Load
	var accounts []ids.AccountID
	for id := range g.config.Accounts {
		accounts = append(accounts, id)
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i] < accounts[j] })
	for _, a := range g.arrivals {
		remaining -= a.runTime.Hours() * float64(a.job.Shape.Total().Accelerators)
	}
	for remaining > 0 {
		at := time.Duration(g.random.Int64N(int64(g.scenario.ArrivalPeriod)))
		account := accounts[g.random.IntN(len(accounts))]
		switch kind := g.random.IntN(10); {
		case kind < 5:
			for range 1 + g.random.IntN(20) {
				shape := ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1 << g.random.IntN(3)}}
				remaining -= g.addBorrowedJob(at, account, "small", shape, 20*time.Minute)
			}
		case kind < 9:
			shape := ids.Shape{Tasks: 1 + g.random.IntN(4), Each: ids.Resources{Accelerators: 4 << g.random.IntN(2)}}
			remaining -= g.addBorrowedJob(at, account, "medium", shape, 90*time.Minute)
		default:
			remaining -= g.addBorrowedJob(at, account, "large", g.scenario.LargeShape, 2*time.Hour)
		}
	}
}

// addBorrowedJob adds one job and returns its work in accelerator-hours.
func (g *generator) addBorrowedJob(at time.Duration, account ids.AccountID, kind string, shape ids.Shape, medianRunTime time.Duration) float64 {
	run := g.logNormal(medianRunTime, 0.8)
	g.addJob(at, account, kind, shape, run, g.random.IntN(5) > 0, false)
	return run.Hours() * float64(shape.Total().Accelerators)
}

func (g *generator) addJob(at time.Duration, account ids.AccountID, kind string, shape ids.Shape, run time.Duration, idempotent, guaranteed bool) {
	g.jobCount++
	shape.Each.Cores = 1000 * ids.MilliCores(max(1, shape.Each.Accelerators))
	declared := time.Duration(float64(run) * math.Exp(g.random.NormFloat64()*declaredLogStdDev))
	job := caller.Job{
		Key: fmt.Sprintf("%s-%06d", kind, g.jobCount), Shape: shape, Kind: kind, Idempotent: idempotent, Urgent: guaranteed,
		RunTime: max(time.Second, declared),
	}
	if g.random.IntN(2) == 0 {
		slack := time.Duration(float64(run) * (1.2 + 3*g.random.Float64()))
		job.Due = simulationStart.Add(at + slack)
	}
	g.arrivals = append(g.arrivals, arrival{at: at, account: account, job: job, runTime: run, guaranteed: guaranteed, kind: kind})
}

// markFailingJobs makes one small job in a hundred fail on every worker.
func (g *generator) markFailingJobs() {
	for i := range g.arrivals {
		if g.arrivals[i].kind == "small" && g.random.IntN(100) == 0 {
			g.arrivals[i].alwaysFails = true
		}
	}
}

// cancelBorrowedJobs cancels half of one account's earlier borrowing jobs at the same time.
func (g *generator) cancelBorrowedJobs() {
	cancelAt := g.scenario.ArrivalPeriod / 2
	account := g.arrivals[len(g.arrivals)/2].account
	for i := range g.arrivals {
		a := &g.arrivals[i]
		if a.account == account && !a.guaranteed && a.at < cancelAt && g.random.IntN(2) == 0 {
			a.cancelAt = cancelAt
		}
	}
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func (g *generator) logNormal(median time.Duration, sigma float64) time.Duration {
	return max(time.Minute, time.Duration(float64(median)*math.Exp(g.random.NormFloat64()*sigma)))
}
