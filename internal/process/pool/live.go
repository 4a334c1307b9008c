package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// liveJobs holds exactly the jobs that have not ended, ordered by priority, start tag and acceptance.
	liveJobs []*Job

	// liveOrder is the place of a job in the order. It is a copy, so that a change of the job can't move it unnoticed.
	liveOrder struct {
		priority   int
		startTag   time.Duration
		acceptance tenure.Acceptance
		id         ids.JobID
	}
)

func (o liveOrder) compare(other liveOrder) int {
	return cmp.Or(cmp.Compare(o.priority, other.priority), cmp.Compare(o.startTag, other.startTag), o.acceptance.Compare(other.acceptance), cmp.Compare(o.id, other.id))
}

// compareJobs orders jobs as in State.live.
func compareJobs(a, b *Job) int { return a.order.compare(b.order) }

// add inserts a job by its present priority, start tag and acceptance.
func (l *liveJobs) add(j *Job) {
	j.order, j.isLive = liveOrder{j.Priority, j.startTag, j.stamp.Acceptance, j.ID}, true
	at, _ := slices.BinarySearchFunc(*l, j, compareJobs)
	*l = slices.Insert(*l, at, j)
}

// remove removes a job, and reports whether it was there.
func (l *liveJobs) remove(j *Job) bool {
	if !j.isLive {
		return false
	}
	j.isLive = false
	at, _ := slices.BinarySearchFunc(*l, j, compareJobs)
	*l = slices.Delete(*l, at, at+1)
	return true
}

// insertLive queues a job that has not ended.
func (s *State) insertLive(j *Job) {
	s.fairQueue.enqueue(j, s.serviceTime(j))
	s.live.add(j)
	s.guaranteedChanged = s.guaranteedChanged || j.Priority == 0
	s.requestPass()
}

// removeLive removes a job from the queue, once.
func (s *State) removeLive(j *Job) {
	if !s.live.remove(j) {
		return
	}
	if !j.ordered {
		s.fairQueue.refund(j)
	}
	s.guaranteedChanged = s.guaranteedChanged || j.Priority == 0
	s.requestPass()
}
