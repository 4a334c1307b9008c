package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

// CrashedRun is a run that was lost with its worker's process.
type CrashedRun struct {
	worker.Run
	// Age is how long after the order to start the run the worker stopped answering.
	Age time.Duration
}

// recordCrash records that a worker's process has ended, unless the worker had announced that it leaves.
func (s *State) recordCrash(n *node, cause string, now time.Time) {
	if n.processEnded {
		return
	}
	n.processEnded = true
	if n.Draining || !n.reported && len(n.runs) == 0 {
		return
	}
	at := now
	if !n.failingSince.IsZero() {
		at = n.failingSince
	}
	var runs []CrashedRun
	for _, r := range n.runs {
		runs = append(runs, CrashedRun{Run: r.Run, Age: max(0, at.Sub(r.orderedAt))})
	}
	s.notice(Notice{Kind: "WorkerCrashed", Worker: n.ID, Cause: cause, Crashed: runs})
}
