package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/standin/instanceservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
)

func storeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7900", "IP:port to listen on")
	return &ffcli.Command{
		Name: "store", ShortUsage: "standin store [flags]", ShortHelp: "Run the key-value store; POST " + storeservice.PathFaults + " injects faults", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, (&storeservice.Service{}).Handler())
		},
	}
}

func instancesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("instances", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7901", "IP:port to listen on")
	lag := flags.Duration("lag", 0, "delay until a change becomes visible")
	return &ffcli.Command{
		Name: "instances", ShortUsage: "standin instances [flags]", ShortHelp: "Run the instance list", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, (&instanceservice.Service{Lag: *lag}).Handler())
		},
	}
}
