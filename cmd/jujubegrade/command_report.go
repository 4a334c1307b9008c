package main

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// reportWriters maps each kind of report to the function that writes it as text.
var reportWriters = map[string]func(w io.Writer, r operator.Report){
	"lateness": func(w io.Writer, r operator.Report) {
		for _, j := range r.Late {
			lead := j.Due.Sub(j.Warned).Round(1e9)
			printLine(w, "%s\t%s\t%s\tdue %s\tforecast %s\tquantile %g\tlead %s\t%s", j.DataCentre, j.Job, j.Account,
				j.Due.Format("01-02 15:04:05"), j.Forecast.Format("01-02 15:04:05"), j.Quantile, lead, j.Reason)
		}
	},
	"guarantees": func(w io.Writer, r operator.Report) {
		for _, g := range r.Guarantees {
			state := "held"
			if !g.Held {
				state = "AT RISK: " + g.Missing
			}
			printLine(w, "%s\t%s/%d\t%s\t%s\tuses %d\t%s", g.DataCentre, g.Guarantee, g.Number, g.Account, g.Shape, g.Used, state)
		}
	},
	"fragmentation": func(w io.Writer, r operator.Report) {
		for _, rack := range r.Racks {
			printLine(w, "%s\t%s\ttotal %d\tfree %d\tstranded %d", rack.DataCentre, rack.Rack, rack.Total, rack.Free, rack.Stranded)
		}
	},
	"evacuation": func(w io.Writer, r operator.Report) {
		if e := r.Evacuation; e != nil {
			printLine(w, "%s\tevacuated since %s\truns left %d\tqueued %d\tworkers %d\tconfiguration confirmed %.1fs ago", e.DataCentre,
				e.Since.Format("01-02 15:04:05"), e.RunsLeft, e.Queued, e.Instances, e.ViewAge)
		}
	},
	"unknown": func(w io.Writer, r operator.Report) {
		for _, j := range r.Unknown {
			printLine(w, "%s\t%s\t%s\t%s\t%s", j.DataCentre, j.Job, j.Account, j.Finished.Format("01-02 15:04:05"), j.Evidence)
		}
	},
}

// reportCommand prints the reports for operators.
func (c console) reportCommand() *ffcli.Command {
	set, r := c.remoteFlags("report")
	return &ffcli.Command{
		Name: "report", ShortUsage: "jujubegrade report [flags] lateness|guarantees|fragmentation|evacuation|unknown", ShortHelp: "Report lateness, guarantees, fragmentation, evacuations or unknown outcomes", FlagSet: set, Options: flagOptions(),
		LongHelp: "Example:\n  jujubegrade report lateness",
		Exec: func(ctx context.Context, args []string) error {
			kind, err := oneArgument(args, "report")
			if err != nil {
				return err
			}
			write, found := reportWriters[kind]
			if !found {
				return errors.Newf("unknown report %q, allowed are lateness, guarantees, fragmentation, evacuation, unknown", kind)
			}
			reports, err := r.operator().Reports(ctx)
			if err != nil {
				return err
			}
			return r.print(reports, func(w io.Writer) {
				for _, report := range reports.Reports {
					write(w, report)
				}
				for _, id := range reports.Missing {
					printLine(w, "%s\tno owner answered", id)
				}
			})
		},
	}
}
