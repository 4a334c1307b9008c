package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var oneAccelerator = ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}

// crashWorkers restarts all workers at once.
func (w *world) crashWorkers() {
	for _, n := range w.nodes {
		w.workers[n.ID].Crash()
	}
}

func (w *world) setWorkers(f workerservice.Faults) {
	for _, s := range w.workers {
		s.SetFaults(f)
	}
}

// TestPromisesNeedTheirMechanisms brings each failure about twice: the promise holds, and without its mechanism it breaks.
func TestPromisesNeedTheirMechanisms(t *testing.T) {
	cases := map[string]struct {
		without mechanisms
		breaks  string
		script  func(w *world)
	}{
		"the owner and the workers of a once-only job are lost": {
			mechanisms{mark: true},
			"may run once at most",
			func(w *world) {
				w.awaitOwner()
				w.submit(caller.Job{Key: "once", Shape: oneAccelerator}, "borrower", time.Minute)
				time.Sleep(2 * time.Second)
				w.crashWorkers()
				w.kill(0)
				w.start(0)
			},
		},
		"a paused owner's acceptance arrives after the takeover": {
			mechanisms{audit: true},
			"did not end",
			func(w *world) {
				w.awaitOwner()
				w.owners[0].pause()
				id := w.submit(caller.Job{Key: "late", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Second)
				w.owners[1].wanted.Store(true)
				w.owners[0].wanted.Store(false)
				time.Sleep(4 * time.Second)
				w.owners[0].resume()
				time.Sleep(time.Minute)
				r, _, err := ReadRecord(context.Background(), w.store.Client(), id)
				require.NoError(w.t, err)
				if !r.State.Over() {
					w.fail(errors.Newf("accepted job %s did not end", id))
				}
			},
		},
		"a job whose start was not recorded is cancelled under the next owner": {
			mechanisms{maybeRan: true},
			"is told as not run",
			func(w *world) {
				w.awaitOwner()
				w.store.SetFaults(storeservice.Faults{Delay: 300 * time.Millisecond})
				id := w.submit(caller.Job{Key: "unrecorded", Shape: oneAccelerator, Idempotent: true}, "borrower", time.Minute)
				time.Sleep(450 * time.Millisecond)
				w.store.SetFaults(storeservice.Faults{Outage: true})
				time.Sleep(2 * time.Second)
				w.kill(0)
				w.setWorkers(workerservice.Faults{RefuseHolds: true})
				w.crashWorkers()
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
			require.NoError(t, play(t, mechanisms{}, c.script))
			require.ErrorContains(t, play(t, c.without, c.script), c.breaks)
		})
	}
}

// TestRetention ends jobs and waits: memory and store keep them for the retention, and no longer.
func TestRetention(t *testing.T) {
	require.NoError(t, play(t, mechanisms{}, func(w *world) {
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
		w.forget(id)
	}))
}

// TestRenewRateMayShrink owns more or fewer data centres at each look: workers are renewed less often, but never so late
// that their lease lapses.
func TestRenewRateMayShrink(t *testing.T) {
	require.NoError(t, play(t, mechanisms{}, func(w *world) {
		var asked atomic.Int64
		w.kill(0)
		w.adjust = func(o *Owner) {
			o.Times.RenewRate = 4
			// The number changes between any two looks, so also between a lease and the wait for its renewal.
			o.Owned = func() int { return int(1 + 19*(asked.Add(1)%2)) }
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

// TestTakeoverTime measures from the loss of an owner to the next one's first decision, in virtual time.
func TestTakeoverTime(t *testing.T) {
	require.NoError(t, play(t, mechanisms{}, func(w *world) {
		w.awaitOwner()
		for _, c := range w.owners {
			c.wanted.Store(true)
		}
		w.owners[0].wanted.Store(false)
		lost := time.Now()
		w.kill(0)
		w.awaitOwner()
		require.Less(t, time.Since(lost), 4100*time.Millisecond)
	}))
}

// TestStoreOutage keeps running work alive and starts idempotent work, but accepts nothing and starts nothing once-only.
func TestStoreOutage(t *testing.T) {
	require.NoError(t, play(t, mechanisms{}, func(w *world) {
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
		require.Equal(t, 1, w.ledger.runs(running))
		require.Equal(t, 8, w.ledger.runs(waiting), "recorded idempotent work goes on during the outage")
		require.Zero(t, w.ledger.runs(once), "its start can't be marked")
	}))
}
