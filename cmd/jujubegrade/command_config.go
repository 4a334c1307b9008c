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
	base := set.Int64("base", -1, "version that the change was made from; -1 takes the one in force")
	note := set.String("note", "", "why the change is made")
	dryRun := set.Bool("dry-run", false, "tell the effect without accepting the change")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "jujubegrade config apply [flags] FILE", ShortHelp: "Ask for a new configuration", FlagSet: set, Options: flagOptions(),
		LongHelp: "Exits with 3 if another version was accepted since the base, with 2 if the file is not valid.\n\nExample:\n  jujubegrade config apply -base 7 -note 'more for candles' kerotechni.ini",
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
		printLine(w, "not accepted, in force is version %d", acceptance.Version)
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
	limit := set.Int("limit", 20, "versions to print")
	return &ffcli.Command{
		Name: "history", ShortUsage: "jujubegrade config history [flags]", ShortHelp: "Print who changed the configuration when", FlagSet: set, Options: flagOptions(),
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
		Name: "status", ShortUsage: "jujubegrade config status [flags]", ShortHelp: "Print where the accepted version is in force", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			status, err := r.operator().InForce(ctx)
			if err != nil {
				return err
			}
			return r.print(status, func(w io.Writer) {
				printLine(w, "accepted %d, in force everywhere: %v", status.Accepted, status.Everywhere)
				for _, i := range status.Instances {
					printLine(w, "%s\tversion %d\t%s", i.Instance, i.Version, fmt.Sprintf("heard of %.1fs ago", i.Age))
				}
			})
		},
	}
}
