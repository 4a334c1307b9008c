package main

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// instanceCommand lists workers, sets their labels and drains them.
func (c console) instanceCommand() *ffcli.Command {
	return c.group("instance", "Show, label and drain instances", c.instanceList(), c.instanceLabel(), c.instanceDrain())
}

func (c console) instanceList() *ffcli.Command {
	set, r := c.remoteFlags("list")
	return &ffcli.Command{
		Name: "list", ShortUsage: "jujubegrade instance list [flags]", ShortHelp: "List workers", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			reports, err := r.operator().Reports(ctx)
			if err != nil {
				return err
			}
			var all []operator.InstanceStatus
			for _, report := range reports.Reports {
				all = append(all, report.Instances...)
			}
			return r.print(all, func(w io.Writer) {
				printLine(w, "INSTANCE\tDATACENTRE\tRACK\tSTATE\tACCELERATORS\tUSED\tJOBS")
				for _, i := range all {
					printLine(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d", i.ID, i.DataCentre, i.Rack, i.State, i.Total.Accelerators, i.Used.Accelerators, i.Jobs)
				}
			})
		},
	}
}

func (c console) instanceLabel() *ffcli.Command {
	set, r := c.remoteFlags("label")
	return &ffcli.Command{
		Name: "label", ShortUsage: "jujubegrade instance label [flags] ID NAME=VALUE...", ShortHelp: "Set labels of an instance; NAME= removes one", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) < 2 {
				return errors.New("expected an instance id and at least one NAME=VALUE")
			}
			edit := config.InstanceEdit{Labels: make(map[string]string)}
			for _, pair := range args[1:] {
				name, value, found := strings.Cut(pair, "=")
				if !found || name == "" {
					return errors.Newf("invalid label %q, expected NAME=VALUE", pair)
				}
				edit.Labels[name] = value
			}
			return r.editInstance(ctx, ids.InstanceID(args[0]), edit, "label "+strings.Join(args, " "))
		},
	}
}

func (c console) instanceDrain() *ffcli.Command {
	set, r := c.remoteFlags("drain")
	undo := set.Bool("undo", false, "allow new work on the instance again")
	return &ffcli.Command{
		Name: "drain", ShortUsage: "jujubegrade instance drain [flags] ID", ShortHelp: "Stop assigning new work to an instance", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "instance id")
			if err != nil {
				return err
			}
			drain := !*undo
			return r.editInstance(ctx, ids.InstanceID(id), config.InstanceEdit{Drain: &drain}, "drain "+id)
		},
	}
}

// editInstance changes one instance's section of the configuration in force. A concurrent change results in a conflict.
func (r *remoteCommand) editInstance(ctx context.Context, id ids.InstanceID, edit config.InstanceEdit, note string) error {
	current, err := r.operator().Config(ctx)
	if err != nil {
		return err
	}
	text, err := config.EditInstance(current.Text, id, edit)
	if err != nil {
		return err
	}
	return r.apply(ctx, operator.Change{Base: current.Version, Author: author(), Note: note, Text: text})
}
