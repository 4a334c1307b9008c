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

const inForceBound = 8 * time.Second

type (
	// fleet is a number of instances that share one store, in one bubble of virtual time.
	fleet struct {
		t         *testing.T
		store     storeservice.Service
		instances []*instance
		calls     store.Counts
		messages  atomic.Int64
		reverted  atomic.Bool
		lower     bool
		spread    spread
	}

	instance struct {
		fleet *fleet
		id    ids.InstanceID
		// process is nil while the instance is down.
		process atomic.Pointer[process]
		// cutStore and cutPeers take the instance's connections away.
		cutStore, cutPeers atomic.Bool
		highest            atomic.Uint64
	}

	process struct {
		config  *Configuration
		members *membership.Membership
		cancel  context.CancelFunc
		done    sync.WaitGroup
	}

	// link is the way from one instance to another.
	link struct{ from, to *instance }
)

func newFleet(t *testing.T, n int) *fleet {
	return newFleetWith(t, n, spread{linked: func(int, int, int) bool { return true }})
}

// newServingFleet returns eight instances that have version 1 in force.
func newServingFleet(t *testing.T) *fleet {
	f := newFleet(t, 8)
	time.Sleep(5 * time.Second)
	_, err := f.accept(0, 0)
	require.NoError(t, err)
	require.Less(t, f.awaitVersion(1), inForceBound)
	return f
}

func newFleetWith(t *testing.T, n int, s spread) *fleet {
	f := &fleet{t: t, spread: s}
	for i := range n {
		f.instances = append(f.instances, &instance{fleet: f, id: ids.InstanceID(fmt.Sprintf("entry-%03d", i))})
	}
	for _, i := range f.instances {
		i.start()
	}
	return f
}

// Call makes a call over the link, as the peer protocol does.
func (l link) Call(_ context.Context, method string, in, out any) error {
	time.Sleep(time.Millisecond)
	to := l.to.process.Load()
	if l.from.cutPeers.Load() || l.to.cutPeers.Load() || to == nil {
		return peer.ErrUnreachable
	}
	l.from.fleet.messages.Add(1)
	switch method {
	case peer.MethodHeartbeat:
		to.members.Hear(in.(peer.Beat), nil, 0)
		*out.(*peer.Beat) = to.members.Beat()
	case peer.MethodConfig:
		current := to.config.Current()
		if current == nil {
			return ErrNone
		}
		*out.(*operator.Config) = current.Source
	}
	return nil
}

func (i *instance) start() {
	f := i.fleet
	ctx, cancel := context.WithCancel(context.Background())
	i.highest.Store(0)
	peers := make(map[string]membership.Caller)
	self := slices.Index(f.instances, i)
	for at, other := range f.instances {
		if other != i && f.spread.linked(self, at, len(f.instances)) {
			peers[string(other.id)] = link{from: i, to: other}
		}
	}
	p := &process{cancel: cancel}
	p.members = &membership.Membership{
		Peers: peers, Interval: 500 * time.Millisecond, Silence: 2 * time.Second,
		Beat: func() peer.Beat {
			return peer.Beat{Instance: i.id, Version: p.config.Version(), ConfirmedAge: p.config.ConfirmedAge()}
		},
		Heard: func(b peer.Beat, from membership.Caller, took time.Duration) { p.config.HeardVersion(b, from, took) },
	}
	p.config = &Configuration{
		Instance: i.id, Store: i.gate(store.Pace(f.store.Client(), nil, &f.calls)), AcceptLower: f.lower,
		Serving: func() []ids.InstanceID {
			if f.spread.watchAll {
				return []ids.InstanceID{i.id}
			}
			return p.members.Serving()
		},
		Quorum: func() bool { return p.members.Quorum() },
		Event:  i.event,
	}
	p.config.Init()
	i.process.Store(p)
	p.done.Go(func() { p.members.Run(ctx) })
	p.done.Go(func() { p.config.Run(ctx) })
}

func (i *instance) config() *Configuration { return i.process.Load().config }

// event asserts that no version is put in force after a higher one.
func (i *instance) event(e operator.Event) {
	if e.Kind != "ConfigInForce" {
		return
	}
	if uint64(e.Version) <= i.highest.Load() {
		i.fleet.reverted.Store(true)
	}
	i.highest.Store(uint64(e.Version))
}

func (i *instance) gate(s store.Client) store.Client {
	cut := func() error {
		if i.cutStore.Load() {
			return store.ErrUnknown
		}
		return nil
	}
	gated := s
	gated.Get = func(ctx context.Context, key string) (store.Entry, error) {
		if err := cut(); err != nil {
			return store.Entry{}, err
		}
		return s.Get(ctx, key)
	}
	gated.Watch = func(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
		if err := cut(); err != nil {
			return store.Entry{}, err
		}
		return s.Watch(ctx, key, after)
	}
	gated.Put = func(ctx context.Context, w store.Write) (store.Revision, error) {
		if err := cut(); err != nil {
			return 0, err
		}
		return s.Put(ctx, w)
	}
	return gated
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

// awaitVersion waits until all instances that run have a version in force, and returns how long that took.
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
		"calm": func(*fleet) {},
		"the accepting instance dies at once": func(f *fleet) {
			f.instances[0].stop()
		},
		"half of the instances restart": func(f *fleet) {
			for _, i := range f.instances[4:] {
				i.stop()
				i.start()
			}
		},
		"the store goes out after the acceptance": func(f *fleet) {
			f.store.SetFaults(storeservice.Faults{Outage: true})
		},
		"the store is slow": func(f *fleet) {
			f.store.SetFaults(storeservice.Faults{Delay: 700 * time.Millisecond})
		},
		"the watchers lose the store": func(f *fleet) {
			for _, i := range f.instances[:4] {
				i.cutStore.Store(true)
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
				require.Less(t, f.awaitVersion(2), inForceBound)
				require.False(t, f.reverted.Load())
			})
		})
	}
}

// TestPartitionedInstanceTakesNoNewWork cuts one instance off from the store and the peers.
func TestPartitionedInstanceTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		defer f.stop()
		lone := f.instances[7]
		lone.cutStore.Store(true)
		lone.cutPeers.Store(true)
		_, err := f.accept(0, 1)
		require.NoError(t, err)
		time.Sleep(inForceBound)
		reason, fresh := lone.config().Fresh()
		require.False(t, fresh, "it might act under an older version")
		require.NotEmpty(t, reason)
		lone.cutPeers.Store(false)
		require.Less(t, f.awaitVersion(2), inForceBound)
		time.Sleep(time.Second)
		_, fresh = lone.config().Fresh()
		require.True(t, fresh, "peers that read the store vouch for the version")
	})
}

// TestStoreOutageKeepsServing lets instances that hear each other go on for minutes; a restarted one learns from its peers.
func TestStoreOutageKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		defer f.stop()
		f.store.SetFaults(storeservice.Faults{Outage: true})
		time.Sleep(5 * time.Minute)
		f.instances[3].stop()
		f.instances[3].start()
		time.Sleep(inForceBound)
		for _, i := range f.instances {
			reason, fresh := i.config().Fresh()
			require.True(t, fresh, "%s: %s", i.id, reason)
		}
	})
}

// TestRacingOperators lets operators at all instances change the same version: one is accepted, the others are told so.
func TestRacingOperators(t *testing.T) {
	for name, lose := range map[string]func(string) bool{"answers arrive": nil, "answers are lost": func(key string) bool { return key == headKey }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				defer f.stop()
				time.Sleep(5 * time.Second)
				f.store.SetFaults(storeservice.Faults{LoseAnswer: lose})
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
					require.Less(t, f.awaitVersion(round+1), inForceBound)
				}
				list, err := f.instances[5].config().History(context.Background(), 0, 20)
				require.NoError(t, err)
				require.Len(t, list, 10)
				require.False(t, f.reverted.Load())
			})
		})
	}
}

// TestNeverReverts restarts instances, cuts links and lets peers lag at random while versions are accepted. Without the
// rule that only higher versions are applied, the same run finds a reverted one.
func TestNeverReverts(t *testing.T) {
	run := func(t *testing.T, lower bool) (reverted bool) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			f := newFleet(t, 8)
			f.lower = lower
			defer f.stop()
			for _, i := range f.instances {
				i.config().AcceptLower = lower
			}
			time.Sleep(5 * time.Second)
			for range 200 {
				i := f.instances[random.IntN(len(f.instances))]
				switch random.IntN(6) {
				case 0:
					i.stop()
					i.start()
				case 1:
					i.cutStore.Store(random.IntN(2) == 0)
				case 2:
					i.cutPeers.Store(random.IntN(2) == 0)
				case 3, 4:
					// A conflict or a cut instance is as good as an acceptance here.
					_, _ = f.accept(random.IntN(len(f.instances)), i.config().Version())
				case 5:
					stale := &Applied{Source: operator.Config{Version: max(1, i.config().Version()) - 1, Text: "[Policy]\n"}}
					if stale.Source.Version > 0 {
						// A late message of a peer that lagged behind.
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
	require.True(t, run(t, true), "the run must find the fault without the rule")
}
