package poolowner

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A worker that joins the data centre during its evacuation gets no runs.
func TestWorkerJoinsEvacuatedDataCentre(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.evacuate("centre0")
		time.Sleep(2 * time.Second)
		w.addWorker(6)
		require.Equal(t, ids.DataCentreID("centre0"), w.listed["worker06"].DataCentre)
		w.checker.Log("joined")
		w.completeJobs(t, 3*time.Second)
		w.requireNoStartsAfter(t, "joined", "centre0")
		w.endEvacuation("centre0")
		time.Sleep(2 * time.Second)
		w.fillPool(t, "fill", len(w.listed))
		require.Contains(t, w.checker.ActiveWorkers("fill"), ids.InstanceID("worker06"))
	})
}

// A worker changes its data centre to one that is evacuated, and back. Its entry decides, not what it was when the evacuation began.
func TestWorkerChangesDataCentre(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		move := func(to ids.DataCentreID) {
			l := w.listed["worker01"]
			l.DataCentre = to
			w.listed["worker01"] = l
			w.listWorker("worker01")
			time.Sleep(time.Second)
		}
		w.evacuate("centre0")
		time.Sleep(2 * time.Second)
		move("centre0")
		w.checker.Log("moved")
		w.completeJobs(t, 3*time.Second)
		w.requireNoStartsAfter(t, "moved", "centre0")
		move("centre1")
		w.fillPool(t, "fill", 4)
		require.Contains(t, w.checker.ActiveWorkers("fill"), ids.InstanceID("worker01"))
	})
}

// The instance of the owner is in the data centre, which the store no longer serves. Another instance takes over and knows the request; the old
// owner's runs in the data centre end or are lost, and nothing starts there.
func TestStoreLeavesEvacuatedDataCentre(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.evacuate("centre0")
		time.Sleep(6 * time.Second)
		cut := w.ownerInstance()
		w.checker.Log("cut off")
		w.store.SetFault(func(client string, _ bool) storeservice.CallFault {
			return storeservice.CallFault{Silent: client == cut.name}
		})
		w.completeJobs(t, 12*time.Second)
		require.NotEqual(t, cut, w.ownerInstance())
		w.requireNoStartsAfter(t, "cut off", "centre0")
	})
}

// A gang with checkpoints runs in a data centre that is evacuated. It moves as a whole and goes on from its checkpoint, also if the owner is lost
// between its stop and its next start.
func TestCheckpointedGangLeavesEvacuatedDataCentre(t *testing.T) {
	for name, takeover := range map[string]bool{"the owner stays": false, "the owner is lost": true} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				const runTime = 12 * time.Second
				step := gangStep(2, 8)
				step.Estimate = runTime
				w.defineJob("gang", jobSpec{steps: []pool.Step{step}, runTime: runTime})
				answer, err := w.submit(w.instances[0], 1, "gang")
				require.NoError(t, err)
				require.Equal(t, OK, answer.Result, answer.Reason)
				time.Sleep(2 * time.Second)
				require.ElementsMatch(t, []ids.InstanceID{"worker00", "worker03"}, w.checker.ActiveWorkers("gang"))
				begin := time.Now()
				w.evacuate("centre0")
				for !strings.Contains(w.checker.EventLog(), "is being evacuated") {
					require.Less(t, time.Since(begin), 2*time.Second)
					time.Sleep(time.Millisecond)
				}
				if takeover {
					w.ownerInstance().kill(true)
				}
				w.awaitState(1, "gang", pool.Completed)
				require.Equal(t, 4, w.checker.StartCount("gang"), w.checker.EventLog())
				require.Less(t, time.Since(begin), runTime+4*time.Second)
			})
		})
	}
}

// The data centre is lost while it is emptied: its workers don't answer any more and their entries expire. Its work starts elsewhere, and the
// data centre counts as empty only once the last lease there has expired.
func TestDataCentreLostWhileItIsEmptied(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.fillPool(t, "fill", len(w.listed))
		w.evacuate("centre0")
		time.Sleep(time.Second)
		lost := []ids.InstanceID{"worker00", "worker03"}
		for _, id := range lost {
			w.fleet.Worker(id).SetPartitioned(true)
			w.unlistWorker(id)
		}
		lostAt := time.Now()
		for !strings.Contains(w.checker.EventLog(), "evacuation: emptied") {
			require.Less(t, time.Since(lostAt), 30*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		require.Greater(t, time.Since(lostAt), 5*time.Second, "leases of six seconds may be in force")
		for _, active := range w.checker.ActiveWorkers("fill") {
			require.NotContains(t, lost, active)
		}
		w.awaitState(1, "fill", pool.Completed)
	})
}

// Two data centres are evacuated one after the other; the first request is withdrawn before the second data centre is empty.
func TestEvacuationsOverlap(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.fillPool(t, "fill", len(w.listed))
		w.evacuate("centre0")
		time.Sleep(time.Second)
		w.evacuate("centre1")
		time.Sleep(2 * time.Second)
		w.defineJob("refused", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		answer, err := w.submit(w.instances[0], 1, "refused")
		require.NoError(t, err)
		require.Equal(t, Refused, answer.Result)
		require.Contains(t, answer.Reason, "being evacuated: centre0, centre1")
		require.Positive(t, answer.RetryAfter)
		w.checker.Log("second only")
		w.endEvacuation("centre0")
		w.awaitState(1, "fill", pool.Completed)
		w.completeJobs(t, 3*time.Second)
		w.requireNoStartsAfter(t, "second only", "centre1")
		w.requireLog(t, `begun\t.*"centre0"`, `begun\t.*"centre1"`, `withdrawn\t.*"centre0"`, `emptied\t.*"centre1"`)
		require.Equal(t, map[ids.DataCentreID]int{"centre1": 0}, w.ownerInstance().owner.Metrics().RunsLeft())
	})
}

// The request is withdrawn half-way: what still runs in the data centre goes on, and it takes work again.
func TestEvacuationWithdrawnHalfWay(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.fillPool(t, "fill", len(w.listed))
		w.evacuate("centre0")
		time.Sleep(time.Second)
		w.endEvacuation("centre0")
		w.awaitState(1, "fill", pool.Completed)
		require.Equal(t, 6, w.checker.StartCount("fill"))
		require.NotContains(t, w.checker.EventLog(), "evacuation: emptied")
		w.fillPool(t, "again", len(w.listed))
		require.Contains(t, w.checker.ActiveWorkers("again"), ids.InstanceID("worker00"))
		require.Empty(t, w.ownerInstance().owner.Metrics().RunsLeft())
	})
}

// The store is silent from before the request until after its withdrawal. The owner never learns of it, and work goes on as before.
func TestStoreSilentDuringEvacuation(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.checker.Log("silent")
		end := w.checker.BeginDisturbance()
		w.store.SetOutage(true, true)
		time.Sleep(time.Second)
		w.evacuate("centre0")
		time.Sleep(2 * time.Second)
		w.endEvacuation("centre0")
		time.Sleep(time.Second)
		w.store.SetOutage(false, true)
		end()
		time.Sleep(2 * time.Second)
		require.NotContains(t, w.checker.EventLog(), "evacuation: begun")
		w.fillPool(t, "fill", len(w.listed))
		w.awaitState(1, "fill", pool.Completed)
	})
}

// The request is made while the store is silent: it counts from the first answer on.
func TestEvacuationRequestedDuringOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		end := w.checker.BeginDisturbance()
		w.store.SetOutage(true, true)
		time.Sleep(time.Second)
		w.evacuate("centre0")
		time.Sleep(2 * time.Second)
		w.store.SetOutage(false, true)
		end()
		time.Sleep(2 * time.Second)
		w.checker.Log("answers")
		w.completeJobs(t, 3*time.Second)
		w.requireNoStartsAfter(t, "answers", "centre0")
	})
}

// A request for a data centre that no worker names is logged once and changes nothing.
func TestEvacuationOfUnknownDataCentre(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.evacuate("nowhere")
		time.Sleep(2 * time.Second)
		w.fillPool(t, "fill", len(w.listed))
		w.awaitState(1, "fill", pool.Completed)
		require.Equal(t, 1, strings.Count(w.checker.EventLog(), "evacuation: no worker is in the data centre"))
	})
}

// fillPool submits a job whose tasks each take a worker, and waits until all are active.
func (w *cluster) fillPool(t *testing.T, id ids.JobID, tasks int) {
	t.Helper()
	const runTime = 8 * time.Second
	step := pool.Step{Tasks: tasks, Each: ids.Resources{Accelerators: 8, Cores: 1000, Memory: 1}, Estimate: runTime}
	w.defineJob(id, jobSpec{steps: []pool.Step{step}, runTime: runTime})
	answer, err := w.submit(w.instances[0], 1, id)
	require.NoError(t, err)
	require.Equal(t, OK, answer.Result, answer.Reason)
	time.Sleep(time.Second)
	require.Len(t, w.checker.ActiveWorkers(id), step.Tasks, w.checker.EventLog())
}

// After a takeover, the data centre does not count as empty while one of its workers, which does not answer, may have runs of the earlier owner.
func TestNotEmptiedWhileRunsAreUnknown(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.fillPool(t, "fill", len(w.listed))
		w.evacuate("centre0")
		time.Sleep(time.Second)
		w.fleet.Worker("worker00").SetPartitioned(true)
		w.fleet.Worker("worker03").Crash()
		w.ownerInstance().kill(true)
		time.Sleep(100 * time.Millisecond)
		w.awaitOwner()
		time.Sleep(4 * time.Second)
		require.NotContains(t, w.checker.EventLog(), "evacuation: emptied")
		require.Positive(t, w.ownerInstance().owner.Metrics().RunsLeft()["centre0"])
		w.fleet.Worker("worker00").SetPartitioned(false)
		w.fleet.Worker("worker03").Restart()
		w.listWorker("worker03")
		w.awaitState(1, "fill", pool.Completed)
		time.Sleep(time.Second)
		w.requireLog(t, `evacuation: emptied\t.*"dataCentre": "centre0"`)
	})
}
