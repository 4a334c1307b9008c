package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// harness drives a State whose actions succeed immediately, except for stops while holdStops is set.
type harness struct {
	t         *testing.T
	state     *State
	now       time.Time
	holdStops bool
	stops     []Action
	notices   []Notice
}

func newHarness(t *testing.T, text string, racks, perRack int) *harness {
	w := &harness{t: t, state: &State{DataCentre: "d"}, now: time.Unix(1000, 0)}
	w.state.SetNodes(testNodes(racks, perRack))
	w.configure(text)
	return w
}

func (w *harness) configure(text string) {
	c, err := config.Parse("test", []byte(text))
	require.NoError(w.t, err)
	w.state.Configure(c)
}

func (w *harness) submit(key string, account ids.AccountID, shape string, adjust func(j *caller.Job)) *Job {
	s, err := ids.ParseShape(shape)
	require.NoError(w.t, err)
	job := caller.Job{Key: key, Shape: s, Idempotent: true, RunTime: time.Hour}
	if adjust != nil {
		adjust(&job)
	}
	j := &Job{Job: job, ID: ids.JobID(key), Account: account, Submitted: w.now}
	require.NoError(w.t, w.state.Submit(j))
	w.decide()
	return j
}

func (w *harness) decide() {
	for {
		actions, notices := w.state.Decide(w.now)
		w.notices = append(w.notices, notices...)
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			switch {
			case a.Kind == Start:
				w.state.Started(a.Job.ID, a.Attempt, w.now)
			case a.Kind == Stop && w.holdStops:
				w.stops = append(w.stops, a)
			case a.Kind == Stop:
				w.state.StopDone(a.Job.ID, a.Attempt, 0.5, w.now)
			}
		}
	}
}

const gangGuaranteeConfig = `
[DataCentre "d"]
[ClientAccount "guaranteed"]
[ClientAccount "borrower"]
[Guarantee "gang"]
Account = guaranteed
DataCentre = d
Shape = 4x8/Rack
`

const noGuaranteeConfig = `
[DataCentre "d"]
[ClientAccount "guaranteed"]
[ClientAccount "borrower"]
`

func nonIdempotent(j *caller.Job) { j.Idempotent = false }

func TestReclaimStopsBorrowersOfFullRacks(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 2, 4)
	var borrowers []*Job
	for i := range 8 {
		borrowers = append(borrowers, w.submit(fmt.Sprintf("b%d", i), "borrower", "1x8", nil))
	}
	guaranteed := w.submit("guaranteed", "guaranteed", "4x8/Rack", nil)
	require.Equal(t, caller.Running, guaranteed.CallerState())
	require.True(t, guaranteed.UnderGuarantee())
	stopped := 0
	for _, b := range borrowers {
		if b.CallerState() == caller.Queued {
			stopped++
			require.InDelta(t, 0.5, b.Progress, 0.001, "a reclaimed job keeps its checkpoint")
		}
	}
	require.Equal(t, 4, stopped, "only as many borrowers are stopped as the gang needs")
}

// A gang whose node begins to leave while the gang waits for preempted jobs to stop there is placed on other nodes.
func TestAllocatedGangLeavesDrainingNode(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 2, 4)
	for i := range 8 {
		w.submit(fmt.Sprintf("b%d", i), "borrower", "1x8", nil)
	}
	w.holdStops = true
	gang := w.submit("gang", "guaranteed", "4x8/Rack", nil)
	require.Equal(t, caller.Queued, gang.CallerState())
	require.Len(t, gang.Place, 4)
	leaving := gang.Place[0]
	nodes := testNodes(2, 4)
	for i := range nodes {
		nodes[i].Leaving = nodes[i].ID == leaving
	}
	w.state.SetNodes(nodes)
	for range 3 {
		w.now = w.now.Add(time.Second)
		stops := w.stops
		w.stops = nil
		for _, a := range stops {
			w.state.StopDone(a.Job.ID, a.Attempt, 0.5, w.now)
		}
		w.decide()
	}
	require.Equal(t, caller.Running, gang.CallerState(), gang.Reason)
	require.NotContains(t, gang.Place, leaving)
}

func TestNonPreemptibleWorkLeavesRoomForTheGuarantee(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 1, 5)
	first := w.submit("b1", "borrower", "1x8", nonIdempotent)
	second := w.submit("b2", "borrower", "1x8", nonIdempotent)
	require.Equal(t, caller.Running, first.CallerState())
	require.Equal(t, caller.Queued, second.CallerState(), "the rest is kept for the guarantee")
	infeasible := &Job{Job: caller.Job{Key: "n", Shape: ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 8}}}, ID: "n", Account: "borrower"}
	require.ErrorContains(t, w.state.Submit(infeasible), "beside the guarantees")
}

func TestWholeGangIsStoppedWhenAMemberIsLost(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "once": false} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, gangGuaranteeConfig, 2, 4)
			w.holdStops = true
			j := w.submit("j", "guaranteed", "4x8/Rack", func(job *caller.Job) { job.Idempotent = idempotent })
			w.state.NodeDown(j.Place[2], w.now, "test")
			w.decide()
			require.Len(t, w.stops, 1)
			require.Equal(t, caller.Stopping, j.CallerState())
			w.state.StopDone(j.ID, 1, 0, w.now)
			w.decide()
			if idempotent {
				require.Equal(t, caller.Running, j.CallerState())
				require.Equal(t, ids.Attempt(2), j.Attempt)
				return
			}
			require.Equal(t, caller.Unknown, j.CallerState())
			require.Equal(t, ids.Attempt(1), j.Attempt)
		})
	}
}

// TestWaitingJobStartsOnceItsGuaranteedShapeIsPlacedAgain guards against jobs that stay queued: a guaranteed shape that was
// placed again did not cause the jobs waiting for it to be retried.
func TestWaitingJobStartsOnceItsGuaranteedShapeIsPlacedAgain(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 1, 4)
	w.state.NodeDown("n0-0", w.now, "test")
	w.decide()
	require.Equal(t, NoticeGuaranteeAtRisk, w.notices[len(w.notices)-1].Kind)
	j := w.submit("j", "guaranteed", "4x8/Rack", nil)
	require.Equal(t, caller.Queued, j.CallerState())
	w.state.nodes["n0-0"].down = false // without NodeUp, so that only the placement of the shape can cause a retry
	w.decide()
	require.Equal(t, caller.Running, j.CallerState())
}

// TestRemovedGuaranteeRequeuesItsAllocatedJob guards against overcommitted nodes: a job that waited for borrowers to stop
// kept its nodes after its guarantee was removed.
func TestRemovedGuaranteeRequeuesItsAllocatedJob(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 1, 4)
	w.holdStops = true
	w.submit("b", "borrower", "4x8", nil)
	j := w.submit("j", "guaranteed", "4x8/Rack", nil)
	require.Equal(t, allocated, j.phase)
	w.configure(noGuaranteeConfig)
	w.decide()
	require.Equal(t, queued, j.phase)
	require.Empty(t, j.Place)
}

func TestQuarantineDistinguishesBadWorkerFromBadJob(t *testing.T) {
	text := noGuaranteeConfig + "[Policy]\nQuarantineAfter = 3\nJobAttempts = 20\n"
	t.Run("bad worker", func(t *testing.T) {
		w := newHarness(t, text, 2, 6)
		for i := range 3 {
			j := w.submit(fmt.Sprintf("j%d", i), "borrower", "1x8", func(job *caller.Job) { job.Selector = "" })
			w.state.recordFailure(j, "n0-0", w.now)
		}
		require.True(t, w.state.nodes["n0-0"].quarantined())
		w.now = w.now.Add(w.state.config.Policy.QuarantineTime)
		w.decide()
		require.False(t, w.state.nodes["n0-0"].quarantined())
		require.True(t, w.state.nodes["n0-0"].probation)
	})
	t.Run("bad job", func(t *testing.T) {
		w := newHarness(t, text, 2, 6)
		j := w.submit("bad", "borrower", "1x8", nil)
		for range 15 {
			w.now = w.now.Add(time.Minute)
			w.decide()
			w.state.TaskEnded(j.ID, j.Attempt, 0, true, w.now)
			w.decide()
		}
		require.Zero(t, w.state.quarantinedCount())
	})
}

func TestBackfillDoesNotDelayTheHead(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 2)
	w.submit("running", "borrower", "1x8", nil)
	head := w.submit("head", "borrower", "2x8", nil)
	long := w.submit("long", "borrower", "1x8", func(j *caller.Job) { j.RunTime = 10 * time.Hour })
	short := w.submit("short", "borrower", "1x8", func(j *caller.Job) { j.RunTime = 10 * time.Minute })
	require.Equal(t, caller.Queued, head.CallerState())
	require.Equal(t, caller.Queued, long.CallerState(), "it would delay the first job")
	require.Equal(t, caller.Running, short.CallerState(), "it ends before the first job can start")
}

// TestNonPreemptibleGangGetsAReservation guards against starvation of non-preemptible gangs: such a gang got no reservation
// while other non-preemptible jobs held the nodes that it needed.
func TestNonPreemptibleGangGetsAReservation(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 1, 6)
	first := w.submit("first", "borrower", "1x8", nonIdempotent)
	gang := w.submit("gang", "borrower", "2x8/Rack", nonIdempotent)
	require.Equal(t, caller.Queued, gang.CallerState())
	require.NotNil(t, w.state.reservation)
	next := w.submit("next", "borrower", "1x8", func(j *caller.Job) { nonIdempotent(j); j.RunTime = 10 * time.Hour })
	require.Equal(t, caller.Queued, next.CallerState(), "it would delay the reserved start of the gang")
	w.state.TaskEnded(first.ID, first.Attempt, 0, false, w.now)
	w.decide()
	require.Equal(t, caller.Running, gang.CallerState())
}

func TestLateJobIsForecastBeforeItsDueTime(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig+"[Policy]\nWarnQuantile = 0.9\n", 1, 1)
	j := w.submit("late", "borrower", "1x8", func(job *caller.Job) { job.Due = w.now.Add(90 * time.Minute) })
	w.now = w.now.Add(time.Minute)
	w.state.UpdateForecasts(w.now)
	require.False(t, j.Warned.IsZero(), "declared run times are inaccurate, so a forecast at a high quantile is after the due time")
	require.Len(t, w.state.LateJobs(), 1)
}

// TestRefusedStartsBackOff guards against retries of refused starts without a delay.
func TestRefusedStartsBackOff(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 2)
	j := &Job{Job: caller.Job{Key: "j", Shape: ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 8}}, Idempotent: true}, ID: "j", Account: "borrower"}
	require.NoError(t, w.state.Submit(j))
	const rounds = 100
	starts := 0
	for range rounds {
		actions, _ := w.state.Decide(w.now)
		for _, a := range actions {
			if a.Kind == Start {
				starts++
				w.state.StartFailed(j.ID, a.Attempt, nil, w.now)
			}
		}
	}
	require.Equal(t, 2, starts, "the second consecutive failure delays the next start")
	w.now = w.now.Add(time.Minute)
	w.decide()
	require.Equal(t, caller.Running, j.CallerState())
}

// TestRackReserveAtItsLimit fills a rack up to its reserve: with nothing free beyond it, a borrower gets none of the reserve.
func TestRackReserveAtItsLimit(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig+"\n[Policy]\nRackReserve = 8\n", 1, 2)
	require.Equal(t, caller.Running, w.submit("first", "borrower", "1x8", nil).CallerState())
	require.Equal(t, caller.Queued, w.submit("second", "borrower", "1x8", nil).CallerState())
}

// TestGangLeavesRackReserve guards against gangs that use the reserve of a rack since the limit held for each of their instances
// alone, and against a reserve on lost instances.
func TestGangLeavesRackReserve(t *testing.T) {
	cases := map[string]struct {
		racks, reserve int
		lost           ids.InstanceID
		shape          string
		// first is the shape of a job that runs before.
		first string
		want  caller.State
	}{
		"the gang leaves the reserve":                     {1, 8, "", "3x8/Rack", "", caller.Running},
		"the gang would use the reserve":                  {1, 8, "", "3x8/Rack", "1x8", caller.Queued},
		"its tasks on one instance would use the reserve": {1, 24, "", "2x4", "1x4", caller.Queued},
		"the gang spans racks to leave the reserves":      {2, 24, "", "2x8", "", caller.Running},
		"the gang would use the reserve of either rack":   {2, 24, "", "2x8", "1x8", caller.Queued},
		"the reserve does not hold on a lost instance":    {1, 24, "n0-0", "1x8", "", caller.Queued},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, noGuaranteeConfig+fmt.Sprintf("\n[Policy]\nRackReserve = %d\n", c.reserve), c.racks, 4)
			if c.first != "" {
				require.Equal(t, caller.Running, w.submit("first", "borrower", c.first, nil).CallerState())
			}
			if c.lost != "" {
				w.state.NodeDown(c.lost, w.now, "test")
			}
			j := w.submit("gang", "borrower", c.shape, nil)
			require.Equal(t, c.want, j.CallerState(), j.Place)
			for _, r := range w.state.racks {
				require.True(t, c.lost != "" || r.free() >= ids.Accelerators(c.reserve), "rack %s has %d free", r.id, r.free())
			}
		})
	}
}

// TestReserveAllowsWorkWithoutAccelerators guards against a reserve that keeps work without accelerators from a rack.
func TestReserveAllowsWorkWithoutAccelerators(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig+"\n[Policy]\nRackReserve = 32\n", 1, 4)
	j := w.submit("j", "borrower", "2x1", func(job *caller.Job) { job.Shape.Each = ids.Resources{Cores: 1000} })
	require.Equal(t, caller.Running, j.CallerState())
}

// TestReserveNeverFits guards against a job that waits forever for accelerators of a rack's reserve, and whose reservation keeps
// other jobs waiting.
func TestReserveNeverFits(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig+"\n[Policy]\nRackReserve = 8\n", 1, 4)
	shape, err := ids.ParseShape("4x8/Rack")
	require.NoError(t, err)
	var infeasible *InfeasibleError
	require.ErrorAs(t, w.state.Submit(&Job{Job: caller.Job{Shape: shape, Idempotent: true}, ID: "j", Account: "borrower"}), &infeasible)
	require.Contains(t, infeasible.Reason, "reserve")
	require.Equal(t, caller.Running, w.submit("k", "guaranteed", "4x8/Rack", nil).CallerState(), "guarantees may use the reserve")
}
