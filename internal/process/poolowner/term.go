package poolowner

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/logsink"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// term is one period of ownership of the pool, from the claim to its loss.
	term struct {
		owner *Owner
		claim *claim
		log   *zap.Logger
		ctx   context.Context
		end   func(cause string)

		// events are handled one at a time by the term's goroutine, which alone uses the fields below that are not atomic.
		events  chan func()
		state   *pool.State
		catalog *catalog.Catalog
		// configRevision is the store's revision of the configuration, and configConfirmedAt when it was last known to be the
		// newest.
		configRevision    store.Revision
		configConfirmedAt timestamp
		// leaseRenewedAt is when the last successful renewal of the ownership lease was sent.
		leaseRenewedAt atomic.Pointer[timestamp]
		// ownedAt is when the last call was sent whose answer showed that the owner's key is this term's. A lease can be renewed although another instance has
		// taken the key.
		ownedAt atomic.Pointer[timestamp]
		// listEntries holds the entries of the instance list by key, and listed the workers that they name.
		listEntries map[string]*listEntry
		listed      map[ids.InstanceID]ListedWorker
		// listConfirmedAt is when the call was sent whose answer last confirmed the instance list.
		listConfirmedAt atomic.Pointer[timestamp]
		// renewalFailedAt is when the last renewal of the ownership lease was sent that the store didn't answer.
		renewalFailedAt atomic.Pointer[timestamp]
		// listState is the state of the list at the last scheduling pass, and listStateSince is when it began.
		listState      listState
		listStateSince time.Time
		// evacuationsConfirmedAt is when the call was sent whose answer last confirmed the requests to evacuate, and evacuationState the
		// state of that view at the last scheduling pass.
		evacuationsConfirmedAt atomic.Pointer[timestamp]
		evacuationState        listState
		// unknownDataCentres are the requested data centres without workers, each logged once.
		unknownDataCentres map[ids.DataCentreID]bool
		links              map[ids.InstanceID]*link
		// answered holds the linked workers that have reported to this owner.
		answered map[ids.InstanceID]bool
		// firstRenewals limits the first renewals in flight to workers that have answered an owner, and unheardRenewals those to others, which may never answer.
		firstRenewals, unheardRenewals chan struct{}
		// unheardRetries limits the further renewals to workers that have never answered.
		unheardRetries *retryPacer
		// jobRevisions are the store's revisions of the jobs' records.
		jobRevisions map[ids.JobID]store.Revision
		waiters      map[ids.JobID][]*waiter
		superseded   supersededCalls
		// orders are the orders that wait to be sent to the workers, and those under way.
		orders dispatcher
		// heldStarts are the starts on workers that a successor does not account for yet.
		heldStarts []heldStart
		places     placeLedger
		// writeBlocked is set while the next batch has to wait, and inFlight is the batch being committed.
		writeBlocked bool
		inFlight     *batch
		// storeFailingSince is when the store began to fail; zero if it answers.
		storeFailingSince time.Time
		// usedWorkers is the stored list of the workers that may run tasks, and usedRevision its revision.
		usedWorkers  []ids.InstanceID
		usedRevision store.Revision
		// usedUpToDate means that the stored list was correct at the last check, when unknownAtCheck workers were unknown, and
		// that no link was added or removed and no worker has answered for the first time since.
		usedUpToDate   bool
		unknownAtCheck int
		// predecessor is the record of the term before this one; nil if there is none. termStored is set once that of this term is stored, and termRevision is the
		// revision of the latest one.
		predecessor  *TermRecord
		termStored   bool
		termRevision store.Revision
		// termSavedAt is when the record of this term was last written, and termOutdated is set once a worker that it names as lapsing has answered.
		termSavedAt  time.Time
		termOutdated bool
		// returned holds all workers that have ever answered this owner, which may have ordered leases there.
		returned map[ids.InstanceID]bool
		// lapsing holds the workers that the stored record of this term, or the one being written, names as lapsing.
		lapsing atomic.Pointer[map[ids.InstanceID]bool]
		// estimatesRevision is the store's revision of the learned run times, estimatesSavedAt when they were last written,
		// and savedSamples how many samples they included.
		estimatesRevision store.Revision
		estimatesSavedAt  time.Time
		savedSamples      int
		// savingSpeeds is set while the workers' speeds are being written, saveSpeedsAt is when they may be written next, and
		// savedSpeedChanges counts the changes that the stored ones include.
		savingSpeeds      bool
		saveSpeedsAt      time.Time
		savedSpeedChanges int
		// lastSweep is when all links were last updated, and lastPurge when old jobs were last deleted.
		lastSweep time.Time
		lastPurge time.Time
		// panicked is set if a panic ended the term.
		panicked atomic.Bool
	}

	// listState is whether runs may be started by the list of workers.
	listState int
)

const (
	// listCurrent means that the list is not older than MaxListAge.
	listCurrent listState = iota
	// listOutdated means that it is older although the store answers, so that no runs are started.
	listOutdated
	// listUnavailable means that it is older and the store doesn't answer. Runs are still started.
	listUnavailable
	// listExpired means that it is older than MaxCapacityAge, and that some workers start whatever they are ordered to. No runs are started.
	listExpired
)

const (
	eventQueueSize = 4096
	// maxResults is the number of notices and actions from which a scheduling pass is not put off any more.
	maxResults = 1024
	// tickInterval is the interval of scheduling passes without events.
	tickInterval = 100 * time.Millisecond
	// recoveryTimeout is how long a new owner waits for the workers' first reports: the time of two calls. While reports of a large pool
	// arrive, it is extended by recoveryExtension each time, up to maxRecoveryTimeout.
	recoveryTimeout    = 900 * time.Millisecond
	recoveryExtension  = 100 * time.Millisecond
	maxRecoveryTimeout = 2 * recoveryTimeout
	// readTimeout limits the reading of the stored state. It doubles after each attempt that took longer although the store answers
	// other calls: a large state over a slow link would never be read otherwise.
	readTimeout    = 4 * storeCallTimeout
	maxReadTimeout = 8 * readTimeout
	// leaseGrace is how long an owner that can't renew its lease continues to manage its runs: longer than the store's
	// usual outages. Orders stay fenced, and no job is accepted meanwhile.
	leaseGrace = 9 * time.Second
	// confirmationWindow is the time after the sending of a renewal for which the worker's acceptance shows that there is
	// no newer owner. It is the longest time that a renewal takes while the ownership lease is not confirmed, and is
	// shorter than that lease less the time between its renewals.
	confirmationWindow = unconfirmedPollWait + workerCallTimeout
	// maxClockDrift is the fraction by which a worker's clock may be slow: the 2% that the platform specifies, with a
	// margin.
	maxClockDrift = 0.025
	// clockRounding covers the rounding of the worker's clock and of this instance's.
	clockRounding = 50 * time.Millisecond
	// panicDelay is the time after a panic in which this instance doesn't claim ownership.
	panicDelay = time.Second
	// purgeInterval is the time between deletions of jobs that ended long ago.
	purgeInterval = 10 * time.Second
	// unreadableWorker stands for all workers of a list of used workers that can't be read.
	unreadableWorker ids.InstanceID = "(unreadable)"
)

// errStale means that an answer of the store is older than one that this instance has seen.
var errStale = errors.New("the store's answer is older than an earlier one")

// runTerm schedules the pool until ownership is lost or given up, or ctx is done.
func (o *Owner) runTerm(ctx context.Context, c *claim) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &term{
		owner: o, claim: c, log: o.Log.With(zap.Uint64("epoch", uint64(c.Epoch))), ctx: ctx,
		end:    func(cause string) { cancel(errors.New(cause)) },
		events: make(chan func(), eventQueueSize),
		state:  &pool.State{Epoch: c.Epoch, Tokens: c.tokens(), Times: o.Pool},
		listed: make(map[ids.InstanceID]ListedWorker), links: make(map[ids.InstanceID]*link), answered: make(map[ids.InstanceID]bool), returned: make(map[ids.InstanceID]bool),
		unknownDataCentres: make(map[ids.DataCentreID]bool), firstRenewals: make(chan struct{}, maxFirstRenewals), unheardRenewals: make(chan struct{}, maxFirstRenewals), unheardRetries: newRetryPacer(),
		jobRevisions: make(map[ids.JobID]store.Revision), waiters: make(map[ids.JobID][]*waiter),
	}
	t.orders.limit = o.MaxOrders
	t.leaseRenewedAt.Store(&c.grantedAt)
	t.ownedAt.Store(&c.grantedAt)
	t.log.Info("owner: ownership claimed")
	o.metrics.Claims.Add(1)
	o.recovering.Store(true)
	t.spawn("the renewal of the ownership lease", t.renewLease)
	t.spawn("the watch of the owner's key", t.watchSuccessor)
	t.serve()
	o.recovering.Store(false)
	o.term.Store(nil)
	o.metrics.setRunsLeft(nil)
	o.closeWitnesses()
	// In-flight calls end by their timeouts; their results are discarded.
	cancel(nil)
	t.log.Info("owner: ownership ended", zap.NamedError("cause", context.Cause(ctx)))
	t.releaseOwnership()
	if t.panicked.Load() {
		// The cause may persist, so another instance claims first.
		pause.For(ctx, panicDelay)
	}
}

// serve recovers the state and schedules until the term ends.
func (t *term) serve() {
	defer t.endOnPanic("the decisions")
	t.limitMemory()
	if t.loadState() {
		t.run()
	}
}

// post queues an event for the term's goroutine.
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

// run handles events and schedules until the term ends.
func (t *term) run() {
	began, stillMissing := time.Now(), len(t.listed)
	recovery := time.NewTimer(recoveryTimeout)
	defer recovery.Stop()
	ticker := time.NewTicker(tickInterval)
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
			if missing := t.missingReports(); missing < stillMissing && time.Since(began) < maxRecoveryTimeout {
				stillMissing = missing
				recovery.Reset(recoveryExtension)
				break
			}
			t.endRecovery()
		case <-ticker.C:
			t.tick()
		}
		if !t.isServing() && t.allReported() {
			t.endRecovery()
		}
		t.decide()
	}
}

// drainEvents handles the events that are queued already, so that a burst costs one scheduling pass, unless these events have many results: the reports of all workers of a
// pool would have one for each run.
func (t *term) drainEvents() {
	for range eventQueueSize {
		if t.state.Results() >= maxResults {
			return
		}
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// isServing reports whether recovery, in which the workers report their runs, is over.
func (t *term) isServing() bool { return t.owner.term.Load() == t }

// maxWorkerLease returns how long a lease that is ordered now can last on a worker, whose clock may be slow.
func (t *term) maxWorkerLease() time.Duration {
	return time.Duration(float64(t.owner.Times.WorkerLease)*(1+maxClockDrift)) + clockRounding
}

func (t *term) tick() {
	now := time.Now()
	t.limitMemory()
	t.owner.metrics.setCounts(t.state.Counts(now))
	select {
	case t.events <- func() { t.recordLag(time.Since(now)) }:
	default:
		// The queue is full. This goroutine empties it, so it must not wait.
	}
	t.observeEvacuations(now)
	t.refuseWaiting(now)
	t.updateWitnesses(now)
	t.tellWitnesses()
	t.saveSpeeds(now)
	if now.Sub(t.lastPurge) > purgeInterval {
		t.lastPurge = now
		if retired := t.state.RemoveRetired(now); len(retired) > 0 {
			for _, id := range retired {
				delete(t.jobRevisions, id)
			}
			t.spawn("the removal of old jobs", func() { t.purgeJobs(retired) })
		}
	}
}

// limitMemory applies the limit of the memory for jobs, which changes with the settings.
func (t *term) limitMemory() {
	if t.owner.JobMemory != nil {
		t.state.MaxMemory = t.owner.JobMemory()
	}
}

// recordLag records how long an event waited until it was handled. Jobs that are submitted meanwhile wait as long.
func (t *term) recordLag(lag time.Duration) {
	t.owner.metrics.EventDelay.record(lag)
	t.state.Lag = lag
}

// decide runs a scheduling pass and carries out its actions.
func (t *term) decide() {
	now, decided := time.Now(), t.owner.now()
	for _, id := range t.state.Suspects() {
		if l := t.links[id]; l != nil {
			t.recordLeaseExpiry(l)
		}
	}
	t.updateListState(now)
	t.updateEvacuationState()
	t.state.HoldStarts(t.listState.holdsStarts() || t.evacuationState.holdsStarts())
	actions, notices := t.state.Decide(now)
	for _, n := range notices {
		t.logNotice(n)
		t.owner.metrics.observeNotice(n)
	}
	t.order(actions, decided, now)
	t.updateLinks(now)
	t.write()
}

// recordLeaseExpiry records in the state the latest time at which the lease that a link ordered can expire.
func (t *term) recordLeaseExpiry(l *link) {
	if at := l.leaseOrderedAt.Load(); at != nil {
		t.state.ExtendLease(l.id, at.Add(t.maxWorkerLease()))
	}
}

func (t *term) logNotice(n pool.Notice) {
	log := t.log
	if n.Loss != nil {
		// Each loss must be found in the log. The number of workers and that of starts bound these lines.
		log = log.Named(logsink.Complete).With(zap.Inline(lossFields{n.Loss}), zap.Strings("runs", describeRuns(n.Loss.Runs)), zap.Duration("listAge", t.listAge()))
	}
	if n.OwnRun {
		log = log.Named(logsink.Complete)
	}
	if n.Kind == "WorkerCrashed" {
		// The runs on a crashed worker must be found in the log. The workers' restarts bound the number of these lines.
		log = log.Named(logsink.Complete).With(zap.Strings("runs", describeCrashed(n.Crashed)))
	}
	if len(n.Workers) > 0 {
		// Each start must be found in the log, so these lines are not sampled. The workers' capacity bounds their number.
		age := t.listAge()
		t.owner.metrics.StartListAge.record(age)
		log = log.Named(logsink.Complete).With(zap.Any("workers", n.Workers), zap.Duration("listAge", age))
		if n.Previous != nil {
			log = log.With(zap.Object("previous", endingFields{n.Previous}))
		}
	}
	log.Info("decision: "+n.Kind, zap.String("job", string(n.Job)), zap.Int("step", n.Step), zap.Int("task", n.Task), zap.Int("tasks", n.Tasks),
		zap.Uint64("run", uint64(n.Number)), zap.String("worker", string(n.Worker)), zap.String("cause", n.Cause), zap.Duration("after", n.After), zap.Float64("lostCoreSeconds", n.Lost))
}

// describeCrashed returns each run as task, number and age, such as "4c1d/0/2 run 1003 after 12ms".
func describeCrashed(runs []pool.CrashedRun) []string {
	list := make([]string, 0, len(runs))
	for _, r := range runs {
		list = append(list, fmt.Sprintf("%s run %d after %v", r.Task, r.Number, r.Age.Round(time.Millisecond)))
	}
	return list
}

// usedWorkersChanged returns the workers that may run tasks, and whether the stored list differs. The next owner needs
// the list to account for all of them. A worker that has never answered runs nothing.
func (t *term) usedWorkersChanged() ([]ids.InstanceID, bool) {
	unknown := t.state.UnknownWorkers()
	if t.usedUpToDate && len(unknown) == t.unknownAtCheck {
		// The links match the stored list. No worker becomes unknown after recovery, so an equal count means the same
		// workers.
		return nil, false
	}
	list := unknown
	for id := range t.links {
		if t.answered[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, t.usedWorkers) {
		t.usedUpToDate, t.unknownAtCheck = true, len(unknown)
		return nil, false
	}
	return list, true
}
