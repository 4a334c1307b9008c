package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// timelineCommand prints the events of all entry instances in order of time.
func (c console) timelineCommand() *ffcli.Command {
	set, r := c.remoteFlags("timeline")
	job := set.String("job", "", "print only events of this job")
	account := set.String("account", "", "print only events of this client account")
	request := set.String("request", "", "print only events of this request")
	logs := set.String("logs", "", "comma-separated log files to read instead of querying instances")
	html := set.String("html", "", "file to write a self-contained HTML page to, with one lane per instance")
	return &ffcli.Command{
		Name: "timeline", ShortUsage: "jujubegrade timeline [flags]", ShortHelp: "Print the events of all entry instances in order of time", FlagSet: set, Options: flagOptions(),
		LongHelp: "Example:\n  jujubegrade timeline -job 3f0c9d\n  jujubegrade timeline -logs a.log,b.log -job 3f0c9d",
		Exec: func(ctx context.Context, _ []string) error {
			filter := operator.Filter{Job: ids.JobID(*job), Account: ids.AccountID(*account), Request: ids.RequestID(*request)}
			var t operator.Timeline
			var err error
			if *logs != "" {
				t, err = readLogs(strings.Split(*logs, ","), filter)
			} else {
				t, err = r.operator().Timeline(ctx, filter)
			}
			if err != nil {
				return err
			}
			if *html != "" {
				return writeHTMLFile(*html, t)
			}
			return r.print(t, func(w io.Writer) { writeTimeline(w, t) })
		},
	}
}

func writeHTMLFile(name string, t operator.Timeline) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := writeTimelineHTML(file, t); err != nil {
		_ = file.Close() // the write error takes precedence
		return err
	}
	return file.Close()
}

func writeTimeline(w io.Writer, t operator.Timeline) {
	for _, e := range t.Events {
		printLine(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s", e.Time.Format("15:04:05.000"), e.Instance, e.Kind, e.DataCentre, e.Job, e.Account, e.Cause)
	}
	if t.Dropped > 0 {
		printLine(w, "%d older events were dropped because buffers were full", t.Dropped)
	}
}
