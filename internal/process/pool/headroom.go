package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// urgentDemand estimates the accelerators that the urgent jobs of a service request per second. Its zero value is no demand.
type urgentDemand struct {
	perSecond float64
	at        time.Time
}

const (
	// demandMemory is the time after which a request counts for a third of what it did.
	demandMemory = 3 * time.Second
	// headroomStops is the time for which the demand is kept free, in usual times of a stop. The average follows a burst late, and a gang waits for the last of
	// several stops.
	headroomStops = 3
	// maxHeadroom is the largest part of a service's accelerators that is kept free. With idleShare, a pool that is idle by the platform's measure keeps
	// nothing free.
	maxHeadroom = 0.35
)

// add adds a request.
func (d *urgentDemand) add(a ids.Accelerators, now time.Time) {
	d.perSecond = d.rate(now) + float64(a)/demandMemory.Seconds()
	d.at = now
}

// rate returns the accelerators requested per second.
func (d *urgentDemand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at)).Seconds()/demandMemory.Seconds())
}

// observeUrgent adds an urgent job to the demand of its service.
func (s *State) observeUrgent(j *Job) {
	if j.Priority > 0 {
		return
	}
	d := s.urgentDemands[j.Service]
	if d == nil {
		d = &urgentDemand{}
		s.urgentDemands[j.Service] = d
	}
	d.add(j.accelerators(), j.Submitted)
}

// leavesHeadroom reports whether a unit may start beside the capacity that is kept free for urgent jobs. An urgent job in a full pool waits for the stops of
// others, and most of what its objective allows beyond its work is spent before it starts. Only units that are not urgent have to leave headroom.
func (s *State) leavesHeadroom(u *unit, now time.Time) bool {
	d := s.urgentDemands[u.job.Service]
	if u.job.Priority == 0 || d == nil {
		return true
	}
	open := s.openCapacity(u.job.Service)
	headroom := d.rate(now) * headroomStops * s.expectedStopTime().Seconds()
	return float64(open.free) >= min(headroom, maxHeadroom*float64(open.total))
}

// openAccelerators are the accelerators of a service's schedulable workers.
type openAccelerators struct{ free, total ids.Accelerators }

// openCapacity returns the accelerators of a service's schedulable workers. Only the racks that have changed are summed again.
func (s *State) openCapacity(service ids.ServiceID) openAccelerators {
	if s.openSumsAt != s.capacityChanges {
		s.openSumsAt = s.capacityChanges
		for _, r := range s.racks {
			if r.openSumsAt != r.changedAt {
				s.sumOpen(r)
			}
		}
	}
	return s.openSums[service]
}

// sumOpen replaces a rack's part of the sums.
func (s *State) sumOpen(r *rack) {
	for service, old := range r.openSums {
		sum := s.openSums[service]
		s.openSums[service] = openAccelerators{sum.free - old.free, sum.total - old.total}
	}
	clear(r.openSums)
	if r.openSums == nil {
		r.openSums = make(map[ids.ServiceID]openAccelerators)
	}
	for _, n := range r.nodes {
		if n.schedulable() {
			sum := r.openSums[n.Service]
			r.openSums[n.Service] = openAccelerators{sum.free + n.free().Accelerators, sum.total + n.Total.Accelerators}
		}
	}
	for service, part := range r.openSums {
		sum := s.openSums[service]
		s.openSums[service] = openAccelerators{sum.free + part.free, sum.total + part.total}
	}
	r.openSumsAt = r.changedAt
}
