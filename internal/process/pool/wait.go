package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// uncertainty is the fraction of the expected wait for the ends of runs by which it may be too long: room that preemption frees
// meanwhile is not counted. Without it, 1.6% to 2.0% of the jobs of TestPatternUrgentBurst are refused although they would be in time.
const uncertainty = 0.2

// urgentWait returns the expected wait of a new job of priority 0. Stored jobs that wait were tried in the last pass and did not fit, so
// a job that fits now, or by a preemption plan, does not wait for them. Otherwise the units queued before it that fit wherever it
// fits take the first places.
func (s *State) urgentWait(j *Job, now time.Time) time.Duration {
	u := j.units[0]
	conflicts := s.conflicts(u, now)
	if s.findPlacement(u, now, conflicts) != nil {
		return s.Lag
	}
	if placement, _ := s.preemptionPlan(u, now); placement != nil {
		return s.Lag + s.expectedStopTime()
	}
	at, found := s.laterFit(u, s.competitors(u, now), now, conflicts)
	if !found {
		return s.Lag + s.objective(j)
	}
	return s.Lag + time.Duration((1-uncertainty)*float64(at.Sub(now)))
}

// competitors returns the number of units queued before a unit that fit wherever it fits. Each counts as much as the unit: a smaller
// one in a rack can make the rack too small for the unit.
func (s *State) competitors(u *unit, now time.Time) int {
	count := 0
	for _, other := range s.live {
		if other.Priority > u.job.Priority {
			break
		}
		for _, st := range other.stages {
			if st.inPhase[waiting] > 0 && st.units[0].isDue(now) && st.dependenciesDone() && fitsInsteadOf(st.units[0], u) {
				count += st.inPhase[waiting]
			}
		}
	}
	return count
}

// fitsInsteadOf reports whether unit a needs no more of a worker, and no more accelerators, than unit b.
func fitsInsteadOf(a, b *unit) bool {
	return a.job.Service == b.job.Service && b.spec().Each.Contains(a.spec().Each) && a.accelerators() <= b.accelerators()
}

// accelerators returns the accelerators of all tasks of a unit.
func (u *unit) accelerators() ids.Accelerators {
	return u.spec().Each.Accelerators * ids.Accelerators(u.count)
}

// laterFit returns when a unit is expected to fit after the given number of units of its shape.
func (s *State) laterFit(u *unit, before int, now time.Time, conflicts uint64) (time.Time, bool) {
	racks, spread := s.candidateRacks(u, now)
	if spread {
		racks = []*rack{s.wholePool}
	}
	var times []time.Time
	for _, r := range racks {
		times = s.appendFits(times, u, before+1, r, now, conflicts)
	}
	if before >= len(times) {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[before], true
}

// appendFits appends the times at which the first copies of a unit, of at most the given number, fit on some workers as their runs
// end.
func (s *State) appendFits(times []time.Time, u *unit, copies int, group *rack, now time.Time, conflicts uint64) []time.Time {
	s.projections++
	fitting := 0
	for _, n := range group.nodes {
		if s.eligible(u, n, now) && n.reservedFor&conflicts == 0 {
			n.projectedFree, n.projection = n.free(), s.projections
			fitting += s.projectedCopies(u, n, copies)
		}
	}
	at, found := now, 0
	ends := s.expectedEndsOn(group, now)
	for i := 0; ; i++ {
		for ; found < copies && fitting >= (found+1)*u.count; found++ {
			times = append(times, at)
		}
		if found == copies || i == len(ends) {
			return times
		}
		n := ends[i].run.node
		// The resources of a run that has ended meanwhile are free already.
		if n.projection != s.projections || ends[i].run.phase == runGone {
			continue
		}
		fitting -= s.projectedCopies(u, n, copies)
		n.projectedFree = n.projectedFree.Plus(ends[i].run.resources)
		fitting += s.projectedCopies(u, n, copies)
		at = laterOf(now, ends[i].at)
	}
}

// projectedCopies returns how many tasks of several copies of a unit fit into a worker's projected free resources.
func (s *State) projectedCopies(u *unit, n *node, copies int) int {
	fits := n.projectedFree.Copies(u.spec().Each, u.count*copies)
	if limit := u.spec().MaxPerWorker; limit > 0 {
		fits = min(fits, limit*copies)
	}
	return fits
}
