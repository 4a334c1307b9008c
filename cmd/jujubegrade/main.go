// Jujubegrade schedules jobs that need several accelerators at once, under capacity guarantees for client accounts,
// and proxies requests to the users' services.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
)

const prefix = "jujubegrade: "

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut *os.File) int {
	root := rootCommand(out, errOut)
	err := root.ParseAndRun(ctx, args)
	code := exitCode(err)
	if err != nil && code != exitUsage {
		fmt.Fprintln(errOut, prefix+err.Error())
	}
	var printed *printedError
	if code == exitUsage && !errors.As(err, &printed) {
		fmt.Fprintln(errOut, prefix+err.Error())
	}
	return code
}
