// Package poolowner runs the decisions for one pool of workers on one of several equal instances.
//
// The owner is the instance that holds a key of the platform's store under a lease. Each claim raises an epoch, which is
// the fencing token of every order to a worker, and each write to the store demands that the owner's key is unchanged.
// So an owner that was overtaken can neither order nor write anything, however late it learns of it.
package poolowner

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Owner competes for the pool and decides for it while it owns it. The fields up to Times must be set.
	Owner struct {
		Instance ids.InstanceID
		// Address is where other instances call this one.
		Address string
		Store   store.Transactions
		// ConfigKey is the key of the newest configuration, under ConfigPrefix, and Catalog decodes it.
		ConfigKey, ConfigPrefix string
		Catalog                 func(value []byte) (*catalog.Catalog, error)
		// WorkerPrefix is the prefix of the workers' entries, and Worker decodes one.
		WorkerPrefix string
		Worker       func(key string, value []byte) (Listed, error)
		// Dial returns the calls of a worker.
		Dial func(l Listed) worker.Runs
		Log  *zap.Logger
		// Times bound the decisions.
		Times Times
		Pool  pool.Times
		// Suspended returns for how long the machine has been suspended in all, which the steady clock doesn't count. Nil asks
		// the system.
		Suspended func() time.Duration
		// Weak instances leave the claim to others for a moment.
		Weak bool

		term    atomic.Pointer[term]
		leaving atomic.Bool
		// recovering tells that this instance holds the owner's key and reads what its predecessor left.
		recovering atomic.Bool
		current    atomic.Pointer[Current]
		// contact is when the store last answered, by the steady clock.
		contact atomic.Pointer[time.Time]
		// dead is an owner whose process is known to have ended, and interrupt ends the watch that runs.
		dead      atomic.Pointer[Current]
		interrupt atomic.Pointer[context.CancelFunc]
		metrics   Metrics
	}

	// Listed is a worker of the instance list with the address at which it takes orders.
	Listed struct {
		pool.Worker
		Address string
	}

	// Current is the instance that owns the pool, as its key in the store says.
	Current struct {
		Instance ids.InstanceID
		Address  string
		Epoch    ids.Epoch

		revision store.Revision
	}

	// Times are the owner's intervals. Zero fields have defaults.
	Times struct {
		// Lease is how long ownership lasts without renewal.
		Lease time.Duration
		// WorkerLease is how long a worker's runs last without renewal.
		WorkerLease time.Duration
		// Revoke is the age of the last confirmation of the configuration from which no keyed call is answered.
		Revoke time.Duration
	}
)

const (
	keyOwner   = "Jujubegrade/Owner"
	keyEpoch   = "Jujubegrade/Epoch"
	keyWorkers = "Jujubegrade/Workers"
	// keyEstimates holds what was learned of run times.
	keyEstimates = "Jujubegrade/Estimates"
	prefixJobs   = "Jujubegrade/Job/"

	// DefaultLease is a little above the shortest lease of the platform's store: one lost renewal doesn't end it, and an
	// owner that is lost without a word is replaced soon.
	DefaultLease = 1400 * time.Millisecond
	// defaultWorkerLease is the longest that the platform's workers grant.
	defaultWorkerLease = 6 * time.Second
	// defaultRevoke is well below the platform's bound of 5 s on revoked keys.
	defaultRevoke = 3500 * time.Millisecond
	// watchWait is how long one watch of the owner's key waits; its return tells that the store is in reach.
	watchWait = 1500 * time.Millisecond
	// watchMargin is what a watch may take beyond its wait: a second of silence that the platform allows, and a slow answer.
	watchMargin = 1500 * time.Millisecond
	// storeCall bounds one call to the store: a slow one takes 60 times its usual 4 ms.
	storeCall = 700 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds that pause as it grows: an instance that is turned away notices within it that it no longer is.
	maxRetryPause = time.Second
	// claimSpread is the time over which the instances spread their claims.
	claimSpread = 80 * time.Millisecond
	// weakDelay is what weak instances wait longer: a strong one's claim is settled by then.
	weakDelay = 150 * time.Millisecond
)

var (
	// ErrNotOwner tells that this instance doesn't own the pool; nothing was done.
	ErrNotOwner = errors.New("this instance does not own the pool")
	// ErrUnknown tells that ownership was lost or the time ran out before the outcome was known.
	ErrUnknown = errors.New("the outcome is not known")
)

func (t Times) withDefaults() Times {
	t.Lease = cmp.Or(t.Lease, DefaultLease)
	t.WorkerLease = cmp.Or(t.WorkerLease, defaultWorkerLease)
	t.Revoke = cmp.Or(t.Revoke, defaultRevoke)
	return t
}

// Current returns the instance that owns the pool, or nil if none is known.
func (o *Owner) Current() *Current { return o.current.Load() }

// Owns reports whether this instance owns the pool and has taken over what its predecessor left.
func (o *Owner) Owns() bool { return o.term.Load() != nil }

// ContactAge returns the time since the store last answered.
func (o *Owner) ContactAge() time.Duration {
	at := o.contact.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(*at)
}

func (o *Owner) contacted() {
	now := time.Now()
	o.contact.Store(&now)
}

// Leave gives ownership up and claims it no more.
func (o *Owner) Leave() {
	o.leaving.Store(true)
	if t := o.term.Load(); t != nil {
		t.end("handed over")
	}
}

// Describe returns the workers and the live jobs as text, or ErrNotOwner.
func (o *Owner) Describe(ctx context.Context) (text string, err error) {
	t := o.term.Load()
	if t == nil {
		return "", ErrNotOwner
	}
	err = t.do(ctx, func() { text = t.state.Describe(time.Now()) })
	return text, err
}
