package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/membership"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// maxPropagationDelay bounds the time until an accepted version is in force on all instances.
const maxPropagationDelay = 8 * time.Second

type (
	// fleet is a set of instances that share one store in one synctest bubble.
	fleet struct {
		t                  *testing.T
		store              storeservice.Service
		instances          []*instance
		calls              store.CallCounts
		messages           atomic.Int64
		reverted           atomic.Bool
		applyLowerVersions bool
		topology           topology
	}

	instance struct {
		fleet *fleet
		id    ids.InstanceID
		// process is nil while the instance is stopped.
		process atomic.Pointer[process]
		// storeCut and peersCut cut the instance off from the store and from its peers.
		storeCut, peersCut atomic.Bool
		highestVersion     atomic.Uint64
	}

	process struct {
		config  *Configuration
		members *membership.Membership
		cancel  context.CancelFunc
		done    sync.WaitGroup
	}

	// link implements membership.Caller for calls from one instance to another.
	link struct{ from, to *instance }
)

func newFleet(t *testing.T, n int) *fleet {
	return newFleetWith(t, n, topology{sendsHeartbeats: func(int, int, int) bool { return true }})
}

// newServingFleet returns eight instances that have version 1 in force.
func newServingFleet(t *testing.T) *fleet {
	f := newFleet(t, 8)
	time.Sleep(5 * time.Second)
	_, err := f.accept(0, 0)
	require.NoError(t, err)
	require.Less(t, f.awaitVersion(1), maxPropagationDelay)
	return f
}

func newFleetWith(t *testing.T, n int, topo topology) *fleet {
	f := &fleet{t: t, topology: topo}
	for i := range n {
		f.instances = append(f.instances, &instance{fleet: f, id: ids.InstanceID(fmt.Sprintf("entry-%03d", i))})
	}
	for _, i := range f.instances {
		i.start()
	}
	return f
}

// Call delivers a peer method call to the other instance.
func (l link) Call(_ context.Context, method string, in, out any) error {
	time.Sleep(time.Millisecond)
	to := l.to.process.Load()
	if l.from.peersCut.Load() || l.to.peersCut.Load() || to == nil {
		return peer.ErrUnreachable
	}
	l.from.fleet.messages.Add(1)
	switch method {
	case peer.MethodHeartbeat:
		to.members.ReceiveHeartbeat(in.(peer.Heartbeat), nil, 0)
		*out.(*peer.Heartbeat) = to.members.NewHeartbeat()
	case peer.MethodConfig:
		current := to.config.Current()
		if current == nil {
			return ErrNoConfiguration
		}
		*out.(*operator.Config) = current.Source
	}
	return nil
}

func (i *instance) start() {
	f := i.fleet
	ctx, cancel := context.WithCancel(context.Background())
	i.highestVersion.Store(0)
	peers := make(map[string]membership.Caller)
	self := slices.Index(f.instances, i)
	for at, other := range f.instances {
		if other != i && f.topology.sendsHeartbeats(self, at, len(f.instances)) {
			peers[string(other.id)] = link{from: i, to: other}
		}
	}
	p := &process{cancel: cancel}
	p.members = &membership.Membership{
		Peers: peers, Interval: 500 * time.Millisecond, PeerTimeout: 2 * time.Second,
		NewHeartbeat: func() peer.Heartbeat {
			return peer.Heartbeat{Instance: i.id, Version: p.config.Version(), ConfirmedAge: p.config.ConfirmedAge()}
		},
		OnHeartbeat: func(hb peer.Heartbeat, from membership.Caller, maxDelay time.Duration) {
			p.config.ObserveHeartbeat(hb, from, maxDelay)
		},
	}
	p.config = &Configuration{
		Instance: i.id, Store: i.withStoreCut(store.RateLimited(f.store.Client(), nil, &f.calls)), ApplyLowerVersions: f.applyLowerVersions,
		Serving: func() []ids.InstanceID {
			if f.topology.watchAll {
				return []ids.InstanceID{i.id}
			}
			return p.members.Serving()
		},
		Quorum:  func() bool { return p.members.Quorum() },
		OnEvent: i.event,
	}
	p.config.Init()
	i.process.Store(p)
	p.done.Go(func() { p.members.Run(ctx) })
	p.done.Go(func() { p.config.Run(ctx) })
}

func (i *instance) config() *Configuration { return i.process.Load().config }

// event records in fleet.reverted whether a version comes into force after one that is as high or higher.
func (i *instance) event(e operator.Event) {
	if e.Kind != "ConfigInForce" {
		return
	}
	if uint64(e.Version) <= i.highestVersion.Load() {
		i.fleet.reverted.Store(true)
	}
	i.highestVersion.Store(uint64(e.Version))
}

func (i *instance) withStoreCut(s store.Client) store.Client {
	unavailable := func() error {
		if i.storeCut.Load() {
			return store.ErrUnknown
		}
		return nil
	}
	wrapped := s
	wrapped.Get = func(ctx context.Context, key string) (store.Entry, error) {
		if err := unavailable(); err != nil {
			return store.Entry{}, err
		}
		return s.Get(ctx, key)
	}
	wrapped.Watch = func(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
		if err := unavailable(); err != nil {
			return store.Entry{}, err
		}
		return s.Watch(ctx, key, after)
	}
	wrapped.Put = func(ctx context.Context, w store.Write) (store.Revision, error) {
		if err := unavailable(); err != nil {
			return 0, err
		}
		return s.Put(ctx, w)
	}
	return wrapped
}

func (i *instance) stop() {
	p := i.process.Swap(nil)
	p.cancel()
	p.done.Wait()
}

func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.process.Load() != nil {
			i.stop()
		}
	}
}

func (f *fleet) accept(i int, base ids.Version) (operator.Acceptance, error) {
	return f.instances[i].config().Accept(context.Background(), operator.Change{Base: base, Author: "test", Text: fmt.Sprintf("[ClientAccount \"v%d\"]\n", base+1)})
}

// awaitVersion waits up to a minute until all running instances have at least version v in force, and returns the time
// that took.
func (f *fleet) awaitVersion(v ids.Version) time.Duration {
	started := time.Now()
	for time.Since(started) < time.Minute {
		behind := 0
		for _, i := range f.instances {
			if i.process.Load() != nil && i.config().Version() < v {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(started)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Minute
}

func TestInForceEverywhere(t *testing.T) {
	cases := map[string]func(f *fleet){
		"no fault": func(*fleet) {},
		"the accepting instance stops immediately": func(f *fleet) {
			f.instances[0].stop()
		},
		"half of the instances restart": func(f *fleet) {
			for _, i := range f.instances[4:] {
				i.stop()
				i.start()
			}
		},
		"the store fails after the acceptance": func(f *fleet) {
			f.store.SetFaults(storeservice.Faults{Outage: true})
		},
		"the store is slow": func(f *fleet) {
			f.store.SetFaults(storeservice.Faults{Delay: 700 * time.Millisecond})
		},
		"the watchers lose the store": func(f *fleet) {
			for _, i := range f.instances[:4] {
				i.storeCut.Store(true)
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t)
				defer f.stop()
				_, err := f.accept(0, 1)
				require.NoError(t, err)
				fault(f)
				require.Less(t, f.awaitVersion(2), maxPropagationDelay)
				require.False(t, f.reverted.Load())
			})
		})
	}
}

// TestPartitionedInstanceRefusesNewWork checks that an instance cut off from the store and its peers, which cannot learn of
// a newer version, accepts no new work, and that it recovers once its peers are reachable.
func TestPartitionedInstanceRefusesNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		defer f.stop()
		isolated := f.instances[7]
		isolated.storeCut.Store(true)
		isolated.peersCut.Store(true)
		_, err := f.accept(0, 1)
		require.NoError(t, err)
		time.Sleep(maxPropagationDelay)
		reason, fresh := isolated.config().Fresh()
		require.False(t, fresh, "an isolated instance must not act on an older version")
		require.NotEmpty(t, reason)
		isolated.peersCut.Store(false)
		require.Less(t, f.awaitVersion(2), maxPropagationDelay)
		time.Sleep(time.Second)
		_, fresh = isolated.config().Fresh()
		require.True(t, fresh, "peers that read the store confirm the version")
	})
}

// TestStoreOutageKeepsServing checks that instances that exchange heartbeats keep serving during a store outage of 5 minutes,
// and that a restarted instance gets the configuration from its peers.
func TestStoreOutageKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		defer f.stop()
		f.store.SetFaults(storeservice.Faults{Outage: true})
		time.Sleep(5 * time.Minute)
		f.instances[3].stop()
		f.instances[3].start()
		time.Sleep(maxPropagationDelay)
		for _, i := range f.instances {
			reason, fresh := i.config().Fresh()
			require.True(t, fresh, "%s: %s", i.id, reason)
		}
	})
}

// TestConcurrentChanges submits changes to the same version on all instances at once: exactly one must be accepted and the
// others must fail with a conflict, even if the store's answers are lost.
func TestConcurrentChanges(t *testing.T) {
	for name, loseAnswer := range map[string]func(string) bool{"answers arrive": nil, "answers are lost": func(key string) bool { return key == headKey }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				defer f.stop()
				time.Sleep(5 * time.Second)
				f.store.SetFaults(storeservice.Faults{LoseAnswer: loseAnswer})
				for round := range ids.Version(10) {
					var accepted, conflicts atomic.Int64
					var wait sync.WaitGroup
					for i := range f.instances {
						wait.Go(func() {
							_, err := f.accept(i, round)
							switch {
							case err == nil:
								accepted.Add(1)
							case errors.Is(err, ErrConflict):
								conflicts.Add(1)
							}
						})
					}
					wait.Wait()
					require.EqualValues(t, 1, accepted.Load(), "round %d", round)
					require.EqualValues(t, 7, conflicts.Load(), "round %d", round)
					require.Less(t, f.awaitVersion(round+1), maxPropagationDelay)
				}
				list, err := f.instances[5].config().History(context.Background(), 0, 20)
				require.NoError(t, err)
				require.Len(t, list, 10)
				require.False(t, f.reverted.Load())
			})
		})
	}
}

// TestNeverReverts checks that no instance replaces a version by a lower one while instances restart, lose connections and
// receive stale versions at random. The same run without the rule must find a violation.
func TestNeverReverts(t *testing.T) {
	run := func(t *testing.T, applyLowerVersions bool) (reverted bool) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			f := newFleet(t, 8)
			f.applyLowerVersions = applyLowerVersions
			defer f.stop()
			for _, i := range f.instances {
				i.config().ApplyLowerVersions = applyLowerVersions
			}
			time.Sleep(5 * time.Second)
			for range 200 {
				i := f.instances[random.IntN(len(f.instances))]
				switch random.IntN(6) {
				case 0:
					i.stop()
					i.start()
				case 1:
					i.storeCut.Store(random.IntN(2) == 0)
				case 2:
					i.peersCut.Store(random.IntN(2) == 0)
				case 3, 4:
					// The outcome doesn't matter here: the change may conflict or the instance may be cut off.
					_, _ = f.accept(random.IntN(len(f.instances)), i.config().Version())
				case 5:
					stale := &Applied{Source: operator.Config{Version: max(1, i.config().Version()) - 1, Text: "[Policy]\n"}}
					if stale.Source.Version > 0 {
						// Simulates a delayed message from a peer with an older version.
						_ = i.config().apply(stale.Source, head{Version: stale.Source.Version})
					}
				}
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			}
			reverted = f.reverted.Load()
		})
		return reverted
	}
	require.False(t, run(t, false))
	require.True(t, run(t, true), "without the rule the run must find a violation")
}
