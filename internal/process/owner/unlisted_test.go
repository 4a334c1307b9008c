package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TestTakeoverWithUnlistedWorker guards against a job that runs twice at a time: its worker leaves the instance list and answers nobody before
// a takeover, but runs on under the lease of the lost owner.
func TestTakeoverWithUnlistedWorker(t *testing.T) {
	require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
		w.awaitOwner()
		id := w.submit(caller.Job{Key: "a", Shape: oneAccelerator, Idempotent: true}, "borrower", 2*time.Minute)
		time.Sleep(3 * time.Second)
		var first ids.InstanceID
		for wid, s := range w.workers {
			if len(s.Active()) > 0 {
				first = wid
			}
		}
		var rest []placement.Node
		for _, n := range w.nodes {
			if n.ID != first {
				rest = append(rest, n)
			}
		}
		w.kill(0)
		w.workers[first].SetFaults(workerservice.Faults{Unreachable: true})
		w.configure = func(o *Owner) {
			o.Nodes = func() ([]placement.Node, bool) { return rest, true }
		}
		w.start(0)
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, s := range w.workers {
				for _, a := range s.Active() {
					if a.State == worker.Running && a.Job == id {
						n++
					}
				}
			}
			require.LessOrEqual(t, n, 1, w.timeline(id))
		}
		require.Equal(t, 2, w.history.startCount(id), w.timeline(id))
	}))
}
