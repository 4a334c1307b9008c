package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// LeaseID names a lease of the store; zero is none.
	LeaseID uint64

	// Condition demands that a key has a revision; Absent demands that it doesn't exist.
	Condition struct {
		Key      string
		Revision Revision
	}

	// Set writes one key, under a lease if one is named.
	Set struct {
		Key   string
		Value []byte
		Lease LeaseID
	}

	// Transaction is carried out whole if all its conditions hold, or not at all.
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

	// Conflict tells that a condition of a transaction did not hold, and how the keys of the conditions stand.
	// Keys that don't exist are left out.
	Conflict struct{ Entries []Entry }

	// Transactions holds the calls of a key-value service with transactions, leases and watches of prefixes.
	Transactions struct {
		// Get returns an entry, or ErrNotFound.
		Get func(ctx context.Context, key string) (Entry, error)
		// List returns all entries under a prefix, and a revision from which a watch misses nothing.
		List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
		// Watch waits for changes under a prefix after a revision, and returns the revision to go on from. No event
		// within the wait is no error. ErrCompacted tells that the history is gone, so that the prefix has to be listed again.
		Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
		// Commit carries out a transaction; it returns a *Conflict, ErrNoLease, ErrRefused or ErrUnknown.
		Commit func(ctx context.Context, t Transaction) (Revision, error)
		// Grant opens a lease and returns the time that it lasts without renewal.
		Grant func(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
		// Keep renews a lease, or returns ErrNoLease.
		Keep func(ctx context.Context, id LeaseID) error
	}
)

// MaxTransaction bounds the conditions, sets and deletes of one transaction together.
const MaxTransaction = 32

var (
	// ErrCompacted tells that the store no longer has the history that a watch asks for.
	ErrCompacted = errors.New("the history is no longer available")
	// ErrNoLease tells that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
)

// Error says which keys stood in the way.
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
