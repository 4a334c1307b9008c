// Standin runs a small stand-in for one of the platform's services: the key-value store, the instance list, a worker or
// a runner.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/standin/instanceservice"
)

const prefix = "standin: "

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name: "standin", ShortUsage: "standin store|instances|worker|runner [flags]",
		ShortHelp:   "Run stand-ins for the platform's services in experiments and tests",
		Subcommands: []*ffcli.Command{storeCommand(), instancesCommand(), workerCommand(), runnerCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, prefix+err.Error())
		os.Exit(1)
	}
}

// serve serves HTTP on an address until ctx ends.
func serve(ctx context.Context, address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(prefix + "listening on " + listener.Addr().String())
	server := &fasthttp.Server{Handler: handler, Name: "standin", NoDefaultServerHeader: true}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// register adds the instance to the stand-in for the instance list, unless listAddress is empty.
func register(ctx context.Context, listAddress string, instance instancelist.Instance) error {
	if listAddress == "" {
		return nil
	}
	return httpjson.NewClient(listAddress).Call(ctx, "POST", instanceservice.PathSet, instance, nil)
}
