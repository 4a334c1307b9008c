package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// The lease of a worker that has left the instance list runs on until its time, so that its tasks may too.
func TestLeaseOfUnlistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expiry := time.Now().Add(time.Second)
		term := &term{sessions: map[ids.InstanceID]*workerSession{"w": {cancel: func() {}, leaseExpiry: expiry}}}
		term.removeSession("w")
		require.Equal(t, expiry, term.leaseExpiry("w"))
		require.True(t, time.Now().After(term.leaseExpiry("never listed")))
	})
}
