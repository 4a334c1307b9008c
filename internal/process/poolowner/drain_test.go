package poolowner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// drainWorker writes a draining worker's entry as the worker does.
func (w *cluster) drainWorker(id ids.InstanceID) {
	l := w.listed[id]
	l.Draining, l.Notice = true, 30*time.Second
	w.listed[id] = l
	w.listWorker(id)
	w.checker.RecordDrain(id)
}

// submitEvery submits jobs of one short task at an interval for a while.
func (w *cluster) submitEvery(interval, total time.Duration) []ids.JobID {
	var all []ids.JobID
	task := pool.Step{Tasks: 1, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second}
	for i, end := 0, time.Now().Add(total); time.Now().Before(end); i++ {
		id := ids.JobID(fmt.Sprintf("job%d", i))
		w.defineJob(id, jobSpec{steps: []pool.Step{task}, runTime: 800 * time.Millisecond})
		if answer, err := w.submit(w.instances[i%len(w.instances)], 1, id); err == nil && answer.Result == OK {
			all = append(all, id)
		}
		time.Sleep(interval)
	}
	return all
}

// No start that was decided before a worker announced its departure is sent long after it, be it queued behind others or
// repeated since it got no answer.
func TestNoLateStartOnDrainingWorker(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		const first = "worker00"
		for id := range w.listed {
			if id != first {
				w.drainWorker(id)
			}
		}
		time.Sleep(time.Second)
		from := time.Now()
		w.fleet.Worker(first).SetFault(func(call string) runservice.Fault {
			return runservice.Fault{Silent: call == "start" && time.Since(from) < 2300*time.Millisecond}
		})
		task := pool.Step{Tasks: 8, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second}
		w.defineJob("a", jobSpec{steps: []pool.Step{task}, runTime: time.Second})
		_, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		w.drainWorker(first)
		time.Sleep(8 * time.Second)
		for id, l := range w.listed {
			l.Draining, l.Notice = false, 0
			w.listed[id] = l
			w.listWorker(id)
			w.checker.RecordReady(id)
		}
		w.awaitState(1, "a", pool.Completed)
	})
}

// No run starts on a worker that announced its departure while the owner's watch of the workers failed.
func TestNoStartOnDrainingWorkerAfterWatchFails(t *testing.T) {
	failures := map[string]func(w *cluster){
		"it gets no answer": func(w *cluster) { w.store.SilenceWatches() },
		"it gets no answer repeatedly": func(w *cluster) {
			for range 6 {
				w.store.SilenceWatches()
				time.Sleep(150 * time.Millisecond)
			}
		},
		"its calls are not answered for a while, others are": func(w *cluster) {
			w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
				return storeservice.CallFault{Silent: prefix == testWorkerPrefix}
			})
			time.AfterFunc(9*time.Second, func() { w.store.SetWatchFault(nil) })
		},
		"its calls are refused for a while, others are not": func(w *cluster) {
			w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
				return storeservice.CallFault{Refuse: prefix == testWorkerPrefix}
			})
			time.AfterFunc(9*time.Second, func() { w.store.SetWatchFault(nil) })
		},
		"it gets no answer, just after a takeover": func(w *cluster) {
			w.ownerInstance().kill(true)
			time.Sleep(2 * time.Second)
			w.awaitOwner()
			w.store.SilenceWatches()
			w.checker.BeginDisturbance()()
		},
		"it gets no answer, and the history is discarded": func(w *cluster) {
			w.store.SilenceWatches()
			time.AfterFunc(time.Second, w.store.Compact)
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()()
				fail(w)
				time.Sleep(200 * time.Millisecond)
				const remaining = "worker05"
				for id := range w.listed {
					if id != remaining {
						w.drainWorker(id)
					}
				}
				jobs := w.submitEvery(100*time.Millisecond, 10*time.Second)
				require.NotEmpty(t, jobs, w.checker.EventLog())
				for _, id := range jobs {
					w.awaitState(1, id, pool.Completed)
				}
			})
		})
	}
}

// A draining worker whose event the watch skips is known from its next heartbeat.
func TestNoStartOnDrainingWorkerAfterSkippedEvent(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		const heartbeat, remaining = 1500 * time.Millisecond, "worker05"
		for id, l := range w.listed {
			if id == remaining {
				continue
			}
			l.Draining, l.Notice = true, 30*time.Second
			w.listed[id] = l
			value, err := json.Marshal(l)
			require.NoError(t, err)
			w.store.SetUnseen(testWorkerPrefix+string(id), value)
			w.checker.RecordDrain(id)
			time.AfterFunc(heartbeat, func() { w.listWorker(id) })
		}
		jobs := w.submitEvery(100*time.Millisecond, 5*time.Second)
		require.NotEmpty(t, jobs)
		for _, id := range jobs {
			w.awaitState(1, id, pool.Completed)
		}
	})
}

// A waiting job starts during an outage, although the list of workers is older than its limit: while the store is out, workers
// can't announce that they leave either. If the store answers other calls, or refuses those for the list for their rate alone,
// nothing is started until the list is current.
func TestStartsWhileListIsOutdated(t *testing.T) {
	const length, runTime = 6 * time.Second, 3 * time.Second
	tests := map[string]struct {
		fail   func(w *cluster)
		starts bool
	}{
		"the store does not answer": {starts: true, fail: func(w *cluster) { w.store.SetOutage(true, true) }},
		"the store refuses all calls": {starts: true, fail: func(w *cluster) {
			w.store.SetFault(func(string, bool) storeservice.CallFault { return storeservice.CallFault{Refuse: true} })
		}},
		"the store limits the rate of reads": {fail: func(w *cluster) {
			w.store.SetFault(func(_ string, write bool) storeservice.CallFault { return storeservice.CallFault{RateLimit: !write} })
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				fill := pool.Step{Tasks: 6, Each: ids.Resources{Accelerators: 8, Cores: 1000, Memory: 1}, Estimate: runTime}
				w.defineJob("first", jobSpec{steps: []pool.Step{fill}, runTime: runTime})
				w.defineJob("second", jobSpec{steps: []pool.Step{fill}, runTime: time.Second})
				for _, id := range []ids.JobID{"first", "second"} {
					answer, err := w.submit(w.instances[0], 1, id)
					require.NoError(t, err)
					require.Equal(t, OK, answer.Result, answer.Reason)
				}
				test.fail(w)
				time.Sleep(length)
				if test.starts {
					require.Equal(t, 6, w.checker.StartCount("second"), w.checker.EventLog())
				} else {
					require.Zero(t, w.checker.StartCount("second"))
					require.EqualValues(t, 1, w.ownerInstance().owner.Metrics().StartHolds.Value())
				}
				w.store.SetOutage(false, true)
				w.store.SetFault(nil)
				time.Sleep(900 * time.Millisecond)
				require.Less(t, w.ownerInstance().owner.ListAge(), defaultMaxListAge, "starts are held for long after the outage")
				require.Equal(t, 6, w.checker.StartCount("second"))
				w.awaitState(1, "second", pool.Completed)
			})
		})
	}
}
