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
	// run is one scenario under one policy.
	run struct {
		scenario Scenario
		config   *config.Config
		state    *placement.State
		random   *rand.Rand
		now      time.Time
		events   eventHeap
		sequence int
		truth    map[ids.JobID]*outcome
		figures  *Figures
		// broken is a worker that fails every task, while the scenario's faults last.
		broken  ids.InstanceID
		sampled time.Time
	}

	// outcome is what is true of one job, and what became of it.
	outcome struct {
		arrival
		submitted time.Time
		started   time.Time
		finished  time.Time
		// fitted tells that a guaranteed shape of the account was unused when the job came.
		fitted  bool
		warned  time.Time
		state   caller.State
		attempt ids.Attempt
		// runSince and left are the running attempt's begin and the work left then.
		runSince time.Time
		left     time.Duration
		lost     float64
	}

	event struct {
		at       time.Time
		sequence int
		do       func()
	}

	eventHeap []event
)

const (
	// startTime is the time of a hold and a start, and stopTime the part of the grace that a checkpoint takes.
	startTime = 50 * time.Millisecond
	// lossNotice is the time until a lost worker is noticed.
	lossNotice = 2 * time.Second
	// forecastEvery is the interval of forecasts and of samples of the fragmentation.
	forecastEvery = time.Minute
	// settleTime is how long a run goes on after the last arrival.
	settleTime = 48 * time.Hour
)

// epoch is when each run begins.
var epoch = time.Unix(1_700_000_000, 0)

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

// Run plays a scenario under a policy and returns its figures.
func Run(s Scenario, policy placement.Policy, seed uint64) (*Figures, error) {
	c, err := config.Parse(s.Name, []byte(s.Config))
	if err != nil {
		return nil, err
	}
	r := &run{
		scenario: s, config: c, now: epoch, sampled: epoch, random: rand.New(rand.NewPCG(seed, 2)),
		truth: make(map[ids.JobID]*outcome), figures: newFigures(),
		state: &placement.State{DataCentre: s.DataCentre, Policy: policy},
	}
	r.state.SetNodes(s.Nodes)
	r.state.Configure(c)
	for _, a := range generate(s, c, seed) {
		r.at(epoch.Add(a.at), func() { r.arrive(a) })
	}
	r.at(epoch.Add(forecastEvery), r.forecast)
	if s.Faults {
		r.planFaults()
	}
	r.loop()
	r.figures.finish(r)
	return r.figures, nil
}

func (r *run) at(t time.Time, do func()) {
	r.sequence++
	heap.Push(&r.events, event{at: t, sequence: r.sequence, do: do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *run) loop() {
	end := epoch.Add(r.scenario.Length + settleTime)
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

func (r *run) decide() {
	began := time.Now()
	actions, notices := r.state.Decide(r.now)
	r.figures.decision(time.Since(began))
	for _, n := range notices {
		if n.Kind == placement.NoticeLate {
			r.truth[n.Job].warned = r.now
		}
	}
	for _, a := range actions {
		r.perform(a)
	}
}

func (r *run) arrive(a arrival) {
	id := ids.Job(a.account, a.job.Key)
	o := &outcome{arrival: a, submitted: r.now, left: a.runTime}
	o.fitted = a.guaranteed && r.unusedShapes(a) > 0 && (r.state.Policy.NoGuarantees || r.state.HasUnused(a.account, a.job.Shape))
	r.truth[id] = o
	j := &placement.Job{Job: a.job, ID: id, Account: a.account, Submitted: r.now}
	if err := r.state.Submit(j); err != nil {
		o.state = caller.Refused
		return
	}
	if a.cancelAt > 0 {
		r.at(epoch.Add(a.cancelAt), func() { r.state.Cancel(id, r.now) })
	}
}

// unusedShapes counts the shapes of the account's guarantees that no guaranteed job has asked for, or uses now.
func (r *run) unusedShapes(a arrival) int {
	count := 0
	for _, g := range r.config.Guarantees {
		if g.Account == a.account && g.DataCentre == r.scenario.DataCentre && sameSize(g.Shape, a.job.Shape) {
			count += g.Count
		}
	}
	for _, o := range r.truth {
		if o.guaranteed && o.account == a.account && o.state == "" && sameSize(o.job.Shape, a.job.Shape) {
			count--
		}
	}
	return count
}

func sameSize(a, b ids.Shape) bool {
	return a.Tasks == b.Tasks && a.Each.Accelerators == b.Each.Accelerators && a.Adjacent == b.Adjacent
}

func (r *run) perform(a placement.Action) {
	o := r.truth[a.Job.ID]
	job, attempt := a.Job, a.Attempt
	switch a.Kind {
	case placement.Start:
		place := append([]ids.InstanceID(nil), job.Place...)
		r.after(startTime, func() { r.start(job, attempt, place) })
	case placement.Stop:
		r.after(a.Grace/2, func() { r.stop(job, attempt, a.Grace > 0) })
	case placement.Finish:
		o.state, o.finished, o.attempt = job.StateOf(), r.now, attempt
	}
}

// start begins an attempt, unless one of its workers is lost: then that one is found out and the gang waits again.
func (r *run) start(job *placement.Job, attempt ids.Attempt, place []ids.InstanceID) {
	o := r.truth[job.ID]
	for _, id := range place {
		if !r.state.Live(id) {
			r.state.StartFailed(job.ID, attempt, []ids.InstanceID{id}, r.now)
			return
		}
	}
	if o.started.IsZero() {
		o.started = r.now
	}
	o.runSince = r.now
	r.state.Started(job.ID, attempt, r.now)
	run, failed := o.left, -1
	for i, id := range place {
		if o.bad || (id == r.broken && id != "") {
			run, failed = min(run, 10*time.Second), i
			break
		}
	}
	r.after(run, func() { r.end(job, attempt, failed) })
}

func (r *run) end(job *placement.Job, attempt ids.Attempt, failed int) {
	if job.Attempt != attempt || job.StateOf() != caller.Running {
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

// stop ends an attempt; with a checkpoint its work is kept.
func (r *run) stop(job *placement.Job, attempt ids.Attempt, checkpoint bool) {
	o := r.truth[job.ID]
	ran := max(0, r.now.Sub(o.runSince))
	if o.runSince.IsZero() {
		ran = 0
	}
	if checkpoint {
		o.left = max(time.Second, o.left-ran)
	} else {
		o.lost += ran.Hours() * float64(job.Shape.Total().Accelerators)
	}
	o.runSince = time.Time{}
	r.state.StopDone(job.ID, attempt, 1-o.left.Seconds()/o.runTime.Seconds(), r.now)
}

func (r *run) forecast() {
	r.state.UpdateForecasts(r.now)
	if r.now.Sub(epoch) < r.scenario.Length {
		r.figures.sample(r.state)
	}
	r.after(forecastEvery, r.forecast)
}

// planFaults brings failures of single workers, the loss of a rack and a worker that fails everything about.
func (r *run) planFaults() {
	const (
		timeBetween = 100 * time.Hour // of one worker
		repair      = 30 * time.Minute
	)
	for _, n := range r.scenario.Nodes {
		for at := time.Duration(r.random.ExpFloat64() * float64(timeBetween)); at < r.scenario.Length; at += time.Duration(r.random.ExpFloat64() * float64(timeBetween)) {
			r.at(epoch.Add(at+lossNotice), func() { r.state.NodeDown(n.ID, r.now, "failed") })
			r.at(epoch.Add(at+repair), func() { r.state.NodeUp(n.ID) })
		}
	}
	rackLoss := r.scenario.Length / 3
	for _, n := range r.scenario.Nodes[:rackSize] {
		r.at(epoch.Add(rackLoss+lossNotice), func() { r.state.NodeDown(n.ID, r.now, "rack lost") })
		r.at(epoch.Add(rackLoss+2*time.Hour), func() { r.state.NodeUp(n.ID) })
	}
	bad := r.scenario.Nodes[len(r.scenario.Nodes)/4].ID
	r.at(epoch.Add(r.scenario.Length/4), func() { r.broken = bad })
	r.at(epoch.Add(r.scenario.Length/2), func() { r.broken = "" })
}
