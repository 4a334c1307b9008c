package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a task that waits for the lease of a worker that announced its departure and has left. A worker that is cut off instead runs on, so that its
// task must not start elsewhere before the lease has expired.
func TestTaskOfDepartedWorker(t *testing.T) {
	const notice, prompt = 3 * time.Second, 2 * time.Second
	for name, test := range map[string]struct {
		// end ends the worker's stay.
		end func(w *cluster, id ids.InstanceID)
		// waits is set if the task starts elsewhere only when the lease has expired.
		waits bool
	}{
		"it leaves": {end: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Leave()
			w.unlistWorker(id)
		}},
		"it is cut off, and its entry lapses": {waits: true, end: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(true)
			time.AfterFunc(3200*time.Millisecond, func() { w.unlistWorker(id) })
		}},
		"it is cut off, and its entry is removed": {waits: true, end: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(true)
			w.unlistWorker(id)
		}},
		"its connections are closed, and its entry can't be read": {waits: true, end: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Leave()
			w.store.Set(testWorkerPrefix+string(id), []byte("{"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				step := gangStep(1, 8)
				step.Gang, step.Checkpoints = false, true
				w.defineJob("a", jobSpec{steps: []pool.Step{step}, runTime: 20 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				id := w.checker.ActiveWorkers("a")[0]
				w.checker.BeginDisturbance()
				l := w.listed[id]
				l.Draining, l.Notice = true, notice
				w.listed[id] = l
				w.listWorker(id)
				w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
					return runservice.Fault{Silent: call == "stop"}
				})
				time.Sleep(notice + 200*time.Millisecond)
				test.end(w, id)
				time.Sleep(prompt)
				if test.waits {
					require.Equal(t, 1, w.checker.StartCount("a"), w.checker.EventLog())
					time.Sleep(6 * time.Second)
				}
				require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// Guards against tasks that wait for a worker of an earlier owner anew with each takeover: a new owner counted the time for which a worker that it doesn't know may
// have runs from its own takeover. A worker that was listed again meanwhile may have a newer lease.
func TestWaitForUnknownWorkerAcrossTakeovers(t *testing.T) {
	const (
		wait = leaseGrace + defaultWorkerLease*51/50
		// takeover covers the loss of an owner, the claim and the age of the record.
		takeover = 6 * time.Second
	)
	for name, test := range map[string]struct {
		// between is called between the two takeovers.
		between func(w *cluster, id ids.InstanceID)
		// anew is set if the wait begins anew with the second takeover.
		anew bool
	}{
		"the worker has left": {},
		"the worker is back and is cut off again": {anew: true, between: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(false)
			w.listWorker(id)
			time.Sleep(4 * time.Second)
			w.fleet.Worker(id).SetPartitioned(true)
			w.unlistWorker(id)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				step := gangStep(1, 8)
				step.Gang, step.Estimate = false, time.Minute
				w.defineJob("a", jobSpec{steps: []pool.Step{step}, runTime: time.Minute})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				id := w.checker.ActiveWorkers("a")[0]
				replaceOwner := func() {
					i := w.ownerInstance()
					i.kill(true)
					time.AfterFunc(3*time.Second, i.start)
					time.Sleep(3 * time.Second)
					w.awaitOwner()
				}
				w.fleet.Worker(id).SetPartitioned(true)
				w.unlistWorker(id)
				replaceOwner()
				from := time.Now()
				time.Sleep(5 * time.Second)
				if test.between != nil {
					test.between(w, id)
				}
				replaceOwner()
				second := time.Now()
				if test.anew {
					time.Sleep(time.Until(second.Add(wait - 3*time.Second)))
					// The second start is the one that the worker has carried out when it was back.
					require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
					return
				}
				time.Sleep(time.Until(from.Add(wait + takeover)))
				require.Less(t, time.Since(second), wait, "the wait has begun anew")
				require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
			})
		})
	}
}
