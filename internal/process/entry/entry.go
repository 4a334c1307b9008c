// Package entry is one entry instance: it takes callers' requests and jobs, competes for the ownership of the data
// centres, keeps the configuration in force and serves the operators.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/tcp"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/configuration"
	"github.com/jujubegrade/jujubegrade/internal/process/membership"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/process/timeline"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Entry is one entry instance. Settings must be set; the seams default to the network.
	Entry struct {
		Settings *settings.Settings
		Log      *zap.Logger
		// Store, List and DialWorker are the platform's calls; nil ones are dialled by the settings.
		Store      *store.Client
		List       *instancelist.Client
		DialWorker func(address string) worker.Client

		storeCounts store.Counts
		peerBytes   atomic.Int64
		log         *timeline.Log
		directory   directory
		members     *membership.Membership
		config      *configuration.Configuration
		// owned is the number of data centres owned at the last heartbeat.
		owned        atomic.Int64
		ownersLock   sync.Mutex
		owners       map[ids.DataCentreID]*ownership
		servicesLock sync.Mutex
		services     atomic.Pointer[map[ids.ServiceID]*service.Service]
		once         onceTable
		leaving      atomic.Bool
		inFlight     sync.WaitGroup
		peers        []*peer.Client
		cancel       context.CancelFunc
		background   sync.WaitGroup
		callers      *fasthttp.Server
		operators    *fasthttp.Server
		listeners    []*tcp.Listener
	}

	ownership struct {
		*owner.Owner
		changed chan struct{}
		stop    context.CancelFunc
	}
)

// Start listens and begins to work. It returns once all listeners are open.
func (e *Entry) Start() error {
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	s := e.Settings
	e.log = &timeline.Log{Size: s.Events, Instance: string(s.Name), Mirror: e.logEvent}
	e.owners = make(map[ids.DataCentreID]*ownership)
	e.connect()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	callers, operators, peers, err := e.listen()
	if err != nil {
		cancel()
		return err
	}
	e.config.Init()
	e.run(ctx, e.config.Run)
	e.run(ctx, e.members.Run)
	e.run(ctx, func(ctx context.Context) { e.directory.run(ctx, e.refresh) })
	e.run(ctx, e.followOwnership)
	e.run(ctx, func(ctx context.Context) { e.peerServer().Serve(ctx, peers) })
	e.serve(callers, operators)
	e.event("InstanceStarted", "listening for callers on "+s.Callers)
	return nil
}

func (e *Entry) run(ctx context.Context, run func(ctx context.Context)) {
	e.background.Go(func() { run(ctx) })
}

// connect builds what speaks to the platform and to the peers.
func (e *Entry) connect() {
	s := e.Settings
	if e.Store == nil {
		dialled := store.Dial(s.StoreAddress, s.StoreTimeout)
		e.Store = &dialled
	}
	paced := store.Pace(*e.Store, rate.NewLimiter(rate.Limit(s.StoreRate), s.StoreBurst), &e.storeCounts)
	e.Store = &paced
	if e.List == nil {
		dialled := instancelist.Dial(s.ListAddress, s.StoreTimeout)
		e.List = &dialled
	}
	if e.DialWorker == nil {
		e.DialWorker = func(address string) worker.Client { return worker.Dial(address, s.WorkerTimeout) }
	}
	e.directory = directory{list: *e.List, poll: s.ListPoll, dial: e.DialWorker}
	e.config = &configuration.Configuration{
		Instance: s.Name, Store: *e.Store, Event: e.log.Add, Feasible: e.feasible,
		Times:   configuration.Times{Watch: s.ConfigWatch, Poll: s.ConfigPoll, StoreCall: s.StoreTimeout, Bound: s.ConfigBound},
		Serving: func() []ids.InstanceID { return e.members.Serving() },
		Quorum:  func() bool { return e.members.Quorum() },
	}
	callers := make(map[string]membership.Caller)
	for _, address := range s.PeerAddresses {
		c := &peer.Client{Address: address, Bytes: &e.peerBytes}
		e.peers = append(e.peers, c)
		callers[address] = c
	}
	e.members = &membership.Membership{Beat: e.beat, Peers: callers, Heard: e.heard, Interval: s.Heartbeat, Silence: s.Silence}
}

func (e *Entry) listen() (callers, operators, peers net.Listener, err error) {
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var l *tcp.Listener
		if l, err = tcp.Listen(address); err != nil {
			return nil
		}
		e.listeners = append(e.listeners, l)
		return l
	}
	callers, operators, peers = open(e.Settings.Callers), open(e.Settings.Operators), open(e.Settings.Peers)
	return callers, operators, peers, err
}

func (e *Entry) event(kind, cause string) {
	e.log.Add(operator.Event{Kind: kind, Cause: cause})
}

func (e *Entry) logEvent(ev operator.Event) {
	e.Log.Info("event: "+ev.Kind, zap.String("cause", ev.Cause), zap.String("job", string(ev.Job)), zap.String("account", string(ev.Account)),
		zap.String("dataCentre", string(ev.DataCentre)), zap.Uint64("epoch", uint64(ev.Epoch)), zap.Uint64("version", uint64(ev.Version)))
}

// beat is what this instance tells its peers of itself.
func (e *Entry) beat() peer.Beat {
	b := peer.Beat{
		Instance: e.Settings.Name, DataCentre: e.Settings.DataCentre, Leaving: e.leaving.Load(),
		Version: e.config.Version(), ConfirmedAge: e.config.ConfirmedAge(),
	}
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	defer func() { e.owned.Store(int64(len(b.Owned))) }()
	for id, o := range e.owners {
		if epoch, owns := o.Owns(); owns {
			b.Owned = append(b.Owned, peer.Owned{DataCentre: id, Epoch: epoch, Queued: o.Queued()})
		}
	}
	return b
}

func (e *Entry) heard(b peer.Beat, from membership.Caller, took time.Duration) {
	e.config.HeardVersion(b, from, took)
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	for _, owned := range b.Owned {
		if o := e.owners[owned.DataCentre]; o != nil {
			o.SawEpoch(owned.Epoch)
		}
	}
}

// followOwnership keeps one owner competing for each data centre of the configuration.
func (e *Entry) followOwnership(ctx context.Context) {
	for ctx.Err() == nil {
		if c := e.config.Current(); c != nil {
			for id := range c.DataCentres {
				e.compete(ctx, id)
			}
		}
		select {
		case <-ctx.Done():
		case <-e.config.Changed():
			e.refresh()
		}
	}
}

func (e *Entry) compete(ctx context.Context, id ids.DataCentreID) {
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	if e.owners[id] != nil {
		return
	}
	s := e.Settings
	ctx, stop := context.WithCancel(ctx)
	o := &ownership{changed: make(chan struct{}, 1), stop: stop}
	wanted := &membership.Ownership{Membership: e.members, DataCentre: id, Lease: s.OwnerLease}
	o.Owner = &owner.Owner{
		Instance: s.Name, DataCentre: id, Store: *e.Store, Event: e.log.Add, Changed: o.changed, Unfenced: !s.Fencing,
		Config: e.compiled,
		Nodes:  func() ([]placement.Node, bool) { return e.directory.nodes(id, e.compiled()) },
		Worker: e.directory.worker,
		Owned:  func() int { return int(e.owned.Load()) },
		Times: owner.Times{
			Lease: s.OwnerLease, WorkerLease: s.WorkerLease, WorkerRenew: s.WorkerRenew, RenewRate: s.RenewRate,
			Hold: s.WorkerHold, WorkerCall: s.WorkerTimeout, StoreCall: s.StoreTimeout,
		},
		Violated: func(err error) {
			e.Log.Error("owner: invariant broken", zap.Error(err))
			e.event("InvariantBroken", err.Error())
		},
	}
	wanted.Owns = func() bool {
		_, owns := o.Owns()
		return owns
	}
	o.Wanted = func() bool {
		_, fresh := e.config.Fresh()
		return wanted.Wanted() && (fresh || wanted.Owns())
	}
	e.owners[id] = o
	e.run(ctx, o.Run)
}

// refresh hands a new instance list or configuration to those who use it.
func (e *Entry) refresh() {
	e.setRunners()
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	for _, o := range e.owners {
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
}

// owner returns this instance's competitor for a data centre, or nil.
func (e *Entry) owner(id ids.DataCentreID) *ownership {
	e.ownersLock.Lock()
	defer e.ownersLock.Unlock()
	return e.owners[id]
}
