package poolowner

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// link renews one worker's lease while the worker has runs, and sends orders to the worker.
	link struct {
		term    *term
		id      ids.InstanceID
		address string
		// service is that of the worker's entry. It is used by the term's goroutine only.
		service ids.ServiceID
		runs    worker.RunClient
		ctx     context.Context
		cancel  context.CancelFunc
		// desired is the state that the term's goroutine requests of the link, and wake signals its changes.
		desired atomic.Pointer[desiredState]
		wake    chan struct{}
		// leaseOrderedAt is when a lease was last ordered.
		leaseOrderedAt atomic.Pointer[time.Time]
		// confirmedAt is when the last confirmed renewal was sent: the worker accepted it in the same incarnation as the
		// renewal before it.
		confirmedAt atomic.Pointer[timestamp]
		// answered is set once the worker has answered a renewal at its address.
		answered atomic.Bool
		// heard is set if the worker has answered this owner or an earlier one.
		heard bool
		// orders are those that wait to be sent.
		orders orderQueue
		// stopConfirmedAt is when the worker last confirmed a stop, and isReportDue is set while a report is to be requested after that. They are used by the term's goroutine.
		stopConfirmedAt time.Time
		isReportDue     bool
		// malformed is set once a part of a report could not be read, which is logged once.
		malformed atomic.Bool
	}

	desiredState struct {
		renew bool
		// acknowledge is the number of the last run end that is stored, and handled that of the last one that was
		// processed, both in the given incarnation of the worker.
		acknowledge, handled, incarnation uint64
		// token is the fencing token of calls to the worker.
		token ids.Epoch
	}
)

// errNotSent means that an order was abandoned before it was sent.
var errNotSent = errors.New("the order was not sent")

const (
	// workerCallTimeout limits one call to a worker, in addition to its long-poll wait.
	workerCallTimeout = 450 * time.Millisecond
	// renewPollWait is the long-poll wait of a renewal, in which a worker waits for a run to end: a sixth of its lease.
	renewPollWait = time.Second
	// ackWindow is the time after a report in which run ends are acknowledged without checking the worker's incarnation
	// again: less than a process takes to start.
	ackWindow = 50 * time.Millisecond
	// unconfirmedPollWait replaces renewPollWait while the ownership lease is not confirmed, when the workers' answers
	// show whether there is a newer owner.
	unconfirmedPollWait = 300 * time.Millisecond
	// workerRetryDelay is the delay after a failed call to a worker.
	workerRetryDelay = 150 * time.Millisecond
	// maxStartAttempts limits the attempts to start a run whose worker doesn't answer; a gang's other members wait 3 s
	// for it.
	maxStartAttempts = 3
	// sweepInterval is the time between updates of all links, which also select a worker to probe. It is a fraction of
	// the time after which the ownership lease counts as not confirmed.
	sweepInterval = 200 * time.Millisecond
	// maxOrderAge is the time from the decision to start a run within which the order is sent without a further check. It covers the
	// usual waits of a busy processor; after a longer one the process may have been suspended, and much may have changed.
	maxOrderAge = 50 * time.Millisecond
	// lateStartDelay is the delay of a start order from which it is logged as late. The tasks of a gang on one worker are ordered two
	// at a time, which takes some milliseconds; a scheduling pass later, the choice of the worker may be outdated.
	lateStartDelay = tickInterval
	// maxFirstRenewals limits the first renewals in flight. An instance with little processor time answers so many within the time limit
	// of a call: a call takes 0.12 ms of a core, and with a seventh of one 256 calls take 0.21 s. The limit keeps the wait for the
	// processor out of the call's time.
	maxFirstRenewals = 256
)

func (t *term) newLink(w ListedWorker) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		term: t, id: w.ID, address: w.Address, service: w.Service, runs: t.owner.Dial(w), ctx: ctx, cancel: cancel,
		heard: t.answered[w.ID] || t.mayHaveRuns(w.ID), wake: make(chan struct{}, 1),
	}
	l.orders.link = l
	l.desired.Store(&desiredState{renew: true, token: t.state.Token(w.ID)})
	t.spawn("a worker's renewals", l.renewLoop)
	return l
}

func (l *link) close() {
	l.cancel()
	l.runs.Close()
}

// updateLinks updates the desired state of the links of changed workers, and periodically of all links.
func (t *term) updateLinks(now time.Time) {
	changed := t.state.Changed()
	if now.Sub(t.lastSweep) < sweepInterval {
		for _, id := range changed {
			if l := t.links[id]; l != nil {
				t.updateLink(l, "")
			}
		}
		return
	}
	t.lastSweep = now
	probe := t.probeTarget()
	for _, l := range t.links {
		t.updateLink(l, probe)
	}
}

// updateLink updates the desired state of a link, and removes the link if its worker is neither listed nor busy.
func (t *term) updateLink(l *link, probe ids.InstanceID) {
	id := l.id
	busy := t.state.Busy(id)
	if _, listed := t.listed[id]; !listed && !busy {
		t.removeLink(l)
		delete(t.answered, id)
		return
	}
	w := desiredState{renew: busy || id == probe, acknowledge: t.state.AcknowledgedEnd(id), handled: t.state.HandledEnd(id), incarnation: t.state.Incarnation(id), token: t.state.Token(id)}
	l.setDesired(w)
}

// setDesired changes the desired state.
func (l *link) setDesired(w desiredState) {
	if old := l.desired.Load(); *old != w {
		l.desired.Store(&w)
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// removeLink closes and removes a link. A lease that it ordered may still be in force.
func (t *term) removeLink(l *link) {
	t.recordLeaseExpiry(l)
	l.close()
	delete(t.links, l.id)
	t.usedUpToDate = false
}

// isLeaseConfirmed reports whether the ownership lease was renewed recently.
func (t *term) isLeaseConfirmed() bool {
	return t.owner.since(*t.leaseRenewedAt.Load()) < t.owner.Times.Lease/2
}

// probeTarget returns a worker to renew even if nothing runs there, while the ownership lease is not confirmed: its
// answer shows that there is no newer owner.
func (t *term) probeTarget() ids.InstanceID {
	if t.isLeaseConfirmed() {
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

// renewLoop renews the lease and collects reports until the link is closed.
func (l *link) renewLoop() {
	// acknowledged is the last run end that was acknowledged to this incarnation of the worker.
	acknowledged, incarnation := uint64(0), uint64(0)
	// token is that of the last renewal which this incarnation has answered.
	token := ids.Epoch(0)
	failures := 0
	// failed is the earliest time at which the worker may have stopped answering since its last answer.
	var answered, failed time.Time
	for l.ctx.Err() == nil {
		w := l.desired.Load()
		if !w.renew && w.acknowledge <= acknowledged {
			l.waitForChange(time.Hour)
			continue
		}
		if w.handled > w.acknowledge && failures == 0 {
			// The worker would answer at once with the same run ends, which are not stored yet.
			l.waitForChange(renewPollWait)
			w = l.desired.Load()
		}
		o := worker.RenewRunsRequest{Epoch: w.token}
		if failures == 0 && w.incarnation == incarnation && w.token == token && time.Since(answered) < renewPollWait+workerCallTimeout {
			switch {
			case w.acknowledge > acknowledged && (time.Since(answered) < ackWindow || l.confirmIncarnation(incarnation)):
				o.Acknowledged = w.acknowledge
			case w.acknowledge <= acknowledged && w.handled <= w.acknowledge:
				o.Wait = renewPollWait
				if !l.term.isLeaseConfirmed() {
					o.Wait = unconfirmedPollWait
				}
			}
		}
		first := answered.IsZero()
		if first && !l.acquireFirst() {
			return
		}
		// The lease of a worker that doesn't answer is not extended, so that its runs end by a known time. One that has not answered yet has none of this owner.
		if lease := l.term.workerLease(); failures == 0 && lease > 0 && l.answered.Load() && !l.term.isLapsing(l.id) {
			o.Lease = lease
			l.markLeaseOrdered()
		}
		sent := l.term.owner.now()
		report, err := l.sendRenewal(o)
		if first {
			<-l.firstSlots()
		}
		if l.ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				l.term.log.Info("workers: answering again", zap.String("worker", string(l.id)), zap.Int("failures", failures))
				if !l.heard && !l.answered.Load() {
					l.term.unheardRetries.succeeded()
				}
			}
			failures = 0
			answered = time.Now()
			if !l.answered.Swap(true) {
				// Until it followed this owner, an earlier one may have ordered a lease.
				l.markLeaseOrdered()
			}
			acknowledged, token = max(acknowledged, o.Acknowledged), o.Epoch
			if reported := cmp.Or(report.Incarnation, w.incarnation); reported != incarnation {
				// A restarted worker has seen no epoch and accepts any owner, so its answer confirms nothing.
				acknowledged, incarnation = 0, reported
			} else {
				l.confirmedAt.Store(&sent)
			}
			l.deliverReport(report, sent.at)
			continue
		}
		if l.isOutdated(o.Epoch, err) {
			continue
		}
		if failures++; failures == 1 {
			failed = failedAt(sent.at, o.Wait)
		}
		l.renewalFailed(err, failures, sent.at, failed)
		l.pauseBeforeRetry(failures)
	}
}

// acquireFirst waits until the first renewal may be sent. A new owner of a large pool sends them to all workers at once.
func (l *link) acquireFirst() bool {
	select {
	case l.firstSlots() <- struct{}{}:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *link) sendRenewal(o worker.RenewRunsRequest) (worker.RunReport, error) {
	ctx, cancel := context.WithTimeout(l.ctx, o.Wait+workerCallTimeout)
	defer cancel()
	l.term.owner.metrics.Renewals.Add(1)
	report, err := l.runs.Renew(ctx, o)
	report.Token = o.Epoch
	return report, err
}

// confirmIncarnation reports whether the worker is still in the given incarnation. A restarted worker numbers its run
// ends from the start again, so an acknowledgement for its earlier incarnation would discard the wrong ends.
func (l *link) confirmIncarnation(incarnation uint64) bool {
	report, err := l.sendRenewal(worker.RenewRunsRequest{Epoch: l.token()})
	return err == nil && cmp.Or(report.Incarnation, incarnation) == incarnation
}

func (l *link) markLeaseOrdered() {
	now := time.Now()
	l.leaseOrderedAt.Store(&now)
}

// waitForChange waits until the desired state changes, for d at most.
func (l *link) waitForChange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-l.wake:
	case <-timer.C:
	}
}

// deliverReport passes a report to the term and waits until it is handled, so that the next renewal reflects it.
func (l *link) deliverReport(report worker.RunReport, sent time.Time) {
	if len(report.Malformed) > 0 && !l.malformed.Swap(true) {
		l.term.log.Warn("workers: a part of a report can't be read", zap.String("worker", string(l.id)), zap.Strings("parts", report.Malformed))
	}
	handled := make(chan struct{})
	l.term.post(func() {
		defer close(handled)
		if l.term.links[l.id] != nil && !l.term.answered[l.id] {
			l.term.answered[l.id], l.term.usedUpToDate = true, false
			l.term.markReturned(l.id)
		}
		l.term.state.Reported(l.id, report, sent, time.Now())
		l.followToken()
	})
	select {
	case <-handled:
	case <-l.ctx.Done():
	}
}

// failedAt returns the earliest time at which a worker may have stopped answering, given when a call was sent that failed just now and how long it may wait. It is
// zero if the call got no answer in time: the worker may have been gone since its last report.
func failedAt(sent time.Time, wait time.Duration) time.Time {
	if time.Since(sent) >= wait+workerCallTimeout {
		return time.Time{}
	}
	return time.Now()
}

// renewalFailed handles a failed renewal.
func (l *link) renewalFailed(err error, failures int, sent, failed time.Time) {
	t := l.term
	if failures == 1 {
		t.log.Warn("workers: no answer", zap.String("worker", string(l.id)), zap.Error(err))
	}
	t.owner.metrics.RenewalsFailed.Add(1)
	if errors.Is(err, worker.ErrFenced) {
		t.end("worker " + string(l.id) + " follows a newer owner")
		return
	}
	l.callFailed(err, sent, failed)
}

// callFailed passes the failure of a call to the term.
func (l *link) callFailed(err error, sent, failed time.Time) {
	kind := pool.NoAnswer
	if l.answered.Load() && errors.Is(err, worker.ErrIncarnationMismatch) {
		kind = pool.OtherProcess
	}
	l.term.post(func() {
		if l.term.links[l.id] == l {
			l.term.state.CallFailed(l.id, kind, sent, failed, time.Now())
		}
	})
}
