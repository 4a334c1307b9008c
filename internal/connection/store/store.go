// Package store is a client of the platform's key-value service.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Revision is the store-wide sequence number of the write that set a key.
	Revision uint64

	// Entry is one key with its value and the revision that set it.
	Entry struct {
		Key      string
		Value    []byte   `json:",omitempty"`
		Revision Revision `json:",omitempty"`
	}

	// Write sets one key if its revision is still If (compare-and-swap).
	Write struct {
		Key   string
		Value []byte
		// If is the revision that the key must have; Absent requires that the key doesn't exist.
		If Revision
		// TTL is the time after which the key is removed unless it is written again; zero means never.
		TTL time.Duration `json:",omitempty"`
	}

	// Page requests the keys with a prefix, in key order, starting after the key After.
	Page struct {
		Prefix string
		After  string `json:",omitempty"`
		Limit  int    `json:",omitempty"`
	}

	// Client holds the calls of the key-value service as functions, so that another service can be substituted.
	Client struct {
		// Get returns the entry or ErrNotFound.
		Get func(ctx context.Context, key string) (Entry, error)
		// List returns the entries of one page.
		List func(ctx context.Context, page Page) ([]Entry, error)
		// Put writes one key, or returns ErrConflict if the revision differs.
		Put func(ctx context.Context, write Write) (Revision, error)
		// Delete removes one key if its revision is still the given one.
		Delete func(ctx context.Context, key string, revision Revision) error
		// Watch waits until the key's revision exceeds after, or ctx is done, and returns the entry.
		Watch func(ctx context.Context, key string, after Revision) (Entry, error)
	}
)

// Absent is the revision of a key that doesn't exist.
const Absent Revision = 0

// MaxValueSize is the maximum size of a value, in bytes.
const MaxValueSize = 1 << 20

var (
	// ErrNotFound means that the key doesn't exist.
	ErrNotFound = errors.New("the key does not exist")
	// ErrConflict means that the key has a different revision; nothing was written.
	ErrConflict = errors.New("the key has a different revision")
	// ErrRefused means that the store did not accept the request; nothing was written.
	ErrRefused = errors.New("the store refused the request")
	// ErrRateLimited means that the store refused the request since there were too many. It is returned with the mark ErrRefused.
	ErrRateLimited = errors.New("the store limits the rate of requests")
	// ErrUnknown means that no response was received; the call may have taken effect.
	ErrUnknown = errors.New("the store did not respond")
)

// ListAll returns all entries with a prefix, reading them page by page.
func (c Client) ListAll(ctx context.Context, prefix string) ([]Entry, error) {
	const pageSize = 500
	var all []Entry
	page := Page{Prefix: prefix, Limit: pageSize}
	for {
		entries, err := c.List(ctx, page)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
		if len(entries) < pageSize {
			return all, nil
		}
		page.After = entries[len(entries)-1].Key
	}
}
