// Package history records the events of worker stand-ins and the answers given to callers, and checks this history for
// violations of the scheduler's invariants.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// SubmissionOutcome is the outcome of a submission as its caller sees it.
	SubmissionOutcome string

	// Checker is a history checker. It is safe for concurrent use.
	Checker struct {
		mu     sync.Mutex
		jobs   map[ids.JobID]*job
		active map[ids.InstanceID]map[worker.Run]bool
		// strays holds since when the runs are active that nobody could have kept from starting.
		strays map[stray]time.Time
		total  ids.Resources
		starts map[ids.JobID]int
		// draining holds when each draining worker announced its departure.
		draining map[ids.InstanceID]time.Time
		// capacities holds the capacities of each worker whose capacity has changed, in order of time.
		capacities map[ids.InstanceID][]capacityChange
		// evacuated holds when the evacuation of each worker's data centre was requested.
		evacuated map[ids.InstanceID]time.Time
		// disturbances counts the faults of the store and the instances in progress, and disturbedAt is when the last one ended.
		disturbances int
		disturbedAt  time.Time
		violations   []string
		events       []string
	}

	capacityChange struct {
		at    time.Time
		total ids.Resources
	}

	job struct {
		steps       []pool.Step
		schedule    pool.Schedule
		maxAttempts int
		// pendingSubmissions counts the submissions of the job that are in flight. outcomeUnknown reports whether a submission
		// got no answer, and accepted whether one was accepted.
		pendingSubmissions       int
		outcomeUnknown, accepted bool
		cancelled                time.Time
		done                     map[worker.Task]bool
		// acknowledgedDone holds the tasks whose end as done was acknowledged to the worker.
		acknowledgedDone map[worker.Task]bool
		openEnds         map[worker.Task][]*openEnd
		// failedRuns holds the numbers of the failed runs of each task or gang, and acknowledgedFailed those whose failure was
		// acknowledged.
		failedRuns, acknowledgedFailed map[worker.Task]map[ids.RunNumber]bool
		started                        bool
		// crashes counts the workers that each task has crashed, and startsAfterCrashes its starts after minCrashes of them.
		crashes, startsAfterCrashes map[worker.Task]int
	}
)

// Outcomes of a submission.
const (
	Accepted SubmissionOutcome = "accepted"
	// Refused means that the job was not accepted and must never run.
	Refused SubmissionOutcome = "refused"
	Unknown SubmissionOutcome = "unknown"
)

// maxStartDelayAfterCancel is how long after the confirmed cancellation of a job its tasks may still start, as the platform
// specifies.
const maxStartDelayAfterCancel = 3 * time.Second

// maxStartDelayAfterDrain is how long after a worker announced its departure runs may still start there, as the platform
// specifies. It applies once the store and the instances have been without faults for stabilityWindow.
const (
	maxStartDelayAfterDrain = 2 * time.Second
	// maxStartDelayAfterEvacuation is the same limit for the evacuation of the worker's data centre.
	maxStartDelayAfterEvacuation = 5 * time.Second
	stabilityWindow              = 3 * time.Second
	// heartbeatInterval is the interval at which workers write their entries. After a reduction of a worker's capacity, the earlier capacity counts for the
	// stability window and one such interval.
	heartbeatInterval = 1500 * time.Millisecond
)

const (
	// maxStartsAfterCrashes is the number of starts of a task that has crashed minCrashes workers which the platform does not allow any more, and
	// minCrashesToFail the number of crashes from which it may be given up.
	minCrashes            = 3
	maxStartsAfterCrashes = 3
	minCrashesToFail      = 2
)

// New returns a checker for workers that each have the given total resources.
func New(total ids.Resources) *Checker {
	return &Checker{strays: make(map[stray]time.Time), starts: make(map[ids.JobID]int), draining: make(map[ids.InstanceID]time.Time), evacuated: make(map[ids.InstanceID]time.Time), capacities: make(map[ids.InstanceID][]capacityChange), jobs: make(map[ids.JobID]*job), active: make(map[ids.InstanceID]map[worker.Run]bool), total: total}
}

// Add registers a job before its submission.
func (c *Checker) Add(id ids.JobID, steps []pool.Step, schedule pool.Schedule, maxAttempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &job{
		steps: steps, schedule: schedule, maxAttempts: maxAttempts,
		done: make(map[worker.Task]bool), acknowledgedDone: make(map[worker.Task]bool), openEnds: make(map[worker.Task][]*openEnd),
		failedRuns: make(map[worker.Task]map[ids.RunNumber]bool), acknowledgedFailed: make(map[worker.Task]map[ids.RunNumber]bool),
		crashes: make(map[worker.Task]int), startsAfterCrashes: make(map[worker.Task]int),
	}
}

// RecordDrain records that a worker announced its departure.
func (c *Checker) RecordDrain(id ids.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[id] = time.Now()
	c.log(string(id) + " announces its departure")
}

// RecordReady records that a worker accepts runs, in a new incarnation.
func (c *Checker) RecordReady(id ids.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.draining, id)
	c.log(string(id) + " accepts runs")
}

// RecordCapacity records that a worker's capacity has changed, though not necessarily in its entry.
func (c *Checker) RecordCapacity(id ids.InstanceID, total ids.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.capacities[id]) == 0 {
		c.capacities[id] = []capacityChange{{total: c.total}}
	}
	c.capacities[id] = append(c.capacities[id], capacityChange{time.Now(), total})
	c.log(fmt.Sprintf("%s has the capacity %v", id, total))
}

// allows reports whether a worker had room for the given resources at some moment of the time for which an earlier capacity counts.
func (c *Checker) allows(id ids.InstanceID, used ids.Resources) bool {
	list := c.capacities[id]
	if len(list) == 0 {
		return c.total.Contains(used)
	}
	for i, change := range list {
		replaced := i+1 < len(list) && time.Since(list[i+1].at) > stabilityWindow+heartbeatInterval
		if !replaced && change.total.Contains(used) {
			return true
		}
	}
	return false
}

// RecordEvacuation records that the evacuation of a worker's data centre was requested.
func (c *Checker) RecordEvacuation(id ids.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[id] = time.Now()
	c.log("the data centre of " + string(id) + " is evacuated")
}

// RecordEvacuationEnd records that the request to evacuate a worker's data centre was withdrawn.
func (c *Checker) RecordEvacuationEnd(id ids.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, id)
	c.log("the data centre of " + string(id) + " is no longer evacuated")
}

// BeginDisturbance records the beginning of a fault of the store or an instance; the caller calls end when it is over.
func (c *Checker) BeginDisturbance() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances--
		c.disturbedAt = time.Now()
	}
}

func (c *Checker) isDisturbed() bool {
	return c.disturbances > 0 || !c.disturbedAt.IsZero() && time.Since(c.disturbedAt) < stabilityWindow
}

func (c *Checker) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.log("BROKEN " + text)
}

func (c *Checker) log(text string) {
	c.events = append(c.events, time.Now().Format("15:04:05.000 ")+text)
}

// Log adds a line to the event log.
func (c *Checker) Log(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log(text)
}

// Observe records and checks an event of a worker.
func (c *Checker) Observe(e runservice.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log(fmt.Sprintf("%s %s %s run %d %s", e.Worker, e.Kind, e.Run.Task, e.Run.Number, e.Reason))
	if c.active[e.Worker] == nil {
		c.active[e.Worker] = make(map[worker.Run]bool)
	}
	j := c.jobs[e.Run.Job]
	switch e.Kind {
	case runservice.Crashed:
		c.forgetStrays(e.Worker)
		c.active[e.Worker] = make(map[worker.Run]bool)
		c.forgetEnds(e.Worker)
		if j != nil {
			j.crashes[e.Run.Task]++
		}
	case runservice.LeaseExpired:
		c.forgetEnds(e.Worker)
	case runservice.Started:
		if e.Stray {
			c.strays[stray{e.Worker, e.Run}] = time.Now()
			return
		}
		c.checkStart(e, j)
		c.active[e.Worker][e.Run] = true
	case runservice.Ended:
		c.endStray(stray{e.Worker, e.Run})
		delete(c.active[e.Worker], e.Run)
		switch e.Reason {
		case worker.EndDone:
			j.markDone(j.done, e.Run.Task)
			j.recordOpenEnd(e)
		case worker.EndFailed:
			j.recordFailure(j.failedRuns, e.Run)
		}
	case runservice.Acknowledged:
		c.recordAcknowledgement(e, j)
	}
}

func (c *Checker) checkStart(e runservice.Event, j *job) {
	if j == nil {
		c.addViolation("%s was started, but its job was never submitted", e.Run.Task)
		return
	}
	j.started = true
	j.recordStartAfterEnds(e)
	c.starts[e.Run.Job]++
	if j.pendingSubmissions == 0 && !j.outcomeUnknown && !j.accepted {
		c.addViolation("%s was started, but every submission of its job was refused", e.Run.Task)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > maxStartDelayAfterCancel {
		c.addViolation("%s was started %v after its job was cancelled", e.Run.Task, time.Since(j.cancelled))
	}
	if at, found := c.draining[e.Worker]; found && !e.Late && !c.isDisturbed() && time.Since(at) > maxStartDelayAfterDrain {
		c.addViolation("%s was started on %s %v after the worker announced its departure", e.Run.Task, e.Worker, time.Since(at))
	}
	if at, found := c.evacuated[e.Worker]; found && !e.Late && !c.isDisturbed() && time.Since(at) > maxStartDelayAfterEvacuation {
		c.addViolation("%s was started on %s %v after the evacuation of its data centre was requested", e.Run.Task, e.Worker, time.Since(at))
	}
	if j.acknowledgedDone[e.Run.Task] {
		c.addViolation("%s was started after its end as done was acknowledged", e.Run.Task)
	}
	failed := len(j.acknowledgedFailed[j.failureKey(e.Run.Task)])
	if j.acknowledgedFailed[j.failureKey(e.Run.Task)][e.Run.Number] {
		// A gang member's start request may be executed late, after another member of the same run has failed.
		failed--
	}
	if failed >= j.maxAttempts {
		c.addViolation("%s was started after %d runs had failed", e.Run.Task, failed)
	}
	if j.crashes[e.Run.Task] >= minCrashes && !e.Late {
		if j.startsAfterCrashes[e.Run.Task]++; j.startsAfterCrashes[e.Run.Task] >= maxStartsAfterCrashes {
			c.addViolation("%s was started %d times more after it had crashed %d workers", e.Run.Task, j.startsAfterCrashes[e.Run.Task], minCrashes)
		}
	}
	if due := j.schedule.First.Add(time.Duration(e.Run.Occurrence) * j.schedule.Interval); time.Now().Before(due) {
		c.addViolation("%s was started %v before its scheduled time", e.Run.Task, time.Until(due))
	}
	step := j.steps[e.Run.Step]
	for _, earlier := range step.After {
		for i := range j.steps[earlier].Tasks {
			if !j.done[worker.Task{Job: e.Run.Job, Occurrence: e.Run.Occurrence, Step: earlier, Index: i}] {
				c.addViolation("%s was started before step %d was done", e.Run.Task, earlier)
				return
			}
		}
	}
	used := step.Each
	for id, runs := range c.active {
		for r := range runs {
			if r.Task == e.Run.Task {
				c.addViolation("%s was started as run %d on %s while run %d was active on %s", e.Run.Task, e.Run.Number, e.Worker, r.Number, id)
			}
			if id == e.Worker {
				used = used.Plus(c.jobs[r.Job].steps[r.Step].Each)
			}
		}
	}
	if !c.allows(e.Worker, used) {
		c.addViolation("%s was started on %s, whose runs then used %v of %v", e.Run.Task, e.Worker, used, append([]capacityChange{{total: c.total}}, c.capacities[e.Worker]...))
	}
}

func (c *Checker) recordAcknowledgement(e runservice.Event, j *job) {
	switch e.Reason {
	case worker.EndDone:
		j.markDone(j.acknowledgedDone, e.Run.Task)
		c.checkAcknowledgedEnd(e, j)
	case worker.EndFailed:
		j.recordFailure(j.acknowledgedFailed, e.Run)
	}
}

// RecordSubmission records that the submission of a job was sent.
func (c *Checker) RecordSubmission(id ids.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].pendingSubmissions++
}

func (j *job) recordFailure(failures map[worker.Task]map[ids.RunNumber]bool, r worker.Run) {
	key := j.failureKey(r.Task)
	if failures[key] == nil {
		failures[key] = make(map[ids.RunNumber]bool)
	}
	failures[key][r.Number] = true
}

// markDone marks a task as done. The members of a gang are done together, so the end of one marks the whole gang.
func (j *job) markDone(tasks map[worker.Task]bool, t worker.Task) {
	step := j.steps[t.Step]
	if !step.Gang {
		tasks[t] = true
		return
	}
	for t.Index = range step.Tasks {
		tasks[t] = true
	}
}

// failureKey returns the task under which failures are counted; the members of a gang share one count.
func (j *job) failureKey(t worker.Task) worker.Task {
	if j.steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// RecordSubmissionOutcome records and checks the answer to a submission.
func (c *Checker) RecordSubmissionOutcome(id ids.JobID, a SubmissionOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	c.log(fmt.Sprintf("caller: submission of job %s: %s", id, a))
	j.pendingSubmissions--
	switch {
	case a == Unknown:
		j.outcomeUnknown = true
	case a == Accepted:
		j.accepted = true
	case j.started:
		c.addViolation("job %s was refused after it was started", id)
	}
}

// RecordCancellation records that the cancellation of a job was confirmed.
func (c *Checker) RecordCancellation(id ids.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log(fmt.Sprintf("caller: cancellation of job %s confirmed", id))
	if j := c.jobs[id]; j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// AddNotFound records the violation that a job was not found by a read that was sent after its acceptance.
func (c *Checker) AddNotFound(id ids.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("job %s was accepted but is reported as not found", id)
}

// CheckState checks a job state that was returned to a caller.
func (c *Checker) CheckState(id ids.JobID, state pool.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if state == pool.Completed {
		for _, t := range j.tasks(id) {
			if !j.done[t] {
				c.addViolation("job %s is reported as completed, but %s is not done", id, t)
				return
			}
		}
	}
	if state == pool.Failed {
		for _, numbers := range j.failedRuns {
			if len(numbers) >= j.maxAttempts {
				return
			}
		}
		for _, crashes := range j.crashes {
			if crashes >= minCrashesToFail {
				return
			}
		}
		c.addViolation("job %s is reported as failed, but no task or gang has enough failed runs or has crashed enough workers", id)
	}
}

// tasks returns all tasks of a job.
func (j *job) tasks(id ids.JobID) []worker.Task {
	var list []worker.Task
	for occurrence := range max(1, j.schedule.Occurrences) {
		for step, s := range j.steps {
			for i := range s.Tasks {
				list = append(list, worker.Task{Job: id, Occurrence: occurrence, Step: step, Index: i})
			}
		}
	}
	return list
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// IsAccepted reports whether a submission of the job was answered with Accepted.
func (c *Checker) IsAccepted(id ids.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].accepted
}

// StartCount returns the number of runs of a job's tasks that were started.
func (c *Checker) StartCount(id ids.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[id]
}

// ActiveWorkers returns the worker of each active run of a job; a worker with several runs is listed once per run.
func (c *Checker) ActiveWorkers(id ids.JobID) []ids.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ids.InstanceID
	for workerID, runs := range c.active {
		for r := range runs {
			if r.Job == id {
				list = append(list, workerID)
			}
		}
	}
	return list
}

// EventLog returns the event log, one line per event.
func (c *Checker) EventLog() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, line := range c.events {
		text += line + "\n"
	}
	return text
}
