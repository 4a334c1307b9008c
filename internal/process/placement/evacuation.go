package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// ErrEvacuated is returned for a new job while the data centre is being evacuated. The job was not run.
var ErrEvacuated = errors.New("the data centre is being evacuated")

// evacuatedReason is the reason of the jobs that wait because of the evacuation.
const evacuatedReason = "the data centre is being evacuated"

var evacuationNotices = map[evacuation.Phase]NoticeKind{
	evacuation.Begun:     NoticeEvacuationBegun,
	evacuation.Emptied:   NoticeEvacuationEmptied,
	evacuation.Withdrawn: NoticeEvacuationWithdrawn,
}

// setEvacuated begins or ends the evacuation. Jobs that have not started are requeued at once; the others run on.
func (s *State) setEvacuated(evacuated bool) {
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	s.evacuatedSince = time.Time{}
	s.reservation = nil
	for _, n := range s.sortedNodes() {
		n.evacuated = evacuated
		if evacuated {
			s.requeueAllocated(n, evacuatedReason)
		}
	}
}

// updateEvacuation notifies the operators of an evacuation that began, has no runs left, or was withdrawn.
func (s *State) updateEvacuation(now time.Time) {
	if !s.evacuated && !s.evacuations.Contains(s.DataCentre) {
		return
	}
	left := s.RunsLeft()
	var requested []ids.DataCentreID
	if s.evacuated {
		requested = append(requested, s.DataCentre)
	}
	if s.evacuatedSince.IsZero() {
		s.evacuatedSince = now
	}
	events := s.evacuations.Set(requested, now)
	if len(s.nodes) > 0 {
		s.hadNodes = true
	}
	if s.hadNodes {
		events = append(events, s.evacuations.Observe(map[ids.DataCentreID]int{s.DataCentre: left}, now)...)
	}
	for _, e := range events {
		status := s.evacuationStatus()
		s.notice(Notice{Kind: evacuationNotices[e.Phase], Evacuation: status, Cause: s.evacuationCause(e)})
	}
}

func (s *State) evacuationCause(e evacuation.Event) string {
	_, found := s.config.DataCentres[s.DataCentre]
	switch {
	case e.Phase == evacuation.Begun && !found:
		return "the data centre was removed from the configuration"
	case e.Phase == evacuation.Begun && len(s.nodes) == 0:
		return "requested, but no worker names the data centre"
	case e.Phase == evacuation.Begun:
		return "requested by the configuration"
	case e.Phase == evacuation.Emptied:
		return "no run is left after " + e.After.Round(time.Second).String()
	}
	return "withdrawn by the configuration after " + e.After.Round(time.Second).String()
}

// Evacuated reports whether the data centre is being evacuated.
func (s *State) Evacuated() bool { return s.evacuated }

// SetSilentWorkers sets the number of workers that may run tasks that the State doesn't know.
func (s *State) SetSilentWorkers(count int) { s.silentWorkers = count }

// RunsLeft returns the number of jobs that run, or may still run, on the data centre's instances. Each worker that may run unknown
// tasks counts as one.
func (s *State) RunsLeft() int {
	count := s.silentWorkers
	for _, j := range s.placed {
		if j.phase != allocated {
			count++
		}
	}
	return count
}

// EvacuationStatus returns the evacuation's status for the operators, or nil if there is none.
func (s *State) EvacuationStatus() *operator.EvacuationStatus {
	if !s.evacuated {
		return nil
	}
	return s.evacuationStatus()
}

func (s *State) evacuationStatus() *operator.EvacuationStatus {
	return &operator.EvacuationStatus{DataCentre: s.DataCentre, Since: s.evacuatedSince, RunsLeft: s.RunsLeft(), Queued: s.Queued(), Instances: len(s.nodes)}
}
