package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// logLine holds the fields of a log line that a timeline uses.
	logLine struct {
		TS       string           `json:"ts"`
		Msg      string           `json:"msg"`
		Instance string           `json:"instance"`
		Job      ids.JobID        `json:"job"`
		Account  ids.AccountID    `json:"account"`
		Path     string           `json:"path"`
		Worker   ids.InstanceID   `json:"worker"`
		Epoch    ids.Epoch        `json:"epoch"`
		Cause    string           `json:"cause"`
		Error    string           `json:"error"`
		Result   string           `json:"result"`
		Owner    ids.InstanceID   `json:"owner"`
		Centre   ids.DataCentreID `json:"dataCentre"`
		Step     int              `json:"step"`
		Task     int              `json:"task"`
		Priority int              `json:"priority"`
		// Objective is in seconds.
		Objective float64 `json:"objective"`
		// Runs lists the runs that a worker has lost, in some messages, or counts them.
		Runs json.RawMessage `json:"runs"`
		// Previous is how the previous run of a task ended.
		Previous struct {
			LostOn   ids.InstanceID `json:"lostOn"`
			Evidence string         `json:"evidence"`
		} `json:"previous"`
	}
)

const (
	// logTimeLayout is the time layout of log lines.
	logTimeLayout = "2006-01-02T15:04:05.000Z0700"
	// maxLogLineBytes limits the length of a line; a longer line is an error.
	maxLogLineBytes = 1 << 20
)

// readLogs returns the events of log files in order of time.
func readLogs(files []string, f operator.Filter) (operator.Timeline, error) {
	var t operator.Timeline
	err := eachLogLine(files, func(l logLine, when time.Time) {
		if e := l.event(when); (f.Job == "" || e.Job == f.Job || l.listsRunOf(f.Job)) && (f.Account == "" || e.Account == f.Account) && !when.Before(f.Since) {
			t.Events = append(t.Events, e)
		}
	})
	slices.SortStableFunc(t.Events, func(a, b operator.Event) int { return a.Time.Compare(b.Time) })
	return t, err
}

// listsRunOf reports whether the line lists a run of a job.
func (l logLine) listsRunOf(job ids.JobID) bool {
	return bytes.Contains(l.Runs, []byte(`"`+string(job)+"/"))
}

// eachLogLine calls use for the lines of log files, file by file. Text before the first brace of a line is ignored.
func eachLogLine(files []string, use func(l logLine, when time.Time)) error {
	for _, name := range files {
		if err := readLog(name, use); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func readLog(name string, use func(l logLine, when time.Time)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return scanLog(file, use)
}

func scanLog(r io.Reader, use func(l logLine, when time.Time)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for number := 1; lines.Scan(); number++ {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(lines.Bytes()[start:], &l); err != nil || l.Msg == "" {
			continue // another program's line
		}
		when, err := time.Parse(logTimeLayout, l.TS)
		if err != nil {
			return errors.Wrapf(err, "line %d", number)
		}
		use(l, when)
	}
	return lines.Err()
}

// event converts a line to an event. In lines of calls, the job is the last element of the path.
func (l logLine) event(when time.Time) operator.Event {
	job := l.Job
	if job == "" && strings.HasPrefix(l.Msg, "call:") {
		job = ids.JobID(path.Base(l.Path))
	}
	var causes []string
	for _, w := range []string{l.Result, l.Cause, l.Error, string(l.Worker), string(l.Owner)} {
		if w != "" {
			causes = append(causes, w)
		}
	}
	if l.Previous.Evidence != "" {
		causes = append(causes, "lost on "+string(l.Previous.LostOn)+": "+l.Previous.Evidence)
	}
	return operator.Event{
		Time: when, Instance: l.Instance, Kind: l.Msg, DataCentre: l.Centre, Job: job, Account: l.Account, Target: l.Worker, Epoch: l.Epoch, Cause: strings.Join(causes, "; "),
	}
}
