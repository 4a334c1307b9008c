package configuration

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

var printCapacity = flag.Bool("capacity", false, "measure configuration propagation at three sizes and print the results")

// topology determines which instances watch the store and which ones exchange heartbeats.
type topology struct {
	name string
	// watchAll makes every instance watch the store.
	watchAll bool
	// sendsHeartbeats reports whether one instance of n sends heartbeats to another.
	sendsHeartbeats func(from, to, n int) bool
}

var topologies = []topology{
	{"DirectWatches", true, func(int, int, int) bool { return false }},
	{"FullMeshRelay", false, func(int, int, int) bool { return true }},
	{"ChordRelay", false, func(from, to, n int) bool {
		distance := (to - from + n) % n
		return distance&(distance-1) == 0
	}},
}

// TestCapacityOfSpread measures store calls, messages and propagation delay of each topology in virtual time: with 8
// instances by default, and with 8, 46 and 400 if -capacity is set.
func TestCapacityOfSpread(t *testing.T) {
	sizes := []int{8}
	if *printCapacity {
		sizes = []int{8, 46, 400}
	}
	for _, s := range topologies {
		for _, n := range sizes {
			measurePropagation(t, s, n)
		}
	}
}

func measurePropagation(t *testing.T, topo topology, n int) {
	const warmUp, idlePeriod = 4 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith(t, n, topo)
		defer f.stop()
		time.Sleep(warmUp)
		_, err := f.accept(0, 0)
		require.NoError(t, err)
		f.awaitVersion(1)
		calls, messages := storeCalls(&f.calls), f.messages.Load()
		time.Sleep(idlePeriod)
		calls, messages = storeCalls(&f.calls)-calls, f.messages.Load()-messages
		_, err = f.accept(0, 1)
		require.NoError(t, err)
		delay := f.awaitVersion(2)
		require.Less(t, delay, maxPropagationDelay)
		if *printCapacity {
			perSecond := 1 / idlePeriod.Seconds()
			name := fmt.Sprintf("Spread/%s/%d", topo.name, n)
			fmt.Printf("%s/StoreCalls %.3g 1/s\n", name, float64(calls)*perSecond)
			fmt.Printf("%s/MessagesPerInstance %.3g 1/s\n", name, float64(messages)*perSecond/float64(n))
			fmt.Printf("%s/BytesPerInstance %.3g B/s\n", name, 2*float64(messages)*perSecond/float64(n)*float64(heartbeatBytes(t)))
			fmt.Printf("%s/Delay %.3g s\n", name, delay.Seconds())
		}
	})
}

func storeCalls(c *store.CallCounts) int64 {
	return c.Reads.Load() + c.Writes.Load() + c.Watches.Load()
}

// heartbeatBytes returns the encoded size of one heartbeat of the peer protocol.
func heartbeatBytes(t *testing.T) int {
	const envelope = len(`{"method":"Heartbeat","params":,"id":123456,"jsonrpc":"2.0"}`) + 2
	body, err := json.Marshal(peer.Heartbeat{Instance: "entry-001", DataCentre: "attica-1", Version: 7600, ConfirmedAge: 123456789, Owned: []peer.Owned{{DataCentre: "attica-1", Epoch: 12, Queued: 100}}})
	require.NoError(t, err)
	return len(body) + envelope
}
