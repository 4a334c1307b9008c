package owner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// raiseOtherEpoch records an epoch of another data centre, and returns a worker's renewal by that data centre's owner.
func (w *simulation) raiseOtherEpoch(epoch ids.Epoch) worker.Renew {
	value, err := json.Marshal(epochRecord{Epoch: epoch, Holder: "other"})
	require.NoError(w.t, err)
	entry, err := w.store.Client().Get(context.Background(), "Epoch/other")
	if err != nil {
		require.ErrorIs(w.t, err, store.ErrNotFound)
	}
	_, err = w.store.Client().Put(context.Background(), store.Write{Key: "Epoch/other", Value: value, If: entry.Revision})
	require.NoError(w.t, err)
	return worker.Renew{Epoch: epoch, TTL: time.Second}
}

// claims returns the number of claims of ownership so far.
func (w *simulation) claims() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, e := range w.events {
		if e.Kind == "OwnershipClaimed" {
			count++
		}
	}
	return count
}

// TestWorkerOfHigherEpochJoins guards against a data centre whose ownership ends again and again because a worker that moved there has
// seen the higher epoch of its former data centre. One claim must get above it, and the former owner must remain fenced.
func TestWorkerOfHigherEpochJoins(t *testing.T) {
	const former ids.Epoch = 1000
	for name, owned := range map[string]bool{"before the claim": false, "during the ownership": true} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				if owned {
					w.awaitOwner()
				} else {
					w.kill(0)
				}
				before := w.claims()
				renew := w.raiseOtherEpoch(former)
				moved := w.workers["w0"].Client()
				_, err := moved.Renew(context.Background(), renew)
				require.NoError(t, err)
				if !owned {
					w.start(0)
				}
				time.Sleep(20 * time.Second)
				require.Equal(t, 1, w.claims()-before)
				id := w.submit(caller.Job{Key: "a", Shape: ids.Shape{Tasks: 8, Each: ids.Resources{Accelerators: 7}}, Idempotent: true}, "borrower", time.Second)
				time.Sleep(5 * time.Second)
				require.Equal(t, 8, w.history.startCount(id), "the moved worker is used")
				_, err = moved.Renew(context.Background(), renew)
				require.ErrorIs(t, err, worker.ErrFenced)
			}))
		})
	}
}
