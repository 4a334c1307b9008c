package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// victim is a unit that may be preempted, with the cost of preempting it in core-seconds of the lowest priority.
type victim struct {
	unit *unit
	cost float64
}

const (
	// weightPerPriority is the ratio between the weights of a core-second of one priority and of the next lower one.
	weightPerPriority = 3.0
	// maxWeightedPriority is the priority with weight 1; lower priorities share that weight.
	maxWeightedPriority = 4
	// restartDelay is how long a stopped unit waits for its next start: a stop and a scheduling pass.
	restartDelay = time.Second
	// coresPerAccelerator is the weight of an accelerator in cores.
	coresPerAccelerator = 8
)

// preempt stops the cheapest units that must yield to make room for a unit, and reserves their workers for it. It returns
// false and stops nothing if that would not suffice.
func (s *State) preempt(u *unit, now time.Time) bool {
	placement, victims := s.preemptionPlan(u, now)
	if placement == nil {
		return false
	}
	for _, v := range victims {
		s.stopUnit(v.unit, "preempted by urgent job "+string(u.job.ID), now)
	}
	s.holdPlacement(u, placement, now)
	return true
}

// preemptionPlan returns a placement for a unit and the victims to stop for it. A unit that no guarantee covers
// preempts only at a cost of at most its own value.
func (s *State) preemptionPlan(u *unit, now time.Time) ([]*node, []victim) {
	value := s.runTime(u).Seconds() * s.weightedCores(u) * priorityWeight(u.job.Priority)
	var best []*node
	var bestVictims []victim
	bestCost := 0.0
	consider := func(nodes []*node) {
		placement, victims := s.preemptionPlanOn(u, nodes, now)
		if placement == nil {
			return
		}
		cost := value * (maxSlowdown(placement) - 1)
		for _, v := range victims {
			cost += v.cost
		}
		if !u.job.guaranteed && cost > value {
			return
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = placement, victims, cost
		}
	}
	for _, group := range s.candidateRacks(u, now) {
		consider(group.nodes)
		if slices.ContainsFunc(group.nodes, (*node).slower) {
			consider(slices.DeleteFunc(slices.Clone(group.nodes), (*node).slower))
		}
	}
	return best, bestVictims
}

// preemptionPlanOn looks for a placement on some workers: it adds victims, cheapest first, until the unit fits, and then
// drops those that turn out not to be needed.
func (s *State) preemptionPlanOn(u *unit, nodes []*node, now time.Time) ([]*node, []victim) {
	freed := make(map[*node]ids.Resources)
	// The resources of runs that are already being stopped will be free soon.
	for _, n := range nodes {
		for r := range n.runs {
			if r.phase == runStopping || (r.unit != nil && r.unit.phase == done) {
				freed[n] = freed[n].Plus(r.resources)
			}
		}
	}
	available := func(n *node) ids.Resources { return n.free().Plus(freed[n]) }
	fits := func() []*node { return s.fill(u, s.candidates(u, nodes, now, available)) }
	if placement := fits(); placement != nil {
		return placement, nil
	}
	var taken []victim
	var placement []*node
	for _, v := range s.victims(u, nodes, now) {
		addFreed(freed, v.unit, 1)
		taken = append(taken, v)
		if placement = fits(); placement != nil {
			break
		}
	}
	if placement == nil {
		return nil, nil
	}
	var needed []victim
	for _, v := range slices.Backward(taken) {
		addFreed(freed, v.unit, -1)
		if smaller := fits(); smaller != nil {
			placement = smaller
			continue
		}
		addFreed(freed, v.unit, 1)
		needed = append(needed, v)
	}
	return placement, needed
}

// addFreed adds the resources of a unit's runs to freed, or subtracts them with sign -1.
func addFreed(freed map[*node]ids.Resources, u *unit, sign int) {
	for _, r := range u.runs {
		if r.phase != runGone {
			freed[r.node] = freed[r.node].Plus(r.resources.Times(sign))
		}
	}
}

// victims returns the units on some workers that may be preempted for a unit, ordered by cost per core held.
func (s *State) victims(u *unit, nodes []*node, now time.Time) []victim {
	found := make(map[*unit]bool)
	for _, n := range nodes {
		for r := range n.runs {
			if r.unit != nil && s.preemptible(r.unit, u) {
				found[r.unit] = true
			}
		}
	}
	list := make([]victim, 0, len(found))
	for other := range found {
		list = append(list, victim{unit: other, cost: s.preemptionCost(other, now)})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.cost/s.weightedCores(a.unit), b.cost/s.weightedCores(b.unit)),
			cmp.Compare(a.unit.job.ID, b.unit.job.ID), cmp.Compare(a.unit.step, b.unit.step), cmp.Compare(a.unit.first, b.unit.first),
		)
	})
	return list
}

// preemptible reports whether the unit other may be preempted for the unit preemptor.
func (s *State) preemptible(other, preemptor *unit) bool {
	if other.phase != starting && other.phase != running {
		return false
	}
	if other.job.Priority == 0 {
		return preemptor.job.guaranteed && !other.job.guaranteed
	}
	return preemptor.job.Priority == 0
}

// preemptionCost returns the cost of stopping a unit: the work lost, the restart delay, and the unit's whole run time if
// the job would then miss its objective. Checkpointed work resumes elsewhere.
func (s *State) preemptionCost(u *unit, now time.Time) float64 {
	lost := s.lostWork(u, now)
	seconds := (lost + restartDelay).Seconds()
	runTime := s.runTime(u)
	due := u.releaseTime().Add(s.objective(u.job))
	if end := now.Add(s.remaining(u, now)); !end.After(due) && end.Add(lost+restartDelay).After(due) {
		seconds += runTime.Seconds()
	}
	return seconds * s.weightedCores(u) * priorityWeight(u.job.Priority)
}

// lostWork returns the run time that a stop of the unit would lose.
func (s *State) lostWork(u *unit, now time.Time) time.Duration {
	if u.spec().Checkpoints {
		return s.Times.Restore
	}
	return now.Sub(u.startedAt)
}

// priorityWeight returns the weight of a core-second of a priority.
func priorityWeight(priority int) float64 {
	return math.Pow(weightPerPriority, float64(maxWeightedPriority-min(max(priority, 0), maxWeightedPriority)))
}

// weightedCores returns the unit's size in cores, counting accelerators as coresPerAccelerator.
func (s *State) weightedCores(u *unit) float64 {
	each := u.spec().Each
	return float64(u.count) * (float64(each.Cores)/1000 + coresPerAccelerator*float64(each.Accelerators) + 0.01)
}
