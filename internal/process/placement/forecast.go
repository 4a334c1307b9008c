package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// waitHistory holds the queueing delays of started jobs, in seconds.
	waitHistory struct {
		guaranteed, borrowed samples
	}
)

func (w *waitHistory) add(guaranteed bool, waited time.Duration) {
	if guaranteed {
		w.guaranteed.add(waited.Seconds())
		return
	}
	w.borrowed.add(waited.Seconds())
}

// remainingWait returns a quantile of a waiting job's remaining queueing delay. An evacuation is assumed to last for as long
// again as it has lasted.
func (s *State) remainingWait(j *Job, q float64, now time.Time) time.Duration {
	if s.evacuated && !s.evacuatedSince.IsZero() {
		return max(now.Sub(s.evacuatedSince), s.queueingDelay(j, q, now))
	}
	return s.queueingDelay(j, q, now)
}

func (s *State) queueingDelay(j *Job, q float64, now time.Time) time.Duration {
	waited := now.Sub(j.AcceptanceTime())
	if r := s.reservation; r != nil && r.job == j && r.expectedStart.After(now) {
		return r.expectedStart.Sub(now)
	}
	history := &s.waits.borrowed
	if j.UnderGuarantee() {
		history = &s.waits.guaranteed
	}
	if total, found := history.quantile(q, waited.Seconds()); found {
		return max(0, time.Duration(total*float64(time.Second))-waited)
	}
	return time.Duration(q * float64(waited))
}

// UpdateForecasts updates the forecast of every job with a due time and adds a notice for each job that is newly forecast
// to be late.
func (s *State) UpdateForecasts(now time.Time) {
	q := s.config.Policy.WarnQuantile
	for _, j := range s.jobs {
		if j.Due.IsZero() || j.phase == finished {
			continue
		}
		s.forecast(j, q, now)
		if j.Warned.IsZero() && j.Forecast.After(j.Due) {
			j.Warned = now
			s.notice(Notice{Kind: NoticeLate, Job: j.ID, Account: j.Account, Cause: s.lateReason(j)})
		}
	}
}

func (s *State) forecast(j *Job, q float64, now time.Time) {
	switch j.phase {
	case queued, allocated, stopping:
		j.Forecast = now.Add(s.remainingWait(j, q, now) + s.estimates.runTime(j, q))
	default:
		j.Forecast = now.Add(s.estimates.remaining(j, q, now))
	}
}

func (s *State) lateReason(j *Job) string {
	switch j.phase {
	case queued:
		if s.evacuated {
			return "waits in the queue: " + evacuatedReason
		}
		return "waits in the queue"
	case allocated:
		return "waits for preempted jobs to stop"
	case stopping:
		return j.Reason
	}
	return "runs longer than its due time allows"
}

// LateJobs returns the jobs that are forecast to be late, sorted by due time.
func (s *State) LateJobs() []operator.LateJob {
	var list []operator.LateJob
	for _, j := range s.jobs {
		if j.phase == finished || j.Due.IsZero() || !j.Forecast.After(j.Due) {
			continue
		}
		list = append(list, operator.LateJob{
			Job: j.ID, Account: j.Account, DataCentre: s.DataCentre, Due: j.Due, Forecast: j.Forecast,
			Quantile: s.config.Policy.WarnQuantile, Reason: s.lateReason(j), Warned: j.Warned,
		})
	}
	sort.Slice(list, func(i, k int) bool {
		if !list[i].Due.Equal(list[k].Due) {
			return list[i].Due.Before(list[k].Due)
		}
		return list[i].Job < list[k].Job
	})
	return list
}
