package poolowner

import (
	"context"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pause"
)

// retryPacer limits the calls to workers that have never answered. Each that answers after all lets others follow at once, so that many workers which were cut off
// are soon in use once they can be reached.
type retryPacer struct {
	turn, credits chan struct{}
}

const (
	// maxUnheardRetryDelay is the longest delay between calls to a worker that has never answered. It delays the first use of a worker that was cut off when it was listed.
	maxUnheardRetryDelay = 2400 * time.Millisecond
	// unheardRetryInterval is the time between calls to any of these workers.
	unheardRetryInterval = 100 * time.Millisecond
	// creditsPerAnswer is the number of calls without that interval after an answer, and maxRetryCredits the largest number of them, which a new owner has too.
	creditsPerAnswer, maxRetryCredits = 8, 64
)

func newRetryPacer() retryPacer {
	p := retryPacer{turn: make(chan struct{}, 1), credits: make(chan struct{}, maxRetryCredits)}
	p.addCredits(maxRetryCredits)
	return p
}

// wait waits until the next call may be sent.
func (p retryPacer) wait(ctx context.Context) {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.turn }()
	timer := time.NewTimer(unheardRetryInterval)
	defer timer.Stop()
	select {
	case <-p.credits:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// succeeded records that a worker has answered for the first time after a failure.
func (p retryPacer) succeeded() { p.addCredits(creditsPerAnswer) }

func (p retryPacer) addCredits(count int) {
	for range count {
		select {
		case p.credits <- struct{}{}:
		default:
			return
		}
	}
}

// firstSlots returns the semaphore of the link's first renewal. Entries whose workers never answer must not delay the first renewals of others.
func (l *link) firstSlots() chan struct{} {
	if l.heard {
		return l.term.firstRenewals
	}
	return l.term.unheardRenewals
}

// pauseBeforeRetry waits before the next call to a worker that did not answer a number of calls in a row. One that has never answered may not exist: anyone may have
// written its entry, and there may be any number of these.
func (l *link) pauseBeforeRetry(failures int) {
	if l.heard || l.answered.Load() {
		pause.For(l.ctx, jitter(workerRetryDelay))
		return
	}
	pause.For(l.ctx, jitter(unheardRetryDelay(failures)))
	l.term.unheardRetries.wait(l.ctx)
}

// unheardRetryDelay doubles with each failure.
func unheardRetryDelay(failures int) time.Duration {
	delay := workerRetryDelay
	for ; failures > 1 && delay < maxUnheardRetryDelay; failures-- {
		delay *= 2
	}
	return min(delay, maxUnheardRetryDelay)
}
