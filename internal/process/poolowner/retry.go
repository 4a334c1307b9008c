package poolowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pause"
)

type (
	// retryPacer limits the calls to workers that have never answered. Each that answers after all lets others follow at once, so that many workers which were cut off
	// are soon in use once they can be reached.
	retryPacer struct {
		mu sync.Mutex
		// waiting holds the calls that wait for a turn, in order of arrival.
		waiting []*retryTurn
		// credits is the number of calls that need not wait.
		credits int
		// isDue is set while a call waits for the interval to pass.
		isDue bool
	}

	// retryTurn is a call that waits for its turn after a number of failures.
	retryTurn struct {
		failures int
		granted  chan struct{}
	}
)

const (
	// maxUnheardRetryDelay is the longest delay between calls to a worker that has never answered. It delays the first use of a worker that was cut off when it was listed.
	maxUnheardRetryDelay = 2400 * time.Millisecond
	// unheardRetryInterval is the time between calls to any of these workers.
	unheardRetryInterval = 100 * time.Millisecond
	// creditsPerAnswer is the number of calls without that interval after an answer, and maxRetryCredits the largest number of them, which a new owner has too.
	creditsPerAnswer, maxRetryCredits = 8, 64
)

func newRetryPacer() *retryPacer { return &retryPacer{credits: maxRetryCredits} }

// wait waits until the next call may be sent to a worker that did not answer a number of calls. The worker with the fewest failures is called first, so that entries
// which never answer don't delay one that was listed just before it could be reached.
func (p *retryPacer) wait(ctx context.Context, failures int) {
	p.mu.Lock()
	if p.credits > 0 {
		p.credits--
		p.mu.Unlock()
		return
	}
	t := &retryTurn{failures: failures, granted: make(chan struct{})}
	p.waiting = append(p.waiting, t)
	if !p.isDue {
		p.isDue = true
		time.AfterFunc(unheardRetryInterval, p.grantNext)
	}
	p.mu.Unlock()
	select {
	case <-t.granted:
	case <-ctx.Done():
	}
}

// grantNext lets one call go, and the others follow at intervals. A call whose link was closed meanwhile takes its turn as well.
func (p *retryPacer) grantNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant()
	if p.isDue = len(p.waiting) > 0; p.isDue {
		time.AfterFunc(unheardRetryInterval, p.grantNext)
	}
}

// grant lets the call with the fewest failures go, of several the latest.
func (p *retryPacer) grant() {
	if len(p.waiting) == 0 {
		return
	}
	first := 0
	for i, t := range p.waiting {
		if t.failures <= p.waiting[first].failures {
			first = i
		}
	}
	close(p.waiting[first].granted)
	p.waiting = slices.Delete(p.waiting, first, first+1)
}

// succeeded records that a worker has answered for the first time after a failure.
func (p *retryPacer) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range creditsPerAnswer {
		if len(p.waiting) > 0 {
			p.grant()
		} else {
			p.credits = min(p.credits+1, maxRetryCredits)
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
	l.term.unheardRetries.wait(l.ctx, failures)
}

// unheardRetryDelay doubles with each failure.
func unheardRetryDelay(failures int) time.Duration {
	delay := workerRetryDelay
	for ; failures > 1 && delay < maxUnheardRetryDelay; failures-- {
		delay *= 2
	}
	return min(delay, maxUnheardRetryDelay)
}
