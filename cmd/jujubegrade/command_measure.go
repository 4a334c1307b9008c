package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/examples"
	"github.com/jujubegrade/jujubegrade/internal/experiment"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// policies are the placement policies that are compared, in output order.
var policies = []struct {
	name   string
	policy placement.Policy
}{
	{"Jujubegrade", placement.Policy{}},
	{"FirstFit", placement.Policy{NoGuarantees: true, FirstFit: true, ArrivalOrder: true, NoReservation: true}},
	{"BestFitBackfill", placement.Policy{NoGuarantees: true}},
}

// measureCommand compares the scheduling policy with baseline policies.
func (c console) measureCommand() *ffcli.Command {
	set := c.flagSet("measure")
	seed := set.Uint64("seed", 1, "seed of the generated workloads")
	only := set.String("scenario", "", "run only the scenario or request load with this name")
	return &ffcli.Command{
		Name: "measure", ShortUsage: "jujubegrade measure [flags]", ShortHelp: "Compare the scheduling policy with baseline policies", FlagSet: set, Options: flagOptions(),
		LongHelp: "Simulates generated workloads in virtual time under three policies, measures request loads in real time,\nand prints one figure per line: Name Value Unit.\n\nExample:\n  jujubegrade measure -seed 7",
		Exec: func(ctx context.Context, _ []string) error {
			for _, s := range scenarios() {
				if *only != "" && *only != s.Name {
					continue
				}
				if err := c.measure(ctx, s, *seed); err != nil {
					return err
				}
			}
			for _, load := range experiment.RequestLoads {
				if *only != "" && *only != load.Name {
					continue
				}
				figures, err := experiment.RunRequests(load)
				if err != nil {
					return err
				}
				writeFigures(c.out, "Requests/"+load.Name, figures)
			}
			return nil
		},
	}
}

func scenarios() []experiment.Scenario {
	render := ids.Shape{Tasks: 4, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack}
	reconciliation := ids.Shape{Tasks: 6, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack}
	var list []experiment.Scenario
	for _, faults := range []bool{false, true} {
		suffix := "Calm"
		if faults {
			suffix = "Faults"
		}
		target := experiment.TargetSize(faults)
		target.Name = "Target" + suffix
		list = append(
			list,
			experiment.CurrentSize("Kerotechni"+suffix, "attica-1", examples.Kerotechni, 60000, render, faults),
			experiment.CurrentSize("DarlingDowns"+suffix, "queensland-1", examples.DarlingDowns, 130000, reconciliation, faults),
			target,
		)
	}
	return list
}

func (c console) measure(ctx context.Context, s experiment.Scenario, seed uint64) error {
	for _, p := range policies {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		figures, err := experiment.Run(s, p.policy, seed)
		if err != nil {
			return err
		}
		writeFigures(c.out, s.Name+"/"+p.name, figures.List())
	}
	return nil
}

func writeFigures(w io.Writer, prefix string, list []experiment.Figure) {
	for _, f := range list {
		printLine(w, "%s/%s %.4g %s", prefix, f.Name, f.Value, f.Unit)
	}
}
