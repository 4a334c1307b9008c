package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// simulation runs one scenario under one policy in virtual time.
	simulation struct {
		scenario Scenario
		config   *config.Config
		state    *placement.State
		random   *rand.Rand
		now      time.Time
		events   eventHeap
		sequence int
		outcomes map[ids.JobID]*outcome
		figures  *Figures
		// failingWorker fails every task while the fault is active; empty means none.
		failingWorker ids.InstanceID
		sampled       time.Time
	}

	// outcome holds the true properties of one job and its result.
	outcome struct {
		arrival
		submitted time.Time
		started   time.Time
		finished  time.Time
		// shapeUnused reports whether a guaranteed shape of the account was unused when the job arrived.
		shapeUnused bool
		warned      time.Time
		state       caller.State
		attempt     ids.Attempt
		// attemptStarted is when the running attempt began, and remaining the run time left then.
		attemptStarted time.Time
		remaining      time.Duration
		// lostWork is the work lost by stops without a checkpoint, in accelerator-hours.
		lostWork float64
	}

	event struct {
		at       time.Time
		sequence int
		do       func()
	}

	eventHeap []event
)

const (
	// startDelay is the time it takes to hold the workers and start the gang.
	startDelay = 50 * time.Millisecond
	// lossDetectionDelay is the time until a lost worker is detected.
	lossDetectionDelay = 2 * time.Second
	// forecastInterval is the interval between forecasts, and between samples of the fragmentation.
	forecastInterval = time.Minute
	// drainTime is how long a simulation continues after the arrival period.
	drainTime = 48 * time.Hour
)

// simulationStart is the virtual time at which every simulation begins.
var simulationStart = time.Unix(1_700_000_000, 0)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run simulates a scenario under a policy and returns its figures.
func Run(s Scenario, policy placement.Policy, seed uint64) (*Figures, error) {
	c, err := config.Parse(s.Name, []byte(s.ConfigText))
	if err != nil {
		return nil, err
	}
	r := &simulation{
		scenario: s, config: c, now: simulationStart, sampled: simulationStart, random: rand.New(rand.NewPCG(seed, 2)),
		outcomes: make(map[ids.JobID]*outcome), figures: newFigures(),
		state: &placement.State{DataCentre: s.DataCentre, Policy: policy},
	}
	r.state.SetNodes(s.Nodes)
	r.state.Configure(c)
	for _, a := range generateArrivals(s, c, seed) {
		r.schedule(simulationStart.Add(a.at), func() { r.arrive(a) })
	}
	r.schedule(simulationStart.Add(forecastInterval), r.forecast)
	if s.Faults {
		r.scheduleFaults()
	}
	r.loop()
	r.figures.finish(r)
	return r.figures, nil
}

func (r *simulation) schedule(t time.Time, do func()) {
	r.sequence++
	heap.Push(&r.events, event{at: t, sequence: r.sequence, do: do})
}

func (r *simulation) scheduleAfter(d time.Duration, do func()) { r.schedule(r.now.Add(d), do) }

func (r *simulation) loop() {
	end := simulationStart.Add(r.scenario.ArrivalPeriod + drainTime)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at.After(end) {
			return
		}
		r.now = next.at
		next.do()
		for len(r.events) > 0 && r.events[0].at.Equal(r.now) {
			heap.Pop(&r.events).(event).do()
		}
		r.decide()
	}
}

func (r *simulation) decide() {
	began := time.Now()
	actions, notices := r.state.Decide(r.now)
	r.figures.recordDecision(time.Since(began))
	for _, n := range notices {
		if n.Kind == placement.NoticeLate {
			r.outcomes[n.Job].warned = r.now
		}
	}
	for _, a := range actions {
		r.execute(a)
	}
}

func (r *simulation) arrive(a arrival) {
	id := ids.JobIDFor(a.account, a.job.Key)
	o := &outcome{arrival: a, submitted: r.now, remaining: a.runTime}
	o.shapeUnused = a.guaranteed && r.unusedShapes(a) > 0 && (r.state.Policy.NoGuarantees || r.state.HasUnusedGuarantee(a.account, a.job.Shape))
	r.outcomes[id] = o
	j := &placement.Job{Job: a.job, ID: id, Account: a.account, Submitted: r.now}
	if err := r.state.Submit(j); err != nil {
		o.state = caller.Refused
		return
	}
	if a.cancelAt > 0 {
		r.schedule(simulationStart.Add(a.cancelAt), func() { r.state.Cancel(id, r.now) })
	}
}

// unusedShapes counts the shapes of the account's guarantees that no queued or running guaranteed job needs.
func (r *simulation) unusedShapes(a arrival) int {
	count := 0
	for _, g := range r.config.Guarantees {
		if g.Account == a.account && g.DataCentre == r.scenario.DataCentre && sameShape(g.Shape, a.job.Shape) {
			count += g.Count
		}
	}
	for _, o := range r.outcomes {
		if o.guaranteed && o.account == a.account && o.state == "" && sameShape(o.job.Shape, a.job.Shape) {
			count--
		}
	}
	return count
}

func sameShape(a, b ids.Shape) bool {
	return a.Tasks == b.Tasks && a.Each.Accelerators == b.Each.Accelerators && a.Adjacent == b.Adjacent
}

func (r *simulation) execute(a placement.Action) {
	o := r.outcomes[a.Job.ID]
	job, attempt := a.Job, a.Attempt
	switch a.Kind {
	case placement.Start:
		place := append([]ids.InstanceID(nil), job.Place...)
		r.scheduleAfter(startDelay, func() { r.start(job, attempt, place) })
	case placement.Stop:
		// A checkpoint takes half of the grace period.
		r.scheduleAfter(a.Grace/2, func() { r.stop(job, attempt, a.Grace > 0) })
	case placement.Finish:
		o.state, o.finished, o.attempt = job.CallerState(), r.now, attempt
	}
}

// start begins an attempt. If one of its workers is lost, the start fails on that worker and the gang is queued again.
func (r *simulation) start(job *placement.Job, attempt ids.Attempt, place []ids.InstanceID) {
	o := r.outcomes[job.ID]
	for _, id := range place {
		if !r.state.IsLive(id) {
			r.state.StartFailed(job.ID, attempt, []ids.InstanceID{id}, r.now)
			return
		}
	}
	if o.started.IsZero() {
		o.started = r.now
	}
	o.attemptStarted = r.now
	r.state.Started(job.ID, attempt, r.now)
	run, failed := o.remaining, -1
	for i, id := range place {
		if o.alwaysFails || (id == r.failingWorker && id != "") {
			run, failed = min(run, 10*time.Second), i
			break
		}
	}
	r.scheduleAfter(run, func() { r.end(job, attempt, failed) })
}

func (r *simulation) end(job *placement.Job, attempt ids.Attempt, failed int) {
	if job.Attempt != attempt || job.CallerState() != caller.Running {
		return
	}
	if failed >= 0 {
		r.state.TaskEnded(job.ID, attempt, failed, true, r.now)
		return
	}
	for i := range job.Shape.Tasks {
		r.state.TaskEnded(job.ID, attempt, i, false, r.now)
	}
}

// stop ends an attempt. Its work is kept if it has taken a checkpoint.
func (r *simulation) stop(job *placement.Job, attempt ids.Attempt, checkpoint bool) {
	o := r.outcomes[job.ID]
	ran := max(0, r.now.Sub(o.attemptStarted))
	if o.attemptStarted.IsZero() {
		ran = 0
	}
	if checkpoint {
		o.remaining = max(time.Second, o.remaining-ran)
	} else {
		o.lostWork += ran.Hours() * float64(job.Shape.Total().Accelerators)
	}
	o.attemptStarted = time.Time{}
	r.state.StopDone(job.ID, attempt, 1-o.remaining.Seconds()/o.runTime.Seconds(), r.now)
}

func (r *simulation) forecast() {
	r.state.UpdateForecasts(r.now)
	if r.now.Sub(simulationStart) < r.scenario.ArrivalPeriod {
		r.figures.sample(r.state)
	}
	r.scheduleAfter(forecastInterval, r.forecast)
}

// scheduleFaults injects failures of single workers, the loss of a rack and a worker that fails every task.
func (r *simulation) scheduleFaults() {
	const (
		meanTimeBetweenFailures = 100 * time.Hour // per worker
		repairTime              = 30 * time.Minute
	)
	for _, n := range r.scenario.Nodes {
		for at := time.Duration(r.random.ExpFloat64() * float64(meanTimeBetweenFailures)); at < r.scenario.ArrivalPeriod; at += time.Duration(r.random.ExpFloat64() * float64(meanTimeBetweenFailures)) {
			r.schedule(simulationStart.Add(at+lossDetectionDelay), func() { r.state.NodeDown(n.ID, r.now, "failed") })
			r.schedule(simulationStart.Add(at+repairTime), func() { r.state.NodeUp(n.ID) })
		}
	}
	rackLoss := r.scenario.ArrivalPeriod / 3
	for _, n := range r.scenario.Nodes[:workersPerRack] {
		r.schedule(simulationStart.Add(rackLoss+lossDetectionDelay), func() { r.state.NodeDown(n.ID, r.now, "rack lost") })
		r.schedule(simulationStart.Add(rackLoss+2*time.Hour), func() { r.state.NodeUp(n.ID) })
	}
	failing := r.scenario.Nodes[len(r.scenario.Nodes)/4].ID
	r.schedule(simulationStart.Add(r.scenario.ArrivalPeriod/4), func() { r.failingWorker = failing })
	r.schedule(simulationStart.Add(r.scenario.ArrivalPeriod/2), func() { r.failingWorker = "" })
}
