package owner

import (
	"context"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// purgeInterval is the interval between checks for expired jobs.
	purgeInterval = time.Minute
	// maxPurgedPerRound limits the deletions in one round, to avoid a burst of store calls after a long pause.
	maxPurgedPerRound = 50
)

// purgeExpired removes the jobs whose final record is durable and older than the retention, and deletes their records.
// It runs on the term's goroutine.
func (t *term) purgeExpired(now time.Time) {
	if t.config == nil || now.Sub(t.lastPurge) < purgeInterval {
		return
	}
	t.lastPurge = now
	t.purgeRetired(now)
	for i, id := range t.state.FinishedBefore(now.Add(-t.config.Policy.Retention)) {
		x := t.executions[id]
		if i >= maxPurgedPerRound || x == nil || !x.isFinalSaved() {
			continue
		}
		t.deleteRecord(id, x.revision)
		delete(t.executions, id)
		t.state.Forget(id)
		t.forgetUnknownJob(id)
	}
}

// deleteRecord deletes a record; if that fails, the next owner deletes it.
func (t *term) deleteRecord(id ids.JobID, revision store.Revision) {
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.StoreCallTimeout)
		defer cancel()
		_ = t.owner.Store.Delete(ctx, RecordKey(id), revision)
	})
}

func (t *term) forgetUnknownJob(id ids.JobID) {
	for i, u := range t.unknownJobs {
		if u.Job == id {
			t.unknownJobs = append(t.unknownJobs[:i], t.unknownJobs[i+1:]...)
			return
		}
	}
}

// isFinalSaved reports whether the job's final record is durable in the store.
func (x *execution) isFinalSaved() bool {
	select {
	case <-x.finalSaved:
		return true
	default:
		return false
	}
}
