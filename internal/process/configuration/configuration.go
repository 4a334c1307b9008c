// Package configuration distributes accepted configurations and applies them on each instance.
//
// The store holds immutable documents and one head key, which is updated by compare-and-swap. A few instances watch the
// head; the others learn of a new version from heartbeats and fetch it from a peer. An instance never applies a version
// lower than its current one.
package configuration

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/membership"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// Configuration holds the configuration of one instance. Instance, Store, Serving, OnEvent and Quorum must be set.
	Configuration struct {
		Instance ids.InstanceID
		Store    store.Client
		// Serving returns the IDs of the live instances that accept work.
		Serving func() []ids.InstanceID
		// OnEvent is called for each event.
		OnEvent func(e operator.Event)
		Times   Times
		// Quorum reports whether this instance receives heartbeats from more than half of the known instances. Without a
		// quorum, an instance neither accepts changes nor continues to serve during a store outage. Any two majorities
		// overlap in an instance that announces the newer version.
		Quorum func() bool
		// CheckFeasibility returns the guarantees that a valid configuration cannot meet, and effects that don't prevent its
		// acceptance; if nil, nothing is checked.
		CheckFeasibility func(c *config.Config) (infeasible, effects []string)
		// ApplyLowerVersions disables the rule that versions only increase, so that tests can show that it is needed.
		ApplyLowerVersions bool

		// applied is replaced atomically, so that requests read it without a lock.
		applied       atomic.Pointer[Applied]
		confirmedAt   atomic.Pointer[time.Time]
		changed       chan struct{}
		newerVersions chan newerVersion
	}

	// Applied is a configuration in force.
	Applied struct {
		*config.Config
		Source operator.Config
		head   head
	}

	// Times holds the intervals and timeouts. Zero fields have defaults.
	Times struct {
		// WatchTimeout bounds one watch of the head.
		WatchTimeout time.Duration
		// PollInterval is the mean interval at which an instance that doesn't watch the head reads it.
		PollInterval time.Duration
		// StoreTimeout bounds one call to the store.
		StoreTimeout time.Duration
		// MaxConfirmedAge is the age of the last confirmation after which an instance without a quorum rejects new work.
		MaxConfirmedAge time.Duration
	}

	// head is the value of the head key.
	head struct {
		Version ids.Version
		// Key is the key of the version's document.
		Key string
		// Previous is the key of the preceding version's document, used to read the history.
		Previous string `json:",omitempty"`
		revision store.Revision
	}

	// document is the value of a document's key.
	document struct {
		operator.Config
		Previous string `json:",omitempty"`
	}

	newerVersion struct {
		version ids.Version
		from    membership.Caller
	}
)

const (
	headKey        = "Config/Head"
	documentPrefix = "Config/Document/"
	// watcherCount is the number of instances that watch the head.
	watcherCount = 3
)

// ErrNoConfiguration means that no configuration has been accepted yet.
var ErrNoConfiguration = errors.New("no configuration has been accepted yet")

// Init sets defaults; it must be called before any other method.
func (c *Configuration) Init() {
	c.Times.WatchTimeout = cmp.Or(c.Times.WatchTimeout, 2*time.Second)
	c.Times.PollInterval = cmp.Or(c.Times.PollInterval, 15*time.Second)
	c.Times.StoreTimeout = cmp.Or(c.Times.StoreTimeout, time.Second)
	c.Times.MaxConfirmedAge = cmp.Or(c.Times.MaxConfirmedAge, 6*time.Second)
	c.changed = make(chan struct{}, 1)
	c.newerVersions = make(chan newerVersion, 1)
}

// Changed returns a channel that is signalled when a new version comes into force.
func (c *Configuration) Changed() <-chan struct{} { return c.changed }

// Current returns the configuration in force, or nil.
func (c *Configuration) Current() *Applied { return c.applied.Load() }

// Version returns the version in force, or zero if there is none.
func (c *Configuration) Version() ids.Version {
	if a := c.applied.Load(); a != nil {
		return a.Version
	}
	return 0
}

// ConfirmedAge returns the time since this version was last known to be the store's newest.
func (c *Configuration) ConfirmedAge() time.Duration {
	const never = 24 * time.Hour
	at := c.confirmedAt.Load()
	if at == nil {
		return never
	}
	return time.Since(*at)
}

// Fresh reports whether the version in force was confirmed recently enough to accept new work. If not, it returns the
// reason.
func (c *Configuration) Fresh() (string, bool) {
	switch age := c.ConfirmedAge(); {
	case c.applied.Load() == nil:
		return "no configuration is known yet", false
	case age > c.Times.MaxConfirmedAge && !c.Quorum():
		return "neither the store nor a peer confirmed the configuration for " + age.Round(time.Second).String(), false
	}
	return "", true
}

// Run keeps the configuration up to date until ctx ends.
func (c *Configuration) Run(ctx context.Context) {
	var fetching sync.WaitGroup
	fetching.Go(func() { c.fetchFromPeers(ctx) })
	defer fetching.Wait()
	delay := c.Times.StoreTimeout
	for ctx.Err() == nil {
		started := time.Now()
		err := c.syncHead(ctx)
		if err == nil || errors.Is(err, ErrNoConfiguration) {
			delay = c.Times.StoreTimeout / 4
			if c.watchesHead() {
				// Without this pause, watches that return immediately would cause a busy loop.
				pause.For(ctx, c.Times.StoreTimeout/4-time.Since(started))
				continue
			}
			pause.For(ctx, c.Times.PollInterval*3/4+rand.N(c.Times.PollInterval/2))
			continue
		}
		pause.For(ctx, delay*3/4+rand.N(delay/2+1))
		delay = min(2*delay, c.Times.MaxConfirmedAge/2)
	}
}

// watchesHead reports whether this instance is one of those that watch the head.
func (c *Configuration) watchesHead() bool {
	for i, id := range membership.Rank(headKey, c.Serving()) {
		if id == c.Instance {
			return i < watcherCount
		}
	}
	return true
}

// syncHead reads or watches the head once and applies a newer version if it finds one.
func (c *Configuration) syncHead(ctx context.Context) error {
	known := c.applied.Load()
	if known == nil || known.head.revision == 0 || !c.watchesHead() {
		return c.Refresh(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Times.WatchTimeout)
	defer cancel()
	started := time.Now()
	entry, err := c.Store.Watch(ctx, headKey, known.head.revision)
	if err != nil {
		return err
	}
	if entry.Revision <= known.head.revision {
		// The watch timed out without a change, so the version was still the newest when the watch began.
		c.confirm(started)
		return nil
	}
	return c.applyHead(context.WithoutCancel(ctx), entry, time.Now())
}

// Refresh reads the head and applies its version if that is newer than the one in force.
func (c *Configuration) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreTimeout)
	defer cancel()
	started := time.Now()
	entry, err := c.Store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return ErrNoConfiguration
	}
	if err != nil {
		return err
	}
	return c.applyHead(ctx, entry, started)
}

// RefreshForTakeover reads the head like Refresh, and returns an error only if the store did not answer. If the store has no
// configuration or an unreadable one, the version in force stays the newest that this instance can apply.
func (c *Configuration) RefreshForTakeover(ctx context.Context) error {
	if err := c.Refresh(ctx); errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrRefused) {
		return err
	}
	return nil
}

func (c *Configuration) applyHead(ctx context.Context, entry store.Entry, requestedAt time.Time) error {
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return errors.Wrap(err, "malformed configuration head")
	}
	h.revision = entry.Revision
	if known := c.applied.Load(); known != nil && h.Version <= known.Version {
		if h.Version == known.Version {
			c.confirm(requestedAt)
			if known.head.revision != h.revision {
				c.applied.CompareAndSwap(known, &Applied{Config: known.Config, Source: known.Source, head: h})
			}
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreTimeout)
	defer cancel()
	d, err := c.readDocument(ctx, h.Key)
	if err != nil {
		return err
	}
	if err := c.apply(d.Config, h); err != nil {
		return err
	}
	c.confirm(requestedAt)
	return nil
}

func (c *Configuration) readDocument(ctx context.Context, key string) (document, error) {
	var d document
	entry, err := c.Store.Get(ctx, key)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(json.Unmarshal(entry.Value, &d), "malformed configuration document")
}

// apply puts a version in force, unless one that is as high or higher already is.
func (c *Configuration) apply(source operator.Config, h head) error {
	parsed, err := config.Parse("configuration", []byte(source.Text))
	if err != nil {
		c.OnEvent(operator.Event{Kind: "ConfigUnreadable", Version: source.Version, Cause: err.Error()})
		return err
	}
	parsed.Version = source.Version
	next := &Applied{Config: parsed, Source: source, head: h}
	for {
		known := c.applied.Load()
		if known != nil && source.Version <= known.Version && !c.ApplyLowerVersions {
			return nil
		}
		if c.applied.CompareAndSwap(known, next) {
			break
		}
	}
	c.OnEvent(operator.Event{Kind: "ConfigInForce", Version: source.Version, Cause: "submitted by " + source.Author})
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return nil
}

func (c *Configuration) confirm(at time.Time) {
	for {
		known := c.confirmedAt.Load()
		if known != nil && !at.After(*known) {
			return
		}
		if c.confirmedAt.CompareAndSwap(known, &at) {
			return
		}
	}
}

// ObserveHeartbeat schedules a fetch from a peer that has a higher version, and adopts the confirmation of a peer that has
// the same version. maxDelay bounds the time since the peer wrote the heartbeat.
func (c *Configuration) ObserveHeartbeat(hb peer.Heartbeat, from membership.Caller, maxDelay time.Duration) {
	switch current := c.Version(); {
	case hb.Version > current && from != nil:
		select {
		case c.newerVersions <- newerVersion{version: hb.Version, from: from}:
		default:
		}
	case hb.Version == current && current > 0:
		c.confirm(time.Now().Add(-hb.ConfirmedAge - maxDelay))
	}
}

func (c *Configuration) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case newer := <-c.newerVersions:
			if newer.version > c.Version() {
				c.fetchFromPeer(ctx, newer)
			}
		}
	}
}

func (c *Configuration) fetchFromPeer(ctx context.Context, newer newerVersion) {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreTimeout)
	defer cancel()
	var source operator.Config
	if err := newer.from.Call(ctx, peer.MethodConfig, peer.ConfigCall{}, &source); err != nil {
		return // the next heartbeat announces the version again
	}
	if err := c.apply(source, head{Version: source.Version}); err != nil {
		return // the ConfigUnreadable event carries the cause
	}
}
