package poolowner

import (
	"time"

	"go.uber.org/zap"
)

// currentListState returns the state of the list of workers.
func (t *term) currentListState() listState {
	age := t.listAge()
	s := t.viewState(age, t.owner.Times.MaxListAge)
	if s == listUnavailable && age > t.owner.Times.MaxCapacityAge && t.catalog != nil && t.catalog.UncheckedCapacity {
		return listExpired
	}
	return s
}

// holdsStarts reports whether no runs are started by a view in the state.
func (s listState) holdsStarts() bool { return s == listOutdated || s == listExpired }

// viewState returns the state of a view of the store with the given age and its limit.
func (t *term) viewState(age, limit time.Duration) listState {
	if age <= limit {
		return listCurrent
	}
	if t.isStoreUnavailable() {
		return listUnavailable
	}
	return listOutdated
}

// isStoreUnavailable reports whether the store doesn't answer the renewals of the ownership lease, which are sent all the time.
func (t *term) isStoreUnavailable() bool {
	failed := t.renewalFailedAt.Load()
	return failed != nil && failed.at.After(t.leaseRenewedAt.Load().at) && t.owner.since(*failed) < t.owner.Times.OutageWindow
}

// updateListState logs the changes of the state of the list of workers.
func (t *term) updateListState(now time.Time) {
	s := t.currentListState()
	if s == t.listState {
		return
	}
	after := now.Sub(t.listStateSince)
	switch s {
	case listCurrent:
		t.log.Info("workers: the list is current again", zap.Duration("after", after))
	case listOutdated:
		t.owner.metrics.StartHolds.Add(1)
		t.log.Warn("workers: the list is outdated; no runs are started", zap.Duration("listAge", t.listAge()))
	case listUnavailable:
		t.log.Warn("workers: the list is outdated and the store does not answer; runs are still started", zap.Duration("listAge", t.listAge()))
	case listExpired:
		t.owner.metrics.StartHolds.Add(1)
		t.log.Warn("workers: the capacities are outdated and the store does not answer; no runs are started", zap.Duration("listAge", t.listAge()))
	}
	t.listState, t.listStateSince = s, now
}

// listAge returns the age of the instance list.
func (t *term) listAge() time.Duration {
	at := t.listConfirmedAt.Load()
	if at == nil {
		return t.owner.since(timestamp{})
	}
	return t.owner.since(*at)
}
