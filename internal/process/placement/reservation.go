package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// reservation keeps nodes for the first borrower that doesn't fit: others may use them only if they are
// expected to end before it can start.
type reservation struct {
	job   *Job
	nodes map[*node]bool
	at    time.Time
	// growth is the growth count for which it was made.
	growth uint64
}

// reservedAgainst reports whether a node is kept from a borrower by the reservation.
func (s *State) reservedAgainst(j *Job, n *node, now time.Time) bool {
	r := s.reservation
	if r == nil || r.job == j || !r.nodes[n] {
		return false
	}
	return now.Add(s.estimates.runTime(j, cautiousQuantile)).After(r.at)
}

// refreshReservation drops a reservation whose job no longer waits or may not start now, and renews one that is out of date.
func (s *State) refreshReservation(now time.Time) {
	r := s.reservation
	if r == nil {
		return
	}
	if r.job.phase != queued || (s.holdOnce && !r.job.Idempotent) {
		s.reservation = nil
		s.grow()
		return
	}
	if r.growth != s.growth || now.After(r.at) {
		s.reservation = nil
		s.reserveFor(r.job, now)
	}
}

// reserveFor reserves the nodes on which a waiting borrower can start first. Only one job, the one that is first
// in order, holds a reservation.
func (s *State) reserveFor(j *Job, now time.Time) {
	if s.Policy.NoReservation || s.Policy.ArrivalOrder {
		return
	}
	if r := s.reservation; r != nil && (r.job == j || !before(j, r.job)) {
		return
	}
	place, at := s.earliest(j, now)
	if place == nil {
		return
	}
	r := &reservation{job: j, nodes: make(map[*node]bool), at: at, growth: s.growth}
	for _, n := range place {
		r.nodes[n] = true
	}
	if s.reservation == nil || s.reservation.job != j {
		s.notice(Notice{Kind: NoticeReserved, Job: j.ID, Account: j.Account, Cause: "first in order; expected to start in " + at.Sub(now).Round(time.Second).String()})
	}
	s.reservation = r
}

// earliest returns where and when a waiting job can start, if running work ends as forecast.
func (s *State) earliest(j *Job, now time.Time) ([]*node, time.Time) {
	ends := make(map[*Job]time.Time)
	var times []time.Time
	for _, other := range s.placed {
		end := now.Add(s.estimates.remaining(other, cautiousQuantile, now))
		ends[other] = end
		times = append(times, end)
	}
	sort.Slice(times, func(i, k int) bool { return times[i].Before(times[k]) })
	each := s.estimates.size(j)
	at := func(t time.Time) []*node {
		return s.find(search{
			tasks: j.Shape.Tasks, each: each, adjacent: j.Shape.Adjacent,
			room: func(n *node) ids.Resources { return s.roomAt(j, n, t, ends) },
			cost: func(n *node, tasks int) float64 { return leftoverCost(n.Total, n.Total, each.Times(tasks)) },
		})
	}
	first := sort.Search(len(times), func(i int) bool { return at(times[i]) != nil })
	if first == len(times) {
		return nil, time.Time{}
	}
	return at(times[first]), times[first]
}

// roomAt returns what a borrower may use of a node at a later time.
func (s *State) roomAt(j *Job, n *node, t time.Time, ends map[*Job]time.Time) ids.Resources {
	if !n.open() || j.avoids(n, t) || !s.matches(j, n) {
		return ids.Resources{}
	}
	room, unfixed := n.free(), n.guaranteed()
	for _, other := range n.jobs {
		if ends[other].After(t) {
			continue
		}
		held := other.Each.Times(other.tasksOn(n.ID))
		room = room.Plus(held)
		if other.isFixed() {
			unfixed = unfixed.Plus(held)
		}
	}
	if !j.Idempotent {
		room = atMost(room, unfixed)
	}
	return room
}
