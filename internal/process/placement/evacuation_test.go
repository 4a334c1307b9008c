package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const evacuatedSection = "[DataCentre \"d\"]\nEvacuate = true\n"

// evacuate replaces the configuration by one that requests the evacuation of the data centre, or withdraws it.
func (w *harness) evacuate(text string, evacuate bool) {
	if evacuate {
		text = strings.Replace(text, "[DataCentre \"d\"]\n", evacuatedSection, 1)
	}
	w.configure(text)
	w.decide()
}

// evacuationNotices returns the kinds of the notices on the evacuation, with the runs left.
func (w *harness) evacuationNotices() []string {
	var list []string
	for _, n := range w.notices {
		if n.Evacuation != nil {
			list = append(list, fmt.Sprintf("%s %d", n.Kind, n.Evacuation.RunsLeft))
		}
	}
	return list
}

// TestNothingIsPlacedDuringEvacuation guards against work that is placed in an evacuated data centre, against running work that
// is stopped for the evacuation, and against queued work that is lost.
func TestNothingIsPlacedDuringEvacuation(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 2, 4)
	running := w.submit("running", "borrower", "4x8/Rack", nonIdempotent)
	full := w.submit("full", "borrower", "4x8/Rack", nil)
	waiting := w.submit("waiting", "borrower", "2x8", nil)
	require.Equal(t, caller.Queued, waiting.CallerState())
	w.evacuate(gangGuaranteeConfig, true)
	require.Equal(t, caller.Running, running.CallerState())
	require.Equal(t, caller.Running, full.CallerState())
	w.now = w.now.Add(time.Minute)
	for i := range 4 {
		w.state.TaskEnded(full.ID, full.Attempt, i, false, w.now)
	}
	w.decide()
	require.Equal(t, caller.Queued, waiting.CallerState())
	require.Equal(t, evacuatedReason, w.state.Status(waiting).Reason, "the status does not give the reason why the job waits")
	require.Zero(t, w.state.FreeAccelerators(), "fit counts use the remaining capacity")
	require.Equal(t, 1, w.state.RunsLeft())
	for i := range 4 {
		w.state.TaskEnded(running.ID, running.Attempt, i, false, w.now)
	}
	w.decide()
	require.Equal(t, caller.Done, running.CallerState())
	w.evacuate(gangGuaranteeConfig, false)
	require.Equal(t, caller.Running, waiting.CallerState())
	require.Equal(t, []string{"EvacuationBegun 2", "EvacuationEmptied 0", "EvacuationWithdrawn 0"}, w.evacuationNotices())
}

// TestEvacuationWithdrawsPendingDecisions guards against decisions from before the request that are carried out after it: a
// gang that waits for preempted jobs to stop, a reservation, and a start that is sent late.
func TestEvacuationWithdrawsPendingDecisions(t *testing.T) {
	t.Run("allocated gang", func(t *testing.T) {
		w := newHarness(t, gangGuaranteeConfig, 2, 4)
		for i := range 8 {
			w.submit(fmt.Sprintf("b%d", i), "borrower", "1x8", nil)
		}
		w.holdStops = true
		gang := w.submit("gang", "guaranteed", "4x8/Rack", nil)
		require.Equal(t, allocated, gang.phase)
		w.evacuate(gangGuaranteeConfig, true)
		require.Equal(t, queued, gang.phase)
		for _, a := range w.stops {
			w.state.StopDone(a.Job.ID, a.Attempt, 0.5, w.now)
		}
		w.decide()
		require.Equal(t, queued, gang.phase)
		w.holdStops = false
		w.evacuate(gangGuaranteeConfig, false)
		require.Equal(t, caller.Running, gang.CallerState())
	})
	t.Run("reservation", func(t *testing.T) {
		w := newHarness(t, noGuaranteeConfig, 1, 4)
		w.submit("running", "borrower", "1x8", nil)
		w.submit("waiting", "borrower", "4x8", nil)
		require.NotNil(t, w.state.reservation)
		w.evacuate(noGuaranteeConfig, true)
		require.Nil(t, w.state.reservation)
	})
	t.Run("late start", func(t *testing.T) {
		w := newHarness(t, noGuaranteeConfig, 1, 4)
		j := w.submit("j", "borrower", "1x8", nil)
		require.False(t, w.state.HasLeavingNode(j.ID, j.Attempt))
		w.evacuate(noGuaranteeConfig, true)
		require.True(t, w.state.HasLeavingNode(j.ID, j.Attempt))
	})
}

// TestGuaranteesDuringEvacuation guards against guarantees that are reported as held although the data centre is evacuated,
// and against ones that are not restored afterwards.
func TestGuaranteesDuringEvacuation(t *testing.T) {
	w := newHarness(t, gangGuaranteeConfig, 2, 4)
	shape, err := ids.ParseShape("4x8/Rack")
	require.NoError(t, err)
	require.True(t, w.state.HasUnusedGuarantee("guaranteed", shape))
	require.True(t, w.state.LargestShapeAvailable())
	w.evacuate(gangGuaranteeConfig, true)
	require.False(t, w.state.HasUnusedGuarantee("guaranteed", shape))
	require.False(t, w.state.LargestShapeAvailable())
	report := w.state.Report()
	require.False(t, report.Guarantees[0].Held)
	require.Equal(t, evacuatedReason, report.Guarantees[0].Missing)
	require.Equal(t, 8, report.Evacuation.Instances)
	w.evacuate(gangGuaranteeConfig, false)
	require.True(t, w.state.HasUnusedGuarantee("guaranteed", shape))
	require.Nil(t, w.state.Report().Evacuation)
	require.True(t, slices.ContainsFunc(w.notices, func(n Notice) bool { return n.Kind == NoticeGuaranteeRestored }))
}

// TestEvacuationRefusesNewJobs guards against jobs that are refused as impossible because of an evacuation, also once its
// workers were taken away.
func TestEvacuationRefusesNewJobs(t *testing.T) {
	for name, workers := range map[string]int{"workers are listed": 4, "workers were taken away": 0} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, noGuaranteeConfig+"Quota = 16\n", 1, workers)
			w.evacuate(noGuaranteeConfig+"Quota = 16\n", true)
			fits := ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 8}}
			var infeasible *InfeasibleError
			err := w.state.Submit(&Job{Job: caller.Job{Shape: fits}, ID: "j", Account: "borrower"})
			require.ErrorIs(t, err, ErrEvacuated)
			require.NotErrorAs(t, err, &infeasible)
			err = w.state.Submit(&Job{Job: caller.Job{Shape: ids.Shape{Tasks: 3, Each: fits.Each}}, ID: "k", Account: "borrower"})
			require.ErrorAs(t, err, &infeasible, "the quota doesn't depend on the evacuation")
		})
	}
}

// TestWorkerJoinsDuringEvacuation guards against work that is placed on a worker that joins after the request.
func TestWorkerJoinsDuringEvacuation(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 2)
	w.submit("running", "borrower", "2x8", nil)
	waiting := w.submit("waiting", "borrower", "1x8", nil)
	w.evacuate(noGuaranteeConfig, true)
	w.state.SetNodes(testNodes(2, 4))
	w.decide()
	require.Equal(t, caller.Queued, waiting.CallerState())
	w.evacuate(noGuaranteeConfig, false)
	require.Equal(t, caller.Running, waiting.CallerState())
	require.Contains(t, waiting.Place[0], "n", "it runs on one of the listed workers")
}

// TestEvacuationsOverlap guards against notices that are lost or repeated when the evacuation is withdrawn half-way, requested
// again, or requested again before the withdrawal was noticed.
func TestEvacuationsOverlap(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 4)
	first := w.submit("first", "borrower", "1x8", nil)
	w.evacuate(noGuaranteeConfig, true)
	w.evacuate(noGuaranteeConfig, true)
	w.evacuate(noGuaranteeConfig, false)
	second := w.submit("second", "borrower", "1x8", nil)
	require.Equal(t, caller.Running, second.CallerState())
	w.evacuate(noGuaranteeConfig, true)
	w.configure(noGuaranteeConfig)
	w.evacuate(noGuaranteeConfig, true)
	require.Equal(t, caller.Running, first.CallerState(), "an evacuation stops no running work")
	for _, j := range []*Job{first, second} {
		w.state.TaskEnded(j.ID, j.Attempt, 0, false, w.now)
	}
	w.decide()
	require.Equal(t, []string{"EvacuationBegun 1", "EvacuationWithdrawn 1", "EvacuationBegun 2", "EvacuationEmptied 0"}, w.evacuationNotices())
}

// TestLossOfEvacuatedDataCentre guards against work that is lost with a data centre that is lost while it is being emptied, and
// against a data centre that counts as emptied while its runs may still go on.
func TestLossOfEvacuatedDataCentre(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 2)
	w.holdStops = true
	again := w.submit("again", "borrower", "1x8", nil)
	once := w.submit("once", "borrower", "1x8", nonIdempotent)
	w.evacuate(noGuaranteeConfig, true)
	for _, n := range testNodes(1, 2) {
		w.state.NodeDown(n.ID, w.now, "test")
	}
	w.decide()
	require.Equal(t, []string{"EvacuationBegun 2"}, w.evacuationNotices(), "the leases of the lost workers have not expired")
	for _, a := range w.stops {
		w.state.StopDone(a.Job.ID, a.Attempt, 0, w.now)
	}
	w.decide()
	require.Equal(t, caller.Queued, again.CallerState())
	require.Equal(t, caller.Unknown, once.CallerState(), "it may have run and is not started again")
	require.Equal(t, []string{"EvacuationBegun 2", "EvacuationEmptied 0"}, w.evacuationNotices())
	for _, n := range testNodes(1, 2) {
		w.state.NodeUp(n.ID)
	}
	w.evacuate(noGuaranteeConfig, false)
	require.Equal(t, caller.Running, again.CallerState())
}

// TestEvacuationWithoutWorkers guards against repeated notices on a data centre that no worker names.
func TestEvacuationWithoutWorkers(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 0, 0)
	for range 3 {
		w.evacuate(noGuaranteeConfig, true)
	}
	require.Len(t, w.notices, 1)
	require.Contains(t, w.notices[0].Cause, "no worker names the data centre")
	w.state.UpdateForecasts(w.now)
}

// TestForecastDuringEvacuation guards against a waiting job that is forecast to be in time because jobs used to wait briefly.
func TestForecastDuringEvacuation(t *testing.T) {
	w := newHarness(t, noGuaranteeConfig, 1, 2)
	for i := range 8 {
		j := w.submit(fmt.Sprintf("j%d", i), "borrower", "1x8", nil)
		w.state.TaskEnded(j.ID, j.Attempt, 0, false, w.now.Add(time.Hour))
		w.decide()
	}
	w.submit("running", "borrower", "2x8", nil)
	j := w.submit("due", "borrower", "1x8", func(job *caller.Job) { job.Due = w.now.Add(24 * time.Hour) })
	w.evacuate(noGuaranteeConfig, true)
	w.state.UpdateForecasts(w.now)
	require.Empty(t, w.state.LateJobs())
	w.now = w.now.Add(13 * time.Hour)
	w.state.UpdateForecasts(w.now)
	require.Len(t, w.state.LateJobs(), 1)
	require.Contains(t, w.state.LateJobs()[0].Reason, evacuatedReason)
	require.Equal(t, caller.Queued, j.CallerState())
}
