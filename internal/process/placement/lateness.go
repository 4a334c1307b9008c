package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// waitHistory holds how long started jobs had waited.
	waitHistory struct {
		owed, borrowed samples
	}
)

func (w *waitHistory) add(owed bool, waited time.Duration) {
	if owed {
		w.owed.add(waited.Seconds())
		return
	}
	w.borrowed.add(waited.Seconds())
}

// waitLeft returns a quantile of the time that a waiting job still waits.
func (s *State) waitLeft(j *Job, q float64, now time.Time) time.Duration {
	waited := now.Sub(j.Submitted)
	if r := s.reservation; r != nil && r.job == j && r.at.After(now) {
		return r.at.Sub(now)
	}
	history := &s.waits.borrowed
	if j.Owed() {
		history = &s.waits.owed
	}
	if total, found := history.quantile(q, waited.Seconds()); found {
		return max(0, time.Duration(total*float64(time.Second))-waited)
	}
	return time.Duration(q * float64(waited))
}

// UpdateForecasts renews the forecast of every job with a due time, and notes those that will be late.
func (s *State) UpdateForecasts(now time.Time) {
	q := s.config.Policy.WarnQuantile
	for _, j := range s.jobs {
		if j.Due.IsZero() || j.phase == over {
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
		j.Forecast = now.Add(s.waitLeft(j, q, now) + s.estimates.runTime(j, q))
	default:
		j.Forecast = now.Add(s.estimates.remaining(j, q, now))
	}
}

func (s *State) lateReason(j *Job) string {
	switch j.phase {
	case queued:
		return "waits for a place"
	case allocated:
		return "waits for borrowers to be stopped"
	case stopping:
		return j.Reason
	}
	return "runs longer than its due time allows"
}

// Lateness lists the jobs that are forecast late, by due time.
func (s *State) Lateness() []operator.LateJob {
	var list []operator.LateJob
	for _, j := range s.jobs {
		if j.phase == over || j.Due.IsZero() || !j.Forecast.After(j.Due) {
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
