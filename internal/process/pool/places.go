package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A place is a worker on which a run of a task may be active. An owner stores the places of a unit before it orders its start, so that its successor knows on which of
// the workers that don't answer each task may run; see blocked.

// PlacedStart is the start of a task on a worker that an owner may have ordered although it had not stored the place.
type PlacedStart struct {
	Task   worker.Task
	Worker ids.InstanceID
}

// recordPlaces notes that the places of a job's units must be stored.
func (s *State) recordPlaces(j *Job) {
	s.markDirty(j)
	j.placesVersion = j.version
}

// IsPlaceStored reports whether the store holds the place of a start.
func (s *State) IsPlaceStored(a Action) bool {
	j := s.jobs[a.Run.Job]
	return j == nil || j.storedVersion >= a.Version
}

// ArePlacesStored reports whether the store holds all places of runs that earlier owners have ordered.
func (s *State) ArePlacesStored() bool {
	return !slices.ContainsFunc(s.live, func(j *Job) bool { return j.recovered && j.placesVersion > j.storedVersion })
}

// ArePlacesKnown reports whether the workers are known on which each task may run.
func (s *State) ArePlacesKnown() bool { return s.placesKnown || len(s.unknown) == 0 && !s.recovering }

// TrustPlaces records that earlier owners have ordered no starts but those whose places are in the jobs' records, and some others.
func (s *State) TrustPlaces(others []PlacedStart, now time.Time) {
	s.placesKnown = true
	for _, o := range others {
		j := s.jobs[o.Task.Job]
		u := s.unitOf(j, o.Task)
		if u != nil && u.phase != done && !slices.Contains(u.places, o.Worker) {
			u.places = append(u.places, o.Worker)
			s.recordPlaces(j)
		}
	}
	s.settleGangs(now)
	s.requestPass()
}

// placesOf returns the workers that a successor must have heard of before it starts a unit: those of its runs, those that an earlier owner recorded, and those on which a
// run may have failed unreported.
func (u *unit) placesOf() []ids.InstanceID {
	list := slices.Concat(u.places, u.unreportedOn)
	for _, r := range u.runs {
		if r.phase != runGone {
			list = append(list, r.node.ID)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// omitStarted returns the places that a list of started workers lacks. A record holds the union of both.
func omitStarted(places []ids.InstanceID, started []StartedOn) []ids.InstanceID {
	return slices.DeleteFunc(places, func(id ids.InstanceID) bool {
		return slices.ContainsFunc(started, func(on StartedOn) bool { return on.Worker == id })
	})
}

// blocked reports whether a unit of a recovered job may still be running on a worker that has not reported.
func (s *State) blocked(u *unit) bool {
	switch {
	case !u.job.recovered || len(s.unknown) == 0:
		return false
	case !s.placesKnown || u.job.placesOmitted:
		return true
	}
	return slices.ContainsFunc(u.places, func(id ids.InstanceID) bool { _, unknown := s.unknown[id]; return unknown })
}

// settleGangs stops the gangs of an earlier owner of which only a part was found running, if no worker can have the other members any more.
func (s *State) settleGangs(now time.Time) {
	if !s.adopting || s.recovering {
		return
	}
	for _, j := range slices.Clone(s.live) {
		for _, u := range j.units {
			if u.phase == starting && u.adopted && len(u.runs) < u.count && !s.blocked(u) {
				s.stopUnit(u, "only a part of the gang was found running", now)
			}
		}
	}
}

// settleStarted counts the crashes of the workers on which an earlier owner has started a unit that no worker runs now. What this owner stores later is not settled.
func (s *State) settleStarted(u *unit, now time.Time) {
	if u.isSettled || !u.job.recovered || u.phase != waiting || u.number != 0 {
		return
	}
	u.isSettled = true
	if len(u.crashes.started) == 0 {
		return
	}
	started := u.crashes.started
	u.crashes.started = nil
	for _, on := range started {
		s.findCrash(u, on, now)
	}
	s.giveUpIfCrashing(u, now)
}
