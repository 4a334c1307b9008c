package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// jobCommand submits, cancels and lists jobs.
func (c console) jobCommand() *ffcli.Command {
	// commandForID returns a command that takes the ID of one job.
	commandForID := func(name, help string, call func(*caller.Client) func(context.Context, ids.JobID, ids.DataCentreID) (caller.JobStatus, error)) *ffcli.Command {
		set, r := c.remoteFlags(name)
		dataCentre := set.String("datacentre", "", "the job's data centre, if known")
		return &ffcli.Command{
			Name: name, ShortUsage: "jujubegrade job " + name + " [flags] ID", ShortHelp: help, FlagSet: set, Options: flagOptions(),
			Exec: func(ctx context.Context, args []string) error {
				id, err := oneArgument(args, "job id")
				if err != nil {
					return err
				}
				status, err := call(r.caller())(ctx, ids.JobID(id), ids.DataCentreID(*dataCentre))
				if err != nil {
					return err
				}
				return r.showJobs(status, status)
			},
		}
	}
	status := commandForID("status", "Print a job's state", func(c *caller.Client) func(context.Context, ids.JobID, ids.DataCentreID) (caller.JobStatus, error) {
		return c.Status
	})
	cancel := commandForID("cancel", "Cancel a job", func(c *caller.Client) func(context.Context, ids.JobID, ids.DataCentreID) (caller.JobStatus, error) {
		return c.Cancel
	})
	return c.group("job", "Submit, cancel and list jobs", c.jobSubmit(), status, cancel, c.jobList())
}

func (c console) jobSubmit() *ffcli.Command {
	set, r := c.remoteFlags("submit")
	key := set.String("key", "", "idempotency key; submissions with the same key are the same job")
	account := set.String("account", "", "client account, if the token is an operator's")
	shape := set.String("shape", "1x1", "tasks and accelerators per task, such as 2x8/Rack")
	cores := set.Int64("cores", 0, "CPU per task in thousandths of a core")
	memory := set.Int64("memory", 0, "memory per task in MiB")
	kind := set.String("kind", "", "kind of job; run times are estimated per kind")
	selector := set.String("selector", "", "label selector that the instances must match")
	dataCentre := set.String("datacentre", "", "data centre; empty lets the scheduler choose")
	idempotent := set.Bool("idempotent", false, "the job can safely be started again")
	urgent := set.Bool("urgent", false, "the job takes priority over the account's other jobs")
	runTime := set.Duration("runtime", 0, "declared run time")
	due := set.Duration("due", 0, "time from now within which the job should end")
	payload := set.String("payload", "", "JSON that is passed to each task")
	return &ffcli.Command{
		Name: "submit", ShortUsage: "jujubegrade job submit [flags]", ShortHelp: "Submit a job", FlagSet: set, Options: flagOptions(),
		LongHelp: "Exits with 4 if the job was refused and has not run, with 5 if its outcome is unknown; the same key can be submitted again.\n\nExample:\n  jujubegrade job submit -key easter-17 -shape 2x8/Rack -idempotent -runtime 3h",
		Exec: func(ctx context.Context, _ []string) error {
			s, err := ids.ParseShape(*shape)
			if err != nil {
				return err
			}
			s.Each.Cores = ids.MilliCores(*cores)
			s.Each.Memory = ids.MebiBytes(*memory)
			job := caller.Job{
				Key: *key, Shape: s, Kind: *kind, Selector: *selector, DataCentre: ids.DataCentreID(*dataCentre),
				Idempotent: *idempotent, Urgent: *urgent, RunTime: *runTime,
			}
			if *due > 0 {
				job.Due = time.Now().Add(*due)
			}
			if *payload != "" {
				if !json.Valid([]byte(*payload)) {
					return errors.New("-payload is not valid JSON")
				}
				job.Payload = json.RawMessage(*payload)
			}
			status, err := r.caller().Submit(ctx, ids.AccountID(*account), job)
			if err != nil {
				return err
			}
			return r.showJobs(status, status)
		},
	}
}

func (c console) jobList() *ffcli.Command {
	set, r := c.remoteFlags("list")
	account := set.String("account", "", "client account, if the token is an operator's; empty lists all accounts")
	return &ffcli.Command{
		Name: "list", ShortUsage: "jujubegrade job list [flags]", ShortHelp: "List jobs", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			var all caller.JobList
			after := ids.JobID("")
			for {
				page, err := r.caller().List(ctx, ids.AccountID(*account), after)
				if err != nil {
					return err
				}
				all.Jobs = append(all.Jobs, page.Jobs...)
				for _, id := range page.Missing {
					if !slices.Contains(all.Missing, id) {
						all.Missing = append(all.Missing, id)
					}
				}
				if !page.More {
					break
				}
				after = page.Jobs[len(page.Jobs)-1].ID
			}
			for _, id := range all.Missing {
				printLine(os.Stderr, "%sthe owner of %s did not answer; its jobs are not listed", prefix, id)
			}
			return r.showJobs(all, all.Jobs...)
		},
	}
}

func (r *remoteCommand) showJobs(value any, list ...caller.JobStatus) error {
	return r.print(value, func(w io.Writer) {
		printLine(w, "ID\tACCOUNT\tDATACENTRE\tSTATE\tATTEMPT\tOWED\tREASON")
		for _, j := range list {
			printLine(w, "%s\t%s\t%s\t%s\t%d\t%v\t%s", j.ID, j.Account, j.DataCentre, j.State, j.Attempt, j.Owed, j.Reason)
		}
	})
}
