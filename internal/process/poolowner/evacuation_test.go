package poolowner

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const testEvacuatePrefix = testConfigPrefix + "Evacuate/"

// evacuatedDataCentre decodes the keys of evacuate.
func evacuatedDataCentre(key string) (ids.DataCentreID, bool) {
	id, found := strings.CutPrefix(key, testEvacuatePrefix)
	return ids.DataCentreID(id), found
}

// evacuate requests the evacuation of a data centre as the operator does.
func (w *cluster) evacuate(centre ids.DataCentreID) {
	// The value may be unreadable.
	w.store.Set(testEvacuatePrefix+string(centre), []byte("\x00"))
	for id, l := range w.listed {
		if l.DataCentre == centre {
			w.checker.RecordEvacuation(id)
		}
	}
}

// endEvacuation withdraws the request to evacuate a data centre.
func (w *cluster) endEvacuation(centre ids.DataCentreID) {
	for id, l := range w.listed {
		if l.DataCentre == centre {
			w.checker.RecordEvacuationEnd(id)
		}
	}
	w.store.Remove(testEvacuatePrefix + string(centre))
}

// completeJobs submits jobs for a while and requires that each completes.
func (w *cluster) completeJobs(t *testing.T, total time.Duration) {
	t.Helper()
	jobs := w.submitEvery(100*time.Millisecond, total)
	require.NotEmpty(t, jobs, w.checker.EventLog())
	for _, id := range jobs {
		w.awaitState(1, id, pool.Completed)
	}
}

// requireNoStartsAfter requires that no run was started in a data centre after a line of the log.
func (w *cluster) requireNoStartsAfter(t *testing.T, line string, centre ids.DataCentreID) {
	t.Helper()
	_, after, found := strings.Cut(w.checker.EventLog(), " "+line+"\n")
	require.True(t, found)
	for id, l := range w.listed {
		if l.DataCentre == centre {
			require.NotContains(t, after, fmt.Sprintf(" %s %s ", id, runservice.Started))
		}
	}
}

// requireLog requires lines of the log, in order.
func (w *cluster) requireLog(t *testing.T, patterns ...string) {
	t.Helper()
	require.Regexp(t, "(?s)"+strings.Join(patterns, ".*"), w.checker.EventLog())
}

// No run starts in an evacuated data centre later than the bound after the request, which the checker verifies, whatever happens to the
// owner's view.
func TestNoStartInEvacuatedDataCentre(t *testing.T) {
	failures := map[string]func(w *cluster){
		"nothing": func(*cluster) {},
		"a watch gets no answer": func(w *cluster) {
			w.store.SilenceWatches()
			w.checker.BeginDisturbance()()
		},
		"the watches get no answer for a while, other calls do": func(w *cluster) {
			w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
				return storeservice.CallFault{Silent: prefix == testConfigPrefix}
			})
			time.AfterFunc(9*time.Second, func() { w.store.SetWatchFault(nil) })
		},
		"the history is discarded": func(w *cluster) {
			w.store.SilenceWatches()
			time.AfterFunc(time.Second, w.store.Compact)
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				fail(w)
				time.Sleep(100 * time.Millisecond)
				w.evacuate("centre0")
				w.completeJobs(t, 10*time.Second)
				w.requireLog(t, `evacuation: begun\t.*"dataCentre": "centre0", "runsLeft": \d+, "workers": 2, .*"viewAge"`, `evacuation: emptied\t.*"runsLeft": 0`)
				w.endEvacuation("centre0")
				time.Sleep(3 * time.Second)
				w.requireLog(t, `evacuation: withdrawn\t.*"dataCentre": "centre0"`)
			})
		})
	}
}

// A new owner knows the requests before its first start, whichever of its reads returns last.
func TestTakeoverDuringEvacuation(t *testing.T) {
	for name, slow := range map[string]string{"the requests": testConfigPrefix, "the workers": testWorkerPrefix, "the jobs": prefixJobs} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.evacuate("centre0")
				time.Sleep(6 * time.Second)
				w.setListFault(func(prefix string) error {
					if prefix == slow {
						time.Sleep(400 * time.Millisecond)
					}
					return nil
				})
				w.checker.Log("takeover")
				w.ownerInstance().kill(true)
				w.awaitOwner()
				w.completeJobs(t, 3*time.Second)
				w.requireNoStartsAfter(t, "takeover", "centre0")
			})
		})
	}
}

// An owner without a current view of the requests starts nothing, unless the store answers nothing at all.
func TestStartsWhileEvacuationsAreOutdated(t *testing.T) {
	tests := map[string]struct {
		fail   func(w *cluster)
		starts bool
	}{
		"the store does not answer": {starts: true, fail: func(w *cluster) { w.store.SetOutage(true, true) }},
		"the store answers no read of the requests": {fail: func(w *cluster) {
			w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
				return storeservice.CallFault{Refuse: prefix == testConfigPrefix}
			})
			w.setListFault(func(prefix string) error {
				if prefix == testConfigPrefix {
					return store.ErrRefused
				}
				return nil
			})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				const runTime = 6 * time.Second
				fill := pool.Step{Tasks: 6, Each: ids.Resources{Accelerators: 8, Cores: 1000, Memory: 1}, Estimate: runTime}
				w.defineJob("first", jobSpec{steps: []pool.Step{fill}, runTime: runTime})
				w.defineJob("second", jobSpec{steps: []pool.Step{fill}, runTime: time.Second})
				for _, id := range []ids.JobID{"first", "second"} {
					answer, err := w.submit(w.instances[0], 1, id)
					require.NoError(t, err)
					require.Equal(t, OK, answer.Result, answer.Reason)
				}
				test.fail(w)
				time.Sleep(7 * time.Second)
				if test.starts {
					require.Equal(t, 6, w.checker.StartCount("second"), w.checker.EventLog())
				} else {
					require.Zero(t, w.checker.StartCount("second"), w.checker.EventLog())
					require.EqualValues(t, 1, w.ownerInstance().owner.Metrics().EvacuationHolds.Value())
					w.requireLog(t, "evacuation: the view is outdated; no runs are started")
				}
			})
		})
	}
}

// An order to start a run is not repeated once the view of the requests is outdated, although the worker takes runs by that view.
func TestNoLateStartByOutdatedEvacuations(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
			return storeservice.CallFault{Refuse: prefix == testConfigPrefix}
		})
		w.setListFault(func(prefix string) error {
			if prefix == testConfigPrefix {
				return store.ErrRefused
			}
			return nil
		})
		owner, _ := w.ownerInstance().current()
		var mu sync.Mutex
		var ages []time.Duration
		for id := range w.listed {
			w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
				if call == "start" {
					mu.Lock()
					defer mu.Unlock()
					ages = append(ages, owner.EvacuationAge())
				}
				return runservice.Fault{Silent: call == "start"}
			})
		}
		task := pool.Step{Tasks: 1, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second}
		w.defineJob("a", jobSpec{steps: []pool.Step{task}, runTime: time.Second})
		// The configuration is too old to accept jobs somewhat before.
		for owner.EvacuationAge() < defaultMaxConfigAge-100*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, OK, answer.Result, answer.Reason)
		time.Sleep(3 * time.Second)
		mu.Lock()
		require.Len(t, ages, 2, "%v", ages)
		require.Less(t, ages[1], defaultMaxEvacuationAge)
		mu.Unlock()
		for id := range w.listed {
			w.fleet.Worker(id).SetFault(nil)
		}
		w.store.SetWatchFault(nil)
		w.setListFault(nil)
		w.awaitState(1, "a", pool.Completed)
	})
}
