package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Refusal is the reason why a job is not accepted, and the time after which it may be submitted again.
type Refusal struct {
	Reason string
	// RetryAfter is the time until capacity is expected; zero means never.
	RetryAfter time.Duration
}

const (
	// minRetryAfter is the shortest retry delay of a refused job.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest such delay: workers that are unavailable now may be back by then.
	maxRetryAfter = 10 * time.Second
)

// Admit decides whether to accept a new job. A job that is expected to miss its objective is refused at once.
func (s *State) Admit(j *Job, now time.Time) *Refusal {
	s.init()
	if s.recovering {
		return &Refusal{Reason: "the workers have not reported yet", RetryAfter: minRetryAfter}
	}
	if len(s.racks) == 0 {
		return &Refusal{Reason: "no workers are known", RetryAfter: minRetryAfter}
	}
	if j.units == nil {
		j.openOne()
	}
	for _, u := range j.units {
		if !s.fitsEmptyPool(u) {
			return &Refusal{Reason: "no set of workers could hold a step"}
		}
	}
	if refusal := s.refuseForMemory(j); refusal != nil {
		return refusal
	}
	if !j.units[0].isDue(now) {
		// The load at that time can't be predicted.
		return nil
	}
	if refusal := s.refuseEvacuated(j); refusal != nil {
		return refusal
	}
	s.updateGuaranteed()
	j.guaranteed = j.Priority == 0 && s.guaranteeCovers(j)
	if j.guaranteed {
		j.forecast = forecast{wait: s.guaranteedWait(j, now), isKnown: true}
		return nil
	}
	wait := s.expectedWait(j, now)
	j.forecast = forecast{wait: wait, isKnown: true}
	if slack := s.Objective(j) - s.criticalPath(j); wait > slack {
		return &Refusal{
			Reason:     "it would wait " + wait.Round(time.Millisecond).String() + "; its limit is " + slack.Round(time.Millisecond).String() + s.evacuationCause(),
			RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait-slack)),
		}
	}
	return nil
}

// guaranteeCovers reports whether the account's guarantee covers the job and the account's live jobs of priority 0.
func (s *State) guaranteeCovers(j *Job) bool {
	sum := j.accelerators()
	for _, other := range s.live {
		if other.Priority != 0 {
			break
		}
		if other.Account == j.Account {
			sum += other.accelerators()
		}
	}
	return sum <= s.guaranteeOf(j.Account)
}

// fitsEmptyPool reports whether the unit would fit into the pool if nothing else ran.
func (s *State) fitsEmptyPool(u *unit) bool {
	count := 0
	for _, n := range s.nodes {
		if n.Service != u.job.Service || !n.hasLabel(u.spec().Label) {
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

// expectedWait returns the expected queueing delay of a job's first unit: the backlog ahead of it and the wait for capacity.
func (s *State) expectedWait(j *Job, now time.Time) time.Duration {
	wait := s.backlog(j, now) + s.Lag
	u := j.units[0]
	if placement := s.findPlacement(u, now, 0); placement != nil {
		return wait
	}
	if j.Priority == 0 {
		if placement, _ := s.preemptionPlan(u, now); placement != nil {
			return wait + s.expectedStopTime()
		}
	}
	at, placement := s.earliestFit(u, now, 0)
	if placement == nil {
		return wait + s.Objective(j)
	}
	return wait + at.Sub(now)
}

// backlog returns the expected time to run the units queued ahead of a job, weighted by their dominant share of the pool.
func (s *State) backlog(j *Job, now time.Time) time.Duration {
	var total ids.Resources
	for _, n := range s.nodes {
		if n.schedulable() {
			total = total.Plus(n.Total)
		}
	}
	if total == (ids.Resources{}) {
		return 0
	}
	sum, startTag := 0.0, s.fairQueue.startTag(j)
	for _, other := range s.live {
		if other.Priority > j.Priority || (other.Priority == j.Priority && other.startTag > startTag) {
			break
		}
		for _, st := range other.stages {
			if queued := st.inPhase[waiting] + st.inPhase[preempting]; queued > 0 && st.units[0].isDue(now) && s.fitsRemaining(st.units[0]) {
				sum += float64(queued) * dominantShare(st.step().Each.Times(st.units[0].count), total) * s.stepRunTime(other, st.stepKey.step).Seconds()
			}
		}
	}
	return time.Duration(sum * float64(time.Second))
}

// dominantShare returns the largest share of any resource that r takes of total.
func dominantShare(r, total ids.Resources) float64 {
	return max(
		float64(r.Accelerators)/float64(max(1, total.Accelerators)),
		float64(r.Cores)/float64(max(1, total.Cores)),
		float64(r.Memory)/float64(max(1, total.Memory)),
	)
}
