package owner

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// taskHistory records the task states that the simulated workers go through, independently of any owner.
type taskHistory struct {
	simulation *simulation
	mu         sync.Mutex
	states     map[worker.TaskRef][]worker.State
	// partialSince is when each gang began to run only in part.
	partialSince map[attemptRef]time.Time
	// logMu guards log. It is apart from mu, since violations that are found under mu contain the log.
	logMu sync.Mutex
	log   map[ids.JobID][]string
}

type attemptRef struct {
	job     ids.JobID
	attempt ids.Attempt
}

// maxPartialTime is how long a gang may run in part: until the workers' leases from the lost owner have expired and the next
// owner has found and stopped the rest.
const maxPartialTime = 20 * time.Second

func (l *taskHistory) observe(ref worker.TaskRef, state worker.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = make(map[worker.TaskRef][]worker.State)
		l.partialSince = make(map[attemptRef]time.Time)
	}
	l.appendLog(ref, state)
	l.states[ref] = append(l.states[ref], state)
	job := l.simulation.jobs[ref.Job]
	if state == worker.Running && !job.Idempotent {
		l.checkAtMostOnce(ref)
	}
	l.checkPartial(attemptRef{ref.Job, ref.Attempt}, job.Shape.Tasks, time.Now())
}

func (l *taskHistory) appendLog(ref worker.TaskRef, state worker.State) {
	l.logMu.Lock()
	defer l.logMu.Unlock()
	if l.log == nil {
		l.log = make(map[ids.JobID][]string)
	}
	l.log[ref.Job] = append(l.log[ref.Job], fmt.Sprintf("%s attempt %d task %d %s\n", time.Now().Format("04:05.000"), ref.Attempt, ref.Index, state))
}

// logOf returns the lines of a job's log.
func (l *taskHistory) logOf(id ids.JobID) []string {
	l.logMu.Lock()
	defer l.logMu.Unlock()
	return slices.Clone(l.log[id])
}

// checkAtMostOnce asserts that an at-most-once job was not started before.
func (l *taskHistory) checkAtMostOnce(ref worker.TaskRef) {
	for other, states := range l.states {
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
			l.simulation.recordViolation(errors.Newf("job %s must run at most once, but ran as attempts %d and %d\n%s", ref.Job, other.Attempt, ref.Attempt, l.simulation.timeline(ref.Job)))
		}
	}
}

// checkPartial asserts that one attempt of a gang doesn't run in part for longer than maxPartialTime.
func (l *taskHistory) checkPartial(ref attemptRef, tasks int, now time.Time) {
	running, ended := 0, 0
	for i := range tasks {
		states := l.states[worker.TaskRef{Job: ref.job, Attempt: ref.attempt, Index: i}]
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
		delete(l.partialSince, ref)
		return
	}
	since, known := l.partialSince[ref]
	if !known {
		l.partialSince[ref] = now
		return
	}
	if now.Sub(since) > maxPartialTime {
		l.simulation.recordViolation(errors.Newf("attempt %d of job %s has run in part for %v\n%s", ref.attempt, ref.job, now.Sub(since), l.simulation.timeline(ref.job)))
	}
}

// checkAllPartial checks all gangs that run in part.
func (l *taskHistory) checkAllPartial(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []attemptRef
	for ref := range l.partialSince {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].job < list[j].job })
	for _, ref := range list {
		l.checkPartial(ref, l.simulation.jobs[ref.job].Shape.Tasks, now)
	}
}

// startCount returns the number of task starts of a job.
func (l *taskHistory) startCount(id ids.JobID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for ref, states := range l.states {
		for _, s := range states {
			if ref.Job == id && s == worker.Running {
				count++
			}
		}
	}
	return count
}

// completed reports whether all tasks of one attempt succeeded.
func (l *taskHistory) completed(id ids.JobID, tasks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := make(map[ids.Attempt]int)
	for ref, states := range l.states {
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
