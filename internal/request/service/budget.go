package service

import "sync/atomic"

// retryBudget limits retries to a share of the requests. Its zero value allows no retries.
type retryBudget struct {
	// milliTokens is the balance in thousandths of a retry.
	milliTokens atomic.Int64
}

const (
	milliTokensPerRetry = 1000
	// maxSavedRetries limits the retries that accumulate while few are needed.
	maxSavedRetries = 20
)

// deposit adds the share of a retry that one request allows.
func (b *retryBudget) deposit(share float64) {
	if b.milliTokens.Load() < maxSavedRetries*milliTokensPerRetry {
		b.milliTokens.Add(int64(share * milliTokensPerRetry))
	}
}

// withdraw takes one whole retry from the budget and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	for {
		balance := b.milliTokens.Load()
		if balance < milliTokensPerRetry {
			return false
		}
		if b.milliTokens.CompareAndSwap(balance, balance-milliTokensPerRetry) {
			return true
		}
	}
}
