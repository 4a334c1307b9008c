package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/process/entry"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
)

// runtimeMemoryShare is the part of the setting Memory given to the Go runtime; the rest is left for the program itself.
const runtimeMemoryShare = 0.7

// serveCommand runs one entry instance.
func (c console) serveCommand() *ffcli.Command {
	set := c.flagSet("serve")
	file := set.String("settings", "", "settings file of the instance")
	set.String("flags", "", "file that sets flags, one per line")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "jujubegrade serve -settings FILE", ShortHelp: "Run one entry instance", FlagSet: set, Options: flagOptions(),
		LongHelp: "SIGTERM drains the instance: it reports that it is not ready, waits for the load balancer, finishes requests\nin flight, hands over its ownerships and exits with 0.\n\nExample:\n  jujubegrade serve -settings entry-1.ini",
		Exec: func(ctx context.Context, _ []string) error {
			text, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			s, err := settings.Parse(*file, text)
			if err != nil {
				fmt.Fprintln(c.errOut, err)
				return &printedError{text: err.Error()}
			}
			return serve(ctx, s)
		},
	}
}

func serve(ctx context.Context, s *settings.Settings) error {
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("instance", string(s.Name)))
	defer func() { _ = logger.Sync() }() // not every system supports syncing standard error
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(s.Memory<<20)))
	e := &entry.Entry{Settings: s, Log: logger}
	if err := e.Start(); err != nil {
		return err
	}
	e.Publish()
	<-ctx.Done()
	if !e.Shutdown() {
		return errors.New("requests were still in flight after the shutdown grace period")
	}
	return nil
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = parsed
	c.OutputPaths = []string{"stderr"}
	return c.Build()
}
