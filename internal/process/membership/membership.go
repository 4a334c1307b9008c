// Package membership tracks which entry instances are live and which of them should own each data centre.
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
	// Membership exchanges heartbeats with the peers. The fields up to Interval are required.
	Membership struct {
		// NewHeartbeat returns this instance's heartbeat.
		NewHeartbeat func() peer.Heartbeat
		// Peers are the callers of the other instances, by address.
		Peers map[string]Caller
		// OnHeartbeat is called for each heartbeat; it may be nil. The arguments are those of ReceiveHeartbeat.
		OnHeartbeat func(hb peer.Heartbeat, from Caller, maxDelay time.Duration)
		// Interval is the time between two heartbeats to one peer.
		Interval time.Duration
		// PeerTimeout is the time without a heartbeat after which a peer is considered dead.
		PeerTimeout time.Duration

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

	// Member is the last known state of one peer.
	Member struct {
		peer.Heartbeat
		// LastHeartbeat is when the last heartbeat arrived, and LiveSince when the peer became live.
		LastHeartbeat, LiveSince time.Time
		Caller                   Caller
	}
)

const (
	// maxMembers limits the peers that are remembered, maxOwned the data centres that one owns, and maxNameBytes the length of a name.
	maxMembers   = 1024
	maxOwned     = 1024
	maxNameBytes = 256
)

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	m.mu.Lock()
	m.started = time.Now()
	m.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range m.Peers {
		wait.Go(func() { m.sendHeartbeats(ctx, c) })
	}
	wait.Go(func() { m.publishLoop(ctx) })
	wait.Wait()
}

func (m *Membership) sendHeartbeats(ctx context.Context, c Caller) {
	for ctx.Err() == nil {
		started := time.Now()
		var answer peer.Heartbeat
		callCtx, cancel := context.WithTimeout(ctx, m.PeerTimeout/2)
		err := c.Call(callCtx, peer.MethodHeartbeat, m.NewHeartbeat(), &answer)
		cancel()
		if err == nil {
			m.ReceiveHeartbeat(answer, c, time.Since(started))
		}
		pause.For(ctx, m.Interval*3/4+rand.N(m.Interval/2+1))
	}
}

// ReceiveHeartbeat records a heartbeat. from makes calls to the peer and may be nil; maxDelay bounds the time since the peer
// wrote the heartbeat.
func (m *Membership) ReceiveHeartbeat(hb peer.Heartbeat, from Caller, maxDelay time.Duration) {
	m.mu.Lock()
	if from == nil && !m.hasRoomFor(hb) {
		m.mu.Unlock()
		return
	}
	if m.members == nil {
		m.members = make(map[ids.InstanceID]*Member)
	}
	known := m.members[hb.Instance]
	if known == nil || time.Since(known.LastHeartbeat) > m.PeerTimeout {
		known = &Member{LiveSince: time.Now()}
		m.members[hb.Instance] = known
	}
	changed := known.LastHeartbeat.IsZero() || known.differsFrom(hb) || (from != nil && known.Caller == nil)
	known.Heartbeat = hb
	known.LastHeartbeat = time.Now()
	if from != nil {
		known.Caller = from
	}
	if changed {
		m.publish()
	}
	m.mu.Unlock()
	if m.OnHeartbeat != nil {
		m.OnHeartbeat(hb, from, maxDelay)
	}
}

// hasRoomFor reports whether the sender of a heartbeat is known, or can be: whoever reaches the port may call under any name. It forgets the member that has been silent
// longest if there are too many. The caller holds the lock.
func (m *Membership) hasRoomFor(hb peer.Heartbeat) bool {
	if len(hb.Instance)+len(hb.DataCentre) > maxNameBytes || len(hb.Owned) > maxOwned {
		return false
	}
	for _, owned := range hb.Owned {
		if len(owned.DataCentre) > maxNameBytes {
			return false
		}
	}
	if m.members[hb.Instance] != nil || len(m.members) < maxMembers {
		return true
	}
	longest := time.Now().Add(-m.PeerTimeout)
	var forgotten ids.InstanceID
	for id, member := range m.members {
		if member.LastHeartbeat.Before(longest) {
			forgotten, longest = id, member.LastHeartbeat
		}
	}
	if forgotten == "" {
		return false
	}
	delete(m.members, forgotten)
	return true
}

// differsFrom reports whether a heartbeat changes anything beyond the time of the last heartbeat.
func (m *Member) differsFrom(hb peer.Heartbeat) bool {
	return m.Version != hb.Version || m.Leaving != hb.Leaving || !slices.Equal(m.Owned, hb.Owned)
}

func (m *Membership) publishLoop(ctx context.Context) {
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
		if time.Since(member.LastHeartbeat) <= m.PeerTimeout {
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

// Known returns all peers that ever sent a heartbeat, including dead ones.
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

// knownPeerWindow is how long a silent peer counts as possibly being on the other side of a network partition.
const knownPeerWindow = 30 * time.Minute

// Quorum reports whether more than half of the recently known instances are live, this one included.
func (m *Membership) Quorum() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	live, known := 1, 1
	for _, member := range m.members {
		age := time.Since(member.LastHeartbeat)
		if age <= knownPeerWindow && !member.Leaving {
			known++
		}
		if age <= m.PeerTimeout && !member.Leaving {
			live++
		}
	}
	return 2*live > known
}

// Converged reports whether heartbeats have been sent for long enough to reach every live peer.
func (m *Membership) Converged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.started.IsZero() && time.Since(m.started) > m.PeerTimeout
}

// Serving returns the IDs of the live instances that accept work, including this one unless it is leaving.
func (m *Membership) Serving() []ids.InstanceID {
	var list []ids.InstanceID
	if self := m.NewHeartbeat(); !self.Leaving {
		list = append(list, self.Instance)
	}
	for _, member := range m.Live() {
		if !member.Leaving {
			list = append(list, member.Instance)
		}
	}
	return list
}

// Rank orders instances for a key by rendezvous hashing; the first one is the key's home instance.
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
