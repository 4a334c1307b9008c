package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/platform"
)

// platformCommand runs one entry instance on the users' platform.
func (c console) platformCommand() *ffcli.Command {
	set := c.flagSet("platform")
	file := set.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	level := set.String("level", "info", "least severe level that is logged")
	set.String("flags", "", "file that sets flags, one a line")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "jujubegrade platform [flags]", ShortHelp: "Run one entry instance on the users' platform", FlagSet: set, Options: options(),
		LongHelp: "The settings file is the platform's own, in YAML; " + platform.SettingsVariable + " names it. SIGTERM drains the instance.\n\nExample:\n  jujubegrade platform",
		Exec: func(ctx context.Context, _ []string) error {
			s, err := platform.ReadSettings(*file)
			if err != nil {
				return err
			}
			logger, err := newLogger(*level, "stdout")
			if err != nil {
				return err
			}
			defer func() { _ = logger.Sync() }() // standard output can't be synced on every system
			return errors.Wrap(platform.New(s, *file, logger.With(zap.String("instance", s.Node))).Run(ctx), "platform")
		},
	}
}
