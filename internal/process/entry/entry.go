// Package entry implements an entry instance, which accepts callers' requests and jobs, competes for the ownership of
// the data centres, applies the configuration and serves the operators.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpserver"
	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/tcp"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/configuration"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
	"github.com/jujubegrade/jujubegrade/internal/process/membership"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/process/timeline"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Entry is one entry instance. Settings must be set.
	Entry struct {
		Settings *settings.Settings
		Log      *zap.Logger
		// Store, List and DialWorker connect to the platform. Nil ones are replaced by network clients: the first two for the
		// addresses in Settings, the last for each worker's listed address.
		Store      *store.Client
		List       *instancelist.Client
		DialWorker func(address string) worker.Client

		storeCounts store.CallCounts
		peerBytes   atomic.Int64
		timeline    *timeline.Log
		directory   directory
		members     *membership.Membership
		config      *configuration.Configuration
		// ownedCount is the number of data centres owned at the last heartbeat.
		ownedCount     atomic.Int64
		ownersLock     sync.Mutex
		owners         map[ids.DataCentreID]*localOwner
		servicesLock   sync.Mutex
		services       atomic.Pointer[map[ids.ServiceID]*service.Service]
		idempotency    idempotencyTable
		draining       atomic.Bool
		inFlight       sync.WaitGroup
		peerClients    []*peer.Client
		cancel         context.CancelFunc
		background     sync.WaitGroup
		callerServer   *httpserver.Server
		operatorServer *httpserver.Server
		listeners      []*tcp.Listener
		limits         inflight.Limits
		// calls, control and peers are the memory for requests in flight of callers and operators, and for calls of other instances.
		calls, control, peers inflight.Budget
		refusals              inflight.Refusals
	}

	// localOwner competes for the ownership of one data centre on behalf of this instance.
	localOwner struct {
		*owner.Owner
		changed chan struct{}
		stop    context.CancelFunc
	}
)

// Start opens all listeners, starts the background tasks and returns.
func (e *Entry) Start() error {
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	s := e.Settings
	e.limitMemory()
	e.timeline = &timeline.Log{Size: s.Events, Instance: string(s.Name), OnEvent: e.logEvent}
	e.owners = make(map[ids.DataCentreID]*localOwner)
	e.initComponents()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	callers, operators, peers, err := e.listen()
	if err != nil {
		cancel()
		return err
	}
	e.config.Init()
	e.runInBackground(ctx, e.config.Run)
	e.runInBackground(ctx, e.members.Run)
	e.runInBackground(ctx, func(ctx context.Context) { e.directory.run(ctx, e.propagateUpdate) })
	e.runInBackground(ctx, e.startOwners)
	e.runInBackground(ctx, func(ctx context.Context) { e.newPeerServer().Serve(ctx, peers) })
	e.startServers(callers, operators)
	e.event("InstanceStarted", "listening for callers on "+s.Callers)
	return nil
}

func (e *Entry) runInBackground(ctx context.Context, run func(ctx context.Context)) {
	e.background.Go(func() { run(ctx) })
}

// initComponents creates the platform's and the peers' clients and the components that use them.
func (e *Entry) initComponents() {
	s := e.Settings
	if e.Store == nil {
		dialled := store.Dial(s.StoreAddress, s.StoreTimeout)
		e.Store = &dialled
	}
	limited := store.RateLimited(*e.Store, rate.NewLimiter(rate.Limit(s.StoreRate), s.StoreBurst), &e.storeCounts)
	e.Store = &limited
	if e.List == nil {
		dialled := instancelist.Dial(s.ListAddress, s.StoreTimeout)
		e.List = &dialled
	}
	if e.DialWorker == nil {
		e.DialWorker = func(address string) worker.Client { return worker.Dial(address, s.WorkerTimeout) }
	}
	e.directory = directory{list: *e.List, pollInterval: s.ListPoll, callTimeout: s.StoreTimeout, dial: e.DialWorker, onEvent: e.event}
	e.config = &configuration.Configuration{
		Instance: s.Name, Store: *e.Store, OnEvent: e.timeline.Add, CheckFeasibility: e.checkFeasibility,
		Times:   configuration.Times{WatchTimeout: s.ConfigWatch, PollInterval: s.ConfigPoll, StoreTimeout: s.StoreTimeout, MaxConfirmedAge: s.ConfigMaxAge},
		Serving: func() []ids.InstanceID { return e.members.Serving() },
		Quorum:  func() bool { return e.members.Quorum() },
	}
	callers := make(map[string]membership.Caller)
	for _, address := range s.PeerAddresses {
		c := &peer.Client{Address: address, Bytes: &e.peerBytes, Expires: peer.ChangesState}
		e.peerClients = append(e.peerClients, c)
		callers[address] = c
	}
	e.members = &membership.Membership{NewHeartbeat: e.heartbeat, Peers: callers, OnHeartbeat: e.observeHeartbeat, Interval: s.Heartbeat, PeerTimeout: s.PeerTimeout}
}

func (e *Entry) listen() (callers, operators, peers net.Listener, err error) {
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var l *tcp.Listener
		if l, err = tcp.Listen(address, connectionBuffer); err != nil {
			return nil
		}
		e.listeners = append(e.listeners, l)
		return l
	}
	callers, operators, peers = open(e.Settings.Callers), open(e.Settings.Operators), open(e.Settings.Peers)
	return callers, operators, peers, err
}

func (e *Entry) event(kind, cause string) {
	e.timeline.Add(operator.Event{Kind: kind, Cause: cause})
}

func (e *Entry) logEvent(ev operator.Event) {
	e.Log.Info("event: "+ev.Kind, zap.String("cause", ev.Cause), zap.String("job", string(ev.Job)), zap.String("account", string(ev.Account)),
		zap.String("dataCentre", string(ev.DataCentre)), zap.Uint64("epoch", uint64(ev.Epoch)), zap.Uint64("version", uint64(ev.Version)),
		evacuationField(ev.Evacuation))
}

// evacuationField returns the log fields of an evacuation, or none.
func evacuationField(s *operator.EvacuationStatus) zap.Field {
	if s == nil {
		return zap.Skip()
	}
	return zap.Dict("evacuation", zap.Int("runsLeft", s.RunsLeft), zap.Int("queued", s.Queued), zap.Int("workers", s.Instances), zap.Float64("viewAge", s.ViewAge))
}

// heartbeat returns the heartbeat that this instance sends to its peers.
func (e *Entry) heartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{
		Instance: e.Settings.Name, DataCentre: e.Settings.DataCentre, Leaving: e.draining.Load(),
		Version: e.config.Version(), ConfirmedAge: e.config.ConfirmedAge(),
	}
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	defer func() { e.ownedCount.Store(int64(len(hb.Owned))) }()
	for id, o := range e.owners {
		if epoch, owns := o.Owns(); owns {
			hb.Owned = append(hb.Owned, peer.Owned{DataCentre: id, Epoch: epoch, Queued: o.Queued()})
		}
	}
	return hb
}

func (e *Entry) observeHeartbeat(hb peer.Heartbeat, from membership.Caller, maxDelay time.Duration) {
	e.config.ObserveHeartbeat(hb, from, maxDelay)
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	for _, owned := range hb.Owned {
		if o := e.owners[owned.DataCentre]; o != nil {
			o.ObserveEpoch(owned.Epoch)
		}
	}
}

// startOwners starts an owner for each data centre of the configuration, including those added later, until ctx ends. It stops
// the owners of removed data centres.
func (e *Entry) startOwners(ctx context.Context) {
	for ctx.Err() == nil {
		if c := e.config.Current(); c != nil {
			for id := range c.DataCentres {
				e.startOwner(ctx, id)
			}
			e.stopOwners(c.Config)
		}
		select {
		case <-ctx.Done():
		case <-e.config.Changed():
			e.propagateUpdate()
		}
	}
}

// stopOwners stops competing for the data centres that were removed from the configuration. An instance that owns one of them
// stays its owner until the runs have ended.
func (e *Entry) stopOwners(c *config.Config) {
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	for id, o := range e.owners {
		if _, owns := o.Owns(); !owns && !c.HasDataCentre(id) {
			o.stop()
			delete(e.owners, id)
		}
	}
}

func (e *Entry) startOwner(ctx context.Context, id ids.DataCentreID) {
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	if e.owners[id] != nil {
		return
	}
	s := e.Settings
	ctx, stop := context.WithCancel(ctx)
	o := &localOwner{changed: make(chan struct{}, 1), stop: stop}
	election := &membership.Election{Membership: e.members, DataCentre: id, Lease: s.OwnerLease}
	o.Owner = &owner.Owner{
		Instance: s.Name, DataCentre: id, Store: *e.Store, OnEvent: e.timeline.Add, Changed: o.changed, Unfenced: !s.Fencing,
		Config:    e.currentConfig,
		Nodes:     func() ([]placement.Node, bool) { return e.directory.nodes(id, e.currentConfig()) },
		Moved:     func(w ids.InstanceID) bool { return e.directory.hasMoved(w, id) },
		Worker:    e.directory.workerClient,
		ConfigAge: e.config.ConfirmedAge, RefreshConfig: e.config.RefreshForTakeover,
		OwnedCount: func() int { return int(e.ownedCount.Load()) },
		Times: owner.Times{
			Lease: s.OwnerLease, WorkerLease: s.WorkerLease, WorkerRenewInterval: s.WorkerRenew, RenewRate: s.RenewRate,
			HoldTTL: s.WorkerHoldTTL, WorkerCallTimeout: s.WorkerTimeout, StoreCallTimeout: s.StoreTimeout,
		},
		OnViolation: func(err error) {
			e.Log.Error("owner: invariant violated", zap.Error(err))
			e.event("InvariantBroken", err.Error())
		},
	}
	election.Owns = func() bool {
		_, owns := o.Owns()
		return owns
	}
	o.ShouldOwn = func() bool {
		if c := e.currentConfig(); c != nil && !c.HasDataCentre(id) && (!election.Owns() || o.Emptied()) {
			return false // the owner of a removed data centre stays until its runs have ended
		}
		_, fresh := e.config.Fresh()
		return election.ShouldOwn() && (fresh || election.Owns())
	}
	e.owners[id] = o
	e.runInBackground(ctx, o.Run)
}

// propagateUpdate notifies the services and the owners of a new instance list or configuration.
func (e *Entry) propagateUpdate() {
	e.updateRunners()
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	for _, o := range e.owners {
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
}

// localOwner returns this instance's Owner for a data centre, or nil. The Owner doesn't necessarily hold the
// ownership at the moment.
func (e *Entry) localOwner(id ids.DataCentreID) *localOwner {
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	return e.owners[id]
}
