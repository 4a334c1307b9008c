// Package ledger follows what stand-ins of workers do and what callers are told, and finds broken promises.
package ledger

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Answer is what a caller was told of a submission.
	Answer string

	// Ledger is used by several goroutines at once.
	Ledger struct {
		mu     sync.Mutex
		jobs   map[ids.JobID]*job
		active map[ids.InstanceID]map[worker.Run]bool
		total  ids.Resources
		starts map[ids.JobID]int
		broken []string
		events []string
	}

	job struct {
		steps       []pool.Step
		schedule    pool.Schedule
		maxAttempts int
		// tries are the tries to hand the job in that are under way. unsure tells that one got no answer, and accepted that one
		// was accepted.
		tries            int
		unsure, accepted bool
		cancelled        time.Time
		done             map[worker.Task]bool
		// noted are the tasks whose end as done was acknowledged while their worker's lease lasted.
		noted map[worker.Task]bool
		// failed are the numbers of the runs of each task or gang that failed; noted ones were acknowledged.
		failed, notedFailed map[worker.Task]map[ids.RunNumber]bool
		started             bool
	}
)

// Answers to a submission.
const (
	Accepted Answer = "accepted"
	// Refused tells that the job was not accepted and never runs.
	Refused Answer = "refused"
	Unknown Answer = "unknown"
)

// cancelBound is the time after the cancelling of a job in which its tasks may still be started, by the platform's word.
const cancelBound = 3 * time.Second

// New returns a ledger of workers that have the given resources each.
func New(total ids.Resources) *Ledger {
	return &Ledger{starts: make(map[ids.JobID]int), jobs: make(map[ids.JobID]*job), active: make(map[ids.InstanceID]map[worker.Run]bool), total: total}
}

// Add makes a job known before it is handed in.
func (l *Ledger) Add(id ids.JobID, steps []pool.Step, schedule pool.Schedule, maxAttempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &job{
		steps: steps, schedule: schedule, maxAttempts: maxAttempts,
		done: make(map[worker.Task]bool), noted: make(map[worker.Task]bool), failed: make(map[worker.Task]map[ids.RunNumber]bool), notedFailed: make(map[worker.Task]map[ids.RunNumber]bool),
	}
}

func (l *Ledger) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.log("BROKEN " + text)
}

func (l *Ledger) log(text string) {
	l.events = append(l.events, time.Now().Format("15:04:05.000 ")+text)
}

// Note adds a line to the events.
func (l *Ledger) Note(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log(text)
}

// Logger returns a log whose lines stand among the events, so that a broken rule can be traced.
func (l *Ledger) Logger(instance string) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "msg", EncodeDuration: zapcore.StringDurationEncoder})
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(ledgerWriter{l, instance}), zap.InfoLevel))
}

// ledgerWriter writes an instance's log lines to the ledger.
type ledgerWriter struct {
	ledger   *Ledger
	instance string
}

// Write takes a line.
func (w ledgerWriter) Write(line []byte) (int, error) {
	w.ledger.Note(w.instance + ": " + strings.TrimSpace(string(line)))
	return len(line), nil
}

// Observe takes an event of a worker.
func (l *Ledger) Observe(e runservice.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log(fmt.Sprintf("%s %s %s run %d %s", e.Worker, e.Kind, e.Run.Task, e.Run.Number, e.How))
	if l.active[e.Worker] == nil {
		l.active[e.Worker] = make(map[worker.Run]bool)
	}
	j := l.jobs[e.Run.Job]
	switch e.Kind {
	case runservice.Crashed:
		l.active[e.Worker] = make(map[worker.Run]bool)
	case runservice.Started:
		l.started(e, j)
		l.active[e.Worker][e.Run] = true
	case runservice.Ended:
		delete(l.active[e.Worker], e.Run)
		switch e.How {
		case worker.EndDone:
			j.mark(j.done, e.Run.Task)
		case worker.EndFailed:
			j.countFailure(j.failed, e.Run)
		}
	case runservice.Acknowledged:
		l.acknowledged(e, j)
	}
}

func (l *Ledger) started(e runservice.Event, j *job) {
	if j == nil {
		l.fault("%s was started, and nobody handed it in", e.Run.Task)
		return
	}
	j.started = true
	l.starts[e.Run.Job]++
	if j.tries == 0 && !j.unsure && !j.accepted {
		l.fault("%s was started, and every try to hand it in was refused", e.Run.Task)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound {
		l.fault("%s was started %v after its job was cancelled", e.Run.Task, time.Since(j.cancelled))
	}
	if j.noted[e.Run.Task] {
		l.fault("%s was started after its end as done was acknowledged", e.Run.Task)
	}
	failed := len(j.notedFailed[j.failureKey(e.Run.Task)])
	if j.notedFailed[j.failureKey(e.Run.Task)][e.Run.Number] {
		// A member of a gang whose order was carried out late, after another member of the same run had failed.
		failed--
	}
	if failed >= j.maxAttempts {
		l.fault("%s was started after %d runs had failed", e.Run.Task, failed)
	}
	if due := j.schedule.First.Add(time.Duration(e.Run.Occurrence) * j.schedule.Interval); time.Now().Before(due) {
		l.fault("%s was started %v before its time", e.Run.Task, time.Until(due))
	}
	step := j.steps[e.Run.Step]
	for _, earlier := range step.After {
		for i := range j.steps[earlier].Tasks {
			if !j.done[worker.Task{Job: e.Run.Job, Occurrence: e.Run.Occurrence, Step: earlier, Index: i}] {
				l.fault("%s was started before step %d was done", e.Run.Task, earlier)
				return
			}
		}
	}
	used := step.Each
	for id, runs := range l.active {
		for r := range runs {
			if r.Task == e.Run.Task {
				l.fault("%s was started as run %d on %s while run %d was at work on %s", e.Run.Task, e.Run.Number, e.Worker, r.Number, id)
			}
			if id == e.Worker {
				used = used.Plus(l.jobs[r.Job].steps[r.Step].Each)
			}
		}
	}
	if !l.total.Fits(used) {
		l.fault("%s was started on %s, which then held %v of %v", e.Run.Task, e.Worker, used, l.total)
	}
}

func (l *Ledger) acknowledged(e runservice.Event, j *job) {
	switch e.How {
	case worker.EndDone:
		j.mark(j.noted, e.Run.Task)
	case worker.EndFailed:
		j.countFailure(j.notedFailed, e.Run)
	}
}

// Tried takes a try to hand a job in.
func (l *Ledger) Tried(id ids.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].tries++
}

func (j *job) countFailure(failures map[worker.Task]map[ids.RunNumber]bool, r worker.Run) {
	key := j.failureKey(r.Task)
	if failures[key] == nil {
		failures[key] = make(map[ids.RunNumber]bool)
	}
	failures[key][r.Number] = true
}

// mark marks a task as done, and with a gang's member the whole gang: it ends as done together, and one end stands for all.
func (j *job) mark(tasks map[worker.Task]bool, t worker.Task) {
	step := j.steps[t.Step]
	if !step.Gang {
		tasks[t] = true
		return
	}
	for t.Index = range step.Tasks {
		tasks[t] = true
	}
}

// failureKey returns the task by which failures are counted: the members of a gang share them.
func (j *job) failureKey(t worker.Task) worker.Task {
	if j.steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// Answered takes the answer to a submission.
func (l *Ledger) Answered(id ids.JobID, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	l.log(fmt.Sprintf("caller: job %s: %s", id, a))
	j.tries--
	switch {
	case a == Unknown:
		j.unsure = true
	case a == Accepted:
		j.accepted = true
	case j.started:
		l.fault("job %s was refused after it was started", id)
	}
}

// Cancelled takes a cancel that was confirmed.
func (l *Ledger) Cancelled(id ids.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log(fmt.Sprintf("caller: job %s is cancelled", id))
	if j := l.jobs[id]; j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// Missing takes an answer that a job doesn't exist.
func (l *Ledger) Missing(id ids.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs[id].accepted {
		l.fault("job %s was accepted and is not known", id)
	}
}

// Shown takes a state that a caller was shown.
func (l *Ledger) Shown(id ids.JobID, state pool.JobState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if state == pool.Completed {
		for _, t := range j.tasks(id) {
			if !j.done[t] {
				l.fault("job %s is shown as completed, and %s is not done", id, t)
				return
			}
		}
	}
	if state == pool.Failed {
		for _, numbers := range j.failed {
			if len(numbers) >= j.maxAttempts {
				return
			}
		}
		l.fault("job %s is shown as failed without the failures", id)
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

// Broken returns the promises that were broken.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}

// IsAccepted reports whether a caller was told that a job is accepted.
func (l *Ledger) IsAccepted(id ids.JobID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id].accepted
}

// Starts returns how many runs of a job's tasks were started.
func (l *Ledger) Starts(id ids.JobID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// Active returns the workers on which a job's runs are at work, one for each run.
func (l *Ledger) Active(id ids.JobID) []ids.InstanceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []ids.InstanceID
	for on, runs := range l.active {
		for r := range runs {
			if r.Job == id {
				list = append(list, on)
			}
		}
	}
	return list
}

// Text returns all events, a line each.
func (l *Ledger) Text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, line := range l.events {
		text += line + "\n"
	}
	return text
}
