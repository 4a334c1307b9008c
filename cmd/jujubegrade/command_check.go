package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/platform"
)

// checkCommand validates a settings or configuration file.
func (c console) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "jujubegrade check FILE", ShortHelp: "Check a settings or configuration file", FlagSet: c.flagSet("check"),
		LongHelp: "Prints each error on its own line as FILE:LINE: Section.Key: what is wrong, what is allowed, and exits with 2.\nA file with an untitled section [Listen] or [Instance] is checked as settings of an entry instance, a file\nnamed .yaml or .yml as settings of the users' platform, and any other file as configuration.\n\nExample:\n  jujubegrade check examples/kerotechni.ini",
		Exec: func(_ context.Context, args []string) error {
			name, err := oneArgument(args, "file")
			if err != nil {
				return err
			}
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			if err := checkText(name, text); err != nil {
				fmt.Fprintln(c.errOut, err)
				return &printedError{text: err.Error()}
			}
			_, err = fmt.Fprintln(c.out, name+": valid")
			return err
		},
	}
}

func checkText(name string, text []byte) error {
	if ext := filepath.Ext(name); ext == ".yaml" || ext == ".yml" {
		_, err := platform.ParseSettings(name, text)
		return err
	}
	if bytes.Contains(text, []byte("[Listen]")) || bytes.Contains(text, []byte("[Instance]")) {
		_, err := settings.Parse(name, text)
		return err
	}
	_, err := config.Parse(name, text)
	return err
}
