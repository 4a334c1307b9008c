package poolowner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// watchHealth logs and counts the failures of the watches of one prefix and their recovery. It is used by one goroutine.
	watchHealth struct {
		owner  *Owner
		log    *zap.Logger
		prefix string
		// failures counts the consecutive failures, failedSince is when the first of these watches was sent, and hung is set if
		// one of them got no answer.
		failures    int
		failedSince time.Time
		hung        bool
	}

	// listEntry is an entry of the instance list.
	listEntry struct {
		revision store.Revision
		// writtenAfter is a time before it was written; zero if unknown.
		writtenAfter timestamp
		worker       ListedWorker
		// isReadable is set if the entry names a worker.
		isReadable bool
		// isWarned is set once it was logged that the entry under this key names no worker to use.
		isWarned bool
	}

	// prefixWatch maintains a copy of the entries under a prefix.
	prefixWatch struct {
		prefix string
		// wait is the long-poll wait, and batchDelay is a delay after each watch with events, which batches the next ones.
		wait, batchDelay time.Duration
		// onChange receives the entries as they were when a call was sent, or newer. It is called after each call that succeeds.
		onChange func(entries map[string]store.Entry, sent timestamp)
	}
)

const (
	// configWatchWait is the long-poll wait of a watch of the configuration; its return confirms that no newer one was
	// accepted.
	configWatchWait = time.Second
	// workersWatchWait is the longest long-poll wait of a watch of the workers' entries. With watchMargin and a list it is shorter than
	// the default MaxListAge, so that one watch without an answer holds no starts.
	workersWatchWait = 400 * time.Millisecond
	// listAgeWaits is the least number of waits of that watch within MaxListAge: a list that doesn't change is up to two waits old.
	listAgeWaits = 4
	// listTimeout limits a list of a prefix, with listEntryTime for each entry that is expected. It is shorter than the time after an
	// outage for which the platform tolerates an outdated list.
	listTimeout = 2 * storeCallTimeout
	// listEntryTime is the time that a worker's entry takes over a link of 10 Mbit/s.
	listEntryTime = 500 * time.Microsecond
	// maxListDoublings limits how often the time limit of a list doubles.
	maxListDoublings = 6
	// workersBatchDelay is the delay between watches that batches the changes of many workers.
	workersBatchDelay = 100 * time.Millisecond
)

// failed records the failure of a watch, or of a list in its place, that had a timeout. The first failure in a row is logged, and
// so is the first one without an answer.
func (h *watchHealth) failed(err error, sent time.Time, timeout time.Duration, after store.Revision) {
	took := time.Since(sent)
	hung := took >= timeout
	message := "store: watch failed"
	if hung {
		message = "store: watch got no answer"
		h.owner.metrics.WatchesUnanswered.Add(1)
	} else {
		h.owner.metrics.WatchesFailed.Add(1)
	}
	if h.failures == 0 {
		h.failedSince = sent
	}
	h.failures++
	if h.failures == 1 || hung && !h.hung {
		h.log.Warn(message, zap.String("prefix", h.prefix), zap.Uint64("revision", uint64(after)), zap.Duration("took", took), zap.Duration("timeout", timeout),
			zap.String("dataCentre", string(h.owner.DataCentre)), zap.Duration("contactAge", h.owner.ContactAge()), zap.Error(err))
	}
	h.hung = h.hung || hung
}

// returned records the return of a watch, or of a list in its place.
func (h *watchHealth) returned() {
	if h.failures > 0 {
		h.log.Info("store: watch works again", zap.String("prefix", h.prefix), zap.Int("failures", h.failures), zap.Duration("after", time.Since(h.failedSince)))
	}
	h.failures, h.hung = 0, false
}

// run watches the prefix from a list of its entries until the term ends. After a failure it lists the prefix: the answer
// comes at once and depends on neither the history nor the watch.
func (p prefixWatch) run(t *term, entries []store.Entry, revision store.Revision) {
	known := entriesByKey(entries)
	health := watchHealth{owner: t.owner, log: t.log, prefix: p.prefix}
	mustList := false
	// unanswered is the number of lists in a row that got no answer in time.
	unanswered := 0
	for t.ctx.Err() == nil {
		sent := t.owner.now()
		if mustList {
			list, at, err := t.listPrefix(p.prefix, len(known), unanswered)
			if err == nil && at < revision {
				err = errStale
			}
			if err != nil {
				if t.owner.since(sent) >= storeCallTimeout {
					unanswered++
				}
				p.failed(t, &health, errors.Wrap(err, "listing"), sent, storeCallTimeout, revision)
				continue
			}
			health.returned()
			unanswered = 0
			mustList, revision, known = false, at, entriesByKey(list)
			p.onChange(maps.Clone(known), sent)
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, p.wait+watchMargin)
		events, at, err := t.owner.Store.Watch(ctx, p.prefix, revision, p.wait)
		cancel()
		switch {
		case t.ctx.Err() != nil:
			return
		case errors.Is(err, store.ErrCompacted):
			t.log.Info("store: the history of a watch was discarded", zap.String("prefix", p.prefix), zap.Uint64("revision", uint64(revision)))
			mustList = true
		case err == nil && at < revision:
			// The events of a replica that lags could bring back entries that were removed.
			mustList = true
			p.failed(t, &health, errStale, sent, p.wait+watchMargin, revision)
		case err != nil:
			mustList = true
			p.failed(t, &health, err, sent, p.wait+watchMargin, revision)
		default:
			health.returned()
			revision = at
			for _, e := range events {
				// Later pages of a list may be newer than the revision from which the watch continues.
				if e.Revision < known[e.Key].Revision {
					continue
				}
				if e.Deleted {
					delete(known, e.Key)
				} else {
					known[e.Key] = e.Entry
				}
			}
			p.onChange(maps.Clone(known), sent)
			if len(events) > 0 {
				pause.For(t.ctx, p.batchDelay)
			}
		}
	}
}

// failed handles the failure of a watch or of a list in its place, and waits before the next call.
func (p prefixWatch) failed(t *term, h *watchHealth, err error, sent timestamp, timeout time.Duration, revision store.Revision) {
	if t.ctx.Err() != nil {
		return
	}
	h.failed(err, sent.at, timeout, revision)
	pause.For(t.ctx, jitter(storeRetryDelay))
}

func entriesByKey(entries []store.Entry) map[string]store.Entry {
	known := make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		known[e.Key] = e
	}
	return known
}

// listPrefix lists the entries under a prefix, of which a number is expected. The entries may be larger than expected, so that each list without an answer doubles
// the time limit of the next.
func (t *term) listPrefix(prefix string, expected, unanswered int) ([]store.Entry, store.Revision, error) {
	timeout := listTimeout + time.Duration(expected)*listEntryTime
	timeout = max(timeout, min(timeout<<min(unanswered, maxListDoublings), maxReadTimeout))
	if t.isStoreUnavailable() {
		// A call that is sent during an outage may get no answer after it either.
		timeout = storeCallTimeout
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	return t.owner.Store.List(ctx, prefix)
}

func (t *term) watchConfig(entries []store.Entry, revision store.Revision) {
	wait := min(configWatchWait, t.owner.Times.MaxEvacuationAge/listAgeWaits)
	w := prefixWatch{prefix: t.owner.ConfigPrefix, wait: wait, onChange: func(known map[string]store.Entry, sent timestamp) {
		t.owner.markContact()
		list := slices.Collect(maps.Values(known))
		t.post(func() {
			t.setEvacuations(list, sent)
			t.setConfig(list, sent)
		})
	}}
	w.run(t, entries, revision)
}

// setConfig applies a configuration, unless a newer one is known.
func (t *term) setConfig(entries []store.Entry, sent timestamp) {
	for _, e := range entries {
		if e.Key != t.owner.ConfigKey {
			continue
		}
		if e.Revision > t.configRevision {
			c, err := t.owner.Catalog(e.Value)
			if err != nil {
				t.log.Error("configuration: it can't be read", zap.Uint64("revision", uint64(e.Revision)), zap.Error(err))
				return
			}
			t.catalog, t.configRevision = c, e.Revision
			t.state.SetAccounts(c.Accounts)
			t.applyPolicies()
			if t.listEntries != nil {
				t.applyWorkers(time.Now())
			}
			t.revalidateWaiting()
			t.log.Info("configuration: in force", zap.Uint64("version", uint64(c.Version)), zap.Uint64("revision", uint64(e.Revision)),
				zap.Int("queues", len(c.Queues)), zap.Int("keys", len(c.Keys)))
		}
		if sent.at.After(t.configConfirmedAt.at) && e.Revision == t.configRevision {
			t.configConfirmedAt = sent
		}
	}
}

// applyPolicies applies the configuration to the accepted jobs. One whose queue is not configured any more keeps what it has.
func (t *term) applyPolicies() {
	queues := make(map[ids.QueueID]*catalog.Queue, len(t.catalog.Queues))
	for i := range t.catalog.Queues {
		queues[t.catalog.Queues[i].ID] = &t.catalog.Queues[i]
	}
	t.state.SetPolicies(func(j *pool.Job) (pool.Policy, bool) {
		q := queues[j.Queue]
		if q == nil {
			return pool.Policy{}, false
		}
		if j.Prefix == "" {
			// An earlier version accepted the job.
			j.Host, j.Prefix = q.Host, q.Prefix
		}
		return q.Policy(), true
	}, time.Now())
}

func (t *term) watchWorkers(entries []store.Entry, revision store.Revision) {
	w := prefixWatch{
		prefix: t.owner.WorkerPrefix, wait: min(workersWatchWait, t.owner.Times.MaxListAge/listAgeWaits), batchDelay: workersBatchDelay,
		onChange: func(known map[string]store.Entry, sent timestamp) {
			list := slices.Collect(maps.Values(known))
			t.post(func() { t.setWorkers(list, sent) })
		},
	}
	w.run(t, entries, revision)
}

// setWorkers applies the instance list as it was when a call was sent, or newer.
func (t *term) setWorkers(entries []store.Entry, sent timestamp) {
	now := time.Now()
	var previous timestamp
	if at := t.listConfirmedAt.Swap(&sent); at != nil {
		previous = *at
	}
	known := make(map[string]*listEntry, len(entries))
	for _, e := range entries {
		if known[e.Key] = t.listEntries[e.Key]; known[e.Key] == nil || known[e.Key].revision != e.Revision {
			known[e.Key] = t.readEntry(e, previous, t.listEntries[e.Key])
		}
	}
	removed := t.removedEntries(known)
	t.listEntries = known
	t.applyWorkers(now)
	for id, unwritten := range removed {
		t.state.EntryRemoved(id, unwritten, now)
	}
}

// readEntry decodes an entry that was written after a time. An entry of another writer may be unreadable; it names no worker.
func (t *term) readEntry(e store.Entry, writtenAfter timestamp, old *listEntry) *listEntry {
	entry := &listEntry{revision: e.Revision, writtenAfter: writtenAfter, isWarned: old != nil && old.isWarned}
	w, err := t.owner.Worker(e.Key, e.Value)
	if err != nil {
		t.warnOfEntry(e.Key, entry, err)
		return entry
	}
	w.revision = e.Revision
	entry.worker, entry.isReadable = w, true
	return entry
}

// warnOfEntry logs once that an entry names no worker to use.
func (t *term) warnOfEntry(key string, e *listEntry, cause error) {
	if !e.isWarned {
		e.isWarned = true
		// The cause may quote a part of the entry, of any length.
		t.log.Warn("workers: an entry names no worker to use", zap.String("key", key), zap.String("error", fmt.Sprintf("%.200s", cause.Error())))
	}
}

// applyWorkers applies the entries of the instance list by the configuration.
func (t *term) applyWorkers(now time.Time) {
	listed := make(map[ids.InstanceID]ListedWorker, len(t.listEntries))
	for key, e := range t.listEntries {
		w := e.worker
		if !e.isReadable {
			continue
		}
		if !t.mayUse(w) {
			t.warnOfEntry(key, e, errors.Newf("no configuration names its service %q", w.Service))
			continue
		}
		if old := t.listed[w.ID]; w.Draining && old.Draining && old.Incarnation == w.Incarnation {
			// The notice began when the worker was first listed as draining.
			w.LeavesAt, w.Notice = old.LeavesAt, old.Notice
		} else if w.Draining && w.Notice > 0 {
			w.LeavesAt = now.Add(w.Notice)
		}
		w.ColdUntil = coldUntil(w, t.listed[w.ID], now)
		listed[w.ID] = w
	}
	t.logListChanges(listed)
	t.listed = listed
	workers := make([]pool.Worker, 0, len(listed))
	for id, w := range listed {
		workers = append(workers, w.Worker)
		t.state.EntryReplaced(id, w.Incarnation, now)
	}
	t.state.SetWorkers(workers)
	for id, w := range listed {
		l := t.links[id]
		if l != nil && l.address != w.Address {
			t.removeLink(l)
			l = nil
		}
		if l == nil {
			t.links[id] = t.newLink(w)
			t.usedUpToDate = false
			continue
		}
		l.service = w.Service
	}
}

// mayUse reports whether a worker is of a service that the configuration names, or has been used while an earlier one named it. An entry that names yet another
// service in place of a linked worker's is not that worker's.
func (t *term) mayUse(w ListedWorker) bool {
	if t.catalog == nil || len(t.catalog.Services) == 0 || t.catalog.Services[w.Service] {
		return true
	}
	if l := t.links[w.ID]; l != nil {
		return l.service == w.Service
	}
	return t.isUsed(w.ID)
}

// removedEntries returns the listed workers that have no entry any more, and how long their last entries may not have been written. It returns none if the store
// may have been unavailable to the workers while they wrote their entries.
func (t *term) removedEntries(present map[string]*listEntry) map[ids.InstanceID]time.Duration {
	if failed := t.renewalFailedAt.Load(); failed != nil && t.owner.since(*failed) < pool.EntryLifetimes*t.state.Times.EntryInterval {
		return nil
	}
	removed := make(map[ids.InstanceID]time.Duration)
	for id := range t.listed {
		key := t.owner.WorkerPrefix + string(id)
		if last := t.listEntries[key]; present[key] == nil && last != nil {
			removed[id] = t.owner.since(last.writtenAfter)
		}
	}
	return removed
}

// coldUntil returns until when a worker is slow after its start. An entry that was read before keeps its time, since its remaining time is
// that of its writing; a later entry may end the time early.
func coldUntil(w, old ListedWorker, now time.Time) time.Time {
	known := old.ID == w.ID && old.Incarnation == w.Incarnation
	switch {
	case known && old.revision == w.revision:
		return old.ColdUntil
	case w.ColdRemaining > 0:
		return now.Add(w.ColdRemaining)
	case known && old.ColdUntil.After(now):
		return now
	case known:
		return old.ColdUntil
	}
	return time.Time{}
}

// logListChanges logs the changes of the instance list.
func (t *term) logListChanges(listed map[ids.InstanceID]ListedWorker) {
	for id, w := range listed {
		old, found := t.listed[id]
		switch {
		case !found:
			t.log.Info("workers: listed", zap.String("worker", string(id)), zap.Bool("draining", w.Draining), zap.Duration("notice", w.Notice))
		case old.Draining != w.Draining:
			t.log.Info("workers: draining changed", zap.String("worker", string(id)), zap.Bool("draining", w.Draining), zap.Duration("notice", w.Notice))
		}
	}
	for id := range t.listed {
		if _, found := listed[id]; !found {
			t.log.Info("workers: no longer listed", zap.String("worker", string(id)))
		}
	}
}
