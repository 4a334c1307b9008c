package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Worker is what the instance list tells of a worker.
	Worker struct {
		ID         ids.InstanceID
		Service    ids.ServiceID
		DataCentre ids.DataCentreID
		Rack       ids.RackID
		Labels     []string
		Total      ids.Resources
		// Draining workers take no new runs.
		Draining bool
		// Incarnation tells the lives of a worker under one id apart; zero is not known.
		Incarnation uint64
	}

	// node is a worker with what runs there.
	node struct {
		Worker
		rack *rack
		// listed tells that the instance list has the worker.
		listed bool
		// known tells that the worker has reported to this owner, so that no run there is unknown.
		known bool
		// silentSince is when the worker last began not to answer; zero if it answers.
		silentSince time.Time
		// heard is when the worker last reported.
		heard time.Time
		// lapses is when the last lease that was ordered has ended on the worker, whatever its clock does.
		lapses time.Time
		used   ids.Resources
		// kept is what allocated units wait for here.
		kept ids.Resources
		runs map[*run]bool
		// strikes counts the failures in a row, of different jobs.
		strikes     int
		struckBy    ids.JobID
		quarantined time.Time
		quarantine  time.Duration
		// pace is the logarithm of how many times as long tasks take here as on the fast workers, and slow that number; zero if
		// that is not known.
		pace, slow float64
		// then is what is free in the look ahead of number thenOf.
		then   ids.Resources
		thenOf uint64
		// seen is the number of the last end that was handled, and ends those that wait for the store.
		seen uint64
		ends []pendingEnd
		// acknowledged is the last end whose effect the store keeps.
		acknowledged uint64
	}

	// pendingEnd is an end that may be acknowledged once the store keeps a version of its job.
	pendingEnd struct {
		number  uint64
		job     *Job
		version uint64
	}

	rack struct {
		id ids.RackID
		// index is the rack's place among all, by id.
		index int
		nodes []*node
		// room is what was free on the open workers when it was last summed.
		room ids.Resources
		// endings are the runs with their expected ends, in order, as of endingsAt, which is zero after a change.
		endings   []ending
		endingsAt time.Time
	}

	// ending is when a run is expected to free its room.
	ending struct {
		run *run
		at  time.Time
	}
)

// free returns what may be given to new units.
func (n *node) free() ids.Resources {
	return n.Total.Minus(n.used).Minus(n.kept)
}

// open reports whether new runs may be placed on the worker.
func (n *node) open(now time.Time) bool {
	return n.listed && n.known && !n.Draining && n.silentSince.IsZero() && !now.Before(n.quarantined)
}

// returns reports whether the worker takes new runs now or after a short while.
func (n *node) returns() bool {
	return n.listed && !n.Draining && n.silentSince.IsZero() && n.quarantine <= firstQuarantine
}

func (n *node) has(label string) bool {
	return label == "" || slices.Contains(n.Labels, label)
}

// tasksOn counts the tasks of a unit's step that run on a worker, or for which it is being cleared.
func (s *State) tasksOn(n *node, u *unit) int {
	count := 0
	for r := range n.runs {
		if r.unit != nil && r.unit.job == u.job && r.unit.stepRun() == u.stepRun() {
			count++
		}
	}
	for _, other := range s.kept {
		if other.job != u.job || other.stepRun() != u.stepRun() {
			continue
		}
		for _, kept := range other.place {
			if kept == n {
				count++
			}
		}
	}
	return count
}

// SetWorkers replaces the instance list. Workers that it no longer has keep their runs until these are known to be gone.
func (s *State) SetWorkers(list []Worker) {
	s.init()
	listed := make(map[ids.InstanceID]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
		n := s.nodes[w.ID]
		if n == nil {
			n = &node{runs: make(map[*run]bool)}
			s.nodes[w.ID] = n
		}
		if n.Incarnation != 0 {
			if w.Incarnation > n.Incarnation {
				// Its report tells what runs in its new life.
				n.known = false
			}
			w.Incarnation = n.Incarnation
		}
		n.Worker = w
		n.listed = true
	}
	for id, n := range s.nodes {
		if !listed[id] {
			n.listed = false
			s.suspects[n] = true
			s.mark(n)
		}
	}
	s.rebuildRacks()
}

func (s *State) rebuildRacks() {
	s.forgetShapes()
	s.grow()
	byID := make(map[ids.RackID]*rack)
	s.racks = nil
	for _, n := range s.sortedNodes() {
		r := byID[n.Rack]
		if r == nil {
			r = &rack{id: n.Rack}
			byID[n.Rack] = r
			s.racks = append(s.racks, r)
		}
		n.rack = r
		r.nodes = append(r.nodes, n)
	}
	slices.SortFunc(s.racks, func(a, b *rack) int { return cmp.Compare(a.id, b.id) })
	s.whole, s.total = &rack{}, ids.Resources{}
	for i, r := range s.racks {
		r.index = i
		s.whole.nodes = append(s.whole.nodes, r.nodes...)
		for _, n := range r.nodes {
			s.total = s.total.Plus(n.Total)
		}
	}
}

// forgetShapes drops what was found of gangs and racks, since other workers return now.
func (s *State) forgetShapes() {
	s.shapes = make(map[shape]bool)
	s.shapesOf++
}

func (s *State) sortedNodes() []*node {
	all := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Dead takes note that a worker's process has ended.
func (s *State) Dead(id ids.InstanceID, cause string, now time.Time) {
	if n := s.nodes[id]; n != nil {
		n.known = false
		if n.silentSince.IsZero() {
			s.silence(n, now)
		}
		s.mark(n)
		s.lose(n, cause, now)
	}
}

// lose takes the runs as gone that were on a worker whose process has ended. A start that was not answered may be carried
// out by its next life; it is stopped there before the task may start elsewhere.
func (s *State) lose(n *node, cause string, now time.Time) {
	for r := range n.runs {
		switch {
		case r.known && !r.unanswered:
			s.runLost(r, cause, now)
		default:
			s.stopAgain(r, cause, now)
		}
	}
}

// stopAgain stops a run in the next life of its worker, which may carry the start out late.
func (s *State) stopAgain(r *run, cause string, now time.Time) {
	if u := r.unit; u != nil && u.number == r.Number && (u.phase == starting || u.phase == running) {
		s.backOff(u, now)
		s.abort(u, cause, now)
		return
	}
	r.phase = runActive
	s.stop(r, now)
}

// Silent takes note that a worker left a call that was sent at a time without an answer, unless it has reported since. Its
// units are given up after a while; their runs there are taken as gone only once the worker's lease must have ended.
func (s *State) Silent(id ids.InstanceID, sent time.Time) {
	if n := s.nodes[id]; n != nil && n.silentSince.IsZero() && !n.heard.After(sent) {
		s.silence(n, sent)
	}
}

func (s *State) silence(n *node, now time.Time) {
	n.silentSince = now
	s.suspects[n] = true
	s.mark(n)
	s.forgetShapes()
}

// Ordered takes note that a lease may last on a worker until a time.
func (s *State) Ordered(id ids.InstanceID, until time.Time) {
	if n := s.nodes[id]; n != nil && until.After(n.lapses) {
		n.lapses = until
	}
}

// Acknowledged returns the last end of a worker whose effect the store keeps.
func (s *State) Acknowledged(id ids.InstanceID) uint64 {
	n := s.nodes[id]
	if n == nil {
		return 0
	}
	for len(n.ends) > 0 && (n.ends[0].job == nil || n.ends[0].job.storedVersion >= n.ends[0].version) {
		n.acknowledged = n.ends[0].number
		n.ends = n.ends[1:]
	}
	return n.acknowledged
}

// Suspects returns the workers whose runs are lost once their leases have ended: those that don't answer or are not listed.
// What Ordered tells of them is taken into account by the next decision.
func (s *State) Suspects() []ids.InstanceID {
	var list []ids.InstanceID
	for n := range s.suspects {
		list = append(list, n.ID)
	}
	return list
}

func (s *State) mark(n *node) {
	s.changed[n.ID] = true
	s.runsChanged(n)
}

// runsChanged takes note that what runs on a worker, or how long it is expected to, has changed.
func (s *State) runsChanged(n *node) {
	s.whole.endingsAt = time.Time{}
	if n.rack != nil {
		n.rack.endingsAt = time.Time{}
	}
}

// Changed returns the workers for which Busy, Acknowledged, Seen or Incarnation may answer otherwise than at the last call.
func (s *State) Changed() []ids.InstanceID {
	list := make([]ids.InstanceID, 0, len(s.changed))
	for id := range s.changed {
		list = append(list, id)
	}
	clear(s.changed)
	return list
}

// Busy reports whether something runs on a worker, or whether that or the worker's health is not known, so that it needs
// renewals.
func (s *State) Busy(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && (len(n.runs) > 0 || !n.known || !n.silentSince.IsZero())
}

// Known reports whether a worker has reported to this owner.
func (s *State) Known(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && n.known
}

// Answers reports whether a worker has reported and answers.
func (s *State) Answers(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && n.known && n.silentSince.IsZero()
}

// Incarnation returns the life of a worker that last reported.
func (s *State) Incarnation(id ids.InstanceID) uint64 {
	if n := s.nodes[id]; n != nil {
		return n.Incarnation
	}
	return 0
}

// Seen returns the number of the last end of a worker that was handled.
func (s *State) Seen(id ids.InstanceID) uint64 {
	if n := s.nodes[id]; n != nil {
		return n.seen
	}
	return 0
}

// Starting reports whether a run is to be started on a worker and isn't known to be there yet.
func (s *State) Starting(id ids.InstanceID, ref worker.Run) bool {
	r := s.find(id, ref)
	return r != nil && r.phase == runStarting && r.unit != nil && r.unit.phase == starting
}

// Has reports whether a run takes room on a worker.
func (s *State) Has(id ids.InstanceID, ref worker.Run) bool { return s.find(id, ref) != nil }
