package poolowner

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// singleStep returns a step of independent tasks.
func singleStep(tasks int) pool.Step {
	step := gangStep(tasks, 1)
	step.Gang, step.SameRack, step.Checkpoints = false, false, false
	return step
}

// A task that crashes each worker that starts it was started again until its job was cancelled. It must be given up after few crashes, whatever else
// fails meanwhile, and the jobs whose tasks ran beside it must be done.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	killOwner := func(w *cluster) {
		if i := w.ownerInstance(); i != nil {
			i.kill(false)
			time.AfterFunc(3*time.Second, i.start)
		}
	}
	storeOut := func(w *cluster, d time.Duration, atEnd func()) {
		w.store.SetOutage(true, true)
		time.AfterFunc(d, func() {
			atEnd()
			w.store.SetOutage(false, true)
		})
	}
	killAt := func(crashes ...int) func(w *cluster, crash int) {
		return func(w *cluster, crash int) {
			if slices.Contains(crashes, crash) {
				killOwner(w)
			}
		}
	}
	for name, test := range map[string]struct {
		step pool.Step
		// after is when the task crashes its worker, and down how long the worker is then away; it defaults to 3 s. refuses means that
		// connections to it are refused meanwhile.
		after, down time.Duration
		refuses     bool
		// onCrash is called when the task has crashed its worker for the given time.
		onCrash func(w *cluster, crash int)
		orders  runservice.Fault
	}{
		"single task":              {step: singleStep(1), refuses: true},
		"silent workers":           {step: singleStep(1)},
		"task of a step":           {step: singleStep(4), refuses: true},
		"member of a gang":         {step: gangStep(4, 4), refuses: true},
		"crash after seconds":      {step: singleStep(1), refuses: true, after: 4 * time.Second},
		"workers away for long":    {step: singleStep(1), down: 15 * time.Second},
		"unanswered start":         {step: singleStep(1), refuses: true, orders: runservice.Fault{LoseAnswer: true}},
		"owner lost at crash":      {step: singleStep(1), refuses: true, onCrash: killAt(1)},
		"owner lost at 2nd to 4th": {step: singleStep(1), refuses: true, onCrash: killAt(2, 3, 4)},
		"owner lost after each": {step: singleStep(1), refuses: true, onCrash: func(w *cluster, _ int) {
			time.AfterFunc(1500*time.Millisecond, func() { killOwner(w) })
		}},
		"store outage at each": {step: singleStep(1), refuses: true, onCrash: func(w *cluster, _ int) {
			storeOut(w, 2*time.Second, func() {})
		}},
		"owner lost in an outage": {step: singleStep(1), refuses: true, onCrash: func(w *cluster, crash int) {
			if crash <= 2 {
				storeOut(w, 4*time.Second, func() { killOwner(w) })
			}
		}},
		"lost answers of the store": {step: singleStep(1), refuses: true, onCrash: func(w *cluster, _ int) {
			calls := 0
			w.store.SetFault(func(_ string, write bool) storeservice.CallFault {
				calls++
				return storeservice.CallFault{LoseAnswer: write && calls%2 == 0}
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.fleet.RefuseWhenDown, w.fleet.RestartAfter = test.refuses, max(test.down, 3*time.Second)
				crashes := 0
				observe := w.fleet.Observe
				w.fleet.Observe = func(e runservice.Event) {
					observe(e)
					if e.Kind == runservice.Crashed && e.Run.Job == "deadly" {
						crashes++
						if crash := crashes; test.onCrash != nil {
							time.AfterFunc(0, func() { test.onCrash(w, crash) })
						}
					}
				}
				sound := []ids.JobID{"sound0", "sound1", "sound2"}
				for _, id := range sound {
					w.mustSubmit(w.instances[0], id, jobSpec{steps: []pool.Step{singleStep(12)}, runTime: 3 * time.Second})
				}
				w.setStartFault(func() runservice.Fault { return test.orders })
				w.mustSubmit(w.instances[1], "deadly", jobSpec{steps: []pool.Step{test.step}, runTime: 8 * time.Second, crashAfter: max(test.after, 10*time.Millisecond)})
				w.awaitState(1, "deadly", pool.Failed)
				w.store.SetFault(nil)
				for _, id := range sound {
					w.awaitState(1, id, pool.Completed)
				}
			})
		})
	}
}

// Guards against a deadly task that seems to be a late crash: a report that arrived while a renewal waited hid that renewal's failure, and the age counted until the
// next renewal, which was sent after the crash.
func TestAgeOfCrashEndsAtLastReport(t *testing.T) {
	for _, after := range []time.Duration{1400 * time.Millisecond, 1600 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.fleet.RestartAfter = 4 * time.Second
				// The owner requests a report after the last lost answer.
				w.setStartFault(func() runservice.Fault { return runservice.Fault{LoseAnswer: true} })
				w.mustSubmit(w.instances[0], "deadly", jobSpec{steps: []pool.Step{singleStep(1)}, runTime: 8 * time.Second, crashAfter: after})
				var crashes []pool.Crash
				require.Eventually(t, func() bool {
					var r pool.Record
					require.NoError(t, json.Unmarshal(w.store.Entries(prefixJobs)[prefixJobs+"deadly"].Value, &r))
					crashes = r.Units[0].Crashes
					return len(crashes) > 0
				}, 20*time.Second, 100*time.Millisecond)
				require.LessOrEqual(t, crashes[0].Age, after)
			})
		})
	}
}
