// Package platform combines the stand-ins of the platform in one process.
package platform

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/entry"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/standin/instanceservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Platform is a store, an instance list, workers and runners. Its zero value is an empty platform.
type Platform struct {
	Store     storeservice.Service
	Instances instanceservice.Service

	mu      sync.Mutex
	workers map[ids.InstanceID]*workerservice.Service
	servers []*fasthttp.Server
}

const workersPerRack = 8

// AddWorker adds a worker and registers it in the instance list; its address is its ID.
func (p *Platform) AddWorker(dataCentre ids.DataCentreID, number int, total ids.Resources) *workerservice.Service {
	id := ids.InstanceID(fmt.Sprintf("%s-worker-%03d", dataCentre, number))
	w := &workerservice.Service{Total: total}
	p.mu.Lock()
	if p.workers == nil {
		p.workers = make(map[ids.InstanceID]*workerservice.Service)
	}
	p.workers[id] = w
	p.mu.Unlock()
	p.Instances.Set(instancelist.Instance{
		ID: id, Role: instancelist.Worker, Address: string(id), DataCentre: dataCentre,
		Rack: ids.RackID(fmt.Sprintf("%s-rack-%02d", dataCentre, number/workersPerRack)), Total: total,
	})
	return w
}

// AddRunner starts a runner on a loopback address and registers it in the instance list.
func (p *Platform) AddRunner(dataCentre ids.DataCentreID, service ids.ServiceID, number int, r *runnerservice.Service) (ids.InstanceID, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: r.Handler(), NoDefaultServerHeader: true}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns after Close
	id := ids.InstanceID(fmt.Sprintf("%s-%s-runner-%03d", dataCentre, service, number))
	p.Instances.Set(instancelist.Instance{
		ID: id, Role: instancelist.Runner, Address: listener.Addr().String(), DataCentre: dataCentre, Service: service, Slots: r.Slots,
	})
	return id, nil
}

// VisitWorkers calls visit for each worker.
func (p *Platform) VisitWorkers(visit func(id ids.InstanceID, w *workerservice.Service)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.workers {
		visit(id, w)
	}
}

// Worker returns a client of the worker with the given address.
func (p *Platform) Worker(address string) worker.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[ids.InstanceID(address)].Client()
}

// Close stops the runners.
func (p *Platform) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	for _, s := range p.servers {
		_ = s.ShutdownWithContext(ctx) // idle connections may outlast the timeout
	}
}

// StartEntries starts n entry instances that use the platform and listen on loopback addresses.
func (p *Platform) StartEntries(n int, adjust func(s *settings.Settings)) ([]*entry.Entry, error) {
	const listenersPerEntry = 3
	addresses, err := freeAddresses(listenersPerEntry * n)
	if err != nil {
		return nil, err
	}
	var entries []*entry.Entry
	for i := range n {
		s, err := settings.Parse("platform", fmt.Appendf(nil, settingsTemplate, i+1,
			addresses[listenersPerEntry*i], addresses[listenersPerEntry*i+1], addresses[listenersPerEntry*i+2]))
		if err != nil {
			return nil, err
		}
		for k := range n {
			if k != i {
				s.PeerAddresses = append(s.PeerAddresses, addresses[listenersPerEntry*k+2])
			}
		}
		if adjust != nil {
			adjust(s)
		}
		storeClient, listClient := p.Store.Client(), p.Instances.Client()
		e := &entry.Entry{Settings: s, Store: &storeClient, List: &listClient, DialWorker: p.Worker}
		if err := e.Start(); err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

const settingsTemplate = `
[Instance]
Name = entry-%d
[Listen]
Callers = %s
Operators = %s
Peers = %s
[Peers]
Heartbeat = 100ms
Silence = 600ms
[Store]
Address = 127.0.0.1:1
CallRate = 1000
CallBurst = 1000
[InstanceList]
Address = 127.0.0.1:1
Poll = 200ms
[Workers]
Lease = 3s
Renew = 200ms
RenewRate = 1000
[Ownership]
Lease = 1s
[Configuration]
Watch = 500ms
Poll = 1s
Bound = 3s
[Shutdown]
BalancerLag = 100ms
Grace = 10s
[Token "operator"]
Secret = operator-secret
Role = Operator
`

// OperatorToken is the operator token that the entry instances started by Entries accept.
const OperatorToken = "operator-secret"

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
