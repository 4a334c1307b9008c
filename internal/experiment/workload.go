// Package experiment drives the placement decisions with generated workloads in virtual time and measures them,
// beside plain baselines.
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
	// Scenario is a data centre with its configuration and what is asked of it.
	Scenario struct {
		Name       string
		DataCentre ids.DataCentreID
		// Config is the text of the configuration.
		Config string
		// Nodes are the workers.
		Nodes []placement.Node
		// Length is the time during which jobs arrive.
		Length time.Duration
		// Load is the accelerator time that borrowers ask for, as a share of all.
		Load float64
		// Large is the shape of the large borrowed gangs.
		Large ids.Shape
		// Faults brings failures of workers, racks, tasks and callers about.
		Faults bool
	}

	// arrival is one job with what is true of it.
	arrival struct {
		at      time.Duration
		account ids.AccountID
		job     caller.Job
		// runTime is the true run time of the whole work.
		runTime time.Duration
		// cancelAt is when its caller cancels it; zero never.
		cancelAt time.Duration
		// guaranteed tells that it has the shape of a guarantee of its account.
		guaranteed bool
		kind       string
		// bad jobs fail wherever they run.
		bad bool
	}

	generator struct {
		scenario Scenario
		config   *config.Config
		random   *rand.Rand
		next     int
		list     []arrival
	}
)

const (
	rackSize = 8
	// declaredSpread is the standard deviation of the logarithm of declared over true run time: one in forty is off
	// by more than a factor of ten.
	declaredSpread = 1.03
)

// Today returns a data centre of today's size under a sample configuration.
func Today(name string, dataCentre ids.DataCentreID, text string, cores ids.MilliCores, large ids.Shape, faults bool) Scenario {
	const workers = 17
	s := Scenario{Name: name, DataCentre: dataCentre, Config: text, Length: 48 * time.Hour, Load: 0.9, Large: large, Faults: faults}
	for i := range workers {
		s.Nodes = append(s.Nodes, workerNode(dataCentre, i, ids.Resources{Accelerators: 8, Cores: cores, Memory: 250000}))
	}
	return s
}

// Target returns one data centre at the size aimed at: 190 workers, 464 accelerators among them, 18 accounts.
func Target(faults bool) Scenario {
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
		Name: "target", DataCentre: id, Config: text, Length: 12 * time.Hour, Load: 0.9, Faults: faults,
		Large: ids.Shape{Tasks: 4, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack},
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
		Rack: ids.RackID(fmt.Sprintf("%s-r%02d", dataCentre, i/rackSize)), Total: total,
	}
}

// generate makes the arrivals of a scenario; the same seed makes the same ones.
func generate(s Scenario, c *config.Config, seed uint64) []arrival {
	g := &generator{scenario: s, config: c, random: rand.New(rand.NewPCG(seed, 1))}
	g.guaranteedWork()
	g.borrowedWork()
	if s.Faults {
		g.neverEnding()
		g.cancellationWave()
	}
	sort.SliceStable(g.list, func(i, j int) bool { return g.list[i].at < g.list[j].at })
	return g.list
}

// guaranteedWork lets each guaranteed shape be asked for about half of the time.
func (g *generator) guaranteedWork() {
	for _, guarantee := range g.config.Guarantees {
		if guarantee.DataCentre != g.scenario.DataCentre {
			continue
		}
		for range guarantee.Count {
			for at := g.exponential(4 * time.Hour); at < g.scenario.Length; at += g.exponential(4 * time.Hour) {
				run := g.logNormal(90*time.Minute, 0.5)
				shape := guarantee.Shape
				g.add(at, guarantee.Account, "guaranteed", shape, run, g.random.IntN(2) == 0, true)
				at += run
			}
		}
	}
}

// borrowedWork brings bursts of small jobs, single medium ones and large gangs until the load is reached.
func (g *generator) borrowedWork() {
	capacity := 0.0
	for _, n := range g.scenario.Nodes {
		capacity += float64(n.Total.Accelerators)
	}
	asked := capacity * g.scenario.Length.Hours() * g.scenario.Load
	var accounts []ids.AccountID
	for id := range g.config.Accounts {
		accounts = append(accounts, id)
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i] < accounts[j] })
	for _, a := range g.list {
		asked -= a.runTime.Hours() * float64(a.job.Shape.Total().Accelerators)
	}
	for asked > 0 {
		at := time.Duration(g.random.Int64N(int64(g.scenario.Length)))
		account := accounts[g.random.IntN(len(accounts))]
		switch kind := g.random.IntN(10); {
		case kind < 5:
			for range 1 + g.random.IntN(20) {
				shape := ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1 << g.random.IntN(3)}}
				asked -= g.borrow(at, account, "small", shape, 20*time.Minute)
			}
		case kind < 9:
			shape := ids.Shape{Tasks: 1 + g.random.IntN(4), Each: ids.Resources{Accelerators: 4 << g.random.IntN(2)}}
			asked -= g.borrow(at, account, "medium", shape, 90*time.Minute)
		default:
			asked -= g.borrow(at, account, "large", g.scenario.Large, 2*time.Hour)
		}
	}
}

func (g *generator) borrow(at time.Duration, account ids.AccountID, kind string, shape ids.Shape, typical time.Duration) float64 {
	run := g.logNormal(typical, 0.8)
	g.add(at, account, kind, shape, run, g.random.IntN(5) > 0, false)
	return run.Hours() * float64(shape.Total().Accelerators)
}

func (g *generator) add(at time.Duration, account ids.AccountID, kind string, shape ids.Shape, run time.Duration, idempotent, guaranteed bool) {
	g.next++
	shape.Each.Cores = 1000 * ids.MilliCores(max(1, shape.Each.Accelerators))
	declared := time.Duration(float64(run) * math.Exp(g.random.NormFloat64()*declaredSpread))
	job := caller.Job{
		Key: fmt.Sprintf("%s-%06d", kind, g.next), Shape: shape, Kind: kind, Idempotent: idempotent, Urgent: guaranteed,
		RunTime: max(time.Second, declared),
	}
	if g.random.IntN(2) == 0 {
		slack := time.Duration(float64(run) * (1.2 + 3*g.random.Float64()))
		job.Due = epoch.Add(at + slack)
	}
	g.list = append(g.list, arrival{at: at, account: account, job: job, runTime: run, guaranteed: guaranteed, kind: kind})
}

// neverEnding makes a few jobs fail wherever they run.
func (g *generator) neverEnding() {
	for i := range g.list {
		if g.list[i].kind == "small" && g.random.IntN(100) == 0 {
			g.list[i].bad = true
		}
	}
}

// cancellationWave cancels half of one account's borrowed jobs at one moment.
func (g *generator) cancellationWave() {
	moment := g.scenario.Length / 2
	account := g.list[len(g.list)/2].account
	for i := range g.list {
		a := &g.list[i]
		if a.account == account && !a.guaranteed && a.at < moment && g.random.IntN(2) == 0 {
			a.cancelAt = moment
		}
	}
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func (g *generator) logNormal(median time.Duration, spread float64) time.Duration {
	return max(time.Minute, time.Duration(float64(median)*math.Exp(g.random.NormFloat64()*spread)))
}
