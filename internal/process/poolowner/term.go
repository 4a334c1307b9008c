package poolowner

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// term is one ownership of the pool, from the claim to its loss.
type term struct {
	owner *Owner
	claim *claim
	log   *zap.Logger
	ctx   context.Context
	end   func(cause string)

	// events are handled one after the other by the term's goroutine, which alone uses the fields below.
	events  chan func()
	state   *pool.State
	catalog *catalog.Catalog
	// configAt is the store's revision of the configuration, and configSeen when it was last known to be the newest.
	configAt   store.Revision
	configSeen stamp
	// kept is when the last renewal of the lease that succeeded was sent.
	kept   atomic.Pointer[stamp]
	listed map[ids.InstanceID]Listed
	// malformed are the entries of the instance list that could not be read, each logged once.
	malformed map[string]bool
	links     map[ids.InstanceID]*link
	// revisions are those of the jobs' records.
	revisions map[ids.JobID]store.Revision
	waiters   map[ids.JobID][]*waiter
	// writing tells that the next batch has to wait, and inFlight is the one that is under way.
	writing  bool
	inFlight *batch
	// storeFailing is when the store began to fail; zero if it answers.
	storeFailing time.Time
	// used is the list of workers that the store has as those that may run tasks.
	used   []ids.InstanceID
	usedAt store.Revision
	// usedKept tells that the list had been compared when unknownKept workers were unknown, and no link has come or gone since.
	usedKept    bool
	unknownKept int
	// estimatesAt is the revision of the learned run times in the store, estimatesSaved when they were last written, and
	// samples how many were taken in by then.
	estimatesAt    store.Revision
	estimatesSaved time.Time
	samples        int
	// swept is when all links were last told what is wanted.
	swept   time.Time
	retired time.Time
}

const (
	eventBacklog = 4096
	// tick is the interval of decisions without events.
	tick = 100 * time.Millisecond
	// recoveryWait is how long a new owner waits for the workers' first reports: two calls.
	recoveryWait = 900 * time.Millisecond
	// leaseSlack is how long an owner that can't renew its lease goes on with what runs: longer than the store's usual outages.
	// Orders stay fenced, and nothing is accepted meanwhile.
	leaseSlack = 9 * time.Second
	// followWindow is how long the answers of workers show that there is no newer owner: a renewal while the lease is not
	// confirmed. It is shorter than the lease less the time between its renewals.
	followWindow = unconfirmedWait + workerCall
	// clockSlack is the part by which a worker's clock may be slow, 2% by the platform's word, with a margin.
	clockSlack = 0.025
	// clockStep covers the rounding of the worker's clock and of ours.
	clockStep = 50 * time.Millisecond
	// retireInterval is the time between removals of jobs that ended long ago.
	retireInterval = 10 * time.Second
)

// lead decides for the pool until ownership is lost, given up, or ctx ends.
func (o *Owner) lead(ctx context.Context, c *claim) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &term{
		owner: o, claim: c, log: o.Log.With(zap.Uint64("epoch", uint64(c.Epoch))), ctx: ctx,
		end:    func(cause string) { cancel(errors.New(cause)) },
		events: make(chan func(), eventBacklog),
		state:  &pool.State{Epoch: c.Epoch, Times: o.Pool},
		listed: make(map[ids.InstanceID]Listed), malformed: make(map[string]bool), links: make(map[ids.InstanceID]*link),
		revisions: make(map[ids.JobID]store.Revision), waiters: make(map[ids.JobID][]*waiter),
	}
	t.kept.Store(&c.kept)
	t.log.Info("owner: ownership claimed")
	o.metrics.Claims.Add(1)
	o.recovering.Store(true)
	go t.keepLease()
	go t.watchSuccessor()
	if t.load() {
		t.run()
	}
	o.recovering.Store(false)
	o.term.Store(nil)
	// Calls that are under way end by their timeouts; nothing that they bring is taken any more.
	cancel(nil)
	t.log.Info("owner: ownership ended", zap.NamedError("cause", context.Cause(ctx)))
	t.release()
}

// release gives the owner's key back if it is still this term's.
func (t *term) release() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	_, err := t.owner.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: keyOwner, Revision: t.claim.revision}}, Deletes: []string{keyOwner},
	})
	if err != nil {
		t.log.Info("owner: the owner's key was not given back, its lease will end", zap.Error(err))
	}
}

// post hands an event to the term's goroutine.
func (t *term) post(event func()) {
	select {
	case t.events <- event:
	case <-t.ctx.Done():
	}
}

// do runs a function on the term's goroutine and waits for it.
func (t *term) do(ctx context.Context, run func()) error {
	finished := make(chan struct{})
	select {
	case t.events <- func() { run(); close(finished) }:
	case <-t.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ErrUnknown
	}
	select {
	case <-finished:
		return nil
	case <-t.ctx.Done():
		return ErrUnknown
	case <-ctx.Done():
		return ErrUnknown
	}
}

// load reads what earlier owners left.
func (t *term) load() bool {
	for t.ctx.Err() == nil {
		err := t.read()
		if err == nil {
			return true
		}
		t.log.Warn("owner: the store's records can't be read", zap.Error(err))
		pause.For(t.ctx, jitter(retryPause))
	}
	return false
}

func (t *term) read() error {
	ctx, cancel := context.WithTimeout(t.ctx, 4*storeCall)
	defer cancel()
	sent := t.owner.now()
	var config, workers, records []store.Entry
	var configRev, workersRev store.Revision
	var used, learned store.Entry
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		config, configRev, err = t.owner.Store.List(ctx, t.owner.ConfigPrefix)
		return errors.Wrap(err, "configuration")
	})
	g.Go(func() (err error) {
		workers, workersRev, err = t.owner.Store.List(ctx, t.owner.WorkerPrefix)
		return errors.Wrap(err, "workers")
	})
	g.Go(func() (err error) {
		records, _, err = t.owner.Store.List(ctx, prefixJobs)
		return errors.Wrap(err, "jobs")
	})
	g.Go(func() (err error) {
		if used, err = t.owner.Store.Get(ctx, keyWorkers); errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return errors.Wrap(err, "used workers")
	})
	g.Go(func() (err error) {
		if learned, err = t.owner.Store.Get(ctx, keyEstimates); errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return errors.Wrap(err, "estimates")
	})
	if err := g.Wait(); err != nil {
		return err
	}
	t.owner.contacted()
	t.usedAt = used.Revision
	if used.Revision != store.Absent {
		if err := json.Unmarshal(used.Value, &t.used); err != nil {
			return errors.Wrap(err, "malformed list of used workers")
		}
	}
	t.setEstimates(learned)
	t.setConfig(config, sent)
	t.setWorkers(workers)
	var jobs []*pool.Job
	for _, e := range records {
		j, err := pool.Decode(e.Value)
		if err != nil {
			t.log.Error("owner: a job's record can't be read", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		t.revisions[j.ID] = e.Revision
		jobs = append(jobs, j)
	}
	t.state.Recover(jobs)
	t.log.Info("owner: records read", zap.Int("jobs", len(jobs)), zap.Int("workers", len(t.listed)), zap.Duration("took", t.owner.since(sent)))
	go t.followConfig(config, configRev)
	go t.followWorkers(workers, workersRev)
	return nil
}

// run handles events and decides until the term ends.
func (t *term) run() {
	recovery := time.NewTimer(recoveryWait)
	defer recovery.Stop()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	t.decide()
	for {
		select {
		case <-t.ctx.Done():
			return
		case event := <-t.events:
			event()
			t.drainEvents()
		case <-recovery.C:
			t.endRecovery()
		case <-ticker.C:
			t.tick()
		}
		if !t.serves() && t.allReported() {
			t.endRecovery()
		}
		t.decide()
	}
}

// drainEvents handles the events that wait already, so that a burst costs one decision.
func (t *term) drainEvents() {
	for range eventBacklog {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// allReported reports whether every listed worker has told what it runs.
func (t *term) allReported() bool {
	for id := range t.listed {
		if !t.state.Known(id) {
			return false
		}
	}
	return true
}

// serves reports whether the time in which the workers report is over.
func (t *term) serves() bool { return t.owner.term.Load() == t }

// endRecovery begins to decide, and to serve.
func (t *term) endRecovery() {
	if t.serves() {
		return
	}
	now := time.Now()
	var missing []ids.InstanceID
	for _, id := range t.used {
		if _, found := t.listed[id]; !found {
			missing = append(missing, id)
		}
	}
	// An earlier owner that lost the store may have renewed leases until its own slack ended.
	until := now.Add(leaseSlack + t.leaseBound())
	t.state.EndRecovery(missing, until, now)
	t.owner.term.Store(t)
	t.owner.recovering.Store(false)
	c := t.state.Counts(now)
	t.log.Info("owner: ownership taken", zap.Int("unknown", c.Unknown), zap.Int("runs", c.Runs), zap.Int("jobs", c.LiveJobs), zap.Int("missing", len(missing)))
}

// leaseBound returns how long a lease that is ordered now can last on a worker, whose clock may be slow.
func (t *term) leaseBound() time.Duration {
	return time.Duration(float64(t.owner.Times.WorkerLease)*(1+clockSlack)) + clockStep
}

func (t *term) tick() {
	now := time.Now()
	t.owner.metrics.observe(t.state.Counts(now))
	t.refuseWaiting(now)
	if now.Sub(t.retired) > retireInterval {
		t.retired = now
		if retired := t.state.Retired(now); len(retired) > 0 {
			for _, id := range retired {
				delete(t.revisions, id)
			}
			go t.remove(retired)
		}
	}
}

// decide carries out what the state decides.
func (t *term) decide() {
	now := time.Now()
	for _, id := range t.state.Suspects() {
		if l := t.links[id]; l != nil {
			t.noteLease(l)
		}
	}
	actions, notices := t.state.Decide(now)
	for _, n := range notices {
		t.logNotice(n)
		t.owner.metrics.observeNotice(n)
	}
	for _, a := range actions {
		t.order(a)
	}
	t.updateLinks(now)
	t.write()
}

// noteLease tells the state until when the lease may last that a link has ordered.
func (t *term) noteLease(l *link) {
	if at := l.ordered.Load(); at != nil {
		t.state.Ordered(l.id, at.Add(t.leaseBound()))
	}
}

func (t *term) logNotice(n pool.Notice) {
	t.log.Info("decision: "+n.Kind, zap.String("job", string(n.Job)), zap.Int("step", n.Step), zap.Int("task", n.Task), zap.Int("tasks", n.Tasks),
		zap.Uint64("run", uint64(n.Number)), zap.String("worker", string(n.Worker)), zap.String("cause", n.Cause), zap.Duration("after", n.After), zap.Float64("lostCoreSeconds", n.Lost))
}

// keepLease renews the ownership's lease until the term ends.
func (t *term) keepLease() {
	const renewals = 5
	for t.ctx.Err() == nil {
		pause.For(t.ctx, jitter(t.owner.Times.Lease/renewals))
		sent := t.owner.now()
		ctx, cancel := context.WithTimeout(t.ctx, t.owner.Times.Lease/3)
		err := t.owner.Store.Keep(ctx, t.claim.lease)
		cancel()
		switch {
		case err == nil:
			t.kept.Store(&sent)
			t.owner.contacted()
		case errors.Is(err, store.ErrNoLease):
			t.end("the lease has ended")
		case t.owner.since(*t.kept.Load()) > t.owner.Times.Lease+leaseSlack:
			t.end("the lease could not be renewed")
		}
	}
}

// isNewest reports whether no other instance serves as the pool's owner yet: the lease can't have ended, or most of the
// workers that are asked have followed this owner so short a time ago that no newer owner can have begun to serve in
// between, also if this process stood still. A newer owner fences the workers that it reaches before it serves.
func (t *term) isNewest() bool {
	if t.owner.since(*t.kept.Load()) < t.owner.Times.Lease {
		return true
	}
	asked, follow := 0, 0
	for _, l := range t.links {
		if !l.wanted.Load().busy {
			continue
		}
		asked++
		if at := l.followed.Load(); at != nil && t.owner.since(*at) < followWindow {
			follow++
		}
	}
	return 2*follow > asked
}

// watchSuccessor ends the term once another instance has claimed the pool.
func (t *term) watchSuccessor() {
	after := t.claim.revision
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, watchWait+watchMargin)
		events, at, err := t.owner.Store.Watch(ctx, keyOwner, after, watchWait)
		cancel()
		if errors.Is(err, store.ErrCompacted) {
			t.checkOwner()
			pause.For(t.ctx, jitter(retryPause))
			after = t.claim.revision
			continue
		}
		if err != nil {
			pause.For(t.ctx, jitter(retryPause))
			continue
		}
		t.owner.contacted()
		after = at
		for _, e := range events {
			if e.Revision != t.claim.revision {
				t.end("the owner's key has changed")
			}
		}
	}
}

// checkOwner ends the term if the owner's key is no longer this term's.
func (t *term) checkOwner() {
	ctx, cancel := context.WithTimeout(t.ctx, storeCall)
	defer cancel()
	entry, err := t.owner.Store.Get(ctx, keyOwner)
	if errors.Is(err, store.ErrNotFound) || (err == nil && entry.Revision != t.claim.revision) {
		t.end("the owner's key has changed")
	}
}

// usedChanged returns the workers that may run tasks, and whether the store has another list of them. The next owner
// needs it to miss none of them.
func (t *term) usedChanged() ([]ids.InstanceID, bool) {
	unknown := t.state.Unknown()
	if t.usedKept && len(unknown) == t.unknownKept {
		// The links are those of the list in the store, and unknown workers are never added.
		return nil, false
	}
	list := unknown
	for id := range t.links {
		list = append(list, id)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, t.used) {
		t.usedKept, t.unknownKept = true, len(unknown)
		return nil, false
	}
	return list, true
}
