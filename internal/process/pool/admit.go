package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Refusal says why a job is not accepted, and when it may come again.
type Refusal struct {
	Reason string
	// After is when there will be room; zero says that there never will.
	After time.Duration
}

const (
	// leastRetryAfter is the shortest time after which a refused job may come again.
	leastRetryAfter = time.Second
	// longestRetryAfter bounds that time: workers that can't be used now may be back by then.
	longestRetryAfter = 10 * time.Second
)

// Admit decides whether a job that is not known is accepted. A job that would end after its objective is refused at once.
func (s *State) Admit(j *Job, now time.Time) *Refusal {
	s.init()
	if s.recovering {
		return &Refusal{Reason: "the workers have not reported yet", After: leastRetryAfter}
	}
	if len(s.racks) == 0 {
		return &Refusal{Reason: "no workers are known", After: leastRetryAfter}
	}
	if j.units == nil {
		j.makeUnits()
	}
	for _, u := range j.units {
		if !s.everFits(u) {
			return &Refusal{Reason: "no set of workers could hold a step"}
		}
	}
	if !j.units[0].isDue(now) {
		// What the pool will have to do by then is not known.
		return nil
	}
	s.judgeOwed()
	j.owed = j.Priority == 0 && s.covered(j)
	if j.owed {
		return nil
	}
	slack := s.objective(j) - s.chainTime(j)
	if wait := s.expectedWait(j, now); wait > slack {
		return &Refusal{
			Reason: "it would wait " + wait.Round(time.Millisecond).String() + ", and may wait " + slack.Round(time.Millisecond).String(),
			After:  min(longestRetryAfter, max(leastRetryAfter, wait-slack)),
		}
	}
	return nil
}

// covered reports whether the account's guarantee covers the job beside the account's other jobs of priority 0.
func (s *State) covered(j *Job) bool {
	sum := j.accelerators()
	for _, other := range s.live {
		if other.Priority != 0 {
			break
		}
		if other.Account == j.Account {
			sum += other.accelerators()
		}
	}
	return sum <= s.accounts[j.Account].Guaranteed
}

// everFits reports whether the unit fits into the pool if nothing else runs.
func (s *State) everFits(u *unit) bool {
	count := 0
	for _, n := range s.nodes {
		if n.Service != u.job.Service || !n.has(u.spec().Label) {
			continue
		}
		copies := n.Total.Copies(u.spec().Each, u.count)
		if limit := u.spec().MaxPerWorker; limit > 0 {
			copies = min(copies, limit)
		}
		if count += copies; count >= u.count {
			return true
		}
	}
	return false
}

// expectedWait returns how long a job's first units are expected to wait: for what stands before them, and for room.
func (s *State) expectedWait(j *Job, now time.Time) time.Duration {
	wait := s.backlog(j, now)
	u := j.units[0]
	s.sumRoom(now)
	if place := s.findPlace(u, now, func(n *node) ids.Resources { return n.free() }); place != nil {
		return wait
	}
	if j.Priority == 0 {
		if place, _ := s.reclaimPlan(u, now); place != nil {
			return wait + s.stopTime()
		}
	}
	at, place := s.soonest(u, now, func(*node) bool { return true })
	if place == nil {
		return wait + s.objective(j)
	}
	return wait + at.Sub(now)
}

// backlog returns how long the pool works on the units that wait before a job, by their dominant share of the pool.
func (s *State) backlog(j *Job, now time.Time) time.Duration {
	var total ids.Resources
	for _, n := range s.nodes {
		if n.open(now) {
			total = total.Plus(n.Total)
		}
	}
	if total == (ids.Resources{}) {
		return 0
	}
	sum, turn := 0.0, s.fair.turn(j)
	for _, other := range s.live {
		if other.Priority > j.Priority || (other.Priority == j.Priority && other.turn > turn) {
			break
		}
		for _, u := range other.units {
			if (u.phase == waiting || u.phase == allocated) && u.isDue(now) {
				sum += share(u.spec().Each.Times(u.count), total) * s.runTime(u).Seconds()
			}
		}
	}
	return time.Duration(sum * float64(time.Second))
}

// share returns the dominant share that an amount takes of a total.
func share(r, total ids.Resources) float64 {
	return max(
		float64(r.Accelerators)/float64(max(1, total.Accelerators)),
		float64(r.Cores)/float64(max(1, total.Cores)),
		float64(r.Memory)/float64(max(1, total.Memory)),
	)
}
