package main

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

func workerCommand() *ffcli.Command {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7910", "IP:port to listen on")
	listAddress := flags.String("list", "", "IP:port of the instance list to register with")
	id := flags.String("id", "worker-1", "instance id")
	dataCentre := flags.String("datacentre", "", "data centre")
	rack := flags.String("rack", "", "rack")
	accelerators := flags.Int("accelerators", 8, "accelerators")
	cores := flags.Int("cores", 60000, "CPU in thousandths of a core")
	memory := flags.Int("memory", 256000, "memory in MiB")
	return &ffcli.Command{
		Name: "worker", ShortUsage: "standin worker [flags]", ShortHelp: "Run a worker; POST " + workerservice.PathFaults + " injects faults", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			total := ids.Resources{Accelerators: ids.Accelerators(*accelerators), Cores: ids.MilliCores(*cores), Memory: ids.MebiBytes(*memory)}
			instance := instancelist.Instance{
				ID: ids.InstanceID(*id), Role: instancelist.Worker, Address: *listen,
				DataCentre: ids.DataCentreID(*dataCentre), Rack: ids.RackID(*rack), Total: total,
			}
			if err := register(ctx, *listAddress, instance); err != nil {
				return err
			}
			return serve(ctx, *listen, (&workerservice.Service{Total: total, BootID: uint64(time.Now().UnixNano())}).Handler())
		},
	}
}

func runnerCommand() *ffcli.Command {
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7950", "IP:port to listen on")
	listAddress := flags.String("list", "", "IP:port of the instance list to register with")
	id := flags.String("id", "runner-1", "instance id")
	dataCentre := flags.String("datacentre", "", "data centre")
	service := flags.String("service", "catalogue", "service")
	slots := flags.Int("slots", 8, "number of requests served concurrently")
	work := flags.Duration("work", 0, "service time of a request")
	return &ffcli.Command{
		Name: "runner", ShortUsage: "standin runner [flags]", ShortHelp: "Run a runner; POST " + runnerservice.PathFaults + " injects faults", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			instance := instancelist.Instance{
				ID: ids.InstanceID(*id), Role: instancelist.Runner, Address: *listen,
				DataCentre: ids.DataCentreID(*dataCentre), Service: ids.ServiceID(*service), Slots: *slots,
			}
			if err := register(ctx, *listAddress, instance); err != nil {
				return err
			}
			return serve(ctx, *listen, (&runnerservice.Service{Slots: *slots, Work: *work}).Handler())
		},
	}
}
