package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// console holds the output streams of a command.
	console struct {
		out, errOut *os.File
	}

	// remoteCommand holds the flags of a command that calls an entry instance.
	remoteCommand struct {
		console
		operators, callers, token string
		json                      bool
	}

	// printedError is an error that the command has already printed.
	printedError struct{ text string }
)

// Exit codes.
const (
	exitOK = iota
	// exitFailed means that the command failed.
	exitFailed
	// exitUsage means that the command line or a file is invalid.
	exitUsage
	// exitConflict means that another change was accepted first.
	exitConflict
	// exitRefused means that a job was refused and has not run.
	exitRefused
	// exitUnknown means that the outcome is unknown.
	exitUnknown
)

func (e *printedError) Error() string { return e.text }

// rootCommand returns the root command with all subcommands.
func rootCommand(out, errOut *os.File) *ffcli.Command {
	c := console{out: out, errOut: errOut}
	return &ffcli.Command{
		Name: "jujubegrade", ShortUsage: "jujubegrade COMMAND [flags]",
		ShortHelp: "Schedule gangs of accelerator tasks under capacity guarantees, and proxy requests to services",
		LongHelp:  "Every flag can also be set by an environment variable JUJUBEGRADE_FLAG, or in a file given with -flags, one flag per line.\n\nExample:\n  jujubegrade demo",
		FlagSet:   c.flagSet("jujubegrade"),
		Subcommands: []*ffcli.Command{
			c.accountCommand(), c.capacityCommand(), c.checkCommand(), c.configCommand(), c.dataCentreCommand(), c.demoCommand(), c.instanceCommand(), c.jobCommand(), c.jobTimeCommand(),
			c.measureCommand(), c.platformCommand(),
			c.reportCommand(), c.serveCommand(), c.timelineCommand(), c.versionCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (c console) flagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(c.errOut)
	return set
}

// flagOptions returns the options that read flags from the environment and from a file.
func flagOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("JUJUBEGRADE"), ff.WithConfigFileFlag("flags"),
		ff.WithConfigFileParser(ff.PlainParser), ff.WithAllowMissingConfigFile(false),
	}
}

// group returns a command that only has subcommands.
func (c console) group(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "jujubegrade " + name + " COMMAND [flags]", ShortHelp: help, FlagSet: c.flagSet(name), Subcommands: commands,
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// remoteFlags returns a flag set for a command that calls an entry instance.
func (c console) remoteFlags(name string) (*flag.FlagSet, *remoteCommand) {
	set := c.flagSet(name)
	r := &remoteCommand{console: c}
	set.StringVar(&r.operators, "operators", "127.0.0.1:7001", "IP:port of an entry instance's listener for operators")
	set.StringVar(&r.callers, "callers", "127.0.0.1:7000", "IP:port of an entry instance's listener for callers")
	set.StringVar(&r.token, "token", "", "bearer token")
	set.BoolVar(&r.json, "json", false, "write JSON instead of text")
	set.String("flags", "", "file that sets flags, one per line")
	return set, r
}

func (r *remoteCommand) operator() *operator.Client { return operator.NewClient(r.operators, r.token) }
func (r *remoteCommand) caller() *caller.Client     { return caller.NewClient(r.callers, r.token) }

// print writes value as JSON if -json is set, and otherwise the table that text writes.
func (r *remoteCommand) print(value any, text func(w io.Writer)) error {
	if r.json {
		encoder := json.NewEncoder(r.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(r.out, 0, 8, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var fault *httpjson.Fault
	var printed *printedError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), errors.As(err, &printed):
		return exitUsage
	case errors.Is(err, httpjson.ErrNoResponse):
		return exitUnknown
	case !errors.As(err, &fault):
		return exitFailed
	}
	switch fault.Code {
	case "Conflict":
		return exitConflict
	case "NeverFits", "QueueFull", "Evacuated", "NoOwner", "StoreOut", "NotReady":
		return exitRefused
	case "OutcomeUnknown":
		return exitUnknown
	case "Invalid":
		return exitUsage
	}
	return exitFailed
}

// oneArgument returns the command's argument, or an error unless there is exactly one.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", errors.Newf("expected exactly one %s", what)
	}
	return args[0], nil
}

func printLine(w io.Writer, format string, args ...any) {
	// Flushing the table returns the error of a failed write.
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
