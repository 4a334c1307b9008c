package pool

import (
	"slices"
	"time"
)

// departureDelays records how much longer than announced workers have stayed that drained with the same notice. The latest
// departure is last.
type departureDelays struct{ extra []time.Duration }

const (
	// evacuationMargin is the time before a worker leaves at which checkpointed runs have to have been stopped.
	evacuationMargin = 300 * time.Millisecond
	// uncertainFraction is the part of its expected remaining time that a run without much progress may take.
	uncertainFraction = 0.6
	// minCertainPercent is the progress from which the remaining time is known well.
	minCertainPercent = 10
	// minDepartures is the number of departures from which an additional time is relied on, and keptDepartures is the number
	// of those considered.
	minDepartures, keptDepartures = 3, 16
	// noticeRounding makes the notices of workers that drain in the same way equal.
	noticeRounding = 100 * time.Millisecond
)

// checkLeaving registers a worker for evacuation if it drains with runs.
func (s *State) checkLeaving(n *node) {
	if n.Draining && !n.LeavesAt.IsZero() && len(n.runs) > 0 {
		s.leaving[n] = true
	}
}

// evacuate stops the units that can't end before a draining worker leaves, so that they start elsewhere: checkpointed ones as
// late as is safe, since they lose nothing until then, and the others at once, since their further work would be lost.
func (s *State) evacuate(now time.Time) {
	for n := range s.leaving {
		if !n.Draining || !n.listed || n.LeavesAt.IsZero() || len(n.runs) == 0 {
			delete(s.leaving, n)
			continue
		}
		leavesAt := n.LeavesAt.Add(s.departureDelays[n.Notice.Round(noticeRounding)].expected())
		stopAt := leavesAt.Add(-s.Times.Stop - evacuationMargin)
		for _, r := range slices.Clone(n.runs) {
			u := r.unit
			if u == nil || u.number != r.Number || u.phase != running || s.mayEndBy(u, leavesAt, now) {
				continue
			}
			if u.spec().Checkpoints && now.Before(stopAt) {
				continue
			}
			s.stopUnit(u, "its worker "+string(n.ID)+" leaves in "+leavesAt.Sub(now).Round(time.Millisecond).String(), now)
		}
	}
}

// mayEndBy reports whether a unit may end by the given time.
func (s *State) mayEndBy(u *unit, by, now time.Time) bool {
	remaining := s.expectedEnd(u, now).Sub(now)
	if u.percent < minCertainPercent {
		remaining = time.Duration(uncertainFraction * float64(remaining))
	}
	return remaining <= by.Sub(now)
}

// recordDeparture records that a worker's process has ended.
func (s *State) recordDeparture(n *node, now time.Time) {
	if !n.Draining || n.LeavesAt.IsZero() || now.Before(n.LeavesAt) {
		return
	}
	key := n.Notice.Round(noticeRounding)
	l := s.departureDelays[key]
	if l == nil {
		l = &departureDelays{}
		s.departureDelays[key] = l
	}
	l.extra = append(l.extra, now.Sub(n.LeavesAt))
	l.extra = l.extra[max(0, len(l.extra)-keptDepartures):]
}

// expected returns the least additional time of the latest departures.
func (l *departureDelays) expected() time.Duration {
	if l == nil || len(l.extra) < minDepartures {
		return 0
	}
	return slices.Min(l.extra)
}
