package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// victim is a unit that may be stopped, with what its stop costs in core-seconds of the least urgent work.
type victim struct {
	unit *unit
	cost float64
}

const (
	// levelWeight is how many times as much a core-second counts as one of the next lower priority.
	levelWeight = 3.0
	// levels bounds the priorities that are told apart.
	levels = 4
	// restartWait is how long a stopped unit waits for its next start: a stop and a look for room.
	restartWait = time.Second
	// coresPerAccelerator is what an accelerator counts in cores.
	coresPerAccelerator = 8
)

// reclaim stops units of lower standing to make room for a unit, those first that cost the least, and keeps their workers
// for it. It returns false if that would not suffice, and then stops nothing.
func (s *State) reclaim(u *unit, now time.Time) bool {
	place, victims := s.reclaimPlan(u, now)
	if place == nil {
		return false
	}
	for _, v := range victims {
		s.abort(v.unit, "stopped for urgent job "+string(u.job.ID), now)
	}
	s.keep(u, place, now)
	return true
}

// reclaimPlan returns the place that a unit can have and what has to be stopped for it. Work that no guarantee covers stops
// nothing that is worth more than itself.
func (s *State) reclaimPlan(u *unit, now time.Time) ([]*node, []victim) {
	worth := s.runTime(u).Seconds() * s.size(u) * weight(u.job.Priority)
	var best []*node
	var bestVictims []victim
	bestCost := 0.0
	consider := func(nodes []*node) {
		place, victims := s.reclaimFrom(u, nodes, now)
		if place == nil {
			return
		}
		cost := worth * (slowest(place) - 1)
		for _, v := range victims {
			cost += v.cost
		}
		if !u.job.owed && cost > worth {
			return
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = place, victims, cost
		}
	}
	for _, group := range s.groups(u, now) {
		consider(group.nodes)
		if slices.ContainsFunc(group.nodes, (*node).slower) {
			consider(slices.DeleteFunc(slices.Clone(group.nodes), (*node).slower))
		}
	}
	return best, bestVictims
}

// reclaimFrom looks for room on some workers: it takes victims, the cheapest first, until the unit fits, and then leaves
// out those that it does without.
func (s *State) reclaimFrom(u *unit, nodes []*node, now time.Time) ([]*node, []victim) {
	freed := make(map[*node]ids.Resources)
	// What is being stopped already will be free soon.
	for _, n := range nodes {
		for r := range n.runs {
			if r.phase == runStopping || (r.unit != nil && r.unit.phase == done) {
				freed[n] = freed[n].Plus(r.each)
			}
		}
	}
	room := func(n *node) ids.Resources { return n.free().Plus(freed[n]) }
	fits := func() []*node { return s.fill(u, s.seats(u, nodes, now, room)) }
	if place := fits(); place != nil {
		return place, nil
	}
	var taken []victim
	var place []*node
	for _, v := range s.victims(u, nodes, now) {
		free(freed, v.unit, 1)
		taken = append(taken, v)
		if place = fits(); place != nil {
			break
		}
	}
	if place == nil {
		return nil, nil
	}
	var needed []victim
	for _, v := range slices.Backward(taken) {
		free(freed, v.unit, -1)
		if smaller := fits(); smaller != nil {
			place = smaller
			continue
		}
		free(freed, v.unit, 1)
		needed = append(needed, v)
	}
	return place, needed
}

// free counts the room of a unit's runs as free, or takes that back with sign -1.
func free(freed map[*node]ids.Resources, u *unit, sign int) {
	for _, r := range u.runs {
		if r.phase != runGone {
			freed[r.node] = freed[r.node].Plus(r.each.Times(sign))
		}
	}
}

// victims returns the units on some workers that may be stopped for a unit, those first that cost the least for the room
// that they hold.
func (s *State) victims(u *unit, nodes []*node, now time.Time) []victim {
	found := make(map[*unit]bool)
	for _, n := range nodes {
		for r := range n.runs {
			if r.unit != nil && s.yields(r.unit, u) {
				found[r.unit] = true
			}
		}
	}
	list := make([]victim, 0, len(found))
	for other := range found {
		list = append(list, victim{unit: other, cost: s.stopCost(other, now)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.cost/s.size(a.unit), b.cost/s.size(b.unit)),
			cmp.Compare(a.unit.job.ID, b.unit.job.ID), cmp.Compare(a.unit.step, b.unit.step), cmp.Compare(a.unit.first, b.unit.first),
		)
	})
	return list
}

// yields reports whether a unit may be stopped for another one.
func (s *State) yields(other, to *unit) bool {
	if other.phase != starting && other.phase != running {
		return false
	}
	if other.job.Priority == 0 {
		return to.job.owed && !other.job.owed
	}
	return to.job.Priority == 0
}

// stopCost returns what the stop of a unit costs: the work that is lost, the wait for the next start, and all of the job
// if it would then end after its objective. Checkpointed work goes on elsewhere.
func (s *State) stopCost(u *unit, now time.Time) float64 {
	lost := s.workLost(u, now)
	seconds := (lost + restartWait).Seconds()
	whole := s.runTime(u)
	due := u.begins().Add(s.objective(u.job))
	if end := now.Add(s.remaining(u, now)); !end.After(due) && end.Add(lost+restartWait).After(due) {
		seconds += whole.Seconds()
	}
	return seconds * s.size(u) * weight(u.job.Priority)
}

// workLost returns the run time of a unit that its stop would lose.
func (s *State) workLost(u *unit, now time.Time) time.Duration {
	if u.spec().Checkpoints {
		return s.Times.Restore
	}
	return now.Sub(u.startedAt)
}

// weight returns what a core-second of a priority counts.
func weight(priority int) float64 {
	return math.Pow(levelWeight, float64(levels-min(max(priority, 0), levels)))
}

// size returns the cores of a unit; an accelerator counts as several.
func (s *State) size(u *unit) float64 {
	each := u.spec().Each
	return float64(u.count) * (float64(each.Cores)/1000 + coresPerAccelerator*float64(each.Accelerators) + 0.01)
}
