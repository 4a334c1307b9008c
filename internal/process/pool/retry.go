package pool

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// retries holds the times at which refused callers were told to return, in order of time.
	retries struct{ list []retry }

	retry struct {
		at       time.Time
		priority int
		shape    taskShape
		// accelerators is the sum over the tasks of the job's first unit, and service is the time in which the whole pool serves it.
		accelerators ids.Accelerators
		service      time.Duration
	}
)

const (
	// retrySpacing is the least time between the returns of two callers.
	retrySpacing = 5 * time.Millisecond
	// maxRetries limits the number of returns that are kept, and with it the time that a refusal takes.
	maxRetries = 1024
)

// retryAfter returns when a refused caller may return: when room for its job is expected, and after the callers refused before that are
// at least as urgent and whose jobs fit wherever its job fits, at the pace at which the pool serves those.
func (s *State) retryAfter(j *Job, wait time.Duration, now time.Time) time.Duration {
	u := j.units[0]
	r := retry{
		at: now.Add(min(maxRetryAfter, max(minRetryAfter, wait))), priority: j.Priority, shape: taskShape{j.Service, u.spec().Label, u.spec().Each},
		accelerators: u.accelerators(), service: time.Duration(dominantShare(u.spec().Each.Times(u.count), s.total) * float64(s.runTime(u))),
	}
	list := slices.DeleteFunc(s.retries.list, func(other retry) bool { return !other.at.After(now) })
	for _, other := range list {
		if other.priority <= r.priority && other.shape.service == r.shape.service && r.shape.each.Contains(other.shape.each) && other.accelerators <= r.accelerators {
			r.at = laterOf(r.at, other.at.Add(max(retrySpacing, other.service)))
		}
	}
	if limit := now.Add(maxRetryAfter); r.at.After(limit) {
		r.at = limit
	}
	// The callers of other shapes and priorities return at other times.
	at, _ := slices.BinarySearchFunc(list, r.at.Add(-retrySpacing), func(other retry, t time.Time) int { return other.at.Compare(t) })
	for ; at < len(list) && list[at].at.Before(r.at.Add(retrySpacing)); at++ {
		r.at = laterOf(r.at, list[at].at.Add(retrySpacing))
	}
	s.retries.list = list
	if len(list) < maxRetries {
		s.retries.list = slices.Insert(list, at, r)
	}
	return r.at.Sub(now)
}
