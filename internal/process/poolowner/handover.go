package poolowner

import (
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TermRecord is what an owner promises its successor. Versions that don't know it leave the record of an earlier term.
type TermRecord struct {
	Epoch ids.Epoch
	// Grace is how long after the last renewal of its ownership the owner orders leases.
	Grace time.Duration
}

const (
	// orderGrace is how long an owner that can't renew its ownership orders leases. With them, runs outlast the store's usual outages.
	orderGrace = 6 * time.Second
	// unpromisedGrace is that of owners without a record of their term. They ordered leases until they gave up: leaseGrace after the end of their ownership, and a
	// renewal and its delay later.
	unpromisedGrace = leaseGrace + 2*DefaultLease
)

// workerLease returns the lease that workers may be ordered to grant now; none if it is not positive. It ends at the latest orderGrace and a worker's lease after the
// last renewal of the ownership, so that a successor knows how long to wait, even one that took this owner for dead before its ownership had expired.
func (t *term) workerLease() time.Duration {
	return min(t.owner.Times.WorkerLease, orderGrace+t.owner.Times.WorkerLease-t.owner.since(*t.leaseRenewedAt.Load()))
}

// loadPromise reads the record of the term before this one.
func (t *term) loadPromise(e store.Entry) {
	t.termRevision = e.Revision
	if e.Revision == store.Absent {
		return
	}
	var r TermRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		t.log.Error("owner: the record of the term before can't be decoded", zap.Error(err))
		return
	}
	if r.Epoch+1 == t.claim.Epoch {
		t.predecessor = &r
	}
}

// predecessorLeases returns how much longer workers may hold leases that earlier owners have ordered.
func (t *term) predecessorLeases() time.Duration {
	grace := unpromisedGrace
	if t.predecessor != nil {
		grace = t.predecessor.Grace
	}
	return grace + t.maxWorkerLease() - t.owner.since(t.claim.committedAt)
}

// isUsed reports whether the stored list names a worker that may run tasks.
func (t *term) isUsed(id ids.InstanceID) bool {
	_, used := slices.BinarySearch(t.usedWorkers, id)
	return used
}

// isUsedUnreadable reports whether the stored list can't be read, so that any worker may run tasks.
func (t *term) isUsedUnreadable() bool { return t.isUsed(unreadableWorker) }

// mayHaveRuns reports whether a worker may have runs of earlier owners. A worker that has never answered one has none.
func (t *term) mayHaveRuns(id ids.InstanceID) bool { return t.isUsed(id) || t.isUsedUnreadable() }

// addPromise adds the record of this term to a batch that has room for it.
func (t *term) addPromise(b *batch) {
	if t.termStored || len(b.records) == maxBatchRecords {
		return
	}
	b.promise = &TermRecord{Epoch: t.claim.Epoch, Grace: orderGrace}
}

// addPromiseTo adds a batch's record of the term to its transaction.
func (t *term) addPromiseTo(tx *store.Transaction, promise TermRecord) {
	value, err := json.Marshal(promise)
	if err != nil {
		t.log.Error("records: the record of the term can't be encoded", zap.Error(err))
		return
	}
	tx.Conditions = append(tx.Conditions, store.Condition{Key: keyTerm, Revision: t.termRevision})
	tx.Sets = append(tx.Sets, store.Set{Key: keyTerm, Value: value})
}
