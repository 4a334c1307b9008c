package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// SetEvacuations replaces the data centres that take no new runs, and withdraws what was decided for them but not ordered yet:
// placements that wait for preempted runs, reservations, and cached counts of what fits.
func (s *State) SetEvacuations(list []ids.DataCentreID, now time.Time) {
	s.init()
	events := s.evacuations.Set(list, now)
	if len(events) == 0 {
		return
	}
	s.evacuationEvents = append(s.evacuationEvents, events...)
	for _, n := range s.nodes {
		n.evacuated = s.evacuations.Contains(n.DataCentre)
	}
	s.updateRemaining()
	for _, e := range events {
		s.updateRefill(e, now)
	}
	s.rebuildRacks()
	s.guaranteedChanged = true
	for _, u := range slices.Clone(s.preempting) {
		if !placementSchedulable(u) {
			s.releasePlacement(u)
			u.setPhase(waiting)
		}
	}
}

// EvacuationEvents returns the changes of evacuations since the last call. A data centre is emptied once no run is left there. A worker that
// may have runs which this owner doesn't know counts as one run.
func (s *State) EvacuationEvents(now time.Time) []evacuation.Event {
	events := s.evacuationEvents
	s.evacuationEvents = nil
	left := s.RunsLeft()
	for i, e := range events {
		if count, found := left[e.DataCentre]; found {
			events[i].RunsLeft = count
		}
	}
	if s.recovering || len(left) == 0 {
		return events
	}
	return append(events, s.evacuations.Observe(left, now)...)
}

// RunsLeft returns the number of runs in each evacuated data centre. A worker that may have runs which this owner doesn't know counts as
// one run. A worker of an earlier owner that is not listed may be in any data centre.
func (s *State) RunsLeft() map[ids.DataCentreID]int {
	left := make(map[ids.DataCentreID]int)
	for _, id := range s.evacuations.Requested() {
		left[id] = 0
	}
	if len(left) == 0 {
		return left
	}
	for _, n := range s.nodes {
		if !n.evacuated {
			continue
		}
		left[n.DataCentre] += len(n.runs)
		if _, unknown := s.unknown[n.ID]; unknown && len(n.runs) == 0 {
			left[n.DataCentre]++
		}
	}
	for id := range s.unknown {
		if s.nodes[id] != nil {
			continue
		}
		for centre := range left {
			left[centre]++
		}
	}
	return left
}

// WorkersIn returns the number of listed workers in a data centre.
func (s *State) WorkersIn(id ids.DataCentreID) int {
	count := 0
	for _, n := range s.nodes {
		if n.listed && n.DataCentre == id {
			count++
		}
	}
	return count
}
