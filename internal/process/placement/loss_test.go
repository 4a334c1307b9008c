package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// An idempotent job that takes down the instance of each start was started again without a limit. It must fail after JobAttempts starts, but not if other
// instances are lost too, or if it runs for long before.
func TestJobThatTakesDownInstances(t *testing.T) {
	const attempts = 5
	for name, test := range map[string]struct {
		// runs is how long each attempt runs, and others the number of other instances that are lost after a time.
		runs   time.Duration
		others int
		after  time.Duration
		// restarts means that the instance is not seen to be away: it reports that the task is lost.
		restarts bool
		want     caller.State
	}{
		"alone":              {runs: time.Second, want: caller.Failed},
		"instance restarts":  {runs: time.Second, restarts: true, want: caller.Failed},
		"others lost before": {runs: time.Second, others: 2, after: -time.Second, want: caller.Running},
		"others lost after":  {runs: time.Second, others: 2, after: 2 * time.Second, want: caller.Running},
		"long runs":          {runs: time.Minute, want: caller.Running},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, noGuaranteeConfig, 2, 8)
			j := w.submit("deadly", "borrower", "1x8", nil)
			for range 2 * attempts {
				if j.phase != running {
					break
				}
				place := j.Place[0]
				w.now = w.now.Add(test.runs)
				lose := func() {
					for i, n := range w.state.sortedNodes() {
						if n.ID != place && i < test.others {
							w.state.NodeDown(n.ID, w.now.Add(test.after), "no answer")
						}
					}
				}
				if test.after < 0 {
					lose()
				}
				if test.restarts {
					w.state.TasksLost(place, []ids.JobID{j.ID}, w.now)
				} else {
					w.state.NodeDown(place, w.now, "no answer")
				}
				lose()
				for _, n := range w.state.sortedNodes() {
					w.state.NodeUp(n.ID)
				}
				w.now = w.now.Add(time.Minute)
				w.decide()
			}
			require.Equal(t, test.want, j.CallerState(), j.Reason)
			require.True(t, test.want != caller.Failed || j.Attempt == attempts, "failed after %d starts", j.Attempt)
		})
	}
}
