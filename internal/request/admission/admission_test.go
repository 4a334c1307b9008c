package admission

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TestSharesUnderOverload overloads the capacity from two accounts and checks that each is served by its share.
func TestSharesUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Controller{}
		g.SetCapacity(8)
		shares := map[ids.AccountID]float64{"large": 0.75, "small": 0.25}
		served := make(map[ids.AccountID]int)
		var mu sync.Mutex
		var wait sync.WaitGroup
		for id, share := range shares {
			for range 400 {
				wait.Go(func() {
					release, refusal := g.Acquire(id, Share{Guaranteed: share, QueueLimit: 1000}, time.Now().Add(time.Minute))
					require.Nil(t, refusal)
					time.Sleep(100 * time.Millisecond)
					release()
					mu.Lock()
					served[id]++
					mu.Unlock()
				})
			}
		}
		count := func() (large, small int) {
			mu.Lock()
			defer mu.Unlock()
			return served["large"], served["small"]
		}
		// The first requests may hold the whole capacity until both accounts have queued requests, so the count starts later.
		// Requests end every 100 ms; sampling halfway between two ends avoids counting during an update.
		time.Sleep(450 * time.Millisecond)
		synctest.Wait()
		largeBefore, smallBefore := count()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		large, small := count()
		require.InDelta(t, 3, float64(large-largeBefore)/float64(small-smallBefore), 0.3, "%d and %d after %d and %d", large, small, largeBefore, smallBefore)
		wait.Wait()
		require.Zero(t, g.Running())
		require.Zero(t, g.Waiting())
	})
}

// TestDeadlinesInTheQueue checks that a request is refused as soon as it can't meet its deadline, and leaves the queue.
func TestDeadlinesInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Controller{}
		g.SetCapacity(1)
		share := Share{Guaranteed: 1, QueueLimit: 10}
		release, refusal := g.Acquire("a", share, time.Now().Add(time.Hour))
		require.Nil(t, refusal)
		started := time.Now()
		_, refusal = g.Acquire("a", share, started.Add(2*time.Second))
		require.NotNil(t, refusal)
		require.Positive(t, refusal.RetryAfter)
		require.Equal(t, 2*time.Second, time.Since(started))
		require.Zero(t, g.Waiting())
		release()
		// The service time is known now, so a request that can't meet its deadline is refused without queueing.
		release, _ = g.Acquire("a", share, time.Now().Add(time.Hour))
		started = time.Now()
		_, refusal = g.Acquire("a", share, started.Add(time.Second))
		require.NotNil(t, refusal)
		require.Zero(t, time.Since(started))
		release()
	})
}

// TestNoLostWakeUp runs many concurrent requests and checks that none stays queued while there is free capacity.
func TestNoLostWakeUp(t *testing.T) {
	g := &Controller{}
	g.SetCapacity(3)
	var wait sync.WaitGroup
	for i := range 64 {
		id := ids.AccountID(fmt.Sprint(i % 5))
		wait.Go(func() {
			for range 200 {
				release, refusal := g.Acquire(id, Share{Guaranteed: 0.2, QueueLimit: 1000}, time.Now().Add(time.Minute))
				if refusal == nil {
					release()
				}
			}
		})
	}
	wait.Wait()
	require.Zero(t, g.Running())
	require.Zero(t, g.Waiting())
}
