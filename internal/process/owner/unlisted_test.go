package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TestTakeoverWithUnlistedWorker guards against a job that runs twice at a time: its worker leaves the instance list, or stays in it, and answers nobody before
// a takeover, but runs on under the lease of the lost owner. The record may not name the worker yet.
func TestTakeoverWithUnlistedWorker(t *testing.T) {
	for name, test := range map[string]struct{ listed, unrecorded bool }{
		"not listed":                   {},
		"listed":                       {listed: true},
		"listed, start not recorded":   {listed: true, unrecorded: true},
		"unlisted, start not recorded": {unrecorded: true},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				w.kill(0)
				w.configure = func(o *Owner) {
					dial := o.Worker
					o.Worker = func(id ids.InstanceID) worker.Client {
						c := dial(id)
						start := c.Start
						c.Start = func(ctx context.Context, s worker.Start) error {
							w.store.SetFaults(storeservice.Faults{Outage: test.unrecorded})
							return start(ctx, s)
						}
						return c
					}
				}
				w.start(0)
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
					if n.ID != first || test.listed {
						rest = append(rest, n)
					}
				}
				w.kill(0)
				w.store.SetFaults(storeservice.Faults{})
				w.workers[first].SetFaults(workerservice.Faults{Unreachable: true})
				w.configure = func(o *Owner) {
					o.Nodes = func() ([]placement.Node, bool) { return rest, true }
				}
				w.start(0)
				atOnce := 0
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
					atOnce = max(atOnce, n)
				}
				// A failure within the script would leave the processes running.
				assert.LessOrEqual(t, atOnce, 1, w.timeline(id))
				assert.Equal(t, 2, w.history.startCount(id), w.timeline(id))
			}))
		})
	}
}
