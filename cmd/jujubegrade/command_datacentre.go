package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// dataCentreCommand evacuates data centres.
func (c console) dataCentreCommand() *ffcli.Command {
	return c.group("datacentre", "Evacuate data centres", c.dataCentreEvacuate())
}

func (c console) dataCentreEvacuate() *ffcli.Command {
	set, r := c.remoteFlags("evacuate")
	undo := set.Bool("undo", false, "withdraw the evacuation: allow new work in the data centre again")
	dryRun := set.Bool("dry-run", false, "print the effects of the change without accepting it")
	return &ffcli.Command{
		Name: "evacuate", ShortUsage: "jujubegrade datacentre evacuate [flags] ID", ShortHelp: "Stop placing new work in a data centre", FlagSet: set, Options: flagOptions(),
		LongHelp: "Running jobs run to their end, queued jobs wait until the evacuation is withdrawn, and new jobs go to other data centres.\n" +
			"'jujubegrade report evacuation' shows the runs left.\n\nExample:\n  jujubegrade datacentre evacuate -dry-run north",
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "data centre id")
			if err != nil {
				return err
			}
			note := "evacuate " + id
			if *undo {
				note = "withdraw the evacuation of " + id
			}
			return r.evacuateDataCentre(ctx, ids.DataCentreID(id), !*undo, operator.Change{Author: author(), Note: note, DryRun: *dryRun})
		},
	}
}

// evacuateDataCentre sets the key Evacuate of one data centre in the configuration in force. A concurrent change results in
// a conflict.
func (r *remoteCommand) evacuateDataCentre(ctx context.Context, id ids.DataCentreID, evacuate bool, change operator.Change) error {
	current, err := r.operator().Config(ctx)
	if err != nil {
		return err
	}
	change.Base = current.Version
	if change.Text, err = config.EvacuateDataCentre(current.Text, id, evacuate); err != nil {
		return err
	}
	return r.apply(ctx, change)
}
