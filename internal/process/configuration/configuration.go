// Package configuration keeps the accepted configuration in force at one instance.
//
// The store holds immutable documents and one head key, which is changed by compare-and-swap. Few instances watch the
// head; the others learn of a new version from the heartbeats and fetch it from a peer. No instance applies a version
// lower than the one it has.
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
	// Configuration keeps one instance's configuration. The fields up to Times must be set.
	Configuration struct {
		Instance ids.InstanceID
		Store    store.Client
		// Serving returns the ids of the live instances that take work.
		Serving func() []ids.InstanceID
		// Event is told of each event.
		Event func(e operator.Event)
		Times Times
		// Quorum reports whether this instance hears more than half of the known ones. Those that do go on during an
		// outage of the store, and only they accept changes: so any two such groups share an instance that tells
		// of the newer version.
		Quorum func() bool
		// Feasible returns what speaks against a configuration beyond its text; nil finds nothing.
		Feasible func(c *config.Config) []string
		// AcceptLower applies versions lower than the one in force; for tests of the invariant.
		AcceptLower bool

		// applied is replaced as a whole, so that requests read it without a lock.
		applied   atomic.Pointer[Applied]
		confirmed atomic.Pointer[time.Time]
		changed   chan struct{}
		behind    chan behind
	}

	// Applied is a configuration in force.
	Applied struct {
		*config.Config
		Source operator.Config
		head   head
	}

	// Times are the intervals. Zero fields have defaults.
	Times struct {
		// Watch is how long one watch of the head waits.
		Watch time.Duration
		// Poll is the interval at which an instance that doesn't watch reads the head.
		Poll time.Duration
		// StoreCall bounds one call to the store.
		StoreCall time.Duration
		// Bound is the age of the last confirmation after which no new work is taken.
		Bound time.Duration
	}

	// head is the value of the head key.
	head struct {
		Version ids.Version
		// Key is the key of the version's document.
		Key string
		// Previous is the key of the document before, for the history.
		Previous string `json:",omitempty"`
		revision store.Revision
	}

	// document is the value of a document's key.
	document struct {
		operator.Config
		Previous string `json:",omitempty"`
	}

	behind struct {
		version ids.Version
		from    membership.Caller
	}
)

const (
	headKey        = "Config/Head"
	documentPrefix = "Config/Document/"
	// watchers is the number of instances that watch the head.
	watchers = 3
)

// ErrNone tells that no configuration has been accepted yet.
var ErrNone = errors.New("no configuration has been accepted yet")

// Init prepares the configuration; it has to be called before any other method.
func (c *Configuration) Init() {
	c.Times.Watch = cmp.Or(c.Times.Watch, 2*time.Second)
	c.Times.Poll = cmp.Or(c.Times.Poll, 15*time.Second)
	c.Times.StoreCall = cmp.Or(c.Times.StoreCall, time.Second)
	c.Times.Bound = cmp.Or(c.Times.Bound, 6*time.Second)
	c.changed = make(chan struct{}, 1)
	c.behind = make(chan behind, 1)
}

// Changed is signalled when another version is in force.
func (c *Configuration) Changed() <-chan struct{} { return c.changed }

// Current returns the configuration in force, or nil.
func (c *Configuration) Current() *Applied { return c.applied.Load() }

// Version returns the version in force; zero means none.
func (c *Configuration) Version() ids.Version {
	if a := c.applied.Load(); a != nil {
		return a.Version
	}
	return 0
}

// ConfirmedAge returns the time since the store was known to hold no newer version.
func (c *Configuration) ConfirmedAge() time.Duration {
	const never = 24 * time.Hour
	at := c.confirmed.Load()
	if at == nil {
		return never
	}
	return time.Since(*at)
}

// Fresh reports whether the version in force is known well enough to take new work, and if not, why.
func (c *Configuration) Fresh() (string, bool) {
	switch age := c.ConfirmedAge(); {
	case c.applied.Load() == nil:
		return "no configuration is known yet", false
	case age > c.Times.Bound && !c.Quorum():
		return "neither the store nor a peer confirmed the configuration for " + age.Round(time.Second).String(), false
	}
	return "", true
}

// Run keeps the configuration up to date until ctx ends.
func (c *Configuration) Run(ctx context.Context) {
	var fetching sync.WaitGroup
	fetching.Go(func() { c.fetchFromPeers(ctx) })
	defer fetching.Wait()
	delay := c.Times.StoreCall
	for ctx.Err() == nil {
		started := time.Now()
		err := c.follow(ctx)
		if err == nil || errors.Is(err, ErrNone) {
			delay = c.Times.StoreCall / 4
			if c.watching() {
				// A watch that returns at once must not turn into a busy loop.
				pause.For(ctx, c.Times.StoreCall/4-time.Since(started))
				continue
			}
			pause.For(ctx, c.Times.Poll*3/4+rand.N(c.Times.Poll/2))
			continue
		}
		pause.For(ctx, delay*3/4+rand.N(delay/2+1))
		delay = min(2*delay, c.Times.Bound/2)
	}
}

// watching reports whether this instance is one of the few that watch the head.
func (c *Configuration) watching() bool {
	for i, id := range membership.Rank(headKey, c.Serving()) {
		if id == c.Instance {
			return i < watchers
		}
	}
	return true
}

// follow reads or watches the head once and applies what it finds.
func (c *Configuration) follow(ctx context.Context) error {
	known := c.applied.Load()
	if known == nil || known.head.revision == 0 || !c.watching() {
		return c.Refresh(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Times.Watch)
	defer cancel()
	started := time.Now()
	entry, err := c.Store.Watch(ctx, headKey, known.head.revision)
	if err != nil {
		return err
	}
	if entry.Revision <= known.head.revision {
		// The service held the watch until now, so nothing newer was there when it began.
		c.confirm(started)
		return nil
	}
	return c.applyHead(context.WithoutCancel(ctx), entry, time.Now())
}

// Refresh reads the head and applies it if it is newer than what is in force.
func (c *Configuration) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreCall)
	defer cancel()
	started := time.Now()
	entry, err := c.Store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return ErrNone
	}
	if err != nil {
		return err
	}
	return c.applyHead(ctx, entry, started)
}

func (c *Configuration) applyHead(ctx context.Context, entry store.Entry, asked time.Time) error {
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return errors.Wrap(err, "malformed head")
	}
	h.revision = entry.Revision
	if known := c.applied.Load(); known != nil && h.Version <= known.Version {
		if h.Version == known.Version {
			c.confirm(asked)
			if known.head.revision != h.revision {
				c.applied.CompareAndSwap(known, &Applied{Config: known.Config, Source: known.Source, head: h})
			}
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreCall)
	defer cancel()
	d, err := c.readDocument(ctx, h.Key)
	if err != nil {
		return err
	}
	if err := c.apply(d.Config, h); err != nil {
		return err
	}
	c.confirm(asked)
	return nil
}

func (c *Configuration) readDocument(ctx context.Context, key string) (document, error) {
	var d document
	entry, err := c.Store.Get(ctx, key)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(json.Unmarshal(entry.Value, &d), "malformed document")
}

// apply puts a version in force, unless a higher one is.
func (c *Configuration) apply(source operator.Config, h head) error {
	compiled, err := config.Parse("configuration", []byte(source.Text))
	if err != nil {
		c.Event(operator.Event{Kind: "ConfigUnreadable", Version: source.Version, Cause: err.Error()})
		return err
	}
	compiled.Version = source.Version
	next := &Applied{Config: compiled, Source: source, head: h}
	for {
		known := c.applied.Load()
		if known != nil && source.Version <= known.Version && !c.AcceptLower {
			return nil
		}
		if c.applied.CompareAndSwap(known, next) {
			break
		}
	}
	c.Event(operator.Event{Kind: "ConfigInForce", Version: source.Version, Cause: "accepted from " + source.Author})
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return nil
}

func (c *Configuration) confirm(at time.Time) {
	for {
		known := c.confirmed.Load()
		if known != nil && !at.After(*known) {
			return
		}
		if c.confirmed.CompareAndSwap(known, &at) {
			return
		}
	}
}

// HeardVersion takes a peer's word: a higher version is fetched from it, and its confirmation of the version
// in force counts here too.
func (c *Configuration) HeardVersion(b peer.Beat, from membership.Caller, took time.Duration) {
	switch mine := c.Version(); {
	case b.Version > mine && from != nil:
		select {
		case c.behind <- behind{version: b.Version, from: from}:
		default:
		}
	case b.Version == mine && mine > 0:
		c.confirm(time.Now().Add(-b.ConfirmedAge - took))
	}
}

func (c *Configuration) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-c.behind:
			if b.version > c.Version() {
				c.fetch(ctx, b)
			}
		}
	}
}

func (c *Configuration) fetch(ctx context.Context, b behind) {
	ctx, cancel := context.WithTimeout(ctx, c.Times.StoreCall)
	defer cancel()
	var source operator.Config
	if err := b.from.Call(ctx, peer.MethodConfig, peer.ConfigCall{}, &source); err != nil {
		return // the next heartbeat tells of the version again
	}
	if err := c.apply(source, head{Version: source.Version}); err != nil {
		return // the event tells why
	}
}
