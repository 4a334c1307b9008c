package runservice

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	gangKey struct {
		job        ids.JobID
		occurrence int
		step       int
		number     ids.RunNumber
	}

	gang struct {
		members map[*run]*Worker
		ended   bool
	}
)

// joinGang adds a run to its gang. The run time of the gang begins once all members have started.
func (w *Worker) joinGang(r *run, end worker.EndReason, runTime time.Duration) {
	key := gangKey{r.Job, r.Occurrence, r.Step, r.Number}
	g := w.fleet.gangs[key]
	if g == nil {
		g = &gang{members: make(map[*run]*Worker)}
		w.fleet.gangs[key] = g
	}
	if g.ended {
		r.timer = w.afterFunc(gangStartTimeout, func() { w.endRun(r, worker.EndGangTimeout) })
		return
	}
	g.members[r] = w
	r.timer = w.afterFunc(gangStartTimeout, func() { w.endRun(r, worker.EndGangTimeout) })
	if end == worker.EndFailed {
		r.fails = true
		r.timer.Stop()
		r.timer = w.afterFunc(runTime, func() { w.endRun(r, end) })
	}
	if len(g.members) < r.spec.Gang {
		return
	}
	hangs := false
	for member, memberWorker := range g.members {
		hangs = hangs || memberWorker.hangRuns
		if end == worker.EndDone && !member.fails {
			member.timer.Stop()
		}
	}
	if hangs || end == worker.EndFailed {
		return
	}
	r.timer = w.afterFunc(runTime, func() {
		if g.ended {
			return
		}
		g.ended = true
		for member, memberWorker := range g.members {
			memberWorker.endRun(member, worker.EndDone)
		}
	})
}

// breakGang ends the other members of a run's gang.
func (w *Worker) breakGang(r *run) {
	g := w.fleet.gangs[gangKey{r.Job, r.Occurrence, r.Step, r.Number}]
	if r.spec.Gang == 0 || g == nil || g.ended {
		return
	}
	g.ended = true
	for member, memberWorker := range g.members {
		if member != r && memberWorker.runs[member.Run] == member {
			memberWorker.endRun(member, worker.EndGangMemberLost)
		}
	}
}
