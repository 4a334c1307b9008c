package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/experiment"
)

// capacityCommand measures the per-unit costs that docs/CAPACITY.md extrapolates from.
func (c console) capacityCommand() *ffcli.Command {
	set := c.flagSet("capacity")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "jujubegrade capacity", ShortHelp: "Measure state size, bytes and processor time at several sizes", FlagSet: set,
		LongHelp: "Prints one figure per line: Name Value Unit. docs/CAPACITY.md extrapolates the figures to the target size.",
		Exec: func(context.Context, []string) error {
			figures, err := experiment.Capacity()
			if err != nil {
				return err
			}
			writeFigures(c.out, "Capacity", figures)
			return nil
		},
	}
}
