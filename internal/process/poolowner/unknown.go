package poolowner

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// unknownRecord is the stored form of the unlisted workers that may still have runs of an earlier owner.
	unknownRecord struct {
		// Epoch is that of the owner which wrote the record.
		Epoch ids.Epoch
		// RemainingMS is how much longer the runs may last, in milliseconds. It counts from the time at which it is read: clocks of instances differ, and a
		// successor that reads it late only waits longer.
		RemainingMS map[ids.InstanceID]int64
	}

	// unknownWorkers is the state of the record in a term.
	unknownWorkers struct {
		// earlier is what the owner before this term has left.
		earlier map[ids.InstanceID]time.Duration
		// recorded holds the workers that the stored record may name. No lease is ordered from them, since their successor would not wait for it.
		recorded map[ids.InstanceID]bool
		// revision is that of the record, unless it is not known since a write got no answer.
		revision      store.Revision
		revisionKnown bool
		saving        bool
		saveAt        time.Time
	}
)

const (
	keyUnknown = "Jujubegrade/Unknown"
	// unknownSaveInterval is the time between writes of the record while it names workers.
	unknownSaveInterval = 2 * time.Second
)

// loadUnknown loads the record of the owner before this term. The record of an owner before that doesn't count: the last one may have ordered leases since.
func (t *term) loadUnknown(e store.Entry) {
	t.unknown = unknownWorkers{revision: e.Revision, revisionKnown: true}
	if e.Revision == store.Absent {
		return
	}
	var r unknownRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		t.log.Error("owner: the record of unknown workers can't be decoded and is discarded", zap.Error(err))
		return
	}
	if r.Epoch+1 != t.claim.Epoch {
		return
	}
	t.unknown.earlier = make(map[ids.InstanceID]time.Duration, len(r.RemainingMS))
	for id, ms := range r.RemainingMS {
		t.unknown.earlier[id] = time.Duration(max(0, ms)) * time.Millisecond
	}
}

// limitUnknown shortens the waits for workers that the owner before this term waited for already.
func (t *term) limitUnknown(missing []ids.InstanceID, now time.Time) {
	for _, id := range missing {
		if remaining, found := t.unknown.earlier[id]; found {
			t.state.LimitUnknown(id, now.Add(remaining))
		}
	}
}

// saveUnknown stores the unlisted workers that this owner waits for. They are not part of a batch, since no answer waits for them.
func (t *term) saveUnknown(now time.Time) {
	u := &t.unknown
	if !t.isServing() || u.saving || now.Before(u.saveAt) {
		return
	}
	remaining := t.state.UnknownRemaining(now)
	if len(remaining) == 0 && len(u.recorded) == 0 {
		return
	}
	r := unknownRecord{Epoch: t.claim.Epoch, RemainingMS: make(map[ids.InstanceID]int64, len(remaining))}
	recorded := make(map[ids.InstanceID]bool, len(remaining))
	if u.recorded == nil {
		u.recorded = make(map[ids.InstanceID]bool)
	}
	for id, d := range remaining {
		r.RemainingMS[id] = d.Milliseconds() + 1
		// The write may be executed although it gets no answer.
		recorded[id], u.recorded[id] = true, true
	}
	value, err := json.Marshal(r)
	if err != nil {
		t.log.Error("owner: the record of unknown workers can't be encoded", zap.Error(err))
		return
	}
	u.saving, u.saveAt = true, now.Add(unknownSaveInterval)
	revision, known := u.revision, u.revisionKnown
	t.spawn("the write of the unknown workers", func() {
		revision, err := t.writeUnknown(value, revision, known)
		t.post(func() {
			u.saving, u.revision, u.revisionKnown = false, revision, err == nil
			if err == nil {
				u.recorded = recorded
			}
		})
	})
}

// writeUnknown writes the record if it has the given revision, which is read before if it is not known. An earlier write that is executed late then has no
// effect.
func (t *term) writeUnknown(value []byte, revision store.Revision, known bool) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
	defer cancel()
	if !known {
		entries, _, err := t.owner.Store.List(ctx, keyUnknown)
		if err != nil {
			return 0, err
		}
		revision = entryOf(entries, keyUnknown).Revision
	}
	t.owner.metrics.Writes.Add(1)
	return t.owner.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}, {Key: keyUnknown, Revision: revision}},
		Sets:       []store.Set{{Key: keyUnknown, Value: value}},
	})
}

// mayLink reports whether leases may be ordered from a listed worker.
func (t *term) mayLink(w pool.Worker) bool { return !t.unknown.recorded[w.ID] }
