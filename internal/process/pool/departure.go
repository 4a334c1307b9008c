package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// CallFailure is the way in which a call to a worker failed.
	CallFailure int

	// callFailures holds the failures of the calls to a worker since its last answer.
	callFailures struct {
		otherProcess bool
		// refusals counts the refused connections in a row. Calls that were under way at the same time count once.
		refusals  int
		refusedAt time.Time
		// closedAt is when the connection of a call was first closed, and failedAgain is set if a call failed that was sent later.
		closedAt    time.Time
		failedAgain bool
	}

	// evidence is what is known of a worker that does not answer.
	evidence struct {
		// otherProcess is set if another worker, or another incarnation of this one, has answered at its address.
		otherProcess bool
		// refusals is the number of refused connections in a row.
		refusals int
		// closed is set if the connection of a call was closed or reset, and a later call failed too.
		closed bool
		// leaves is set once the time has passed for which the worker had announced to stay.
		leaves bool
		// removed is set if its entry was removed sooner after its last answer than the entry of a silent worker is.
		removed bool
		// leaseExpired is set once each lease of the worker must have expired.
		leaseExpired bool
	}

	// fate is what may have become of a worker that does not answer.
	fate int
)

const (
	// NoAnswer means that the call got no answer in time. The worker may be cut off and run on.
	NoAnswer CallFailure = iota
	// Closed means that the connection was closed or reset before an answer.
	Closed
	// Refused means that nothing listens at the worker's address.
	Refused
	// OtherProcess means that another worker or another incarnation answered.
	OtherProcess
)

const (
	// mayRun means that the worker's runs may go on.
	mayRun fate = iota
	// processEnded means that its process has ended, and its runs with it. A start order without an answer may still be carried out by the next
	// incarnation.
	processEnded
	// lapsed means that its runs have ended with their lease.
	lapsed
)

const (
	// MaxRefusals is the number of refused connections in a row after which a worker's process counts as ended.
	MaxRefusals = 2
	// minSilentIntervals is the least number of entry intervals between the last answer of a worker that is cut off and the removal of its entry: an
	// entry is removed after three intervals without a write, and the last write may be one interval older than the last answer.
	minSilentIntervals = 2
)

// fate judges the evidence and returns the cause. Runs that may go on must not be started elsewhere: being cut off looks like having left, except that a
// worker does not refuse or close connections while it is cut off, and that its entry outlasts its last answer.
func (e evidence) fate() (fate, string) {
	switch {
	case e.otherProcess:
		return processEnded, "another process answers at its address"
	case e.refusals >= MaxRefusals:
		return processEnded, "nothing listens at its address"
	case e.leaves && e.closed && e.removed:
		return processEnded, "it announced that it leaves, closed its connections and removed its entry"
	case e.leaseExpired:
		return lapsed, "it does not answer and its lease has expired"
	}
	return mayRun, ""
}

// record adds the failure of a call.
func (f *callFailures) record(kind CallFailure, sent, now time.Time) {
	f.failedAgain = f.failedAgain || !f.closedAt.IsZero() && !sent.Before(f.closedAt)
	switch kind {
	case OtherProcess:
		f.otherProcess = true
	case Refused:
		if f.refusals == 0 || !sent.Before(f.refusedAt) {
			f.refusals++
			f.refusedAt = now
		}
		return
	case Closed:
		if f.closedAt.IsZero() {
			f.closedAt = now
		}
	}
	f.refusals = 0
}

// evidence returns what is known of a worker that does not answer.
func (s *State) evidence(n *node, now time.Time) evidence {
	silence := n.removedAt.Sub(n.reportedAt)
	return evidence{
		otherProcess: n.failedCalls.otherProcess,
		refusals:     n.failedCalls.refusals,
		closed:       !n.failedCalls.closedAt.IsZero() && n.failedCalls.failedAgain,
		leaves:       n.Draining && !n.LeavesAt.IsZero() && !now.Before(n.LeavesAt),
		removed:      !n.removedAt.IsZero() && !n.reportedAt.IsZero() && silence >= 0 && silence < minSilentIntervals*s.Times.EntryInterval,
		leaseExpired: now.After(n.leaseExpiry),
	}
}

// CallFailed records that a call to a worker failed, which was sent at the given time. failed is the earliest time at which the worker may have stopped
// answering.
func (s *State) CallFailed(id ids.InstanceID, kind CallFailure, sent, failed, now time.Time) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	if n.reportedAt.After(sent) && (kind == NoAnswer || kind == Closed) {
		return
	}
	n.failedCalls.record(kind, sent, now)
	s.MarkSilent(id, sent, failed)
	if f, cause := s.evidence(n, now).fate(); f == processEnded {
		s.MarkDead(id, cause, now)
	}
}

// EntryRemoved records that a worker's entry was removed while the store answered. An entry that can't be read was not removed.
func (s *State) EntryRemoved(id ids.InstanceID, now time.Time) {
	if n := s.nodes[id]; n != nil && !n.listed {
		n.removedAt = now
	}
}

// expireWorker removes the runs of a worker that does not answer or is not listed, once they must have ended.
func (s *State) expireWorker(n *node, now time.Time) {
	if n.listed && n.silentSince.IsZero() || len(n.runs) == 0 {
		return
	}
	switch f, cause := s.evidence(n, now).fate(); {
	case f == processEnded && !n.processEnded:
		s.MarkDead(n.ID, cause, now)
	case now.After(n.leaseExpiry):
		s.notice(Notice{Kind: "WorkerLapsed", Worker: n.ID, Tasks: len(n.runs), After: n.silentFor(now), Cause: "it does not answer and its lease has expired"})
		n.reported = false
		s.markChanged(n)
		s.capacityChanged(n)
		s.recordUnseen(n, n.lostRuns(nil), now)
		for _, r := range slices.Clone(n.runs) {
			s.runLost(r, "the worker's lease has expired", now)
		}
	}
}

// silentFor returns how long a worker has not answered.
func (n *node) silentFor(now time.Time) time.Duration {
	if n.silentSince.IsZero() {
		return 0
	}
	return now.Sub(n.silentSince)
}
