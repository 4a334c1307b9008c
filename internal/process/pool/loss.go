package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Loss is what was known of a worker when runs counted as ended of which it had listed no end.
	Loss struct {
		Worker ids.InstanceID
		// Cause is the evidence, and EvidenceAge how old it may have been.
		Cause       string
		EvidenceAge time.Duration
		// ReportAge is the time since the worker's last report; zero if it has not reported.
		ReportAge time.Duration
		// LeaseLeft is the time until the worker's lease will have expired; negative once it has.
		LeaseLeft time.Duration
		Runs      []worker.Run

		node *node
		at   time.Time
	}

	// Ending is how the previous run of a unit ended, other than as done.
	Ending struct {
		Number ids.RunNumber
		Cause  string
		// Age is how long ago its end was decided.
		Age time.Duration
		// Loss is set if a run counted as ended without an end listed by its worker; of a gang's runs, the first such loss.
		Loss *Loss
	}

	// unitEnding is the ending of a unit's latest run.
	unitEnding struct {
		number ids.RunNumber
		cause  string
		at     time.Time
		loss   *Loss
	}

	lossKey struct {
		node  *node
		cause string
	}
)

// maxLossRuns limits the runs of one notice.
const maxLossRuns = 100

// recordLoss records that a run counts as ended although its worker has listed no end of it. The losses of a worker with one cause share a notice.
func (s *State) recordLoss(r *run, cause string, now time.Time) {
	key := lossKey{r.node, cause}
	l := s.losses[key]
	if l == nil || len(l.Runs) == maxLossRuns {
		l = &Loss{Worker: r.node.ID, Cause: cause, node: r.node, at: now}
		if at := r.node.evidenceAt; !at.IsZero() {
			l.EvidenceAge = now.Sub(at)
		}
		if at := r.node.reportedAt; !at.IsZero() {
			l.ReportAge = now.Sub(at)
		}
		if s.losses == nil {
			s.losses = make(map[lossKey]*Loss)
		}
		s.losses[key] = l
		s.notice(Notice{Kind: "RunsLost", Worker: l.Worker, Cause: cause, Loss: l})
	}
	l.Runs = append(l.Runs, r.Run)
	if u := r.unit; u != nil && u.ending != nil && u.ending.number == r.Number && u.ending.loss == nil {
		u.ending.loss = l
	}
}

// completeLosses ends the collection of losses. The leases are known only now: they are recorded right before a decision.
func (s *State) completeLosses() {
	for _, l := range s.losses {
		if !l.node.leaseExpiry.IsZero() {
			l.LeaseLeft = l.node.leaseExpiry.Sub(l.at)
		}
	}
	clear(s.losses)
}

// previousEnding returns how the unit's previous run ended, or nil if it had none under this owner.
func (u *unit) previousEnding(now time.Time) *Ending {
	e := u.ending
	if e == nil {
		return nil
	}
	return &Ending{Number: e.number, Cause: e.cause, Age: now.Sub(e.at), Loss: e.loss}
}

// unexpectedCause returns why a run that a worker lists is not among the runs of this owner, and whether this owner had started it.
func (s *State) unexpectedCause(u *unit, number ids.RunNumber, now time.Time) (string, bool) {
	if u == nil || number > u.number || number/runsPerEpoch != ids.RunNumber(s.Epoch) {
		return "this owner did not start it", false
	}
	cause := "this owner counted it as ended"
	if e := u.ending; e != nil && e.number == number {
		cause += " " + now.Sub(e.at).Round(time.Millisecond).String() + " before: " + e.cause
	}
	return cause, true
}
