package store

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// CallCounts counts the calls made to the store, by kind.
type CallCounts struct {
	Reads, Writes, Watches atomic.Int64
}

// RateLimited returns a client that counts its calls and limits their rate; a nil limiter means no limit.
// The calls that renew ownership leases share the limiter, so its burst must be large enough for them too.
func RateLimited(c Client, limiter *rate.Limiter, counts *CallCounts) Client {
	wait := func(ctx context.Context, counter *atomic.Int64) error {
		if limiter != nil {
			if err := limiter.Wait(ctx); err != nil {
				return ErrRefused
			}
		}
		counter.Add(1)
		return nil
	}
	return Client{
		Get: func(ctx context.Context, key string) (Entry, error) {
			if err := wait(ctx, &counts.Reads); err != nil {
				return Entry{}, err
			}
			return c.Get(ctx, key)
		},
		List: func(ctx context.Context, page Page) ([]Entry, error) {
			if err := wait(ctx, &counts.Reads); err != nil {
				return nil, err
			}
			return c.List(ctx, page)
		},
		Put: func(ctx context.Context, write Write) (Revision, error) {
			if err := wait(ctx, &counts.Writes); err != nil {
				return 0, err
			}
			return c.Put(ctx, write)
		},
		Delete: func(ctx context.Context, key string, revision Revision) error {
			if err := wait(ctx, &counts.Writes); err != nil {
				return err
			}
			return c.Delete(ctx, key, revision)
		},
		Watch: func(ctx context.Context, key string, after Revision) (Entry, error) {
			if err := wait(ctx, &counts.Watches); err != nil {
				return Entry{}, err
			}
			return c.Watch(ctx, key, after)
		},
	}
}
