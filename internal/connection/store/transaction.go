package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// LeaseID identifies a lease of the store; zero means no lease.
	LeaseID uint64

	// Condition requires that a key has a revision; Absent requires that it doesn't exist.
	Condition struct {
		Key      string
		Revision Revision
	}

	// Set writes one key, bound to a lease if Lease is set.
	Set struct {
		Key   string
		Value []byte
		Lease LeaseID
	}

	// Transaction is an atomic set of writes and deletes that is applied only if all its conditions hold.
	Transaction struct {
		Conditions []Condition
		Sets       []Set
		Deletes    []string
	}

	// Event is one change of a key. Deleted events carry no value.
	Event struct {
		Entry
		Deleted bool
	}

	// Conflict is the error of a transaction whose conditions did not all hold, with the current entries of the
	// conditions' keys. Keys that don't exist are omitted.
	Conflict struct{ Entries []Entry }

	// TransactionClient holds the calls of a key-value service with transactions, leases and prefix watches.
	TransactionClient struct {
		// Get returns the entry or ErrNotFound.
		Get func(ctx context.Context, key string) (Entry, error)
		// List returns all entries with a prefix, and a revision from which Watch returns every later change.
		List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
		// Watch waits for changes under a prefix after a revision, and returns the revision to continue from. If there is
		// no event within wait, it returns no error. It returns ErrCompacted if the history is no longer available, so
		// that the prefix must be listed again.
		Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
		// Commit applies a transaction; its error is a *Conflict, ErrLeaseNotFound, ErrRefused or ErrUnknown.
		Commit func(ctx context.Context, t Transaction) (Revision, error)
		// GrantLease creates a lease and returns its ID and how long it lasts without renewal.
		GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
		// RenewLease renews a lease, or returns ErrLeaseNotFound if it has expired.
		RenewLease func(ctx context.Context, id LeaseID) error
	}
)

// MaxTransactionOps is the maximum total number of conditions, sets and deletes in one transaction.
const MaxTransactionOps = 32

var (
	// ErrCompacted means that the store no longer has the history that a watch requires.
	ErrCompacted = errors.New("the history is no longer available")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("the lease has ended")
)

// Error implements the error interface; the keys are in Entries.
func (c *Conflict) Error() string {
	return "a condition of the transaction does not hold"
}

// Entry returns the current entry of a key of the conditions, and whether the key exists.
func (c *Conflict) Entry(key string) (Entry, bool) {
	for _, e := range c.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}
