package poolowner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// loadState reads what earlier owners stored, and retries until the term ends.
func (t *term) loadState() bool {
	for timeout := readTimeout; t.ctx.Err() == nil; {
		sent := t.owner.now()
		err := t.readStore(timeout)
		if err == nil {
			return true
		}
		if t.owner.since(sent) >= timeout && !t.isStoreUnavailable() {
			timeout = min(2*timeout, maxReadTimeout)
		}
		t.log.Warn("owner: reading the stored state failed", zap.Error(err))
		pause.For(t.ctx, jitter(storeRetryDelay))
	}
	return false
}

func (t *term) readStore(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	sent := t.owner.now()
	var config, workers, records []store.Entry
	var configRev, workersRev store.Revision
	g, ctx := errgroup.WithContext(ctx)
	list := func(what, prefix string, entries *[]store.Entry, revision *store.Revision) {
		g.Go(func() (err error) {
			*entries, *revision, err = t.owner.Store.List(ctx, prefix)
			if err == nil && *revision < t.claim.revision {
				// A replica that lags behind this term's claim may still have workers, keys and records as they were before.
				err = errStale
			}
			return errors.Wrap(err, "listing "+what)
		})
	}
	var usedList, termList, learnedList, speedsList []store.Entry
	var ignored [5]store.Revision
	list("the configuration", t.owner.ConfigPrefix, &config, &configRev)
	list("the workers", t.owner.WorkerPrefix, &workers, &workersRev)
	list("the jobs", prefixJobs, &records, &ignored[0])
	list("the used workers", keyWorkers, &usedList, &ignored[1])
	list("the estimates", keyEstimates, &learnedList, &ignored[2])
	list("the workers' speeds", keySpeeds, &speedsList, &ignored[3])
	list("the term before", keyTerm, &termList, &ignored[4])
	if err := g.Wait(); err != nil {
		return err
	}
	t.owner.markContact()
	used, learned := entryOf(usedList, keyWorkers), entryOf(learnedList, keyEstimates)
	t.usedRevision = used.Revision
	if used.Revision != store.Absent {
		if err := json.Unmarshal(used.Value, &t.usedWorkers); err != nil {
			// Any worker may run tasks of an earlier owner, so recovered jobs wait until all its leases have expired.
			t.log.Error("owner: the list of used workers can't be decoded", zap.Error(err))
			t.usedWorkers = []ids.InstanceID{unreadableWorker}
		}
	}
	t.loadPromise(entryOf(termList, keyTerm))
	t.loadEstimates(learned)
	t.setEvacuations(config, sent)
	t.setConfig(config, sent)
	t.setWorkers(workers, sent)
	t.loadSpeeds(entryOf(speedsList, keySpeeds))
	var jobs []*pool.Job
	for _, e := range records {
		j, err := pool.Decode(e.Value)
		if err == nil && prefixJobs+string(j.ID) != e.Key {
			err = errors.Newf("the record is of job %q", j.ID)
		}
		if err != nil {
			t.log.Error("owner: a job's record can't be decoded", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		t.jobRevisions[j.ID] = e.Revision
		jobs = append(jobs, j)
	}
	t.state.Recover(jobs, time.Now())
	if t.catalog != nil {
		t.applyPolicies()
	}
	if p := t.predecessor; p != nil && p.ArePlacesKnown && !t.isUsedUnreadable() {
		t.places.isCollecting = true
		t.spawn("the collection of places", func() { t.collectPlaces(p.Witnesses) })
	}
	t.log.Info("owner: records read", zap.Int("jobs", len(jobs)), zap.Int("workers", len(t.listed)), zap.Duration("took", t.owner.since(sent)))
	t.spawn("the watch of the configuration", func() { t.watchConfig(config, configRev) })
	t.spawn("the watch of the workers", func() { t.watchWorkers(workers, workersRev) })
	return nil
}

// entryOf returns the entry of a key in a list; its revision is Absent if the key doesn't exist.
func entryOf(list []store.Entry, key string) store.Entry {
	for _, e := range list {
		if e.Key == key {
			return e
		}
	}
	return store.Entry{}
}

// allReported reports whether every listed worker that may have runs of earlier owners has reported. It is called after each event of a recovery, so it must not
// look at all workers.
func (t *term) allReported() bool {
	for id := range t.listed {
		if !t.state.HasReported(id) && t.mayHaveRuns(id) {
			return false
		}
	}
	return true
}

// missingReports returns the number of listed workers that have not reported and may have runs of earlier owners.
func (t *term) missingReports() int {
	missing := 0
	for id := range t.listed {
		if !t.state.HasReported(id) && t.mayHaveRuns(id) {
			missing++
		}
	}
	return missing
}

// endRecovery starts to schedule and to serve calls.
func (t *term) endRecovery() {
	if t.isServing() {
		return
	}
	now := time.Now()
	used, missing := slices.Clone(t.usedWorkers), 0
	for _, id := range t.usedWorkers {
		if _, found := t.listed[id]; !found {
			missing++
		}
	}
	if t.isUsedUnreadable() {
		used = slices.AppendSeq(used, maps.Keys(t.listed))
	}
	// An earlier owner that lost the store may have renewed leases until its own grace period ended.
	until := now.Add(t.predecessorLeases())
	t.state.EndRecovery(used, until, now)
	t.inheritLapsing(now)
	t.owner.term.Store(t)
	t.owner.recovering.Store(false)
	c := t.state.Counts(now)
	t.log.Info("owner: ownership taken", zap.Int("unknown", c.Unknown), zap.Int("runs", c.Runs), zap.Int("jobs", c.LiveJobs), zap.Int("missing", missing))
}
