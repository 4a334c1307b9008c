package service

import "sync/atomic"

// budget bounds retries to a share of the requests. Its zero value allows none.
type budget struct {
	// tokens counts thousandths of a retry.
	tokens atomic.Int64
}

const (
	wholeRetry = 1000
	// maxRetries bounds the retries that a calm time saves up.
	maxRetries = 20
)

// earn adds the part of a retry that one request earns.
func (b *budget) earn(share float64) {
	if b.tokens.Load() < maxRetries*wholeRetry {
		b.tokens.Add(int64(share * wholeRetry))
	}
}

// spend takes a whole retry, if there is one.
func (b *budget) spend() bool {
	for {
		have := b.tokens.Load()
		if have < wholeRetry {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-wholeRetry) {
			return true
		}
	}
}
