package owner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// configWith returns the simulation's configuration with or without the evacuation of its data centre.
func (w *simulation) configWith(evacuate bool) *config.Config {
	c := *w.config
	c.DataCentres = map[ids.DataCentreID]config.DataCentre{"d": {Evacuate: evacuate}}
	return &c
}

// evacuate requests the evacuation of the data centre or withdraws it. The owners learn of it at their next decision.
func (w *simulation) evacuate(evacuate bool) {
	w.current.Store(w.configWith(evacuate))
}

// evacuationEvents returns the kinds of the events on the evacuation.
func (w *simulation) evacuationEvents() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kinds []string
	for _, e := range w.events {
		if e.Evacuation != nil {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// countStarts makes a counter of the task starts on all workers.
func (w *simulation) countStarts() *atomic.Int64 {
	var starts atomic.Int64
	for _, service := range w.workers {
		service.Observe = func(ref worker.TaskRef, state worker.State) {
			if state == worker.Running {
				starts.Add(1)
			}
			w.history.observe(ref, state)
		}
	}
	return &starts
}

// TestEvacuationAcrossTakeover guards against a new owner that forgets the request, or uses a withdrawn one, because the
// configuration that its instance knows is older than that of the last owner. The store fails the new owner's first reads.
func TestEvacuationAcrossTakeover(t *testing.T) {
	for name, requested := range map[string]bool{"requested": true, "withdrawn": false} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				known := [3]atomic.Pointer[config.Config]{}
				w.configure = func(o *Owner) {
					i := slices.Index([]ids.InstanceID{"entry-0", "entry-1", "entry-2"}, o.Instance)
					o.Config = func() *config.Config { return known[i].Load() }
					reads := 0
					o.RefreshConfig = func(context.Context) error {
						if reads++; reads <= 3 {
							return errors.New("no answer")
						}
						known[i].Store(w.current.Load())
						return nil
					}
				}
				outdated := w.configWith(!requested)
				for i := range w.candidates {
					w.kill(i)
					known[i].Store(outdated)
				}
				w.evacuate(!requested)
				w.start(0)
				w.awaitOwner()
				if requested {
					w.submit(caller.Job{Key: "running", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Minute)
					full := ids.Shape{Tasks: 8, Each: ids.Resources{Accelerators: 8}}
					w.submit(caller.Job{Key: "waiting", Shape: full, Idempotent: true}, "borrower", time.Second)
					time.Sleep(2 * time.Second)
				}
				w.evacuate(requested)
				known[0].Store(w.current.Load())
				time.Sleep(time.Second)
				w.kill(0)
				starts := w.countStarts()
				w.start(1)
				for _, c := range w.candidates {
					c.eligible.Store(false)
				}
				w.candidates[1].eligible.Store(true)
				o := w.awaitOwner()
				time.Sleep(3 * time.Minute)
				require.Zero(t, starts.Load(), w.timeline(""))
				id := w.submit(caller.Job{Key: "new", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Second)
				time.Sleep(5 * time.Second)
				if requested {
					require.Contains(t, w.refusal(id), "is being evacuated")
					require.Zero(t, o.Evacuation().RunsLeft, "the run that was found running has ended")
					require.Zero(t, starts.Load())
				} else {
					require.Empty(t, w.refusal(id))
					require.Equal(t, 1, w.history.startCount(id))
					require.Nil(t, o.Evacuation())
				}
				w.evacuate(false)
				w.start(0) // the owner of the jobs that finish waits for
			}))
		})
	}
}

// TestNoLateStartDuringEvacuation guards against start orders that are sent after the request although the job was placed
// before it. In each case the start waits for something else when the request arrives.
func TestNoLateStartDuringEvacuation(t *testing.T) {
	cases := map[string]struct {
		store   storeservice.Faults
		workers workerservice.Faults
		// wait is when the request arrives after the submission.
		wait time.Duration
	}{
		"the start intent is being written": {store: storeservice.Faults{Delay: 400 * time.Millisecond}, wait: 600 * time.Millisecond},
		"a hold is being answered":          {workers: workerservice.Faults{Delay: 400 * time.Millisecond}, wait: 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				w.awaitOwner()
				w.store.SetFaults(c.store)
				w.setWorkerFaults(c.workers)
				id := w.submit(caller.Job{Key: "late", Shape: oneAccelerator}, "borrower", time.Second)
				time.Sleep(c.wait)
				w.evacuate(true)
				time.Sleep(20 * time.Second)
				require.Zero(t, w.history.startCount(id), w.timeline(id))
				w.clearFaults()
				time.Sleep(20 * time.Second)
				require.Equal(t, 1, w.history.startCount(id), w.timeline(id))
			}))
		})
	}
}

// TestEvacuationWithdrawnHalfWay guards against running work that an evacuation or its withdrawal stops, and against waiting
// work that is lost. A worker that joins during the evacuation gets no work.
func TestEvacuationWithdrawnHalfWay(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		var nodes atomic.Pointer[[]placement.Node]
		some := w.nodes[:7]
		nodes.Store(&some)
		w.kill(0)
		w.configure = func(o *Owner) {
			o.Nodes = func() ([]placement.Node, bool) { return *nodes.Load(), true }
			o.ConfigAge = func() time.Duration { return 2 * time.Second }
		}
		w.start(0)
		o := w.awaitOwner()
		var running []ids.JobID
		for _, key := range []string{"a", "b"} {
			running = append(running, w.submit(caller.Job{Key: key, Shape: oneAccelerator}, "borrower", time.Minute))
		}
		time.Sleep(2 * time.Second)
		rest := ids.Shape{Tasks: 7, Each: ids.Resources{Accelerators: 8}}
		waiting := w.submit(caller.Job{Key: "waiting", Shape: rest, Idempotent: true}, "borrower", time.Second)
		time.Sleep(5 * time.Second)
		w.evacuate(true)
		time.Sleep(5 * time.Second)
		nodes.Store(&w.nodes)
		time.Sleep(20 * time.Second)
		require.Zero(t, w.history.startCount(waiting), w.timeline(waiting))
		require.Equal(t, 2, o.Evacuation().RunsLeft)
		require.Equal(t, 1, o.Evacuation().Queued)
		require.InDelta(t, 2, o.Evacuation().ViewAge, 0.01)
		report, err := o.Report(context.Background())
		require.NoError(t, err)
		require.Equal(t, 2, report.Evacuation.RunsLeft)
		require.Equal(t, 8, report.Evacuation.Instances)
		w.evacuate(false)
		time.Sleep(2 * time.Minute)
		for _, id := range append(running, waiting) {
			status, err := o.Status(context.Background(), id)
			require.NoError(t, err)
			require.Equal(t, caller.Done, status.State, w.timeline(id))
			require.EqualValues(t, 1, status.Attempt)
		}
		w.evacuate(true)
		time.Sleep(time.Second)
		require.Equal(t, []string{"EvacuationBegun", "EvacuationWithdrawn", "EvacuationBegun", "EvacuationEmptied"}, w.evacuationEvents())
		w.evacuate(false)
	}))
}

// TestSilentWorkerIsNotEmptied guards against a data centre that counts as emptied after a takeover while a worker that does not
// answer may still run something that no record mentions.
func TestSilentWorkerIsNotEmptied(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		w.awaitOwner()
		w.evacuate(true)
		time.Sleep(time.Second)
		require.Contains(t, w.evacuationEvents(), "EvacuationEmptied")
		w.kill(0)
		w.workers["w3"].SetFaults(workerservice.Faults{Silent: true})
		before := len(w.evacuationEvents())
		w.start(0)
		o := w.awaitOwner()
		time.Sleep(time.Second)
		require.Equal(t, 1, o.Evacuation().RunsLeft)
		require.Equal(t, []string{"EvacuationBegun"}, w.evacuationEvents()[before:])
		time.Sleep(o.Times.WorkerLease)
		require.Zero(t, o.Evacuation().RunsLeft, "the worker's lease has expired")
		require.Equal(t, []string{"EvacuationBegun", "EvacuationEmptied"}, w.evacuationEvents()[before:])
	}))
}
