package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// configCommand reads and changes the operators' configuration.
func (c console) configCommand() *ffcli.Command {
	return c.group("config", "Read and change the configuration", c.configGet(), c.configApply(), c.configHistory(), c.configStatus())
}

func (c console) configGet() *ffcli.Command {
	set, r := c.remoteFlags("get")
	return &ffcli.Command{
		Name: "get", ShortUsage: "jujubegrade config get [flags]", ShortHelp: "Print the configuration in force", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			config, err := r.operator().Config(ctx)
			if err != nil {
				return err
			}
			return r.print(config, func(w io.Writer) { _, _ = io.WriteString(w, config.Text) })
		},
	}
}

func (c console) configApply() *ffcli.Command {
	set, r := c.remoteFlags("apply")
	base := set.Int64("base", -1, "version that the change is based on; -1 means the version in force")
	note := set.String("note", "", "reason for the change")
	dryRun := set.Bool("dry-run", false, "print the effects of the change without accepting it")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "jujubegrade config apply [flags] FILE", ShortHelp: "Submit a new configuration", FlagSet: set, Options: flagOptions(),
		LongHelp: "Exits with 3 if another version was accepted since the base version, with 2 if the file is invalid.\n\nExample:\n  jujubegrade config apply -base 7 -note 'more for candles' kerotechni.ini",
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneArgument(args, "file")
			if err != nil {
				return err
			}
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			change := operator.Change{Base: ids.Version(max(0, *base)), Author: author(), Note: *note, Text: string(text), DryRun: *dryRun}
			if *base < 0 {
				current, err := r.operator().Config(ctx)
				if err != nil {
					return err
				}
				change.Base = current.Version
			}
			return r.apply(ctx, change)
		},
	}
}

// apply submits a configuration change and prints the result.
func (r *remoteCommand) apply(ctx context.Context, change operator.Change) error {
	acceptance, err := r.operator().Apply(ctx, change)
	if err != nil {
		return err
	}
	return r.print(acceptance, func(w io.Writer) {
		for _, effect := range acceptance.Effects {
			printLine(w, "%s", effect)
		}
		if acceptance.Accepted {
			printLine(w, "accepted as version %d", acceptance.Version)
			return
		}
		printLine(w, "not accepted; version %d is in force", acceptance.Version)
	})
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c console) configHistory() *ffcli.Command {
	set, r := c.remoteFlags("history")
	limit := set.Int("limit", 20, "number of versions to print")
	return &ffcli.Command{
		Name: "history", ShortUsage: "jujubegrade config history [flags]", ShortHelp: "Print the history of configuration changes", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			list, err := r.operator().History(ctx, 0, *limit)
			if err != nil {
				return err
			}
			return r.print(list, func(w io.Writer) {
				printLine(w, "VERSION\tTIME\tAUTHOR\tNOTE")
				for _, v := range list {
					printLine(w, "%d\t%s\t%s\t%s", v.Version, v.Time.Format("2006-01-02 15:04:05"), v.Author, v.Note)
				}
			})
		},
	}
}

func (c console) configStatus() *ffcli.Command {
	set, r := c.remoteFlags("status")
	return &ffcli.Command{
		Name: "status", ShortUsage: "jujubegrade config status [flags]", ShortHelp: "Print which version is in force on each instance", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			status, err := r.operator().InForce(ctx)
			if err != nil {
				return err
			}
			return r.print(status, func(w io.Writer) {
				printLine(w, "accepted %d, in force everywhere: %v", status.Accepted, status.Everywhere)
				for _, i := range status.Instances {
					printLine(w, "%s\tversion %d\t%s", i.Instance, i.Version, fmt.Sprintf("last seen %.1fs ago", i.Age))
				}
			})
		},
	}
}
