package entry

import (
	"expvar"
	"sync"

	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var (
	metrics     = expvar.NewMap("jujubegrade")
	metricsLock sync.Mutex
)

// ServiceMetrics holds the metrics of one service.
type ServiceMetrics struct {
	Requests, Attempts, Answered, Refused, Unknown int64
	Running, Waiting, Capacity                     int
}

// Metrics holds the metrics of one instance.
type Metrics struct {
	Version      ids.Version
	ConfirmedAge float64
	Peers        int
	PeerBytes    int64
	StoreReads   int64
	StoreWrites  int64
	StoreWatches int64
	Owned        map[ids.DataCentreID]ids.Epoch
	Queued       map[ids.DataCentreID]int
	// RunsLeft is the number of runs left in each evacuated data centre that this instance owns.
	RunsLeft map[ids.DataCentreID]int
	Services map[ids.ServiceID]ServiceMetrics
	// Connections is the number of open connections of callers, and ConnectionLimit the largest number.
	Connections, ConnectionLimit int
	// CallMemory, OperatorMemory and PeerMemory are what calls in flight of callers, operators and other instances take at most, in bytes, and the limits what is meant for them.
	CallMemory, CallMemoryLimit, OperatorMemory, OperatorMemoryLimit, PeerMemory, PeerMemoryLimit inflight.Bytes
	// Refused is the number of calls and connections that were refused before they were handled, by listener and cause.
	Refused map[string]map[inflight.Cause]int64
}

// Metrics returns the instance's current metrics.
func (e *Entry) Metrics() Metrics {
	m := Metrics{
		Version: e.config.Version(), ConfirmedAge: e.config.ConfirmedAge().Seconds(), Peers: len(e.members.Live()), PeerBytes: e.peerBytes.Load(),
		StoreReads: e.storeCounts.Reads.Load(), StoreWrites: e.storeCounts.Writes.Load(), StoreWatches: e.storeCounts.Watches.Load(),
		Owned: make(map[ids.DataCentreID]ids.Epoch), Queued: make(map[ids.DataCentreID]int), RunsLeft: make(map[ids.DataCentreID]int), Services: make(map[ids.ServiceID]ServiceMetrics),
		ConnectionLimit: e.limits.Connections, CallMemory: e.calls.Used(), CallMemoryLimit: e.calls.Limit(), OperatorMemory: e.control.Used(), OperatorMemoryLimit: e.control.Limit(),
		PeerMemory: e.peers.Used(), PeerMemoryLimit: e.peers.Limit(), Refused: e.refusals.Counts(),
	}
	if e.callerServer != nil {
		m.Connections = e.callerServer.Connections()
	}
	for _, owned := range e.heartbeat().Owned {
		m.Owned[owned.DataCentre] = owned.Epoch
		m.Queued[owned.DataCentre] = owned.Queued
		if o := e.localOwner(owned.DataCentre); o != nil {
			if status := o.Evacuation(); status != nil {
				m.RunsLeft[owned.DataCentre] = status.RunsLeft
			}
		}
	}
	if services := e.services.Load(); services != nil {
		for id, s := range *services {
			m.Services[id] = ServiceMetrics{
				Requests: s.Counters.Requests.Load(), Attempts: s.Counters.Attempts.Load(), Answered: s.Counters.Answered.Load(),
				Refused: s.Counters.Refused.Load(), Unknown: s.Counters.Unknown.Load(),
				Running: s.Admission().Running(), Waiting: s.Admission().Waiting(), Capacity: s.Admission().Capacity(),
			}
		}
	}
	return m
}

// Publish adds the instance's metrics to the process's expvar map.
func (e *Entry) Publish() {
	metricsLock.Lock()
	defer metricsLock.Unlock()
	metrics.Set(string(e.Settings.Name), expvar.Func(func() any { return e.Metrics() }))
}
