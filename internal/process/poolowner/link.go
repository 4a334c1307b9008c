package poolowner

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// link renews one worker's lease while something runs there, and carries orders to it.
	link struct {
		term    *term
		id      ids.InstanceID
		address string
		runs    worker.Runs
		ctx     context.Context
		cancel  context.CancelFunc
		// wanted is what the term's goroutine asks of the link, and wake tells of changes.
		wanted atomic.Pointer[wanted]
		wake   chan struct{}
		// ordered is when a lease was last ordered.
		ordered atomic.Pointer[time.Time]
		// followed is when the worker was last asked for a report that it gave in the same life as the one before.
		followed atomic.Pointer[stamp]
		// orders bounds the orders under way, and so the connections.
		orders chan struct{}
	}

	wanted struct {
		busy bool
		// acknowledge is the last end that the store keeps, and seen the last one that was handled, of one life of the worker.
		acknowledge, seen, incarnation uint64
	}
)

// errNotSent tells that an order was given up before it was sent.
var errNotSent = errors.New("the order was not sent")

const (
	// workerCall bounds one call to a worker beyond the time that it may wait.
	workerCall = 450 * time.Millisecond
	// renewWait is how long a worker waits for an end before it answers a renewal: a sixth of its lease.
	renewWait = time.Second
	// ackWindow is how long after a report a worker is told to forget ends without being asked for its life again: less than
	// a process takes to start.
	ackWindow = 50 * time.Millisecond
	// unconfirmedWait is that wait while the lease of ownership is not confirmed, and workers tell whether there is a newer owner.
	unconfirmedWait = 300 * time.Millisecond
	// renewPause is the pause after a renewal that failed.
	renewPause = 150 * time.Millisecond
	// startAttempts bounds the tries of a start that gets no answer; a gang's other members wait 3 s for it.
	startAttempts = 3
	// sweepInterval is the time between looks at all links, which find workers to probe: a fraction of the time after which
	// the lease of ownership counts as not confirmed.
	sweepInterval = 200 * time.Millisecond
	// ordersAtOnce bounds the orders under way at one worker.
	ordersAtOnce = 2
	// goneAfter is the number of refused connections in a row after which a worker's process is taken as ended.
	goneAfter = 2
)

func (t *term) newLink(w Listed) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		term: t, id: w.ID, address: w.Address, runs: t.owner.Dial(w), ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), orders: make(chan struct{}, ordersAtOnce),
	}
	l.wanted.Store(&wanted{busy: true})
	go l.renew()
	return l
}

func (l *link) close() {
	l.cancel()
	l.runs.Close()
}

// updateLinks tells the links of workers that have changed what is wanted of them, and now and then all links.
func (t *term) updateLinks(now time.Time) {
	changed := t.state.Changed()
	if now.Sub(t.swept) < sweepInterval {
		for _, id := range changed {
			if l := t.links[id]; l != nil {
				t.updateLink(l, "")
			}
		}
		return
	}
	t.swept = now
	probe := t.probed()
	for _, l := range t.links {
		t.updateLink(l, probe)
	}
}

// updateLink tells a link what is wanted of it, and closes it if its worker is gone for good.
func (t *term) updateLink(l *link, probe ids.InstanceID) {
	id := l.id
	busy := t.state.Busy(id)
	if _, listed := t.listed[id]; !listed && !busy {
		t.drop(l)
		return
	}
	w := wanted{busy: busy || id == probe, acknowledge: t.state.Acknowledged(id), seen: t.state.Seen(id), incarnation: t.state.Incarnation(id)}
	if old := l.wanted.Load(); *old != w {
		l.wanted.Store(&w)
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// drop closes a link. What it has ordered may still be in force.
func (t *term) drop(l *link) {
	t.noteLease(l)
	l.close()
	delete(t.links, l.id)
	t.usedKept = false
}

// isConfirmed reports whether the lease of ownership was renewed lately.
func (t *term) isConfirmed() bool { return t.owner.since(*t.kept.Load()) < t.owner.Times.Lease/2 }

// probed returns a worker to ask although nothing runs there, while the lease is not confirmed: its answer tells that no newer
// owner has come.
func (t *term) probed() ids.InstanceID {
	if t.isConfirmed() {
		return ""
	}
	var first ids.InstanceID
	for id := range t.listed {
		if t.state.Answers(id) && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// renew renews the lease and collects reports until the link is closed.
func (l *link) renew() {
	// told is the last end that the worker's life with this number was told to forget.
	told, incarnation := uint64(0), uint64(0)
	failures, refused := 0, 0
	var answered time.Time
	for l.ctx.Err() == nil {
		w := l.wanted.Load()
		if !w.busy && w.acknowledge <= told {
			l.sleep(time.Hour)
			continue
		}
		if w.seen > w.acknowledge && failures == 0 {
			// The worker would answer at once with the same ends, which the store doesn't keep yet.
			l.sleep(renewWait)
			w = l.wanted.Load()
		}
		o := worker.RenewOrder{Epoch: l.term.claim.Epoch}
		if failures == 0 && w.incarnation == incarnation && time.Since(answered) < renewWait+workerCall {
			switch {
			case w.acknowledge > told && (time.Since(answered) < ackWindow || l.confirm(incarnation)):
				o.Acknowledged = w.acknowledge
			case w.acknowledge <= told && w.seen <= w.acknowledge:
				o.Wait = renewWait
				if !l.term.isConfirmed() {
					o.Wait = unconfirmedWait
				}
			}
		}
		// A worker that doesn't answer gets no longer lease, so that its runs end in a time that is known.
		if failures == 0 {
			o.Lease = l.term.owner.Times.WorkerLease
			l.markOrdered()
		}
		sent := l.term.owner.now()
		report, err := l.call(o)
		if l.ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				l.term.log.Info("workers: answers again", zap.String("worker", string(l.id)), zap.Int("failures", failures))
			}
			failures, refused = 0, 0
			answered = time.Now()
			told = max(told, o.Acknowledged)
			if life := cmp.Or(report.Incarnation, w.incarnation); life != incarnation {
				// A worker that was restarted follows any owner: it has seen no epoch.
				told, incarnation = 0, life
			} else {
				l.followed.Store(&sent)
			}
			l.reported(report, sent.at)
			continue
		}
		failures++
		if errors.Is(err, worker.ErrGone) {
			refused++
		} else {
			refused = 0
		}
		l.failed(err, failures, refused >= goneAfter, sent.at)
		pause.For(l.ctx, jitter(renewPause))
	}
}

func (l *link) call(o worker.RenewOrder) (worker.RunReport, error) {
	ctx, cancel := context.WithTimeout(l.ctx, o.Wait+workerCall)
	defer cancel()
	l.term.owner.metrics.Renewals.Add(1)
	return l.runs.Renew(ctx, o)
}

// confirm reports whether the worker is still in the given life. A worker that was restarted numbers its ends anew, and
// would forget others than those that are meant.
func (l *link) confirm(incarnation uint64) bool {
	report, err := l.call(worker.RenewOrder{Epoch: l.term.claim.Epoch})
	return err == nil && cmp.Or(report.Incarnation, incarnation) == incarnation
}

func (l *link) markOrdered() {
	now := time.Now()
	l.ordered.Store(&now)
}

// sleep waits until something else is wanted.
func (l *link) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-l.wake:
	case <-timer.C:
	}
}

// reported hands a report to the term and waits until it was handled, so that the next renewal knows what follows from it.
func (l *link) reported(report worker.RunReport, sent time.Time) {
	handled := make(chan struct{})
	l.term.post(func() {
		defer close(handled)
		l.term.state.Reported(l.id, report, sent, time.Now())
	})
	select {
	case <-handled:
	case <-l.ctx.Done():
	}
}

// failed takes note of a renewal that failed.
func (l *link) failed(err error, failures int, gone bool, sent time.Time) {
	t := l.term
	if failures == 1 {
		t.log.Warn("workers: no answer", zap.String("worker", string(l.id)), zap.Error(err))
	}
	t.owner.metrics.RenewalsFailed.Add(1)
	switch {
	case errors.Is(err, worker.ErrFenced):
		t.end("worker " + string(l.id) + " follows a newer owner")
	case errors.Is(err, worker.ErrReborn), gone:
		t.post(func() { t.state.Dead(l.id, "its process has ended: "+err.Error(), time.Now()) })
	default:
		t.post(func() { t.state.Silent(l.id, sent) })
	}
}

// order carries one order out.
func (t *term) order(a pool.Action) {
	l := t.links[a.Worker]
	if l == nil {
		return
	}
	switch a.Kind {
	case pool.StartRun:
		l.markOrdered()
		go l.start(a)
	case pool.StopRun:
		go l.stop(a)
	}
}

// acquire waits for a free place among the orders under way.
func (l *link) acquire() bool {
	select {
	case l.orders <- struct{}{}:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// start starts a run and tells the term how that went.
func (l *link) start(a pool.Action) {
	queued := len(l.orders) == cap(l.orders)
	if !l.acquire() {
		return
	}
	defer func() { <-l.orders }()
	t := l.term
	o := worker.RunOrder{Run: a.Run, Epoch: t.claim.Epoch, Payload: a.Payload, Lease: t.owner.Times.WorkerLease, Checkpoint: a.Checkpoint}
	unknown := false
	for try := range startAttempts {
		if (try > 0 || queued) && !l.mayStart(a.Run) {
			break
		}
		l.markOrdered()
		ctx, cancel := context.WithTimeout(l.ctx, workerCall)
		err := l.runs.Start(ctx, o)
		cancel()
		t.owner.metrics.Starts.Add(1)
		switch {
		case l.ctx.Err() != nil:
			return
		case err == nil:
			t.post(func() { t.state.RunStarted(l.id, a.Run, time.Now()) })
			return
		case errors.Is(err, worker.ErrFenced):
			t.end("worker " + string(l.id) + " follows a newer owner")
			return
		case errors.Is(err, worker.ErrLeaseOver):
			continue
		case !unknown && isRefusal(err):
			t.post(func() { t.state.RunRefused(l.id, a.Run, err, errors.Is(err, worker.ErrUnhealthy), time.Now()) })
			return
		}
		if !unknown {
			unknown = true
			t.post(func() { t.state.RunUnanswered(l.id, a.Run) })
		}
		t.owner.metrics.StartsUnknown.Add(1)
		t.log.Warn("orders: a start was not answered", zap.String("job", string(a.Run.Job)), zap.Int("step", a.Run.Step), zap.Int("task", a.Run.Index),
			zap.Uint64("run", uint64(a.Run.Number)), zap.String("worker", string(l.id)), zap.Error(err))
	}
	if !unknown {
		t.post(func() { t.state.RunRefused(l.id, a.Run, errNotSent, false, time.Now()) })
		return
	}
	t.post(func() { t.state.RunUnknown(l.id, a.Run, time.Now()) })
}

// mayStart reports whether an order to start a run, decided some time ago, may still be sent. The run may have been given up,
// or may have ended on a worker that was restarted since and knows of neither; and only the newest owner sends late orders,
// since such a worker doesn't know the newest epoch either.
func (l *link) mayStart(r worker.Run) bool {
	wanted := false
	if err := l.term.do(l.ctx, func() { wanted = l.term.state.Starting(l.id, r) && l.term.isNewest() }); err != nil {
		return false
	}
	return wanted
}

// isRefusal reports whether an error of a start says that the run does not exist on the worker and never will by this order.
func isRefusal(err error) bool {
	return errors.IsAny(err, worker.ErrNoRoom, worker.ErrUnhealthy, worker.ErrReborn, worker.ErrInvalid, worker.ErrGone)
}

// stop stops a run: it is sent until the worker confirms it or nothing can run there any more.
func (l *link) stop(a pool.Action) {
	if !l.acquire() {
		return
	}
	release := func() { <-l.orders }
	t := l.term
	refused := 0
	for l.ctx.Err() == nil {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, workerCall)
		err := l.runs.Stop(ctx, t.claim.Epoch, a.Run)
		cancel()
		t.owner.metrics.Stops.Add(1)
		switch {
		case l.ctx.Err() != nil:
			release()
			return
		case err == nil || errors.Is(err, worker.ErrSuperseded):
			release()
			t.post(func() { t.state.StopConfirmed(l.id, a.Run, time.Now()) })
			l.look(a)
			return
		case errors.Is(err, worker.ErrFenced):
			release()
			t.end("worker " + string(l.id) + " follows a newer owner")
			return
		case errors.Is(err, worker.ErrGone):
			refused++
		}
		if errors.Is(err, worker.ErrReborn) || refused >= goneAfter {
			release()
			t.post(func() { t.state.Dead(l.id, "its process has ended", time.Now()) })
			return
		}
		if !isRefusal(err) {
			// The renewal under way may wait a second longer before it tells so.
			t.post(func() { t.state.Silent(l.id, sent) })
		}
		if !t.has(l.id, a.Run) {
			break
		}
		pause.For(l.ctx, jitter(renewPause))
	}
	release()
}

// has reports whether a run still takes room on a worker.
func (t *term) has(id ids.InstanceID, r worker.Run) bool {
	found := false
	if err := t.do(t.ctx, func() { found = t.state.Has(id, r) }); err != nil {
		return false
	}
	return found
}

// look asks for a report once a stopped run must have ended, unless the run's end was reported by then. A run that was
// never there ends without a report.
func (l *link) look(a pool.Action) {
	pause.For(l.ctx, l.term.owner.Pool.Stop+renewPause)
	if l.ctx.Err() != nil || !l.term.has(l.id, a.Run) {
		return
	}
	sent := time.Now()
	report, err := l.call(worker.RenewOrder{Epoch: l.term.claim.Epoch, Acknowledged: 0})
	if err == nil {
		l.reported(report, sent)
	}
}
