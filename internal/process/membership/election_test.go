package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/testrun"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

func TestMain(m *testing.M) { testrun.Main(m, nil) }

// An instance that has owned a data centre since it was last without an owner waits for its rank's delay when the owner is lost
// again.
func TestRankDelayAfterOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lease = time.Second
		ranked := Rank("d", []ids.InstanceID{"a", "b"})
		first, self := ranked[0], ranked[1]
		m := &Membership{NewHeartbeat: func() peer.Heartbeat { return peer.Heartbeat{Instance: self} }, PeerTimeout: time.Hour, started: time.Now()}
		m.ReceiveHeartbeat(peer.Heartbeat{Instance: first}, nil, 0)
		owns := false
		e := &Election{Membership: m, DataCentre: "d", Owns: func() bool { return owns }, Lease: lease}
		time.Sleep(2 * time.Hour)
		m.ReceiveHeartbeat(peer.Heartbeat{Instance: first}, nil, 0)
		require.False(t, e.ShouldOwn(), "its rank's delay begins")
		time.Sleep(3 * lease)
		require.True(t, e.ShouldOwn())
		owns = true
		e.ShouldOwn()
		time.Sleep(stableAfter / 2)
		owns = false
		require.False(t, e.ShouldOwn(), "the delay begins again")
	})
}
