package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// accountCommand lists client accounts.
func (c console) accountCommand() *ffcli.Command {
	set, r := c.remoteFlags("list")
	list := &ffcli.Command{
		Name: "list", ShortUsage: "jujubegrade account list [flags]", ShortHelp: "List client accounts and their guarantees", FlagSet: set, Options: flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			accounts, err := r.operator().Accounts(ctx)
			if err != nil {
				return err
			}
			return r.print(accounts, func(w io.Writer) {
				printLine(w, "ACCOUNT\tWEIGHT\tQUOTA\tREQUESTS\tGUARANTEE\tDATACENTRE\tSHAPES")
				for _, a := range accounts {
					printLine(w, "%s\t%g\t%d\t%.0f%%\t\t\t", a.ID, a.Weight, a.Quota, 100*a.RequestShare)
					for _, g := range a.Guarantees {
						printLine(w, "\t\t\t\t%s\t%s\t%d of %s", g.Name, g.DataCentre, g.Count, g.Shape)
					}
				}
			})
		},
	}
	return c.group("account", "Show client accounts", list)
}
