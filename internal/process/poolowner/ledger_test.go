package poolowner

import (
	"fmt"
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
	// ledger follows what workers do and what callers are told, and finds broken promises.
	ledger struct {
		mu     sync.Mutex
		jobs   map[ids.JobID]*ledgerJob
		active map[ids.InstanceID]map[worker.Run]bool
		total  ids.Resources
		starts map[ids.JobID]int
		broken []string
		events []string
	}

	ledgerJob struct {
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

// cancelBound is the time after the cancelling of a job in which its tasks may still be started, by the platform's word.
const cancelBound = 3 * time.Second

func newLedger(total ids.Resources) *ledger {
	return &ledger{starts: make(map[ids.JobID]int), jobs: make(map[ids.JobID]*ledgerJob), active: make(map[ids.InstanceID]map[worker.Run]bool), total: total}
}

func (l *ledger) add(id ids.JobID, steps []pool.Step, schedule pool.Schedule, maxAttempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &ledgerJob{
		steps: steps, schedule: schedule, maxAttempts: maxAttempts,
		done: make(map[worker.Task]bool), noted: make(map[worker.Task]bool), failed: make(map[worker.Task]map[ids.RunNumber]bool), notedFailed: make(map[worker.Task]map[ids.RunNumber]bool),
	}
}

func (l *ledger) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.log("BROKEN " + text)
}

func (l *ledger) log(text string) {
	l.events = append(l.events, time.Now().Format("15:04:05.000 ")+text)
}

// logger returns a log whose lines stand among the events, so that a broken rule can be traced.
func (l *ledger) logger(instance string) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "msg", EncodeDuration: zapcore.StringDurationEncoder})
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(ledgerWriter{l, instance}), zap.InfoLevel))
}

// ledgerWriter writes an instance's log lines to the ledger.
type ledgerWriter struct {
	ledger   *ledger
	instance string
}

// Write takes a line.
func (w ledgerWriter) Write(line []byte) (int, error) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.log(w.instance + ": " + strings.TrimSpace(string(line)))
	return len(line), nil
}

// observe takes an event of a worker.
func (l *ledger) observe(e runservice.Event) {
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

func (l *ledger) started(e runservice.Event, j *ledgerJob) {
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

func (l *ledger) acknowledged(e runservice.Event, j *ledgerJob) {
	switch e.How {
	case worker.EndDone:
		j.mark(j.noted, e.Run.Task)
	case worker.EndFailed:
		j.countFailure(j.notedFailed, e.Run)
	}
}

// tried takes a try to hand a job in.
func (l *ledger) tried(id ids.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].tries++
}

func (j *ledgerJob) countFailure(failures map[worker.Task]map[ids.RunNumber]bool, r worker.Run) {
	key := j.failureKey(r.Task)
	if failures[key] == nil {
		failures[key] = make(map[ids.RunNumber]bool)
	}
	failures[key][r.Number] = true
}

// mark marks a task as done, and with a gang's member the whole gang: it ends as done together, and one end stands for all.
func (j *ledgerJob) mark(tasks map[worker.Task]bool, t worker.Task) {
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
func (j *ledgerJob) failureKey(t worker.Task) worker.Task {
	if j.steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// answered takes the answer to a submission.
func (l *ledger) answered(id ids.JobID, a Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	l.log(fmt.Sprintf("caller: job %s: %s %s %v", id, a.Result, a.Reason, err))
	j.tries--
	switch {
	case err != nil:
		j.unsure = true
	case a.Result == OK:
		j.accepted = true
	case j.started:
		l.fault("job %s was refused (%s) after it was started", id, a.Result)
	}
}

// cancelled takes the answer to a cancel.
func (l *ledger) cancelled(id ids.JobID, a Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log(fmt.Sprintf("caller: cancel of job %s: %s %v", id, a.Result, err))
	if j := l.jobs[id]; err == nil && a.Result == OK && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// shown takes a state that a caller was shown.
func (l *ledger) shown(id ids.JobID, a Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if err != nil || a.Result == NotNow {
		return
	}
	if a.Result == NoJob && j.accepted {
		l.fault("job %s was accepted and is not known: %+v", id, a)
	}
	if a.State == pool.Completed {
		for _, t := range j.tasks(id) {
			if !j.done[t] {
				l.fault("job %s is shown as completed, and %s is not done", id, t)
				return
			}
		}
	}
	if a.State == pool.Failed {
		for _, numbers := range j.failed {
			if len(numbers) >= j.maxAttempts {
				return
			}
		}
		l.fault("job %s is shown as failed without the failures", id)
	}
}

// tasks returns all tasks of a job.
func (j *ledgerJob) tasks(id ids.JobID) []worker.Task {
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

// verdict returns what was broken, and the last events before.
func (l *ledger) verdict() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) == 0 {
		return ""
	}
	return l.text()
}

// text returns all events, a line each. The ledger must be locked.
func (l *ledger) text() string {
	text := ""
	for _, line := range l.events {
		text += line + "\n"
	}
	return text
}
