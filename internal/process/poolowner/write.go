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
	// batch is one transaction of records. One is in flight at a time, so an older record never overwrites a newer one.
	batch struct {
		records []record
		// configRevision is the revision that the configuration must still have, since the batch accepts jobs under it.
		configRevision store.Revision
		// used is the list of workers to store; nil leaves the stored list as it is.
		used         []ids.InstanceID
		usedRevision store.Revision
		// estimates are the learned run times after a number of samples; nil leaves the stored ones as they are.
		estimates         map[ids.QueueID]pool.RunTimes
		estimatesRevision store.Revision
		samples           int
		// promise is the record of the term to store; nil leaves the stored one as it is.
		promise *TermRecord
	}

	// record is the record of a job at one version.
	record struct {
		id      ids.JobID
		version uint64
		value   []byte
		// revision is the revision that the key must have.
		revision store.Revision
		// isNew means that writing the record accepts the job.
		isNew bool
	}

	// batchOutcome is the outcome of a batch.
	batchOutcome int
)

const (
	// written means that the store holds the batch.
	written batchOutcome = iota
	// configChanged means that the batch was not written, since there is a newer configuration.
	configChanged
	// ownershipLost means that ownership has ended and the batch may have been written.
	ownershipLost
)

// maxBatchRecords is the maximum number of records in a transaction: each takes a condition and a set, in addition to
// those of the owner key, the configuration and the list of workers.
const maxBatchRecords = (store.MaxTransactionOps - 4) / 2

// estimatesSaveInterval is the minimum time between writes of the learned run times. It is short compared with a term,
// which lasts for minutes at least.
const estimatesSaveInterval = 2 * time.Second

// write stores the changed records, unless a batch is already in flight.
func (t *term) write() {
	if t.writeBlocked || !t.isServing() {
		return
	}
	b, now := &batch{}, time.Now()
	records, promises := maxBatchRecords, t.isPromiseDue(now)
	if promises {
		records--
	}
	for _, j := range t.state.Dirty(records, now) {
		value, err := j.Encode(strconv.FormatUint(uint64(t.claim.Epoch), 10)+"."+strconv.FormatUint(j.Version(), 10), t.owner.MaxValueBytes)
		if err != nil {
			t.rejectRecord(j, err.Error())
			continue
		}
		r := record{id: j.ID, version: j.Version(), value: value, revision: t.jobRevisions[j.ID], isNew: !j.IsStored()}
		if r.isNew {
			b.configRevision = t.configRevision
		}
		b.records = append(b.records, r)
	}
	if used, changed := t.usedWorkersChanged(); changed {
		b.used, b.usedRevision = used, t.usedRevision
	}
	if promises {
		t.addPromise(b, now)
	}
	if len(b.records) == 0 && b.used == nil && b.promise == nil {
		return
	}
	t.addEstimates(b)
	t.writeBlocked = true
	t.inFlight = b
	t.spawn("a write", func() {
		outcome, revision := t.commit(b)
		t.post(func() { t.finishBatch(b, outcome, revision) })
	})
}

// rejectRecord ends a job whose record can't be stored. The other records of a batch are written without it, and the ends of its runs are acknowledged once its end
// is stored, which takes less.
func (t *term) rejectRecord(j *pool.Job, cause string) {
	t.owner.metrics.RecordsRejected.Add(1)
	t.log.Error("records: a job's record can't be stored", zap.String("job", string(j.ID)), zap.String("cause", cause))
	if j.IsStored() {
		t.state.Fail(j.ID, cause, time.Now())
		return
	}
	t.withdraw(j.ID, Answer{Result: Invalid, Reason: cause})
}

// addEstimates adds the learned run times to a batch that has room for them, if they have changed and the save interval
// has passed. They don't need a transaction of their own.
func (t *term) addEstimates(b *batch) {
	now := time.Now()
	if len(b.records) == maxBatchRecords || b.promise != nil || now.Sub(t.estimatesSavedAt) < estimatesSaveInterval {
		return
	}
	if all, samples := t.state.Estimates(); samples > t.savedSamples {
		b.estimates, b.estimatesRevision, b.samples = all, t.estimatesRevision, samples
		t.estimatesSavedAt = now
	}
}

// loadEstimates loads the run times that an earlier owner learned. Unreadable ones are learned again.
func (t *term) loadEstimates(e store.Entry) {
	t.estimatesRevision = e.Revision
	if e.Revision == store.Absent {
		return
	}
	var all map[ids.QueueID]pool.RunTimes
	if err := json.Unmarshal(e.Value, &all); err != nil {
		t.log.Error("owner: the learned run times can't be decoded and are discarded", zap.Error(err))
		return
	}
	t.state.SetEstimates(all)
}

// transaction returns the store transaction of a batch.
func (t *term) transaction(b *batch) store.Transaction {
	tx := store.Transaction{Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}}
	if b.configRevision != store.Absent {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: t.owner.ConfigKey, Revision: b.configRevision})
	}
	for _, r := range b.records {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: prefixJobs + string(r.id), Revision: r.revision})
		tx.Sets = append(tx.Sets, store.Set{Key: prefixJobs + string(r.id), Value: r.value})
	}
	if b.used != nil {
		value, err := json.Marshal(b.used)
		if err != nil {
			t.log.Error("records: the list of workers can't be encoded", zap.Error(err))
			return tx
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Key: keyWorkers, Revision: b.usedRevision})
		tx.Sets = append(tx.Sets, store.Set{Key: keyWorkers, Value: value})
	}
	if b.promise != nil {
		t.addPromiseTo(&tx, *b.promise)
	}
	if b.estimates != nil {
		value, err := json.Marshal(b.estimates)
		if err != nil {
			t.log.Error("records: the learned run times can't be encoded", zap.Error(err))
			return tx
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Key: keyEstimates, Revision: b.estimatesRevision})
		tx.Sets = append(tx.Sets, store.Set{Key: keyEstimates, Value: value})
	}
	return tx
}

// commit sends a batch until its outcome is known or the term ends. After a lost answer it sends the same transaction
// again: only one of them can take effect, since each changes the revisions that both require.
func (t *term) commit(b *batch) (batchOutcome, store.Revision) {
	tx := t.transaction(b)
	for t.ctx.Err() == nil {
		t.owner.metrics.Writes.Add(1)
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
		revision, err := t.owner.Store.Commit(ctx, tx)
		cancel()
		t.owner.metrics.WriteTime.record(time.Since(sent))
		var conflict *store.Conflict
		switch {
		case err == nil:
			t.owner.markContact()
			t.owner.markSeen(revision)
			return written, revision
		case errors.As(err, &conflict):
			t.owner.markContact()
			if outcome, revision, known := t.resolveConflict(b, tx, conflict); known {
				return outcome, revision
			}
			t.end("the store has records that this owner does not know")
			return ownershipLost, 0
		}
		t.owner.metrics.WritesFailed.Add(1)
		t.post(func() { t.storeFailed(sent, err) })
		pause.For(t.ctx, jitter(storeRetryDelay))
	}
	return ownershipLost, 0
}

// resolveConflict derives the outcome of a batch from the keys of a conflict, and reports whether it is known.
func (t *term) resolveConflict(b *batch, tx store.Transaction, c *store.Conflict) (batchOutcome, store.Revision, bool) {
	if owner, found := c.Entry(keyOwner); !found || owner.Revision != t.claim.revision {
		t.end("the owner's key has changed")
		return ownershipLost, 0, true
	}
	matching, revision := 0, store.Revision(0)
	for _, set := range tx.Sets {
		if e, found := c.Entry(set.Key); found && bytes.Equal(e.Value, set.Value) {
			matching++
			revision = e.Revision
		}
	}
	if matching == len(tx.Sets) {
		return written, revision, true
	}
	if config, found := c.Entry(t.owner.ConfigKey); b.configRevision != store.Absent && (!found || config.Revision != b.configRevision) && matching == 0 {
		return configChanged, 0, true
	}
	return 0, 0, false
}

// contains reports whether a batch has a job's record.
func (b *batch) contains(id ids.JobID) bool {
	return b != nil && slices.ContainsFunc(b.records, func(r record) bool { return r.id == id })
}

// storeFailed records that the store doesn't answer.
func (t *term) storeFailed(since time.Time, err error) {
	if t.storeFailingSince.IsZero() {
		t.storeFailingSince = since
		t.log.Warn("store: a write got no answer", zap.Error(err))
	}
}

// finishBatch applies the outcome of a batch.
func (t *term) finishBatch(b *batch, outcome batchOutcome, revision store.Revision) {
	t.writeBlocked, t.inFlight = false, nil
	if outcome == ownershipLost {
		return
	}
	if !t.storeFailingSince.IsZero() {
		t.log.Info("store: writes again", zap.Duration("after", time.Since(t.storeFailingSince)))
		t.storeFailingSince = time.Time{}
	}
	if outcome == configChanged {
		// Nothing was written. The jobs are revalidated against the newest configuration once it is read.
		for _, r := range b.records {
			t.state.RequeueWrite(r.id)
		}
		t.termOutdated = t.termOutdated || b.promise != nil
		t.writeBlocked = true
		t.spawn("the reading of the configuration", t.refreshConfig)
		return
	}
	if b.used != nil {
		t.usedWorkers, t.usedRevision = b.used, revision
	}
	if b.promise != nil {
		t.termStored, t.termRevision = true, revision
		t.setLapsing(b.promise, nil)
		t.confirmPlaces(b.promise)
	}
	if b.estimates != nil {
		t.estimatesRevision, t.savedSamples = revision, b.samples
	}
	for _, r := range b.records {
		t.jobRevisions[r.id] = revision
		t.state.MarkStored(r.id, r.version)
		t.answerWaiters(r.id)
	}
	t.forgetStored()
	t.releaseStarts(time.Now())
}

// refreshConfig reads the configuration that a write conflicted with, and revalidates the jobs that wait for acceptance.
func (t *term) refreshConfig() {
	for t.ctx.Err() == nil {
		sent := t.owner.now()
		entries, _, err := t.listPrefix(t.owner.ConfigPrefix, 0, 0)
		if err != nil {
			t.log.Warn("configuration: reading it again failed", zap.Error(err))
			pause.For(t.ctx, jitter(storeRetryDelay))
			continue
		}
		t.post(func() {
			t.setConfig(entries, sent)
			t.revalidateWaiting()
			t.writeBlocked = false
		})
		return
	}
}

// purgeJobs deletes the records of jobs that ended long ago.
func (t *term) purgeJobs(retired []ids.JobID) {
	for len(retired) > 0 {
		n := min(len(retired), store.MaxTransactionOps-1)
		tx := store.Transaction{Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}}
		for _, id := range retired[:n] {
			tx.Deletes = append(tx.Deletes, prefixJobs+string(id))
		}
		ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
		_, err := t.owner.Store.Commit(ctx, tx)
		cancel()
		if err != nil {
			// The records remain until a later owner finds that their jobs ended long ago.
			t.log.Info("records: deleting old jobs failed", zap.Int("jobs", n), zap.Error(err))
		}
		retired = retired[n:]
	}
}
