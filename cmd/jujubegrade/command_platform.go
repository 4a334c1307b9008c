package main

import (
	"context"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/process/logsink"
	"github.com/jujubegrade/jujubegrade/platform"
)

// platformCommand runs one entry instance on the users' platform.
func (c console) platformCommand() *ffcli.Command {
	set := c.flagSet("platform")
	file := set.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform, in YAML")
	level := set.String("level", "info", "minimum level of logged messages")
	set.String("flags", "", "file that sets flags, one per line")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "jujubegrade platform [flags]", ShortHelp: "Run one entry instance on the users' platform", FlagSet: set, Options: flagOptions(),
		LongHelp: "The environment variable " + platform.SettingsVariable + " sets the default path of the settings file. SIGTERM drains the instance.\n\nExample:\n  jujubegrade platform",
		Exec: func(ctx context.Context, _ []string) error {
			s, err := platform.ReadSettings(*file)
			if err != nil {
				return err
			}
			parsed, err := zap.ParseAtomicLevel(*level)
			if err != nil {
				return err
			}
			sink := logsink.New(c.out)
			defer sink.Close()
			var suppressed atomic.Int64
			logger := logsink.Logger(sink, parsed.Level(), func() { suppressed.Add(1) })
			instance := platform.New(s, *file, logger.With(zap.String("instance", s.Node)))
			instance.SuppressedLines = suppressed.Load
			instance.DroppedLines = sink.Dropped
			return errors.Wrap(instance.Run(ctx), "platform")
		},
	}
}
