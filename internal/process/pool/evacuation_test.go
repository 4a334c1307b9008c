package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// twoCentres returns a state whose racks are in data centre "a" up to the given number of workers, and in "b" from there on.
func twoCentres(workers, perRack, inA int) *State {
	s := testState(workers, perRack)
	s.listWorkers(func(i int, w *Worker) {
		w.DataCentre = "b"
		if i < inA {
			w.DataCentre = "a"
		}
	})
	return s
}

// listWorkers lists all known workers after a change of their entries.
func (s *State) listWorkers(change func(i int, w *Worker)) {
	var list []Worker
	for i, n := range s.sortedNodes() {
		w := n.Worker
		change(i, &w)
		list = append(list, w)
	}
	s.SetWorkers(list)
}

// requireOutside fails the test if a start is on a worker in one of the data centres.
func (s *State) requireOutside(t *testing.T, actions []Action, centres ...ids.DataCentreID) {
	t.Helper()
	for _, a := range actions {
		require.NotContains(t, centres, s.nodes[a.Worker].DataCentre, "%v", a)
	}
}

// No work is placed in an evacuated data centre: not from counts, reservations or preemption plans of before the request, nor on a
// worker that joins or changes its data centre. It is placed there again after the withdrawal.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	s := twoCentres(8, 4, 4)
	s.accept(gangJob("before", 1, 2, 8, 10*time.Second), testStart)
	for _, a := range s.startAll(testStart) {
		require.Equal(t, ids.DataCentreID("a"), s.nodes[a.Worker].DataCentre)
	}
	now := testStart.Add(time.Second)
	s.SetEvacuations([]ids.DataCentreID{"a"}, now)
	for i := range 4 {
		s.accept(gangJob(fmt.Sprintf("j%d", i), 1, 1, 8, 10*time.Second), now)
	}
	actions := s.startAll(now)
	s.requireOutside(t, actions, "a")
	require.Len(t, actions, 4)
	// Worker 7 moves to the evacuated data centre, and another joins it.
	s.listWorkers(func(i int, w *Worker) {
		if i == 7 {
			w.DataCentre = "a"
		}
	})
	var list []Worker
	for _, n := range s.sortedNodes() {
		list = append(list, n.Worker)
	}
	list = append(list, Worker{ID: "w9999", Service: "service", DataCentre: "a", Rack: "r999", Total: list[0].Total, Incarnation: 1})
	s.SetWorkers(list)
	s.Reported("w9999", worker.RunReport{Incarnation: 1}, now, now)
	s.accept(gangJob("late", 1, 1, 8, 10*time.Second), now)
	s.requireOutside(t, s.startAll(now.Add(time.Second)), "a")
	require.False(t, s.nodes["w0007"].schedulable())
	require.False(t, s.nodes["w9999"].schedulable())
	now = now.Add(2 * time.Second)
	s.SetEvacuations(nil, now)
	require.NotEmpty(t, s.startAll(now))
}

// An urgent gang waits for preempted runs in a data centre when its evacuation is requested. Its placement is released at once and it starts
// elsewhere; the resources held there don't leak.
func TestEvacuationWithdrawsPreemptionPlan(t *testing.T) {
	s := twoCentres(4, 2, 2)
	for i := range 4 {
		s.accept(gangJob(fmt.Sprintf("low%d", i), 2, 1, 8, 60*time.Second), testStart)
	}
	s.startAll(testStart)
	now := testStart.Add(time.Second)
	urgent := gangJob("urgent", 0, 2, 8, 2*time.Second)
	s.accept(urgent, now)
	actions, _ := s.Decide(now)
	require.Len(t, actions, 2)
	require.Equal(t, preempting, urgent.units[0].phase)
	centre, other := urgent.units[0].placement[0].DataCentre, ids.DataCentreID("a")
	if centre == "a" {
		other = "b"
	}
	s.SetEvacuations([]ids.DataCentreID{centre}, now)
	require.Equal(t, waiting, urgent.units[0].phase)
	for _, n := range s.nodes {
		require.Zero(t, n.held, n.ID)
		require.Zero(t, n.reservedFor, n.ID)
	}
	now = now.Add(100 * time.Millisecond)
	actions, _ = s.Decide(now)
	for _, a := range actions {
		require.Equal(t, StopRun, a.Kind)
		require.Equal(t, other, s.nodes[a.Worker].DataCentre)
	}
	require.Equal(t, preempting, urgent.units[0].phase)
	for _, n := range urgent.units[0].placement {
		require.Equal(t, other, n.DataCentre)
	}
}

// A start that was decided before the request but not confirmed may not be sent any more.
func TestEvacuationStopsLateOrders(t *testing.T) {
	s := twoCentres(2, 2, 2)
	j := gangJob("late", 1, 2, 8, 10*time.Second)
	s.accept(j, testStart)
	actions, _ := s.Decide(testStart)
	require.Len(t, actions, 2)
	require.True(t, s.MayStart(actions[0].Worker, actions[0].Run))
	s.SetEvacuations([]ids.DataCentreID{"a"}, testStart)
	for _, a := range actions {
		require.False(t, s.MayStart(a.Worker, a.Run))
	}
	s.SetEvacuations(nil, testStart)
	require.True(t, s.MayStart(actions[0].Worker, actions[0].Run))
}

// A gang waits with a reservation in a data centre whose evacuation is requested. Smaller work elsewhere doesn't wait for the reservation.
func TestEvacuationDropsReservations(t *testing.T) {
	s := twoCentres(4, 2, 2)
	for i := range 3 {
		s.accept(gangJob(fmt.Sprintf("long%d", i), 1, 1, 8, 60*time.Second), testStart)
	}
	s.startAll(testStart)
	s.accept(gangJob("wide", 1, 2, 8, 10*time.Second), testStart)
	s.startAll(testStart)
	reserved := 0
	for _, n := range s.nodes {
		if n.reservedFor != 0 {
			reserved++
		}
	}
	require.Equal(t, 2, reserved)
	s.SetEvacuations([]ids.DataCentreID{"a", "b"}, testStart)
	for _, n := range s.nodes {
		require.Zero(t, n.reservedFor)
	}
	require.Zero(t, s.fitCountFor(s.live[0].stages[0]).sum)
	require.False(t, s.fitsOneRack(s.live[0].units[0]))
}

// The data centre counts as empty only once all runs have ended and no worker may have runs that this owner doesn't know.
func TestEvacuationEvents(t *testing.T) {
	s := twoCentres(4, 2, 2)
	j := gangJob("j", 1, 2, 8, 10*time.Second)
	s.accept(j, testStart)
	starts := s.startAll(testStart)
	centre := s.nodes[starts[0].Worker].DataCentre
	s.SetEvacuations([]ids.DataCentreID{centre, "nowhere"}, testStart)
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	require.Equal(t, []evacuation.Event{
		{DataCentre: centre, Phase: evacuation.Begun, RunsLeft: 2}, {DataCentre: "nowhere", Phase: evacuation.Begun}, {DataCentre: "nowhere", Phase: evacuation.Emptied},
	}, s.EvacuationEvents(at(0)))
	require.Zero(t, s.WorkersIn("nowhere"))
	require.Equal(t, 2, s.WorkersIn(centre))
	require.Empty(t, s.EvacuationEvents(at(time.Second)))
	for _, a := range starts {
		s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: a.Run, Number: 1, Reason: worker.EndDone}}}, at(time.Second), at(time.Second))
	}
	// An earlier owner's worker is not listed, so its data centre is not known.
	s.unknown["gone"] = at(5 * time.Second)
	require.Equal(t, map[ids.DataCentreID]int{centre: 1, "nowhere": 1}, s.RunsLeft())
	require.Empty(t, s.EvacuationEvents(at(2*time.Second)))
	s.Decide(at(6 * time.Second))
	require.Equal(t, []evacuation.Event{
		{DataCentre: centre, Phase: evacuation.Emptied, After: 6 * time.Second}, {DataCentre: "nowhere", Phase: evacuation.Emptied, After: 6 * time.Second},
	}, s.EvacuationEvents(at(6*time.Second)))
	s.SetEvacuations(nil, at(7*time.Second))
	require.Len(t, s.EvacuationEvents(at(7*time.Second)), 2)
	require.Empty(t, s.RunsLeft())
}
