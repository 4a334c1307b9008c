package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// reservation reserves nodes for the first borrower that doesn't fit. Other borrowers may backfill them only if they are
// expected to end before the reserving job can start.
type reservation struct {
	job   *Job
	nodes map[*node]bool
	// expectedStart is when the job is expected to start.
	expectedStart time.Time
	// capacityVersion is the capacity version for which the reservation was made.
	capacityVersion uint64
}

// reservedForOther reports whether another job's reservation keeps a borrower from a node.
func (s *State) reservedForOther(j *Job, n *node, now time.Time) bool {
	r := s.reservation
	if r == nil || r.job == j || !r.nodes[n] {
		return false
	}
	return now.Add(s.estimates.runTime(j, cautiousQuantile)).After(r.expectedStart)
}

// refreshReservation drops a reservation whose job is no longer queued or must not start now, and renews an outdated one.
func (s *State) refreshReservation(now time.Time) {
	r := s.reservation
	if r == nil {
		return
	}
	if r.job.phase != queued || (s.holdNonIdempotent && !r.job.Idempotent) {
		s.reservation = nil
		s.capacityGrew()
		return
	}
	if r.capacityVersion != s.capacityVersion || now.After(r.expectedStart) {
		s.reservation = nil
		s.reserveFor(r.job, now)
	}
}

// reserveFor reserves the nodes on which a waiting borrower can start earliest. Only the first job in queue order holds a
// reservation.
func (s *State) reserveFor(j *Job, now time.Time) {
	if s.Policy.NoReservation || s.Policy.ArrivalOrder {
		return
	}
	if r := s.reservation; r != nil && (r.job == j || !ordersBefore(j, r.job)) {
		return
	}
	place, at := s.earliestStart(j, now)
	if place == nil {
		return
	}
	r := &reservation{job: j, nodes: make(map[*node]bool), expectedStart: at, capacityVersion: s.capacityVersion}
	for _, n := range place {
		r.nodes[n] = true
	}
	if s.reservation == nil || s.reservation.job != j {
		s.notice(Notice{Kind: NoticeReserved, Job: j.ID, Account: j.Account, Cause: "first in order; expected to start in " + at.Sub(now).Round(time.Second).String()})
	}
	s.reservation = r
}

// earliestStart returns the nodes and the time of a waiting job's earliest start if placed jobs end as forecast, or nil if
// it doesn't fit even then.
func (s *State) earliestStart(j *Job, now time.Time) ([]*node, time.Time) {
	ends := make(map[*Job]time.Time)
	var times []time.Time
	for _, other := range s.placed {
		end := now.Add(s.estimates.remaining(other, cautiousQuantile, now))
		ends[other] = end
		times = append(times, end)
	}
	sort.Slice(times, func(i, k int) bool { return times[i].Before(times[k]) })
	each := s.estimates.taskSize(j)
	placeAt := func(t time.Time) []*node {
		return s.find(search{
			tasks: j.Shape.Tasks, each: each, adjacent: j.Shape.Adjacent,
			available: func(n *node) ids.Resources { return s.availableAt(j, n, t, ends) },
			cost:      func(n *node, tasks int) float64 { return leftoverCost(n.Total, n.Total, each.Times(tasks)) },
			rackLimit: s.borrowerLimit(each, func(r *rack) ids.Accelerators { return r.freeAt(t, ends) }),
		})
	}
	first := sort.Search(len(times), func(i int) bool { return placeAt(times[i]) != nil })
	if first == len(times) {
		return nil, time.Time{}
	}
	return placeAt(times[first]), times[first]
}

// freeAt returns the free accelerators of a rack's live nodes at time t, given the expected ends of placed jobs.
func (r *rack) freeAt(t time.Time, ends map[*Job]time.Time) ids.Accelerators {
	sum := r.free()
	for _, n := range r.nodes {
		if n.down || n.evacuated {
			continue
		}
		for _, other := range n.jobs {
			if !ends[other].After(t) {
				sum += other.Each.Accelerators * ids.Accelerators(other.tasksOn(n.ID))
			}
		}
	}
	return sum
}

// availableAt returns the resources of a node that a borrower may use at time t, given the expected ends of placed jobs.
func (s *State) availableAt(j *Job, n *node, t time.Time, ends map[*Job]time.Time) ids.Resources {
	if !n.isSchedulable() || j.avoids(n, t) || !s.selectorsMatch(j, n) {
		return ids.Resources{}
	}
	available, uncommitted := n.free(), n.uncommitted()
	for _, other := range n.jobs {
		if ends[other].After(t) {
			continue
		}
		held := other.Each.Times(other.tasksOn(n.ID))
		available = available.Plus(held)
		if other.isNonPreemptibleBorrower() {
			uncommitted = uncommitted.Plus(held)
		}
	}
	if !j.Idempotent {
		available = minResources(available, uncommitted)
	}
	return available
}
