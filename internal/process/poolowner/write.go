package poolowner

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// batch is one transaction of records. One is under way at a time, so a record is never overtaken by an older one.
	batch struct {
		records []record
		// config is the revision that the configuration must still have, since the batch accepts jobs under it.
		config store.Revision
		// used is the list of workers to store; nil leaves it.
		used   []ids.InstanceID
		usedAt store.Revision
		// estimates are the learned run times after a number of samples; nil leaves them.
		estimates   map[ids.QueueID]pool.RunTimes
		estimatesAt store.Revision
		samples     int
	}

	// record is one job's record at a version.
	record struct {
		id      ids.JobID
		version uint64
		value   []byte
		// known is the revision that the key must have.
		known store.Revision
		// fresh tells that the record accepts the job.
		fresh bool
	}

	// outcome is how a batch went.
	outcome int
)

const (
	// written batches are kept by the store.
	written outcome = iota
	// configChanged batches were not written, since the configuration is a newer one.
	configChanged
	// lost batches may have been written; ownership has ended.
	lost
)

// maxBatch is the number of records in a transaction: each takes a condition and a set, beside those of the owner's key,
// the configuration and the list of workers.
const maxBatch = (store.MaxTransaction - 4) / 2

// saveInterval is the least time between writes of what was learned of run times: an owner lasts for minutes at least.
const saveInterval = 2 * time.Second

// write stores what has changed, unless a batch is under way already.
func (t *term) write() {
	if t.writing || !t.serves() {
		return
	}
	b := &batch{}
	for _, j := range t.state.Dirty(maxBatch) {
		value, err := j.Encode(strconv.FormatUint(uint64(t.claim.Epoch), 10) + "." + strconv.FormatUint(j.Version(), 10))
		if err != nil {
			t.log.Error("records: a job can't be encoded", zap.String("job", string(j.ID)), zap.Error(err))
			continue
		}
		r := record{id: j.ID, version: j.Version(), value: value, known: t.revisions[j.ID], fresh: !j.IsStored()}
		if r.fresh {
			b.config = t.configAt
		}
		b.records = append(b.records, r)
	}
	if used, changed := t.usedChanged(); changed {
		b.used, b.usedAt = used, t.usedAt
	}
	if len(b.records) == 0 && b.used == nil {
		return
	}
	t.addEstimates(b)
	t.writing = true
	t.inFlight = b
	go func() {
		result, revision := t.commit(b)
		t.post(func() { t.committed(b, result, revision) })
	}()
}

// addEstimates adds the learned run times to a batch that has room for them, if they have changed and some time has passed.
// They cost no transaction of their own.
func (t *term) addEstimates(b *batch) {
	now := time.Now()
	if len(b.records) == maxBatch || now.Sub(t.estimatesSaved) < saveInterval {
		return
	}
	if all, samples := t.state.Estimates(); samples > t.samples {
		b.estimates, b.estimatesAt, b.samples = all, t.estimatesAt, samples
		t.estimatesSaved = now
	}
}

// setEstimates begins with what an earlier owner learned. Run times that can't be read are learned anew.
func (t *term) setEstimates(e store.Entry) {
	t.estimatesAt = e.Revision
	if e.Revision == store.Absent {
		return
	}
	var all map[ids.QueueID]pool.RunTimes
	if err := json.Unmarshal(e.Value, &all); err != nil {
		t.log.Error("owner: the learned run times can't be read, they are learned anew", zap.Error(err))
		return
	}
	t.state.SetEstimates(all)
}

// transaction returns what a batch asks of the store.
func (t *term) transaction(b *batch) store.Transaction {
	tx := store.Transaction{Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}}
	if b.config != store.Absent {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: t.owner.ConfigKey, Revision: b.config})
	}
	for _, r := range b.records {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: prefixJobs + string(r.id), Revision: r.known})
		tx.Sets = append(tx.Sets, store.Set{Key: prefixJobs + string(r.id), Value: r.value})
	}
	if b.used != nil {
		value, err := json.Marshal(b.used)
		if err != nil {
			t.log.Error("records: the list of workers can't be encoded", zap.Error(err))
			return tx
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Key: keyWorkers, Revision: b.usedAt})
		tx.Sets = append(tx.Sets, store.Set{Key: keyWorkers, Value: value})
	}
	if b.estimates != nil {
		value, err := json.Marshal(b.estimates)
		if err != nil {
			t.log.Error("records: the learned run times can't be encoded", zap.Error(err))
			return tx
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Key: keyEstimates, Revision: b.estimatesAt})
		tx.Sets = append(tx.Sets, store.Set{Key: keyEstimates, Value: value})
	}
	return tx
}

// commit sends a batch until its outcome is known or the term ends. The same transaction is sent again after a lost
// answer: only one of them can take effect, since each changes the revisions that both demand.
func (t *term) commit(b *batch) (outcome, store.Revision) {
	tx := t.transaction(b)
	for t.ctx.Err() == nil {
		t.owner.metrics.Writes.Add(1)
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, storeCall)
		revision, err := t.owner.Store.Commit(ctx, tx)
		cancel()
		t.owner.metrics.WriteTime.observe(time.Since(sent))
		var conflict *store.Conflict
		switch {
		case err == nil:
			t.owner.contacted()
			return written, revision
		case errors.As(err, &conflict):
			t.owner.contacted()
			if result, revision, known := t.resolve(b, tx, conflict); known {
				return result, revision
			}
			t.end("the store has records that this owner does not know")
			return lost, 0
		}
		t.owner.metrics.WritesFailed.Add(1)
		t.post(func() { t.storeFailed(sent, err) })
		pause.For(t.ctx, jitter(retryPause))
	}
	return lost, 0
}

// resolve tells from the keys of a conflict what became of a batch.
func (t *term) resolve(b *batch, tx store.Transaction, c *store.Conflict) (outcome, store.Revision, bool) {
	if owner, found := c.Entry(keyOwner); !found || owner.Revision != t.claim.revision {
		t.end("the owner's key has changed")
		return lost, 0, true
	}
	mine, revision := 0, store.Revision(0)
	for _, set := range tx.Sets {
		if e, found := c.Entry(set.Key); found && bytes.Equal(e.Value, set.Value) {
			mine++
			revision = e.Revision
		}
	}
	if mine == len(tx.Sets) {
		return written, revision, true
	}
	if config, found := c.Entry(t.owner.ConfigKey); b.config != store.Absent && (!found || config.Revision != b.config) && mine == 0 {
		return configChanged, 0, true
	}
	return 0, 0, false
}

// has reports whether a batch holds a job's record.
func (b *batch) has(id ids.JobID) bool {
	return b != nil && slices.ContainsFunc(b.records, func(r record) bool { return r.id == id })
}

// storeFailed takes note that the store doesn't answer.
func (t *term) storeFailed(since time.Time, err error) {
	if t.storeFailing.IsZero() {
		t.storeFailing = since
		t.log.Warn("store: a write got no answer", zap.Error(err))
	}
}

// committed takes the outcome of a batch over.
func (t *term) committed(b *batch, result outcome, revision store.Revision) {
	t.writing, t.inFlight = false, nil
	if result == lost {
		return
	}
	if !t.storeFailing.IsZero() {
		t.log.Info("store: writes again", zap.Duration("after", time.Since(t.storeFailing)))
		t.storeFailing = time.Time{}
	}
	if result == configChanged {
		// Nothing was written. The jobs are judged anew by the newest configuration once it is read.
		for _, r := range b.records {
			t.state.Retry(r.id)
		}
		t.writing = true
		go t.refreshConfig()
		return
	}
	if b.used != nil {
		t.used, t.usedAt = b.used, revision
	}
	if b.estimates != nil {
		t.estimatesAt, t.samples = revision, b.samples
	}
	for _, r := range b.records {
		t.revisions[r.id] = revision
		t.state.Stored(r.id, r.version)
		t.answerWaiters(r.id)
	}
}

// refreshConfig reads the configuration that a write has met, and judges the jobs that wait for their acceptance by it.
func (t *term) refreshConfig() {
	for t.ctx.Err() == nil {
		sent := t.owner.now()
		if entries, _, listed := t.list(t.owner.ConfigPrefix); listed {
			t.post(func() {
				t.setConfig(entries, sent)
				t.judgeWaiting()
				t.writing = false
			})
			return
		}
	}
}

// remove deletes the records of jobs that ended long ago.
func (t *term) remove(retired []ids.JobID) {
	for len(retired) > 0 {
		n := min(len(retired), store.MaxTransaction-1)
		tx := store.Transaction{Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}}
		for _, id := range retired[:n] {
			tx.Deletes = append(tx.Deletes, prefixJobs+string(id))
		}
		ctx, cancel := context.WithTimeout(t.ctx, storeCall)
		_, err := t.owner.Store.Commit(ctx, tx)
		cancel()
		if err != nil {
			// The records stay until a later owner finds them ended long ago.
			t.log.Info("records: old jobs were not removed", zap.Int("jobs", n), zap.Error(err))
		}
		retired = retired[n:]
	}
}
