package owner

import (
	"context"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// retireEvery is the interval at which ended jobs are looked through.
	retireEvery = time.Minute
	// retireAtOnce bounds the records that are removed in one round, so that no rush of store calls follows a quiet time.
	retireAtOnce = 50
)

// retire forgets the jobs whose end is in the store and older than the retention, and removes their records.
// It runs on the term's goroutine.
func (t *term) retire(now time.Time) {
	if t.config == nil || now.Sub(t.retired) < retireEvery {
		return
	}
	t.retired = now
	for i, id := range t.state.OverSince(now.Add(-t.config.Policy.Retention)) {
		x := t.jobs[id]
		if i >= retireAtOnce || x == nil || !x.isSaved() {
			continue
		}
		t.remove(id, x.revision)
		delete(t.jobs, id)
		t.state.Forget(id)
		t.forgetUnknown(id)
	}
}

// remove deletes a record; without an answer the next owner removes it.
func (t *term) remove(id ids.JobID, revision store.Revision) {
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.StoreCall)
		defer cancel()
		_ = t.owner.Store.Delete(ctx, RecordKey(id), revision)
	})
}

func (t *term) forgetUnknown(id ids.JobID) {
	for i, u := range t.unknown {
		if u.Job == id {
			t.unknown = append(t.unknown[:i], t.unknown[i+1:]...)
			return
		}
	}
}

// isSaved reports whether the job's end is in the store for good.
func (x *execution) isSaved() bool {
	select {
	case <-x.saved:
		return true
	default:
		return false
	}
}
