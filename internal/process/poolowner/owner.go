// Package poolowner schedules one pool of workers from one of several equal instances.
//
// The owner is the instance that holds a key of the platform's store under a lease. Each claim increments an epoch, which
// is the fencing token of every order to a worker, and each write to the store is conditional on an unchanged owner key.
// A superseded owner can therefore neither order nor write anything, however late it notices.
package poolowner

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Owner competes for ownership of the pool and schedules it while it is the owner. The fields before Times must
	// be set.
	Owner struct {
		Instance ids.InstanceID
		// DataCentre is where the instance is; it is only logged.
		DataCentre ids.DataCentreID
		// Address is where other instances reach this one.
		Address string
		Store   store.TransactionClient
		// ConfigKey is the key of the newest configuration, under ConfigPrefix, and Catalog decodes its value.
		ConfigKey, ConfigPrefix string
		Catalog                 func(value []byte) (*catalog.Catalog, error)
		// EvacuatedDataCentre returns the data centre that a key under ConfigPrefix requests to evacuate, and whether it is such a request.
		// Nil means that there are none.
		EvacuatedDataCentre func(key string) (ids.DataCentreID, bool)
		// WorkerPrefix is the prefix of the workers' entries, and Worker decodes one.
		WorkerPrefix string
		Worker       func(key string, value []byte) (ListedWorker, error)
		// Dial returns a client for a worker.
		Dial func(l ListedWorker) worker.RunClient
		Log  *zap.Logger
		// Times are the intervals of ownership, and Pool those of scheduling.
		Times Times
		Pool  pool.Times
		// Suspended returns the total time for which the machine has been suspended, which the monotonic clock doesn't
		// count. Nil asks the operating system.
		Suspended func() time.Duration
		// MaxValueBytes is the size of the largest value that the store takes; zero means no limit.
		MaxValueBytes int
		// JobMemory returns how much memory accepted jobs may take. Nil or a result of zero means no limit.
		JobMemory func() pool.Bytes
		// MaxOrders returns how many orders to workers may be under way. Nil or a result of zero means no limit.
		MaxOrders func() int
		// DelayClaims makes this instance delay its claims, so that other instances claim first.
		DelayClaims bool

		// CallWitness calls the instance at an address as a witness; nil calls it over the network.
		CallWitness func(ctx context.Context, address string, c PlacesCall) (PlacesAnswer, error)

		// kept are the starts that this process keeps as a witness, and witnessClients the connections to its own witnesses.
		kept           keptStarts
		witnessLock    sync.Mutex
		witnessClients map[string]*peer.Client

		term    atomic.Pointer[term]
		leaving atomic.Bool
		// recovering is set while this instance holds the owner key and recovers its predecessor's state.
		recovering   atomic.Bool
		currentOwner atomic.Pointer[OwnerRecord]
		// lastContact is when the store last answered, on the monotonic clock.
		lastContact atomic.Pointer[time.Time]
		// seenRevision is the highest revision of the answers to reads of the owner's key and to writes.
		seenRevision atomic.Uint64
		// deadOwner is an owner whose process is known to have terminated, and cancelWatch cancels the watch in progress.
		deadOwner   atomic.Pointer[OwnerRecord]
		cancelWatch atomic.Pointer[context.CancelFunc]
		// ownerWatch is used by Run's goroutine alone.
		ownerWatch watchHealth
		metrics    Metrics
	}

	// ListedWorker is a worker of the instance list, with the address at which it accepts orders.
	ListedWorker struct {
		pool.Worker
		Address string
		// ColdRemaining is how much longer the worker stays slow after its start, as of its entry.
		ColdRemaining time.Duration

		// revision is the store's revision of the entry.
		revision store.Revision
	}

	// OwnerRecord is the value of the owner key in the store: the instance that owns the pool.
	OwnerRecord struct {
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
		// MaxConfigAge is the maximum age of the last confirmation of the configuration. Beyond it calls are refused, since
		// their keys may have been revoked.
		MaxConfigAge time.Duration
		// MaxListAge is the maximum age of the list of workers. Beyond it no runs are started, since workers may be draining,
		// unless the store does not answer: then workers can't announce it either.
		MaxListAge time.Duration
		// MaxCapacityAge is the maximum age of the workers' capacities while the store does not answer. Beyond it no runs are started: a worker whose capacity
		// was reduced meanwhile starts whatever it is ordered to.
		MaxCapacityAge time.Duration
		// MaxEvacuationAge is the maximum age of the view of the evacuations. Beyond it no runs are started, since any data centre may
		// be evacuated, unless the store does not answer.
		MaxEvacuationAge time.Duration
		// OutageWindow is the time after the sending of a renewal of the ownership without an answer for which the store counts as
		// unavailable. It is longer than two renewals take.
		OutageWindow time.Duration
	}
)

const (
	keyOwner   = "Jujubegrade/Owner"
	keyEpoch   = "Jujubegrade/Epoch"
	keyWorkers = "Jujubegrade/Workers"
	keyTerm    = "Jujubegrade/Term"
	keyClaims  = "Jujubegrade/Claims"
	// keyEstimates holds the learned run times.
	keyEstimates = "Jujubegrade/Estimates"
	prefixJobs   = "Jujubegrade/Job/"

	// DefaultLease is slightly longer than the shortest lease that the platform's store grants. One lost renewal doesn't
	// end it, and an owner that fails silently is replaced soon.
	DefaultLease = 1400 * time.Millisecond
	// defaultWorkerLease is the longest lease that the platform's workers grant.
	defaultWorkerLease = 6 * time.Second
	// defaultMaxConfigAge is well below the platform's limit of 5 s for which a revoked key may still be accepted.
	defaultMaxConfigAge = 3500 * time.Millisecond
	// defaultMaxListAge is below the platform's limit of 2 s for which runs may start on a worker that is draining.
	defaultMaxListAge = 1700 * time.Millisecond
	// defaultMaxCapacityAge is below the platform's stability window of 3 s. An earlier capacity counts for this window and the time until the worker writes the
	// new one.
	defaultMaxCapacityAge = 2550 * time.Millisecond
	// defaultMaxEvacuationAge is below the platform's default limit of 5 s for which runs may start in an evacuated data centre.
	defaultMaxEvacuationAge = 4250 * time.Millisecond
	// defaultOutageWindow is below the 3 s after an outage for which the platform tolerates starts by an outdated list.
	defaultOutageWindow = 2500 * time.Millisecond
	// ownerWatchWait is the long-poll wait of a watch of the owner key; its return shows that the store is reachable.
	ownerWatchWait = 1500 * time.Millisecond
	// watchMargin is the time that a watch may take in addition to its wait.
	watchMargin = storeCallTimeout
	// storeCallTimeout limits one call to the store. A slow call takes 60 times the usual 4 ms.
	storeCallTimeout = 700 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 100 * time.Millisecond
	// maxStoreRetryDelay limits storeRetryDelay as it grows with each failure, so that an instance that the store rejects
	// detects within this time that it is accepted again.
	maxStoreRetryDelay = time.Second
	// maxClaimDelay limits the random delay by which the instances spread their claims.
	maxClaimDelay = 80 * time.Millisecond
	// extraClaimDelay is the additional delay of instances with DelayClaims set. Another instance's claim is complete by
	// then.
	extraClaimDelay = 150 * time.Millisecond
)

var (
	// ErrNotOwner means that this instance doesn't own the pool; nothing was done.
	ErrNotOwner = errors.New("this instance does not own the pool")
	// ErrUnknown means that ownership was lost or the call timed out before the outcome was known.
	ErrUnknown = errors.New("the outcome is unknown")
	// errExpired means that a call came too late; nothing was done.
	errExpired = errors.New("the call has expired")
)

func (t Times) withDefaults() Times {
	t.Lease = cmp.Or(t.Lease, DefaultLease)
	t.WorkerLease = cmp.Or(t.WorkerLease, defaultWorkerLease)
	t.MaxConfigAge = cmp.Or(t.MaxConfigAge, defaultMaxConfigAge)
	t.MaxListAge = cmp.Or(t.MaxListAge, defaultMaxListAge)
	t.MaxCapacityAge = cmp.Or(t.MaxCapacityAge, defaultMaxCapacityAge)
	t.MaxEvacuationAge = cmp.Or(t.MaxEvacuationAge, defaultMaxEvacuationAge)
	t.OutageWindow = cmp.Or(t.OutageWindow, defaultOutageWindow)
	return t
}

// Current returns the instance that owns the pool, or nil if none is known.
func (o *Owner) Current() *OwnerRecord { return o.currentOwner.Load() }

// Owns reports whether this instance owns the pool and has recovered its predecessor's state.
func (o *Owner) Owns() bool { return o.term.Load() != nil }

// ContactAge returns the time since the store last answered.
func (o *Owner) ContactAge() time.Duration {
	at := o.lastContact.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(*at)
}

// markSeen records a revision of an answer of the store.
func (o *Owner) markSeen(revision store.Revision) {
	for {
		seen := o.seenRevision.Load()
		if uint64(revision) <= seen || o.seenRevision.CompareAndSwap(seen, uint64(revision)) {
			return
		}
	}
}

func (o *Owner) markContact() {
	now := time.Now()
	o.lastContact.Store(&now)
}

// Leave gives up ownership and stops claiming it.
func (o *Owner) Leave() {
	o.leaving.Store(true)
	if t := o.term.Load(); t != nil {
		t.end("handed over")
	}
}

// Verify returns an error that names a contradiction in the owner's state, nil, or ErrNotOwner.
func (o *Owner) Verify(ctx context.Context) error {
	t := o.term.Load()
	if t == nil {
		return ErrNotOwner
	}
	var contradiction error
	if err := t.do(ctx, func() { contradiction = t.state.Verify() }); err != nil {
		return err
	}
	return contradiction
}

// Orders returns how many orders to workers wait, and how many are under way; none on instances that do not own the pool.
func (o *Owner) Orders() (waiting, underWay int) {
	if t := o.term.Load(); t != nil {
		return t.orders.counts()
	}
	return 0, 0
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
