package poolowner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/logsink"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// heldStart is a start order on a worker that a successor does not account for yet.
type heldStart struct {
	action  pool.Action
	decided timestamp
	// number is that of the call that told the witnesses, and isKept is set once they keep the start.
	number uint64
	isKept bool
}

// order carries out the actions of a scheduling pass. A start on a worker waits until a successor will account for it.
func (t *term) order(actions []pool.Action, decided timestamp, now time.Time) {
	waits := false
	for _, a := range actions {
		if h := (heldStart{action: a, decided: decided}); a.Kind == pool.StartRun {
			if t.isAccountedFor(a.Worker) && t.maySend(h) {
				t.send(h)
				continue
			}
			t.heldStarts = append(t.heldStarts, h)
			waits = true
			continue
		}
		held := slices.IndexFunc(t.heldStarts, func(h heldStart) bool { return h.action.Worker == a.Worker && h.action.Run == a.Run })
		if held < 0 {
			t.dispatch(a, decided)
			continue
		}
		// The run was stopped before its start was sent.
		t.heldStarts = slices.Delete(t.heldStarts, held, held+1)
		t.state.RunRefused(a.Worker, a.Run, errNotSent, false, now)
	}
	if waits {
		time.AfterFunc(witnessDelay, func() { t.post(t.tellWitnesses) })
	}
}

// send sends a start.
func (t *term) send(h heldStart) {
	t.rememberUnstored(h)
	t.dispatch(h.action, h.decided)
}

// isAccountedFor reports whether a successor will wait for leases that this owner orders on a worker: the stored list of used workers names it, the record of this term
// is stored, and does not name it as lapsing.
func (t *term) isAccountedFor(id ids.InstanceID) bool {
	return t.termStored && t.isUsed(id) && !t.isLapsing(id)
}

// releaseStarts sends the held orders to workers that a successor accounts for now, and drops those of runs that have been abandoned.
func (t *term) releaseStarts(now time.Time) {
	t.heldStarts = slices.DeleteFunc(t.heldStarts, func(h heldStart) bool {
		switch {
		case !t.state.MayStart(h.action.Worker, h.action.Run):
			t.state.RunRefused(h.action.Worker, h.action.Run, errNotSent, false, now)
		case t.isAccountedFor(h.action.Worker) && t.state.HasReported(h.action.Worker) && t.maySend(h):
			t.send(h)
		default:
			return false
		}
		return true
	})
}

// dispatch sends the order of one action that was decided at a time.
func (t *term) dispatch(a pool.Action, decided timestamp) {
	l := t.links[a.Worker]
	switch a.Kind {
	case pool.StartRun:
		if l == nil {
			t.state.RunRefused(a.Worker, a.Run, errNotSent, false, time.Now())
			return
		}
		l.markLeaseOrdered()
	case pool.StopRun:
		if l == nil {
			t.state.StopUndelivered(a.Worker, a.Run)
			return
		}
	}
	if t.orders.add(&l.orders, queuedOrder{action: a, decided: decided}) {
		t.spawn("orders", t.sendOrders)
	}
}

// sendOrders sends the orders that may be sent, until there is none. Each call of it is one order under way.
func (t *term) sendOrders() {
	for {
		q, o, ok := t.orders.take()
		if !ok {
			return
		}
		if l := q.link; o.action.Kind == pool.StartRun {
			l.start(o)
		} else if !l.stop(o) {
			t.post(func() { t.state.StopUndelivered(l.id, o.action.Run) })
		}
		t.orders.returned(q)
	}
}

// start starts a run and reports the outcome to the term, also if the link is closed meanwhile: the worker may have another address.
func (l *link) start(queued queuedOrder) {
	t, a, decided := l.term, queued.action, queued.decided
	o := worker.StartRunRequest{Run: a.Run, Payload: a.Payload, Checkpoint: a.Checkpoint}
	// unknown means that an order may have been executed, or may still be.
	unknown := false
	// checked is when the run was last found to be one that may start.
	checked := decided
	for attempt := range maxStartAttempts {
		if attempt > 0 || queued.waited || t.owner.since(decided) > maxOrderAge {
			valid := false
			if checked, valid = l.mayStart(a.Run); !valid {
				break
			}
			l.logLateStart(a.Run, attempt+1, t.owner.since(decided))
		}
		if l.ctx.Err() != nil {
			break
		}
		if o.Lease = t.workerLease(); o.Lease <= 0 {
			break
		}
		// The timeout counts from the check: after a pause of the process the order is not sent without another check. A pause
		// between the client's look at the deadline and its write to the connection is not detected.
		ctx, cancel := context.WithDeadline(l.ctx, checked.at.Add(workerCallTimeout))
		if t.owner.since(checked) >= workerCallTimeout {
			cancel()
			continue
		}
		l.markLeaseOrdered()
		o.Epoch = l.token()
		err := l.runs.Start(ctx, o)
		cancel()
		t.owner.metrics.Starts.Add(1)
		switch {
		case err == nil:
			t.post(func() { t.state.RunStarted(l.id, a.Run, time.Now()) })
			return
		case l.isOutdated(o.Epoch, err), errors.Is(err, worker.ErrLeaseExpired):
			continue
		case errors.Is(err, worker.ErrFenced):
			t.end("worker " + string(l.id) + " follows a newer owner")
			return
		case !unknown && isRefusal(err):
			t.post(func() { t.state.RunRefused(l.id, a.Run, err, errors.Is(err, worker.ErrUnhealthy), time.Now()) })
			return
		}
		if !unknown {
			unknown = true
			t.post(func() { t.state.RunStartUnanswered(l.id, a.Run, time.Now()) })
		}
		t.owner.metrics.StartsUnknown.Add(1)
		t.log.Warn("orders: no answer to a start order", zap.String("job", string(a.Run.Job)), zap.Int("step", a.Run.Step), zap.Int("task", a.Run.Index),
			zap.Uint64("run", uint64(a.Run.Number)), zap.String("worker", string(l.id)), zap.Error(err))
		if a.Once {
			break
		}
	}
	if !unknown {
		t.post(func() { t.state.RunRefused(l.id, a.Run, errNotSent, false, time.Now()) })
		return
	}
	// A report that lists the run confirms it.
	l.poll()
	t.post(func() { t.state.RunStartUnknown(l.id, a.Run, time.Now()) })
}

// mayStart returns the time of the check and whether a delayed or repeated order to start a run may still be sent. The run may have been abandoned,
// its worker may be draining, or it may have ended on a worker that has restarted since and has no record of it. Such a worker
// doesn't know the newest epoch either, so an instance sends late orders only if it is certain that it is still the owner.
func (l *link) mayStart(r worker.Run) (timestamp, bool) {
	t := l.term
	// They are not results: the check may still run after the link is closed.
	var checked timestamp
	valid, reported := false, false
	if err := t.do(l.ctx, func() { valid, reported = t.state.MayStart(l.id, r), t.state.HasReported(l.id) }); err != nil || !valid {
		return timestamp{}, false
	}
	if !reported {
		// The runs of a new process are not known before it has answered a call with its own token.
		l.poll()
	}
	if err := t.do(l.ctx, func() {
		checked = t.owner.now()
		valid = t.state.HasReported(l.id) && t.state.MayStart(l.id, r) && !t.currentListState().holdsStarts() && !t.currentEvacuationState().holdsStarts() && t.isStillOwner()
	}); err != nil {
		return timestamp{}, false
	}
	return checked, valid
}

// logLateStart logs an order that is repeated, or that waited for other orders to its worker longer than they usually take.
func (l *link) logLateStart(r worker.Run, attempt int, after time.Duration) {
	if attempt == 1 && after < lateStartDelay {
		return
	}
	l.term.log.Named(logsink.Complete).Info("orders: late start", zap.String("job", string(r.Job)), zap.Int("step", r.Step), zap.Int("task", r.Index), zap.Uint64("run", uint64(r.Number)),
		zap.String("worker", string(l.id)), zap.Int("attempt", attempt), zap.Duration("after", after), zap.Duration("listAge", l.term.listAge()))
}

// isRefusal reports whether an error of a start means that the run does not exist on the worker and that this order will
// never start it.
func isRefusal(err error) bool {
	return errors.IsAny(err, worker.ErrNoCapacity, worker.ErrUnhealthy, worker.ErrIncarnationMismatch, worker.ErrInvalid, worker.ErrNotListening)
}

// stop stops a run, and reports whether that was confirmed or needs no further order. An order without an answer is repeated while the worker answers other calls;
// one that is silent gets it again with its next report.
func (l *link) stop(queued queuedOrder) (done bool) {
	t, a := l.term, queued.action
	if queued.waited && !t.mayStop(l.id, a.Run) {
		return false
	}
	for l.ctx.Err() == nil {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, workerCallTimeout)
		token := l.token()
		err := l.runs.Stop(ctx, token, a.Run)
		cancel()
		t.owner.metrics.Stops.Add(1)
		switch {
		case err == nil || errors.Is(err, worker.ErrSuperseded):
			t.post(func() {
				now := time.Now()
				t.state.StopConfirmed(l.id, a.Run, now)
				l.expectEnds(now)
			})
			return true
		case l.isOutdated(token, err):
			continue
		case errors.Is(err, worker.ErrFenced):
			t.end("worker " + string(l.id) + " follows a newer owner")
			return true
		case l.ctx.Err() != nil:
		case errors.IsAny(err, worker.ErrIncarnationMismatch, worker.ErrNotListening):
			// Renewals find out when the worker can be reached again.
			l.callFailed(err, sent, failedAt(sent, 0))
			return false
		case !isRefusal(err):
			// The renewal in flight may wait 1 s longer before it detects this.
			l.callFailed(err, sent, failedAt(sent, 0))
		}
		if !t.mayStop(l.id, a.Run) {
			break
		}
		pause.For(l.ctx, jitter(workerRetryDelay))
	}
	return false
}

// mayStop reports whether a stop order may be sent that has waited or got no answer. A silent worker, and the next incarnation of a process that has ended, gets it with
// the next report.
func (t *term) mayStop(id ids.InstanceID, r worker.Run) bool {
	may := false
	if err := t.do(t.ctx, func() { may = t.state.HasRun(id, r) && t.state.Answers(id) }); err != nil {
		return false
	}
	return may
}

// expectEnds requests a report once the runs that were stopped must have ended, unless their ends are listed by then: the worker lists no end of a run that it never
// started. One report is requested for all stops that are confirmed meanwhile. It is called on the term's goroutine.
func (l *link) expectEnds(now time.Time) {
	l.stopConfirmedAt = now
	if !l.isReportDue {
		l.isReportDue = true
		time.AfterFunc(l.reportDelay(), func() { l.term.post(l.requestReport) })
	}
}

func (l *link) reportDelay() time.Duration { return l.term.owner.Pool.Stop + workerRetryDelay }

func (l *link) requestReport() {
	l.isReportDue = false
	if l.ctx.Err() != nil || !l.term.state.AwaitsEnds(l.id) {
		return
	}
	l.term.spawn("a report after stops", l.poll)
	if now := time.Now(); now.Sub(l.stopConfirmedAt) < l.reportDelay() {
		l.expectEnds(l.stopConfirmedAt)
	}
}

// poll requests a report.
func (l *link) poll() {
	sent := time.Now()
	report, err := l.sendRenewal(worker.RenewRunsRequest{Epoch: l.token()})
	if err == nil {
		l.deliverReport(report, sent)
	}
}
