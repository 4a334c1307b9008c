package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a job that starts while a task of an earlier attempt may still run: of two tasks on two workers, the confirmed stop of the one whose lease ends later, or at
// the same time, ended the wait for both.
func TestStopOfOneOfTwoOrphans(t *testing.T) {
	for name, earlier := range map[string]time.Duration{"the other's lease ends earlier": 2 * time.Second, "both leases end at once": 0} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, noGuaranteeConfig, 1, 2)
			j := &Job{Job: caller.Job{Key: "j", Shape: ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 8}}, Idempotent: true}, ID: "j", Account: "borrower"}
			w.state.Restore(j)
			last := w.now.Add(10 * time.Second)
			require.True(t, w.state.MayRunUntil("j", "a", 1, last.Add(-earlier)))
			require.True(t, w.state.MayRunUntil("j", "b", 1, last))
			w.state.HasStopped("j", "b", w.now.Add(100*time.Millisecond))
			w.now = w.now.Add(time.Second)
			actions, _ := w.state.Decide(w.now)
			require.Empty(t, actions, "the job starts %v before the lease of its other task ends", last.Add(-earlier).Sub(w.now))
		})
	}
}
