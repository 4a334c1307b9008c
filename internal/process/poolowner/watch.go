package poolowner

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// configWait is how long a watch of the configuration waits; its return confirms that nothing newer was accepted.
	configWait = time.Second
	// workersWait is how long a watch of the workers' entries waits.
	workersWait = 5 * time.Second
	// workersPause gathers the changes of many workers into one watch.
	workersPause = 100 * time.Millisecond
)

// followPrefix keeps a copy of the entries under a prefix and hands it on after each change, with the time at which it
// was asked for. It ends with the term.
func (t *term) followPrefix(prefix string, entries []store.Entry, revision store.Revision, wait, gather time.Duration, changed func(entries map[string]store.Entry, sent stamp)) {
	known := make(map[string]store.Entry)
	for _, e := range entries {
		known[e.Key] = e
	}
	for t.ctx.Err() == nil {
		sent := t.owner.now()
		ctx, cancel := context.WithTimeout(t.ctx, wait+watchMargin)
		events, at, err := t.owner.Store.Watch(ctx, prefix, revision, wait)
		cancel()
		switch {
		case err == nil:
			revision = at
			for _, e := range events {
				// The pages of a list are newer than the revision from which the watch goes on.
				if e.Revision < known[e.Key].Revision {
					continue
				}
				if e.Deleted {
					delete(known, e.Key)
				} else {
					known[e.Key] = e.Entry
				}
			}
			changed(maps.Clone(known), sent)
			if len(events) > 0 {
				pause.For(t.ctx, gather)
			}
		case errors.Is(err, store.ErrCompacted):
			if list, at, listed := t.list(prefix); listed {
				revision = at
				clear(known)
				for _, e := range list {
					known[e.Key] = e
				}
				changed(maps.Clone(known), sent)
			}
		default:
			pause.For(t.ctx, jitter(retryPause))
		}
	}
}

func (t *term) list(prefix string) ([]store.Entry, store.Revision, bool) {
	ctx, cancel := context.WithTimeout(t.ctx, 2*storeCall)
	defer cancel()
	entries, revision, err := t.owner.Store.List(ctx, prefix)
	if err != nil {
		t.log.Warn("owner: a prefix can't be listed", zap.String("prefix", prefix), zap.Error(err))
		pause.For(t.ctx, jitter(retryPause))
		return nil, 0, false
	}
	return entries, revision, true
}

func (t *term) followConfig(entries []store.Entry, revision store.Revision) {
	t.followPrefix(t.owner.ConfigPrefix, entries, revision, configWait, 0, func(known map[string]store.Entry, sent stamp) {
		t.owner.contacted()
		list := make([]store.Entry, 0, len(known))
		for _, e := range known {
			list = append(list, e)
		}
		t.post(func() { t.setConfig(list, sent) })
	})
}

// setConfig takes a configuration over, unless a newer one is known.
func (t *term) setConfig(entries []store.Entry, sent stamp) {
	for _, e := range entries {
		if e.Key != t.owner.ConfigKey {
			continue
		}
		if e.Revision > t.configAt {
			c, err := t.owner.Catalog(e.Value)
			if err != nil {
				t.log.Error("configuration: it can't be read", zap.Uint64("revision", uint64(e.Revision)), zap.Error(err))
				return
			}
			t.catalog, t.configAt = c, e.Revision
			t.state.SetAccounts(c.Accounts)
			t.judgeWaiting()
			t.log.Info("configuration: in force", zap.Uint64("version", uint64(c.Version)), zap.Uint64("revision", uint64(e.Revision)),
				zap.Int("queues", len(c.Queues)), zap.Int("keys", len(c.Keys)))
		}
		if sent.at.After(t.configSeen.at) && e.Revision == t.configAt {
			t.configSeen = sent
		}
	}
}

func (t *term) followWorkers(entries []store.Entry, revision store.Revision) {
	t.followPrefix(t.owner.WorkerPrefix, entries, revision, workersWait, workersPause, func(known map[string]store.Entry, _ stamp) {
		list := make([]store.Entry, 0, len(known))
		for _, e := range known {
			list = append(list, e)
		}
		t.post(func() { t.setWorkers(list) })
	})
}

// setWorkers takes the instance list over. Entries that can't be read name no worker.
func (t *term) setWorkers(entries []store.Entry) {
	listed := make(map[ids.InstanceID]Listed, len(entries))
	for _, e := range entries {
		w, err := t.owner.Worker(e.Key, e.Value)
		if err != nil {
			if !t.malformed[e.Key] {
				t.malformed[e.Key] = true
				t.log.Warn("workers: an entry can't be read", zap.String("key", e.Key), zap.Error(err))
			}
			continue
		}
		listed[w.ID] = w
	}
	t.logListed(listed)
	t.listed = listed
	workers := make([]pool.Worker, 0, len(listed))
	for _, w := range listed {
		workers = append(workers, w.Worker)
	}
	t.state.SetWorkers(workers)
	for id, w := range listed {
		l := t.links[id]
		if l != nil && l.address != w.Address {
			t.drop(l)
			l = nil
		}
		if l == nil {
			t.links[id] = t.newLink(w)
			t.usedKept = false
		}
	}
}

// logListed logs what has changed in the instance list.
func (t *term) logListed(listed map[ids.InstanceID]Listed) {
	for id, w := range listed {
		old, found := t.listed[id]
		switch {
		case !found:
			t.log.Info("workers: listed", zap.String("worker", string(id)), zap.Bool("draining", w.Draining))
		case old.Draining != w.Draining:
			t.log.Info("workers: draining", zap.String("worker", string(id)), zap.Bool("draining", w.Draining))
		}
	}
	for id := range t.listed {
		if _, found := listed[id]; !found {
			t.log.Info("workers: no longer listed", zap.String("worker", string(id)))
		}
	}
}
