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
