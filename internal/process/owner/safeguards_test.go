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
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var oneAccelerator = ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}

// crashAllWorkers restarts all workers at once.
func (w *simulation) crashAllWorkers() {
	for _, n := range w.nodes {
		w.workers[n.ID].Crash()
	}
}

func (w *simulation) setWorkerFaults(f workerservice.Faults) {
	for _, s := range w.workers {
		s.SetFaults(f)
	}
}

// TestPromisesFailWithoutSafeguards runs each failure twice: with all safeguards, where the guarantee must hold, and with one
// safeguard disabled, where the guarantee must be violated.
func TestPromisesFailWithoutSafeguards(t *testing.T) {
	cases := map[string]struct {
		disabled  safeguards
		violation string
		script    func(w *simulation)
	}{
		"the owner and the workers of an at-most-once job are lost": {
			safeguards{startIntent: true},
			"must run at most once",
			func(w *simulation) {
				w.awaitOwner()
				w.submit(caller.Job{Key: "once", Shape: oneAccelerator}, "borrower", time.Minute)
				time.Sleep(2 * time.Second)
				w.crashAllWorkers()
				w.kill(0)
				w.start(0)
			},
		},
		"a paused owner's acceptance arrives after the takeover": {
			safeguards{reconcile: true},
			"did not end",
			func(w *simulation) {
				w.awaitOwner()
				w.candidates[0].pause()
				id := w.submit(caller.Job{Key: "late", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Second)
				w.candidates[1].eligible.Store(true)
				w.candidates[0].eligible.Store(false)
				time.Sleep(4 * time.Second)
				w.candidates[0].resume()
				time.Sleep(time.Minute)
				r, _, err := ReadRecord(context.Background(), w.store.Client(), id)
				require.NoError(w.t, err)
				if !r.State.IsTerminal() {
					w.recordViolation(errors.Newf("accepted job %s did not end", id))
				}
			},
		},
		"a job whose start was not recorded is cancelled under the next owner": {
			safeguards{assumeStarted: true},
			"is recorded as not run",
			func(w *simulation) {
				w.awaitOwner()
				w.store.SetFaults(storeservice.Faults{Delay: 300 * time.Millisecond})
				id := w.submit(caller.Job{Key: "unrecorded", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Minute)
				time.Sleep(450 * time.Millisecond)
				w.store.SetFaults(storeservice.Faults{Outage: true})
				time.Sleep(2 * time.Second)
				w.kill(0)
				w.setWorkerFaults(workerservice.Faults{RefuseHolds: true})
				w.crashAllWorkers()
				w.store.SetFaults(storeservice.Faults{})
				time.Sleep(4 * time.Second)
				w.start(0)
				_, err := w.awaitOwner().Cancel(context.Background(), id)
				require.NoError(w.t, err)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, c.script))
			require.ErrorContains(t, simulate(t, c.disabled, c.script), c.violation)
		})
	}
}

// TestRetention checks that memory and store keep ended jobs for the retention period and no longer.
func TestRetention(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		w.awaitOwner()
		id := w.submit(caller.Job{Key: "short", Shape: oneAccelerator}, "borrower", time.Second)
		time.Sleep(w.config.Policy.Retention / 2)
		status, err := w.owner().Status(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, caller.Done, status.State)
		time.Sleep(w.config.Policy.Retention)
		_, err = w.owner().Status(context.Background(), id)
		require.True(t, errors.Is(err, ErrNoJob))
		list, err := w.owner().List(context.Background(), "")
		require.NoError(t, err)
		require.Empty(t, list)
		w.dropAccepted(id)
	}))
}

// TestRenewRateMayShrink changes the number of owned data centres at each call, and with it the rate of renewals: workers are
// renewed less often, but never so late that their lease expires.
func TestRenewRateMayShrink(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		var asked atomic.Int64
		w.kill(0)
		w.configure = func(o *Owner) {
			o.Times.RenewRate = 4
			// The number changes between any two calls, hence also between a renewal and the wait for the next one.
			o.OwnedCount = func() int { return int(1 + 19*(asked.Add(1)%2)) }
		}
		w.start(0)
		w.awaitOwner()
		id := w.submit(caller.Job{Key: "steady", Shape: oneAccelerator}, "borrower", 10*time.Minute)
		time.Sleep(11 * time.Minute)
		status, err := w.owner().Status(context.Background(), id)
		require.NoError(t, err)
		require.Equal(t, caller.Done, status.State, status.Reason)
	}))
}

// TestTakeoverTime bounds the virtual time from the loss of an owner until the next owner has recovered the jobs.
func TestTakeoverTime(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		w.awaitOwner()
		for _, c := range w.candidates {
			c.eligible.Store(true)
		}
		w.candidates[0].eligible.Store(false)
		lost := time.Now()
		w.kill(0)
		w.awaitOwner()
		require.Less(t, time.Since(lost), 4100*time.Millisecond)
	}))
}

// TestStoreOutage checks that, during an outage of the store, running jobs continue and queued idempotent jobs start, but no
// job is accepted and no at-most-once job starts.
func TestStoreOutage(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		w.awaitOwner()
		running := w.submit(caller.Job{Key: "running", Shape: oneAccelerator}, "borrower", 5*time.Minute)
		full := ids.Shape{Tasks: 8, Each: ids.Resources{Accelerators: 7}}
		w.submit(caller.Job{Key: "full", Shape: full, Idempotent: true}, "borrower", 20*time.Second)
		time.Sleep(2 * time.Second)
		rest := ids.Shape{Tasks: 8, Each: ids.Resources{Accelerators: 4}}
		waiting := w.submit(caller.Job{Key: "waiting", Shape: rest, Idempotent: true}, "borrower", 10*time.Second)
		once := w.submit(caller.Job{Key: "once", Shape: rest}, "borrower", 10*time.Second)
		time.Sleep(time.Second)
		w.store.SetFaults(storeservice.Faults{Outage: true})
		time.Sleep(2 * time.Minute)
		refused := w.submit(caller.Job{Key: "refused", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Second)
		time.Sleep(10 * time.Second)
		require.Contains(t, w.refusal(refused), "store does not answer")
		require.Equal(t, 1, w.history.startCount(running))
		require.Equal(t, 8, w.history.startCount(waiting), "recorded idempotent jobs run during the outage")
		require.Zero(t, w.history.startCount(once), "its start can't be recorded")
	}))
}

// TestNoLateStartOnLeavingWorker checks that a start that waited behind a record of its job, since the store was out, doesn't go to
// a worker that has begun to leave meanwhile.
func TestNoLateStartOnLeavingWorker(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		var nodes atomic.Pointer[[]placement.Node]
		setNodes := func(leaving, other ids.InstanceID) {
			list := slices.Clone(w.nodes)
			for i := range list {
				list[i].Leaving = list[i].ID != other || list[i].ID == leaving
			}
			nodes.Store(&list)
		}
		setNodes("w1", "w0")
		w.kill(0)
		var startedOnLeaving atomic.Int64
		service := w.workers["w0"]
		service.Observe = func(ref worker.TaskRef, state worker.State) {
			if state == worker.Running && (*nodes.Load())[0].Leaving {
				startedOnLeaving.Add(1)
			}
			w.history.observe(ref, state)
		}
		w.configure = func(o *Owner) {
			o.Nodes = func() ([]placement.Node, bool) { return *nodes.Load(), true }
		}
		w.start(0)
		w.awaitOwner()
		time.Sleep(2 * time.Second)
		service.SetFaults(workerservice.Faults{Silent: true})
		id := w.submit(caller.Job{Key: "once", Shape: oneAccelerator}, "borrower", time.Second)
		time.Sleep(300 * time.Millisecond)
		w.store.SetFaults(storeservice.Faults{Outage: true})
		time.Sleep(400 * time.Millisecond)
		service.SetFaults(workerservice.Faults{})
		time.Sleep(1200 * time.Millisecond)
		setNodes("w0", "w1")
		time.Sleep(20 * time.Second)
		w.store.SetFaults(storeservice.Faults{})
		time.Sleep(20 * time.Second)
		require.Zero(t, startedOnLeaving.Load(), w.timeline(id))
		require.Equal(t, 1, w.history.startCount(id), w.timeline(id))
	}))
}
