package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// CallFailure is the way in which a call to a worker failed.
	CallFailure int

	// evidence is what is known of a worker that does not answer.
	evidence struct {
		// otherProcess is set if another worker, or another incarnation of this one, answers where it has answered before. The address may have passed to
		// another machine while this one is cut off.
		otherProcess bool
		// replaced is set if its entry names a newer incarnation.
		replaced bool
		// left is set if its entry was removed sooner after its last write than the entry of a silent worker is.
		left bool
		// leaseExpired is set once each lease of the worker must have expired.
		leaseExpired bool
	}

	// fate is what may have become of a worker that does not answer.
	fate int
)

const (
	// NoAnswer means that the call got no answer. The worker may be cut off and run on, also if its connections are closed, reset or refused: what cuts
	// it off may answer in its place.
	NoAnswer CallFailure = iota
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
	// EntryLifetimes is the number of intervals without a write after which the entry of a silent worker is removed.
	EntryLifetimes = 3
	// maxListLag is how late the instance list may be, in the same intervals.
	maxListLag = 1
)

// fate judges the evidence and returns the cause. Runs that may go on must not be started elsewhere, so only proof counts. All else, however likely, waits
// for the lease.
func (e evidence) fate() (fate, string) {
	switch {
	case e.otherProcess && e.leaseExpired:
		return processEnded, "another process answers at its address and its lease has expired"
	case e.replaced:
		return processEnded, "its entry names a new incarnation"
	case e.left:
		return processEnded, "it has left and removed its entry"
	case e.leaseExpired:
		return lapsed, "it does not answer and its lease has expired"
	}
	return mayRun, ""
}

// evidence returns what is known of a worker that does not answer, given whether its leases are known to have expired.
func (n *node) evidence(leaseExpired bool) evidence {
	return evidence{otherProcess: n.otherProcess, replaced: n.replaced, left: n.left, leaseExpired: leaseExpired}
}

// CallFailed records that a call to a worker failed, which was sent at the given time. failed is the earliest time at which the worker may have stopped
// answering; zero means at its last report.
func (s *State) CallFailed(id ids.InstanceID, kind CallFailure, sent, failed, now time.Time) {
	n := s.nodes[id]
	if n == nil || n.reportedAt.After(sent) {
		return
	}
	if kind == OtherProcess {
		n.otherProcess, n.evidenceAt = true, sent
	}
	s.MarkSilent(id, sent, failed)
	s.markIfEnded(n, len(n.runs) == 0, now)
}

// maxEarlier limits the earlier incarnations that are remembered. An entry is rewritten before a worker has restarted as often.
const maxEarlier = 4

// setIncarnation records that a worker reports another incarnation than the one known.
func (n *node) setIncarnation(incarnation uint64) {
	if n.Incarnation != 0 {
		n.earlier = append(n.earlier, n.Incarnation)
		n.earlier = n.earlier[max(0, len(n.earlier)-maxEarlier):]
	}
	n.Incarnation = incarnation
}

// isNewer reports whether an entry's incarnation is certainly newer than the one known. The entry of an earlier process may be listed until the present one writes its
// own, and names a later time if the worker's time of day was set back in between.
func (n *node) isNewer(incarnation uint64) bool {
	return incarnation > n.Incarnation && !slices.Contains(n.earlier, incarnation)
}

// EntryReplaced records that a worker's entry names an incarnation. If it is newer than the one known, the process that the worker had has ended.
func (s *State) EntryReplaced(id ids.InstanceID, incarnation uint64, now time.Time) {
	n := s.nodes[id]
	if n == nil || n.Incarnation == 0 || !n.isNewer(incarnation) {
		return
	}
	n.replaced, n.evidenceAt = true, now
	s.markIfEnded(n, false, now)
}

// EntryRemoved records that a worker's entry was removed while the store answered. unwritten is the longest time for which it may not have been written
// until then. An entry that can't be read was not removed.
func (s *State) EntryRemoved(id ids.InstanceID, unwritten time.Duration, now time.Time) {
	n := s.nodes[id]
	if n == nil || n.listed || unwritten >= (EntryLifetimes-maxListLag)*s.Times.EntryInterval {
		return
	}
	n.left, n.evidenceAt = true, now
	s.markIfEnded(n, false, now)
}

// markIfEnded records that a worker's process has ended if that is proved. leaseExpired is set if it has no lease any more.
func (s *State) markIfEnded(n *node, leaseExpired bool, now time.Time) {
	f, cause := n.evidence(leaseExpired).fate()
	switch {
	case f != processEnded || n.processEnded:
	case n.otherProcess && leaseExpired:
		s.MarkDead(n.ID, cause, now)
	default:
		s.markReplaced(n, cause, now)
	}
}

// markReplaced records that the process of a worker that last reported has ended. The worker may have another one already, in which runs may have been started
// before that was known, so only the runs that the ended process has listed are lost.
func (s *State) markReplaced(n *node, cause string, now time.Time) {
	inEnded := func(r *run) bool { return r.listedIn != 0 && r.listedIn == n.Incarnation }
	s.markEnded(n, cause, now, func(r *run) bool { return !inEnded(r) })
	for _, r := range slices.Clone(n.runs) {
		if inEnded(r) {
			s.runLost(r, cause, now)
		}
	}
}

// expireWorker removes the runs of a worker that does not answer or is not listed, once they must have ended.
func (s *State) expireWorker(n *node, now time.Time) {
	if n.listed && n.silentSince.IsZero() || len(n.runs) == 0 {
		return
	}
	if now.After(n.leaseExpiry) {
		if s.markIfEnded(n, true, now); len(n.runs) == 0 {
			return
		}
		s.notice(Notice{Kind: "WorkerLapsed", Worker: n.ID, Tasks: len(n.runs), After: n.silentFor(now), Cause: "it does not answer and its lease has expired"})
		n.reported, n.evidenceAt = false, n.leaseExpiry
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
