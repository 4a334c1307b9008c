package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// directory follows the platform's instance list.
	directory struct {
		list instancelist.Client
		poll time.Duration
		dial func(address string) worker.Client

		// read is replaced as a whole with each reading.
		read atomic.Pointer[reading]
		mu   sync.Mutex
		// workers holds the calls of each worker, with the address that they go to.
		workers map[ids.InstanceID]dialled
	}

	// reading is one reading of the list.
	reading struct {
		rows    []instancelist.Instance
		address map[ids.InstanceID]string
	}

	dialled struct {
		address string
		client  worker.Client
	}
)

// run reads the list until ctx ends; refresh is called after each reading. Without an answer the last list stays.
func (d *directory) run(ctx context.Context, refresh func()) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, d.poll+time.Second)
		rows, err := d.list.List(callCtx)
		cancel()
		if err == nil {
			d.read.Store(newReading(rows))
			refresh()
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.poll):
		}
	}
}

func newReading(rows []instancelist.Instance) *reading {
	r := &reading{rows: rows, address: make(map[ids.InstanceID]string, len(rows))}
	for _, row := range rows {
		r.address[row.ID] = row.Address
	}
	return r
}

func (d *directory) all() []instancelist.Instance {
	if r := d.read.Load(); r != nil {
		return r.rows
	}
	return nil
}

// nodes returns the workers of a data centre, with the operators' labels over the list's.
func (d *directory) nodes(id ids.DataCentreID, c *config.Config) ([]placement.Node, bool) {
	if d.read.Load() == nil {
		return nil, false
	}
	var nodes []placement.Node
	for _, row := range d.all() {
		if row.Role != instancelist.Worker || row.DataCentre != id {
			continue
		}
		n := placement.Node{ID: row.ID, Rack: row.Rack, Labels: row.Labels, Total: row.Total, Leaving: row.Leaving}
		if c != nil {
			set := c.Instances[row.ID]
			n.Labels = labels.Merge(row.Labels, set.Labels)
			n.Leaving = n.Leaving || set.Drain
		}
		nodes = append(nodes, n)
	}
	return nodes, true
}

// runners returns the runners of each service that take new requests; a service may have none.
func (d *directory) runners(c *config.Config) map[ids.ServiceID][]*runner.Runner {
	found := make(map[ids.ServiceID][]*runner.Runner)
	for _, row := range d.all() {
		if row.Role != instancelist.Runner {
			continue
		}
		open := found[row.Service]
		if !row.Leaving && (c == nil || !c.Instances[row.ID].Drain) {
			open = append(open, &runner.Runner{ID: row.ID, Address: row.Address, Slots: row.Slots})
		}
		found[row.Service] = open
	}
	return found
}

// worker returns the calls of a worker; those of an unknown one are never delivered.
func (d *directory) worker(id ids.InstanceID) worker.Client {
	address := ""
	if r := d.read.Load(); r != nil {
		address = r.address[id]
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.workers[id]
	if found && (known.address == address || address == "") {
		return known.client
	}
	if address == "" {
		return unreachable
	}
	if d.workers == nil {
		d.workers = make(map[ids.InstanceID]dialled)
	}
	d.workers[id] = dialled{address: address, client: d.dial(address)}
	return d.workers[id].client
}

var unreachable = worker.Client{
	Hold:  func(context.Context, worker.Hold) error { return worker.ErrUnreachable },
	Start: func(context.Context, worker.Start) error { return worker.ErrUnreachable },
	Stop: func(context.Context, worker.Stop) (worker.Stopping, error) {
		return worker.Stopping{}, worker.ErrUnreachable
	},
	Renew: func(context.Context, worker.Renew) (worker.Report, error) {
		return worker.Report{}, worker.ErrUnreachable
	},
}
