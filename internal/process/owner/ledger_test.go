package owner

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// ledger is what the workers saw, which no owner can embellish.
type ledger struct {
	world *world
	mu    sync.Mutex
	tasks map[worker.TaskRef][]worker.State
	// partial is when a gang began to run in part.
	partial map[attemptRef]time.Time
	log     map[ids.JobID][]string
}

type attemptRef struct {
	job     ids.JobID
	attempt ids.Attempt
}

// partialBound is how long a gang may run in part: until the leases of a worker whose owner is gone have lapsed,
// the next owner was found and has stopped the rest.
const partialBound = 20 * time.Second

func (l *ledger) observe(ref worker.TaskRef, state worker.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks == nil {
		l.tasks = make(map[worker.TaskRef][]worker.State)
		l.partial = make(map[attemptRef]time.Time)
		l.log = make(map[ids.JobID][]string)
	}
	l.log[ref.Job] = append(l.log[ref.Job], fmt.Sprintf("%s attempt %d task %d %s\n", time.Now().Format("04:05.000"), ref.Attempt, ref.Index, state))
	l.tasks[ref] = append(l.tasks[ref], state)
	job := l.world.jobs[ref.Job]
	if state == worker.Running && !job.Idempotent {
		l.checkOnce(ref)
	}
	l.track(attemptRef{ref.Job, ref.Attempt}, job.Shape.Tasks, time.Now())
}

// checkOnce asserts that a job that may run once at most was not started before.
func (l *ledger) checkOnce(ref worker.TaskRef) {
	for other, states := range l.tasks {
		if other.Job != ref.Job || (other.Attempt == ref.Attempt && other.Index != ref.Index) {
			continue
		}
		started := 0
		for _, s := range states {
			if s == worker.Running {
				started++
			}
		}
		if (other == ref && started > 1) || (other != ref && started > 0) {
			l.world.fail(errors.Newf("job %s may run once at most, but ran as attempt %d and %d\n%s", ref.Job, other.Attempt, ref.Attempt, l.world.story(ref.Job)))
		}
	}
}

// track asserts that no gang runs in part for longer than the bound.
func (l *ledger) track(ref attemptRef, tasks int, now time.Time) {
	running, ended := 0, 0
	for i := range tasks {
		states := l.tasks[worker.TaskRef{Job: ref.job, Attempt: ref.attempt, Index: i}]
		if len(states) == 0 {
			continue
		}
		switch states[len(states)-1] {
		case worker.Running:
			running++
		case worker.Ended:
			ended++
		}
	}
	if running == 0 || running+ended == tasks {
		delete(l.partial, ref)
		return
	}
	since, known := l.partial[ref]
	if !known {
		l.partial[ref] = now
		return
	}
	if now.Sub(since) > partialBound {
		l.world.fail(errors.Newf("attempt %d of job %s has run in part for %v\n%s", ref.attempt, ref.job, now.Sub(since), l.world.story(ref.job)))
	}
}

// sweep checks all gangs that run in part.
func (l *ledger) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []attemptRef
	for ref := range l.partial {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].job < list[j].job })
	for _, ref := range list {
		l.track(ref, l.world.jobs[ref.job].Shape.Tasks, now)
	}
}

// runs counts the tasks of a job that ever ran.
func (l *ledger) runs(id ids.JobID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for ref, states := range l.tasks {
		for _, s := range states {
			if ref.Job == id && s == worker.Running {
				count++
			}
		}
	}
	return count
}

// whole reports whether all tasks of one attempt ended with success.
func (l *ledger) whole(id ids.JobID, tasks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := make(map[ids.Attempt]int)
	for ref, states := range l.tasks {
		if ref.Job == id && states[len(states)-1] == worker.Ended {
			ended[ref.Attempt]++
		}
	}
	for _, n := range ended {
		if n == tasks {
			return true
		}
	}
	return false
}
