package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against entries whose workers never answer that cost the owner its processor time, and against workers that stay unused for long since they were cut off
// when they were listed.
func TestManyWorkersThatNeverAnswered(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		const first, count = 6, 600
		setPartitioned := func(partitioned bool) {
			for i := range count {
				w.fleet.Worker(workerID(first + i)).SetPartitioned(partitioned)
			}
		}
		for i := range count {
			w.addSilentWorker(first + i)
		}
		// By then all have been called for the first time.
		time.Sleep(4 * time.Second)
		owner, _ := w.ownerInstance().current()
		before := owner.metrics.Renewals.Value()
		const window = 10 * time.Second
		time.Sleep(window)
		// The other workers are idle.
		require.LessOrEqual(t, owner.metrics.Renewals.Value()-before, int64(window/unheardRetryInterval+maxRetryCredits))
		setPartitioned(false)
		time.Sleep(4 * time.Second)
		answer := 0
		require.NoError(t, owner.term.Load().do(t.Context(), func() {
			for id := range owner.term.Load().listed {
				if owner.term.Load().state.Answers(id) {
					answer++
				}
			}
		}))
		require.Equal(t, first+count, answer)
	})
}

// Guards against a sound worker that stays unused since its first call failed, while calls to entries whose workers never answer go first.
func TestSoundWorkerBesideSilentOnes(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		const first, count = 6, 600
		for i := range count {
			w.addSilentWorker(first + i)
		}
		time.Sleep(20 * time.Second)
		sound := w.addSilentWorker(first + count)
		time.Sleep(500 * time.Millisecond)
		w.fleet.Worker(sound).SetPartitioned(false)
		// Urgent work is to start within 4.1 s.
		time.Sleep(4 * time.Second)
		owner, _ := w.ownerInstance().current()
		answers := false
		require.NoError(t, owner.term.Load().do(t.Context(), func() { answers = owner.term.Load().state.Answers(sound) }))
		require.True(t, answers)
	})
}
