// Package membership tells which entry instances are live, and which of them should own what.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Membership exchanges heartbeats with the peers. The fields up to Interval must be set.
	Membership struct {
		// Beat returns what this instance tells of itself.
		Beat func() peer.Beat
		// Peers are the calls of the other instances, by address.
		Peers map[string]Caller
		// Heard is told of each heartbeat and the peer's caller; nil tells nobody.
		Heard func(b peer.Beat, from Caller, took time.Duration)
		// Interval is the time between two heartbeats to one peer.
		Interval time.Duration
		// Silence is the time after which a silent peer is taken as dead.
		Silence time.Duration

		mu      sync.Mutex
		members map[ids.InstanceID]*Member
		// live is replaced as a whole, so that requests read it without a lock.
		live    atomic.Pointer[[]Member]
		started time.Time
	}

	// Caller makes calls to one peer.
	Caller interface {
		Call(ctx context.Context, method string, in, out any) error
	}

	// Member is one peer as it was last heard of.
	Member struct {
		peer.Beat
		// At is when the peer was last heard of, and Since when it became live.
		At, Since time.Time
		Caller    Caller
	}
)

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	m.mu.Lock()
	m.started = time.Now()
	m.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range m.Peers {
		wait.Go(func() { m.beat(ctx, c) })
	}
	wait.Go(func() { m.sweep(ctx) })
	wait.Wait()
}

func (m *Membership) beat(ctx context.Context, c Caller) {
	for ctx.Err() == nil {
		started := time.Now()
		var answer peer.Beat
		callCtx, cancel := context.WithTimeout(ctx, m.Silence/2)
		err := c.Call(callCtx, peer.MethodHeartbeat, m.Beat(), &answer)
		cancel()
		if err == nil {
			m.Hear(answer, c, time.Since(started))
		}
		pause.For(ctx, m.Interval*3/4+rand.N(m.Interval/2+1))
	}
}

// Hear takes a heartbeat; took bounds the time since the peer wrote it. from may be nil.
func (m *Membership) Hear(b peer.Beat, from Caller, took time.Duration) {
	m.mu.Lock()
	if m.members == nil {
		m.members = make(map[ids.InstanceID]*Member)
	}
	known := m.members[b.Instance]
	if known == nil || time.Since(known.At) > m.Silence {
		known = &Member{Since: time.Now()}
		m.members[b.Instance] = known
	}
	changed := known.At.IsZero() || known.differs(b) || (from != nil && known.Caller == nil)
	known.Beat = b
	known.At = time.Now()
	if from != nil {
		known.Caller = from
	}
	if changed {
		m.publish()
	}
	m.mu.Unlock()
	if m.Heard != nil {
		m.Heard(b, from, took)
	}
}

// differs reports whether a heartbeat tells more than that the peer is still live.
func (m *Member) differs(b peer.Beat) bool {
	return m.Version != b.Version || m.Leaving != b.Leaving || !slices.Equal(m.Owned, b.Owned)
}

func (m *Membership) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, m.Interval)
		m.mu.Lock()
		m.publish()
		m.mu.Unlock()
	}
}

// publish replaces the list of live members. The caller holds the lock.
func (m *Membership) publish() {
	var live []Member
	for _, member := range m.members {
		if time.Since(member.At) <= m.Silence {
			live = append(live, *member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Instance < live[j].Instance })
	m.live.Store(&live)
}

// Live returns the live peers, without this instance.
func (m *Membership) Live() []Member {
	if live := m.live.Load(); live != nil {
		return *live
	}
	return nil
}

// Known returns all peers ever heard of, the dead ones included.
func (m *Membership) Known() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Member
	for _, member := range m.members {
		all = append(all, *member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
	return all
}

// memory is how long a silent peer counts as one that may be on the other side of a partition.
const memory = 30 * time.Minute

// Quorum reports whether this instance hears more than half of the instances known of late, itself included.
func (m *Membership) Quorum() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known := 1, 1
	for _, member := range m.members {
		age := time.Since(member.At)
		if age <= memory && !member.Leaving {
			known++
		}
		if age <= m.Silence && !member.Leaving {
			heard++
		}
	}
	return 2*heard > known
}

// Settled reports whether the membership has run long enough to have heard of every live peer.
func (m *Membership) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.started.IsZero() && time.Since(m.started) > m.Silence
}

// Serving returns the ids of the live instances that take work, this one included unless it leaves.
func (m *Membership) Serving() []ids.InstanceID {
	var list []ids.InstanceID
	if self := m.Beat(); !self.Leaving {
		list = append(list, self.Instance)
	}
	for _, member := range m.Live() {
		if !member.Leaving {
			list = append(list, member.Instance)
		}
	}
	return list
}

// Rank orders instances for a key by rendezvous hashing: the first one is its home.
func Rank(key string, instances []ids.InstanceID) []ids.InstanceID {
	ranked := append([]ids.InstanceID(nil), instances...)
	weight := func(id ids.InstanceID) uint64 { return xxhash.Sum64String(key + "\x00" + string(id)) }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight(ranked[i]), weight(ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
