package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// victim is a unit that may be preempted, with the cost of preempting it in core-seconds of the lowest priority.
type victim struct {
	unit *unit
	cost float64
	// density is the cost per core held.
	density float64
	// seq orders victims of equal density.
	seq uint64
}

const (
	// weightPerPriority is the ratio between the weights of a core-second of one priority and of the next lower one.
	weightPerPriority = 3.0
	// maxWeightedPriority is the priority with weight 1; lower priorities share that weight.
	maxWeightedPriority = 4
	// restartDelay is the time that a stopped unit loses in addition to its work: a stop and a scheduling pass. Other units
	// use the workers meanwhile.
	restartDelay = 200 * time.Millisecond
	// reliablePercent is the progress from which the expected end of a unit is certain enough to wait for it.
	reliablePercent = 50
	// failedPlanInterval is the time after which a unit for which preemption would not free enough is planned again.
	failedPlanInterval = 50 * time.Millisecond
	// coresPerAccelerator is the weight of an accelerator in cores.
	coresPerAccelerator = 8
)

// preempt stops the cheapest units that must yield to make room for a unit, and reserves their workers for it. It returns
// false and stops nothing if that would not suffice.
func (s *State) preempt(u *unit, now time.Time) bool {
	if now.Before(u.nextPlanAt) {
		return false
	}
	placement, victims := s.preemptionPlan(u, now)
	if placement == nil {
		u.nextPlanAt = now.Add(failedPlanInterval)
		s.retryBy(u.nextPlanAt)
		return false
	}
	for _, v := range victims {
		s.stopUnit(v.unit, "preempted by urgent job "+string(u.job.ID), now)
	}
	s.holdPlacement(u, placement, now)
	u.preemptionPlanned = true
	return true
}

// preemptionPlan returns a placement for a unit and the victims to stop for it. A unit that no guarantee covers
// preempts only at a cost of at most its own value.
func (s *State) preemptionPlan(u *unit, now time.Time) ([]*node, []victim) {
	value := s.runTime(u).Seconds() * s.weightedCores(u) * priorityWeight(u.job.Priority)
	var best []*node
	var bestVictims []victim
	bestCost := math.Inf(1)
	if !u.job.guaranteed {
		bestCost = math.Nextafter(value, math.Inf(1))
	}
	consider := func(group *rack, filter workerFilter) {
		placement, victims := s.preemptionPlanOn(u, group, now, filter, bestCost)
		if placement == nil {
			return
		}
		cost := value * (s.slowestFactor(placement) - 1)
		for _, v := range victims {
			cost += v.cost
		}
		if cost < bestCost {
			best, bestVictims, bestCost = placement, victims, cost
		}
	}
	racks, spread := s.candidateRacks(u, now)
	if spread {
		racks = []*rack{s.wholePool}
	}
	proven := s.prefersProven(u, now)
	if proven {
		for _, r := range racks {
			consider(r, provenOnly)
		}
	}
	for _, r := range racks {
		if best != nil && proven {
			break
		}
		consider(r, anyWorker)
		switch {
		case s.speeds.unequal:
			for class := range speedClass(speedClasses - 1) {
				consider(r, ofClasses(0, class))
			}
		case slices.ContainsFunc(r.nodes, (*node).notPreferred):
			consider(r, preferredOnly)
		}
	}
	return best, bestVictims
}

// preemptionPlanOn looks for a placement on some workers: it adds victims, cheapest first, until the unit fits, and then
// drops those that turn out not to be needed. It gives up if the victims can't cost less than limit.
func (s *State) preemptionPlanOn(u *unit, group *rack, now time.Time, filter workerFilter, limit float64) ([]*node, []victim) {
	s.projections++
	plan := preemptionPlan{state: s, unit: u}
	for _, n := range group.nodes {
		if !n.passes(filter, now) || !s.eligible(u, n, now) {
			continue
		}
		free := n.free()
		for _, r := range n.runs {
			if s.isEnding(r) || (!u.preemptionPlanned && s.endsWithinStopTime(r, now)) {
				free = free.Plus(r.resources)
			}
		}
		n.projectedFree, n.projection = free, s.projections
		plan.fitting += s.projectedTasks(u, n)
	}
	var needed []victim
	if plan.fitting < u.count {
		list := s.victims(u, group.nodes, now)
		taken := 0
		for ; plan.fitting < u.count; taken++ {
			if taken == len(list) {
				return nil, nil
			}
			plan.free(list[taken].unit, 1)
		}
		cost := 0.0
		for _, v := range slices.Backward(list[:taken]) {
			if plan.free(v.unit, -1); plan.fitting >= u.count {
				continue
			}
			plan.free(v.unit, 1)
			needed = append(needed, v)
			if cost += v.cost; cost >= limit {
				return nil, nil
			}
		}
	}
	var placeable []candidate
	for _, n := range group.nodes {
		if n.projection != s.projections {
			continue
		}
		if tasks := s.projectedTasks(u, n); tasks > 0 {
			placeable = append(placeable, newCandidate(u, n, tasks, n.projectedFree))
		}
	}
	slices.SortStableFunc(placeable, func(a, b candidate) int { return s.compareCandidates(u, a, b) })
	return fill(u, placeable), needed
}

// isEnding reports whether a run is being stopped, or its unit is done.
func (s *State) isEnding(r *run) bool {
	return r.phase == runStopping || (r.unit != nil && r.unit.phase == done)
}

// endsWithinStopTime reports whether a run is expected to end no later than a stop would end it.
func (s *State) endsWithinStopTime(r *run, now time.Time) bool {
	u := r.unit
	return u != nil && u.phase == running && u.percent >= reliablePercent && !s.expectedEnd(u, now).After(now.Add(s.expectedStopTime()))
}

// preemptionPlan counts the tasks of a unit that fit while the resources of victims are added to its projection.
type preemptionPlan struct {
	state   *State
	unit    *unit
	fitting int
}

// free adds the resources of a victim's runs to the projection, or subtracts them with sign -1.
func (p *preemptionPlan) free(victim *unit, sign int) {
	for _, r := range victim.runs {
		if n := r.node; r.phase != runGone && n.projection == p.state.projections {
			p.fitting -= p.state.projectedTasks(p.unit, n)
			n.projectedFree = n.projectedFree.Plus(r.resources.Times(sign))
			p.fitting += p.state.projectedTasks(p.unit, n)
		}
	}
}

// victims returns the units on some workers that may be preempted for a unit, ordered by cost per core held.
func (s *State) victims(u *unit, nodes []*node, now time.Time) []victim {
	list := s.victimList[:0]
	for _, n := range nodes {
		if n.projection != s.projections {
			continue
		}
		for _, r := range n.runs {
			// A gang has runs on several workers.
			if other := r.unit; other != nil && other.victimOf != s.projections && s.preemptible(other, u) {
				other.victimOf = s.projections
				cost := s.preemptionCost(other, now)
				list = append(list, victim{unit: other, cost: cost, density: cost / s.weightedCores(other), seq: r.seq})
			}
		}
	}
	s.victimList = list
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.density, b.density), cmp.Compare(a.seq, b.seq))
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
	f := u.forecasts()
	if f.costAt.Equal(now) {
		return f.cost
	}
	lost := s.lostWork(u, now)
	seconds := (lost + restartDelay).Seconds()
	due := u.releaseTime().Add(s.Objective(u.job))
	if end := now.Add(s.remaining(u, now)); !end.After(due) && end.Add(lost+restartDelay).After(due) {
		seconds += s.runTime(u).Seconds()
	}
	f.costAt, f.cost = now, seconds*s.weightedCores(u)*priorityWeight(u.job.Priority)
	return f.cost
}

// forecasts returns what was last computed of the unit, for an update.
func (u *unit) forecasts() *unitForecast {
	if u.forecast == nil {
		u.forecast = &unitForecast{}
	}
	return u.forecast
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
