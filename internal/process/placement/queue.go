package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// queue holds the queued jobs of one account.
	queue struct {
		account ids.AccountID
		classes map[classKey]*class
		sorted  []*class
		length  int
	}

	// class holds queued jobs with the same placement requirements, in queue order.
	class struct {
		key  classKey
		jobs []*Job
		// borrowRetryVersion and guaranteedRetryVersion are the capacity versions from which the first job is tried again
		// as a borrower and under a guarantee.
		borrowRetryVersion     uint64
		guaranteedRetryVersion uint64
	}

	classKey struct {
		shape      ids.Shape
		selector   string
		idempotent bool
		urgent     bool
		kind       string
	}
)

func classOf(j *Job) classKey {
	return classKey{shape: j.Shape, selector: j.Selector, idempotent: j.Idempotent, urgent: j.Urgent, kind: j.Kind}
}

// enqueue adds a job to its account's queue, sorted by its order time.
func (s *State) enqueue(j *Job) {
	q := s.queues[j.Account]
	if q == nil {
		q = &queue{account: j.Account, classes: make(map[classKey]*class)}
		s.queues[j.Account] = q
	}
	key := classOf(j)
	c := q.classes[key]
	if c == nil {
		c = &class{key: key}
		q.classes[key] = c
		q.sorted = append(q.sorted, c)
	}
	j.orderTime = s.orderTime(j)
	j.class = c
	at := sort.Search(len(c.jobs), func(i int) bool { return ordersBefore(j, c.jobs[i]) })
	c.jobs = append(c.jobs, nil)
	copy(c.jobs[at+1:], c.jobs[at:])
	c.jobs[at] = j
	q.length++
	if at == 0 {
		// The new first job may avoid different nodes than the previous one, so the class is retried.
		c.borrowRetryVersion, c.guaranteedRetryVersion = 0, 0
	}
}

// enqueueAfterBackoff enqueues the jobs whose backoff has ended and drops those that have finished meanwhile.
func (s *State) enqueueAfterBackoff(now time.Time) {
	var remaining []*Job
	for _, j := range s.backingOff {
		switch {
		case j.phase != queued:
		case now.Before(j.notBefore):
			remaining = append(remaining, j)
		default:
			j.notBefore = time.Time{}
			s.enqueue(j)
		}
	}
	s.backingOff = remaining
}

func (s *State) dequeue(j *Job) {
	if q := s.queues[j.Account]; q != nil {
		q.remove(j)
	}
}

func (q *queue) remove(j *Job) {
	c := j.class
	if c == nil {
		return
	}
	at := sort.Search(len(c.jobs), func(i int) bool { return !ordersBefore(c.jobs[i], j) })
	if at >= len(c.jobs) || c.jobs[at] != j {
		return
	}
	c.jobs = append(c.jobs[:at], c.jobs[at+1:]...)
	j.class = nil
	q.length--
	if len(c.jobs) > 0 {
		return
	}
	delete(q.classes, c.key)
	for i, other := range q.sorted {
		if other == c {
			q.sorted = append(q.sorted[:i], q.sorted[i+1:]...)
			break
		}
	}
}

// orderTime returns the time that orders a job within its account: its acceptance plus a penalty in proportion to its
// run time. The penalty is bounded, so a later job can overtake an earlier one only within that bound, and no job starves.
func (s *State) orderTime(j *Job) time.Time {
	if s.Policy.ArrivalOrder {
		return j.AcceptanceTime()
	}
	estimate := s.estimates.runTime(j, medianQuantile)
	const maxPenalty = 2 * time.Hour
	penalty := min(time.Duration(float64(estimate)*s.config.Policy.CompletionWeight), maxPenalty)
	return j.AcceptanceTime().Add(penalty)
}

// ordersBefore reports whether a comes before b in queue order.
func ordersBefore(a, b *Job) bool {
	if !a.orderTime.Equal(b.orderTime) {
		return a.orderTime.Before(b.orderTime)
	}
	return a.ID < b.ID
}

// sortedClasses returns the classes of an account: urgent ones first, then by the order of their first jobs.
func (q *queue) sortedClasses() []*class {
	sort.SliceStable(q.sorted, func(i, k int) bool {
		a, b := q.sorted[i], q.sorted[k]
		if a.key.urgent != b.key.urgent {
			return a.key.urgent
		}
		return ordersBefore(a.jobs[0], b.jobs[0])
	})
	return q.sorted
}

// sortedQueues returns the non-empty queues, sorted by account ID.
func (s *State) sortedQueues() []*queue {
	var all []*queue
	for _, q := range s.queues {
		if q.length > 0 {
			all = append(all, q)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].account < all[j].account })
	return all
}
