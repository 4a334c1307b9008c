package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// version is the version of the program; the linker can override it.
var version = "0.1.0-dev"

// versionCommand prints the program's version.
func (c console) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "version", ShortUsage: "jujubegrade version", ShortHelp: "Print the version", FlagSet: c.flagSet("version"),
		Exec: func(context.Context, []string) error {
			goVersion := ""
			if info, found := debug.ReadBuildInfo(); found {
				goVersion = " " + info.GoVersion
			}
			_, err := fmt.Fprintln(c.out, "jujubegrade "+version+goVersion)
			return err
		},
	}
}
