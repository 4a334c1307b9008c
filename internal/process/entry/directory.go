package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// directory polls the platform's instance list.
	directory struct {
		list         instancelist.Client
		pollInterval time.Duration
		// callTimeout limits one poll.
		callTimeout time.Duration
		dial        func(address string) worker.Client
		onEvent     func(kind, cause string)

		// snapshot is replaced atomically after each successful poll.
		snapshot atomic.Pointer[instanceSnapshot]
		mu       sync.Mutex
		// workers holds each worker's client and the address that it calls.
		workers map[ids.InstanceID]workerConnection
	}

	// instanceSnapshot is the instance list as of one poll.
	instanceSnapshot struct {
		instances []instancelist.Instance
		addresses map[ids.InstanceID]string
		// workerCentres holds the data centre of each worker.
		workerCentres map[ids.InstanceID]ids.DataCentreID
	}

	workerConnection struct {
		address string
		client  worker.Client
	}
)

// listRetryDelay is the delay after a failed poll.
const listRetryDelay = 200 * time.Millisecond

// run polls the list until ctx ends and calls refresh after each successful poll. After a failed poll the last list remains
// in use until one succeeds, since neither runners nor workers can be found otherwise.
func (d *directory) run(ctx context.Context, refresh func()) {
	var failingSince time.Time
	malformed := false
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, d.callTimeout)
		instances, err := d.list.List(callCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		isPartial := errors.Is(err, instancelist.ErrMalformed)
		if err != nil && !isPartial {
			if failingSince.IsZero() {
				failingSince = sent
				d.onEvent("InstanceListLost", err.Error())
			}
			pause.For(ctx, min(listRetryDelay, d.pollInterval))
			continue
		}
		if !failingSince.IsZero() {
			d.onEvent("InstanceListRegained", "after "+time.Since(failingSince).Round(time.Millisecond).String())
			failingSince = time.Time{}
		}
		if isPartial && !malformed {
			d.onEvent("InstanceMalformed", err.Error())
		}
		malformed = isPartial
		d.snapshot.Store(newSnapshot(instances))
		refresh()
		pause.For(ctx, d.pollInterval)
	}
}

func newSnapshot(instances []instancelist.Instance) *instanceSnapshot {
	s := &instanceSnapshot{
		instances: instances, addresses: make(map[ids.InstanceID]string, len(instances)), workerCentres: make(map[ids.InstanceID]ids.DataCentreID),
	}
	for _, instance := range instances {
		s.addresses[instance.ID] = instance.Address
		if instance.Role == instancelist.Worker {
			s.workerCentres[instance.ID] = instance.DataCentre
		}
	}
	return s
}

func (d *directory) instances() []instancelist.Instance {
	if s := d.snapshot.Load(); s != nil {
		return s.instances
	}
	return nil
}

// nodes returns the workers of a data centre; labels set by operators override those of the list. It returns false until
// the list has been read.
func (d *directory) nodes(id ids.DataCentreID, c *config.Config) ([]placement.Node, bool) {
	if d.snapshot.Load() == nil {
		return nil, false
	}
	var nodes []placement.Node
	for _, instance := range d.instances() {
		if instance.Role != instancelist.Worker || instance.DataCentre != id {
			continue
		}
		n := placement.Node{
			ID: instance.ID, Rack: instance.Rack, Labels: instance.Labels, Total: instance.Total, Leaving: instance.Leaving,
		}
		if c != nil {
			override := c.Instances[instance.ID]
			n.Labels = labels.Merge(instance.Labels, override.Labels)
			n.Leaving = n.Leaving || override.Drain
		}
		nodes = append(nodes, n)
	}
	return nodes, true
}

// hasMoved reports whether a worker is listed in another data centre than the given one.
func (d *directory) hasMoved(id ids.InstanceID, from ids.DataCentreID) bool {
	s := d.snapshot.Load()
	if s == nil {
		return false
	}
	at, found := s.workerCentres[id]
	return found && at != from
}

// runners returns, for each listed service, the runners that accept new requests, which may be none.
func (d *directory) runners(c *config.Config) map[ids.ServiceID][]*runner.Runner {
	found := make(map[ids.ServiceID][]*runner.Runner)
	for _, instance := range d.instances() {
		if instance.Role != instancelist.Runner {
			continue
		}
		available := found[instance.Service]
		if !instance.Leaving && (c == nil || !c.Instances[instance.ID].Drain) {
			available = append(available, &runner.Runner{ID: instance.ID, Address: instance.Address, Slots: instance.Slots})
		}
		found[instance.Service] = available
	}
	return found
}

// workerClient returns the client of a worker. Calls to an unknown worker fail with worker.ErrUnreachable.
func (d *directory) workerClient(id ids.InstanceID) worker.Client {
	address := ""
	if s := d.snapshot.Load(); s != nil {
		address = s.addresses[id]
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	connection, found := d.workers[id]
	if found && (connection.address == address || address == "") {
		return connection.client
	}
	if address == "" {
		return unreachableWorker
	}
	if d.workers == nil {
		d.workers = make(map[ids.InstanceID]workerConnection)
	}
	d.workers[id] = workerConnection{address: address, client: d.dial(address)}
	return d.workers[id].client
}

var unreachableWorker = worker.Client{
	Hold:  func(context.Context, worker.Hold) error { return worker.ErrUnreachable },
	Start: func(context.Context, worker.Start) error { return worker.ErrUnreachable },
	Stop: func(context.Context, worker.Stop) (worker.Stopping, error) {
		return worker.Stopping{}, worker.ErrUnreachable
	},
	Renew: func(context.Context, worker.Renew) (worker.Report, error) {
		return worker.Report{}, worker.ErrUnreachable
	},
}
