package main

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/process/jobtime"
)

// jobTimes is the output of the command jobtime.
type jobTimes struct {
	Groups []jobtime.Group
	// Latest holds the late jobs with the longest times.
	Latest []jobtime.Account
}

// jobTimeCommand prints what the time of jobs was spent on.
func (c console) jobTimeCommand() *ffcli.Command {
	r := &remoteCommand{console: c}
	set := c.flagSet("jobtime")
	logs := set.String("logs", "", "comma-separated log files of all instances that owned the pool")
	latest := set.Int("latest", 10, "number of late jobs to print one by one, the longest first")
	set.BoolVar(&r.json, "json", false, "write JSON instead of text")
	set.String("flags", "", "file that sets flags, one per line")
	return &ffcli.Command{
		Name: "jobtime", ShortUsage: "jujubegrade jobtime -logs FILE[,FILE...] [flags]", ShortHelp: "Print what the time of the jobs of a pool was spent on, by cause", FlagSet: set, Options: flagOptions(),
		LongHelp: "Example:\n  jujubegrade jobtime -logs a.log,b.log",
		Exec: func(_ context.Context, _ []string) error {
			accounts, err := readJobTimes(strings.Split(*logs, ","))
			if err != nil {
				return err
			}
			times := jobTimes{Groups: jobtime.Summarize(accounts), Latest: latestJobs(accounts, *latest)}
			return r.print(times, func(w io.Writer) { writeJobTimes(w, times) })
		},
	}
}

// readJobTimes returns the accounts of the jobs that have ended in log files.
func readJobTimes(files []string) ([]jobtime.Account, error) {
	var decisions []jobtime.Decision
	err := eachLogLine(files, func(l logLine, when time.Time) {
		d := jobtime.Decision{At: when, Job: l.Job, Step: l.Step, Task: l.Task, Cause: l.Cause, Priority: l.Priority, Objective: time.Duration(l.Objective * float64(time.Second))}
		kind, found := strings.CutPrefix(l.Msg, "decision: ")
		d.Kind = jobtime.Kind(kind)
		if l.Msg == "call: admitted" {
			d.Kind, found = jobtime.Admitted, true
		}
		if found {
			decisions = append(decisions, d)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(decisions, func(a, b jobtime.Decision) int { return a.At.Compare(b.At) })
	var ledger jobtime.Ledger
	for _, d := range decisions {
		ledger.Add(d)
	}
	return ledger.Accounts(), nil
}

// latestJobs returns the late jobs with the longest times.
func latestJobs(accounts []jobtime.Account, count int) []jobtime.Account {
	var late []jobtime.Account
	for _, a := range accounts {
		if a.Late {
			late = append(late, a)
		}
	}
	slices.SortStableFunc(late, func(a, b jobtime.Account) int { return int(b.Age - a.Age) })
	return late[:min(max(0, count), len(late))]
}

func writeJobTimes(w io.Writer, times jobTimes) {
	printLine(w, "Priority\tEnded\tJobs\tCause\tMean\tJobs with it")
	for _, g := range times.Groups {
		ended := "in time"
		if g.Late {
			ended = "late"
		}
		printLine(w, "%d\t%s\t%d\tall\t%s\t%d", g.Priority, ended, g.Jobs, formatTime(g.MeanAge), g.Jobs)
		for _, p := range g.Parts {
			printLine(w, "\t\t\t%s\t%s\t%d", p.Cause, formatTime(p.Mean), p.Jobs)
		}
	}
	for _, a := range times.Latest {
		var parts []string
		for cause, d := range a.Spent {
			parts = append(parts, string(cause)+" "+formatTime(d))
		}
		slices.Sort(parts)
		printLine(w, "%d\t%s\t%s\t%s\t%s\t%s", a.Priority, "late", a.Job, a.Outcome, formatTime(a.Age), strings.Join(parts, ", "))
	}
}

func formatTime(d time.Duration) string { return d.Round(time.Millisecond).String() }
