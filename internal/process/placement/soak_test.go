package placement

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const soakConfig = `
[Policy]
QuarantineTime = 1m
[DataCentre "d"]
[ClientAccount "large"]
Weight = 3
[ClientAccount "small"]
[ClientAccount "other"]
[Guarantee "gang"]
Account = large
DataCentre = d
Shape = 4x8/Rack
[Guarantee "pair"]
Account = large
DataCentre = d
Shape = 2x8
[Guarantee "half"]
Account = small
DataCentre = d
Shape = 1x4
Count = 3
`

// soak drives one State like an owner, with every event that an owner may observe, in any order.
type soak struct {
	t      *rapid.T
	state  *State
	now    time.Time
	config *config.Config
	next   int
	// starts and stops are the actions in flight.
	starts, stops       []Action
	nonIdempotentStarts map[ids.JobID]int
	violation           error
}

func newSoak(t *rapid.T, policy Policy) *soak {
	s := &soak{t: t, now: time.Unix(0, 0), nonIdempotentStarts: make(map[ids.JobID]int)}
	s.state = &State{DataCentre: "d", Policy: policy, OnViolation: func(err error) { s.violation = err }}
	s.state.SetNodes(testNodes(3, 6))
	c, err := config.Parse("soak", []byte(soakConfig))
	require.NoError(t, err)
	s.config = c
	s.state.Configure(c)
	return s
}

func testNodes(racks, perRack int) []Node {
	var nodes []Node
	for r := range racks {
		for i := range perRack {
			nodes = append(nodes, Node{
				ID: ids.InstanceID(fmt.Sprintf("n%d-%d", r, i)), Rack: ids.RackID(fmt.Sprintf("r%d", r)),
				Total: ids.Resources{Accelerators: 8, Cores: 64000, Memory: 256000},
			})
		}
	}
	return nodes
}

func (s *soak) decide() {
	actions, _ := s.state.Decide(s.now)
	for _, a := range actions {
		switch a.Kind {
		case Start:
			if !a.Job.Idempotent {
				s.nonIdempotentStarts[a.Job.ID]++
			}
			for _, n := range s.state.nodesOf(a.Job) {
				require.False(s.t, n.Leaving, "job %s was started on %s, which is leaving", a.Job.ID, n.ID)
				require.False(s.t, s.config.DataCentres["d"].Evacuate, "job %s was started during an evacuation", a.Job.ID)
			}
			s.starts = append(s.starts, a)
		case Stop:
			s.stops = append(s.stops, a)
		}
	}
	s.check()
}

// check asserts properties that State.Check doesn't: no non-preemptible job was reclaimed, and no job waits while a
// guaranteed shape of its account that can hold it is unused.
func (s *soak) check() {
	if s.violation != nil {
		s.t.Fatalf("%v", s.violation)
	}
	for _, j := range s.jobs(func(j *Job) bool { return j.phase == stopping && !j.Idempotent }) {
		require.NotContains(s.t, j.Reason, "reclaimed", "a non-preemptible job was reclaimed")
	}
	for _, j := range s.jobs(func(j *Job) bool { return j.phase == queued && len(j.avoidUntil) == 0 && j.notBefore.IsZero() }) {
		for _, e := range s.state.entitlements {
			if e.userCount == 0 && e.guarantee.Account == j.Account && s.state.isIntact(e) && s.state.canHold(e, j) {
				s.t.Fatalf("job %s of %s with shape %s %+v waits although guaranteed shape %s %+v on %v is unused", j.ID, j.Account, j.Shape, j.Shape.Each, e.key(), e.shape, nodeIDs(e.place))
			}
		}
	}
}

func (s *soak) jobs(choose func(j *Job) bool) []*Job {
	var list []*Job
	s.state.Jobs(func(j *Job) {
		if choose(j) {
			list = append(list, j)
		}
	})
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

func (s *soak) pickJob(label string, choose func(j *Job) bool) *Job {
	list := s.jobs(choose)
	if len(list) == 0 {
		s.t.Skip("no such job")
	}
	return rapid.SampledFrom(list).Draw(s.t, label)
}

func (s *soak) submit() {
	t := s.t
	s.next++
	shape := ids.Shape{
		Tasks: rapid.SampledFrom([]int{1, 1, 2, 4, 6}).Draw(t, "tasks"),
		Each: ids.Resources{
			Accelerators: rapid.SampledFrom([]ids.Accelerators{0, 1, 2, 4, 8}).Draw(t, "accelerators"),
			Cores:        rapid.SampledFrom([]ids.MilliCores{1000, 8000, 30000}).Draw(t, "cores"),
		},
		Adjacent: rapid.SampledFrom([]ids.Adjacency{ids.AnyRack, ids.AnyRack, ids.SameRack, ids.SameInstance}).Draw(t, "adjacent"),
	}
	account := rapid.SampledFrom([]ids.AccountID{"large", "small", "other"}).Draw(t, "account")
	job := caller.Job{
		Key: fmt.Sprint(s.next), Shape: shape, Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Urgent: rapid.Bool().Draw(t, "urgent"), RunTime: time.Hour,
	}
	j := &Job{Job: job, ID: ids.JobID(fmt.Sprintf("j%04d", s.next)), Account: account, Submitted: s.now}
	if err := s.state.Submit(j); err != nil {
		if s.config.DataCentres["d"].Evacuate {
			require.ErrorIs(t, err, ErrEvacuated)
			return
		}
		var infeasible *InfeasibleError
		require.ErrorAs(t, err, &infeasible)
	}
}

func (s *soak) finishStart() {
	if len(s.starts) == 0 {
		s.t.Skip("no start in flight")
	}
	i := rapid.IntRange(0, len(s.starts)-1).Draw(s.t, "start")
	a := s.starts[i]
	s.starts = append(s.starts[:i], s.starts[i+1:]...)
	switch rapid.SampledFrom([]string{"started", "started", "started", "failed", "unknown"}).Draw(s.t, "answer") {
	case "failed":
		if !a.Job.Idempotent {
			s.nonIdempotentStarts[a.Job.ID]-- // the owner reported that nothing ran
		}
		s.state.StartFailed(a.Job.ID, a.Attempt, a.Job.Place[:1], s.now)
	case "unknown":
		s.state.StartUnknown(a.Job.ID, a.Attempt, nil, s.now)
	default:
		s.state.Started(a.Job.ID, a.Attempt, s.now)
	}
}

func (s *soak) finishStop() {
	for i, a := range s.stops {
		if s.startInFlight(a.Job.ID) {
			continue // the owner completes the start before the stop
		}
		s.stops = append(s.stops[:i], s.stops[i+1:]...)
		s.state.StopDone(a.Job.ID, a.Attempt, rapid.Float64Range(0, 1).Draw(s.t, "progress"), s.now)
		return
	}
	s.t.Skip("no stop in flight")
}

func (s *soak) startInFlight(id ids.JobID) bool {
	for _, a := range s.starts {
		if a.Job.ID == id {
			return true
		}
	}
	return false
}

// setLeaving changes whether a node is listed as leaving.
func (s *soak) setLeaving(id ids.InstanceID, leaving bool) {
	var list []Node
	for _, n := range s.state.sortedNodes() {
		listed := n.Node
		if n.ID == id {
			listed.Leaving = leaving
		}
		list = append(list, listed)
	}
	s.state.SetNodes(list)
}

func (s *soak) pickNode() ids.InstanceID {
	return rapid.SampledFrom(s.state.sortedNodes()).Draw(s.t, "node").ID
}

// reconfigure sets the count of a guarantee to 0, 1 or 2.
func (s *soak) reconfigure() {
	c := *s.config
	c.Guarantees = append([]config.Guarantee(nil), s.config.Guarantees...)
	i := rapid.IntRange(0, len(c.Guarantees)-1).Draw(s.t, "guarantee")
	c.Guarantees[i].Count = rapid.IntRange(0, 2).Draw(s.t, "count")
	s.state.Configure(&c)
}

// evacuate requests the evacuation of the data centre or withdraws it.
func (s *soak) evacuate(evacuate bool) {
	c := *s.config
	c.DataCentres = map[ids.DataCentreID]config.DataCentre{"d": {Evacuate: evacuate}}
	s.config = &c
	s.state.Configure(&c)
}

func (s *soak) actions() map[string]func(*rapid.T) {
	step := func(run func()) func(*rapid.T) {
		return func(t *rapid.T) {
			s.t = t
			run()
			s.decide()
		}
	}
	isRunning := func(j *Job) bool { return j.phase == running }
	return map[string]func(*rapid.T){
		"submit": step(s.submit),
		"burst": step(func() {
			for range 6 {
				s.submit()
			}
		}),
		"finishAllStarts": step(func() {
			for len(s.starts) > 0 {
				a := s.starts[0]
				s.starts = s.starts[1:]
				s.state.Started(a.Job.ID, a.Attempt, s.now)
			}
		}),
		"finishStart": step(s.finishStart),
		"startAgain":  step(s.finishStart),
		"finishStop":  step(s.finishStop),
		"stopAgain":   step(s.finishStop),
		"end": step(func() {
			j := s.pickJob("ended", isRunning)
			for i := range j.Shape.Tasks {
				s.state.TaskEnded(j.ID, j.Attempt, i, false, s.now)
			}
		}),
		"fail":   step(func() { j := s.pickJob("failed", isRunning); s.state.TaskEnded(j.ID, j.Attempt, 0, true, s.now) }),
		"cancel": step(func() { s.state.Cancel(s.pickJob("cancelled", func(*Job) bool { return true }).ID, s.now) }),
		"down":   step(func() { s.state.NodeDown(s.pickNode(), s.now, "test") }),
		"up":     step(func() { s.state.NodeUp(s.pickNode()) }),
		"leave":  step(func() { s.setLeaving(s.pickNode(), true) }),
		"stay":   step(func() { s.setLeaving(s.pickNode(), false) }),
		"rackDown": step(func() {
			for _, n := range rapid.SampledFrom(s.state.racks).Draw(s.t, "rack").nodes {
				s.state.NodeDown(n.ID, s.now, "rack")
			}
		}),
		"allUp": step(func() {
			for _, n := range s.state.sortedNodes() {
				s.state.NodeUp(n.ID)
			}
		}),
		"reconfigure": step(s.reconfigure),
		"evacuate":    step(func() { s.evacuate(true) }),
		"withdraw":    step(func() { s.evacuate(false) }),
		"wait": step(func() {
			s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour}).Draw(s.t, "time"))
		}),
	}
}

// TestSoak applies random events; the State verifies its invariants after each decision.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newSoak(t, Policy{}).run()
	})
}

func (s *soak) run() {
	t := s.t
	t.Repeat(s.actions())
	s.drain()
	for id, n := range s.nonIdempotentStarts {
		require.LessOrEqual(t, n, 1, "job %s must be started at most once", id)
	}
}

// drain ends all faults and completes all actions in flight. It then requires that no job is allocated, starting or
// stopping.
func (s *soak) drain() {
	for _, n := range s.state.sortedNodes() {
		s.state.NodeUp(n.ID)
	}
	s.decide()
	const rounds = 200
	for range rounds {
		if len(s.starts)+len(s.stops) == 0 {
			break
		}
		starts, stops := s.starts, s.stops
		s.starts, s.stops = nil, nil
		for _, a := range starts {
			s.state.Started(a.Job.ID, a.Attempt, s.now)
		}
		for _, a := range stops {
			s.state.StopDone(a.Job.ID, a.Attempt, 0, s.now)
		}
		s.decide()
	}
	require.Empty(s.t, s.jobs(func(j *Job) bool { return j.phase == allocated || j.phase == stopping || j.phase == starting }))
}

// TestSoakFindsFaults disables one mechanism at a time and expects the soak run to violate the invariant that the
// mechanism protects.
func TestSoakFindsFaults(t *testing.T) {
	faults := map[string]struct {
		policy   Policy
		violates error
	}{
		"non-preemptible jobs use guaranteed capacity":   {Policy{NoReclaimWitness: true}, ErrReclaimWitness},
		"gangs start before preempted jobs have stopped": {Policy{NoPreemptionWait: true}, ErrOvercommit},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			const seeds = 30
			for seed := range seeds {
				if err := violationUnder(fault.policy, seed); err != nil {
					require.ErrorIs(t, err, fault.violates)
					return
				}
			}
			t.Fatal("no run found the fault")
		})
	}
}

// violationUnder returns the first invariant violation of a run under a policy, or nil.
func violationUnder(policy Policy, seed int) (violation error) {
	defer func() { _ = recover() }() // the run panics at the violated invariant
	rapid.Custom(func(t *rapid.T) int {
		s := newSoak(t, policy)
		defer func() {
			if violation == nil {
				violation = s.violation
			}
		}()
		s.run()
		return 0
	}).Example(seed)
	return violation
}
