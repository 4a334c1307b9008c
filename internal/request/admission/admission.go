// Package admission implements admission control with fair queueing between client accounts: a request is
// admitted, queued or refused immediately.
//
// While there is free capacity and no request is queued, admission needs only atomic counters and no lock.
package admission

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Controller admits the requests of one service at one instance. Its zero value has no capacity.
	Controller struct {
		capacity atomic.Int64
		running  atomic.Int64
		waiting  atomic.Int64
		// averageServiceTime is a moving average of the service time of requests, in nanoseconds.
		averageServiceTime atomic.Int64

		accounts sync.Map // ids.AccountID to *account

		mu              sync.Mutex
		waitingAccounts []*account
	}

	// Share is a client account's share of the capacity and the limit of its queue.
	Share struct {
		// Guaranteed is the account's guaranteed share of the capacity, from 0 to 1.
		Guaranteed float64
		// QueueLimit is the maximum number of queued requests of the account.
		QueueLimit int
	}

	// Refusal says why a request was not run and after which delay to retry.
	Refusal struct {
		Reason     string
		RetryAfter time.Duration
		// QueueFull reports that the account's own queue is full.
		QueueFull bool
	}

	account struct {
		running atomic.Int64
		share   Share
		waiters list.List
	}

	waiter struct {
		ready    chan struct{}
		account  *account
		deadline time.Time
		// admitted is guarded by Controller.mu.
		admitted bool
	}
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// historyWeight is the weight of the previous average in the moving average of the service time; a sample weighs 1.
	historyWeight = 15
	// minWeight is the fair-queueing weight of accounts without a guarantee.
	minWeight = 0.01
)

// Error returns the reason for the refusal.
func (r *Refusal) Error() string { return r.Reason }

// SetCapacity sets the maximum number of concurrent requests.
func (g *Controller) SetCapacity(n int) {
	g.capacity.Store(int64(n))
	if g.waiting.Load() > 0 {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// Capacity returns the maximum number of concurrent requests.
func (g *Controller) Capacity() int { return int(g.capacity.Load()) }

func (g *Controller) account(id ids.AccountID) *account {
	if known, found := g.accounts.Load(id); found {
		return known.(*account)
	}
	known, _ := g.accounts.LoadOrStore(id, &account{})
	return known.(*account)
}

// Acquire admits a request, either immediately or after queueing at most until its deadline.
// It returns a *Refusal as soon as it is known that the request won't run. For an admitted request, the caller must call
// release when the request ends.
func (g *Controller) Acquire(id ids.AccountID, share Share, deadline time.Time) (release func(), refusal *Refusal) {
	a := g.account(id)
	if g.waiting.Load() == 0 && g.tryAcquire() {
		a.running.Add(1)
		return g.releaseFunc(a), nil
	}
	w, refusal := g.enqueue(a, share, deadline)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(deadline) - g.serviceTime())
	defer timer.Stop()
	select {
	case <-w.ready:
		return g.releaseFunc(a), nil
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		return g.releaseFunc(a), nil
	}
	g.remove(w)
	return nil, &Refusal{Reason: "the deadline would pass before the request could run", RetryAfter: g.retryAfter()}
}

func (g *Controller) tryAcquire() bool {
	for {
		n := g.running.Load()
		if n >= g.capacity.Load() {
			return false
		}
		if g.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (g *Controller) releaseFunc(a *account) func() {
	started := time.Now()
	return func() {
		g.recordServiceTime(time.Since(started))
		a.running.Add(-1)
		g.running.Add(-1)
		if g.waiting.Load() > 0 {
			g.mu.Lock()
			g.dispatch()
			g.mu.Unlock()
		}
	}
}

func (g *Controller) recordServiceTime(duration time.Duration) {
	old := g.averageServiceTime.Load()
	if old == 0 {
		g.averageServiceTime.Store(int64(duration))
		return
	}
	g.averageServiceTime.Store((old*historyWeight + int64(duration)) / (historyWeight + 1))
}

func (g *Controller) serviceTime() time.Duration { return time.Duration(g.averageServiceTime.Load()) }

// enqueue adds a request to its account's queue, unless the queue is full or the request would miss its deadline.
func (g *Controller) enqueue(a *account, share Share, deadline time.Time) (*waiter, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.share = share
	if a.waiters.Len() >= share.QueueLimit {
		return nil, &Refusal{Reason: "the account's queue is full", RetryAfter: g.retryAfter(), QueueFull: true}
	}
	if wait := g.expectedWait(a); time.Now().Add(wait + g.serviceTime()).After(deadline) {
		return nil, &Refusal{Reason: "the expected wait exceeds the deadline", RetryAfter: g.retryAfter()}
	}
	w := &waiter{ready: make(chan struct{}), account: a, deadline: deadline}
	if a.waiters.Len() == 0 {
		g.waitingAccounts = append(g.waitingAccounts, a)
	}
	a.waiters.PushBack(w)
	g.waiting.Add(1)
	// A request that ended between Acquire's first check and the increment of waiting didn't call dispatch.
	g.dispatch()
	return w, nil
}

// expectedWait estimates the queueing delay of an account's next request: it waits behind the account's own queue,
// which is served at the account's share of the capacity.
func (g *Controller) expectedWait(a *account) time.Duration {
	capacity := g.capacity.Load()
	if capacity <= 0 {
		return maxRetryAfter
	}
	total := 0.0
	for _, other := range g.waitingAccounts {
		total += accountWeight(other)
	}
	fraction := accountWeight(a) / max(total, accountWeight(a))
	slots := max(float64(capacity)*fraction, 0.1)
	return time.Duration(float64(a.waiters.Len()+1) * float64(g.serviceTime()) / slots)
}

func accountWeight(a *account) float64 { return max(a.share.Guaranteed, minWeight) }

// retryAfter estimates the time until the current queue is served, as the retry delay of a refused request.
func (g *Controller) retryAfter() time.Duration {
	capacity := max(1, g.capacity.Load())
	wait := time.Duration((g.waiting.Load() + 1) * g.averageServiceTime.Load() / capacity)
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// dispatch admits queued requests while there is free capacity. The account with the fewest running requests relative
// to its share is served first. The caller must hold g.mu.
func (g *Controller) dispatch() {
	for len(g.waitingAccounts) > 0 {
		if !g.tryAcquire() {
			return
		}
		best := g.waitingAccounts[0]
		for _, a := range g.waitingAccounts[1:] {
			if float64(a.running.Load())/accountWeight(a) < float64(best.running.Load())/accountWeight(best) {
				best = a
			}
		}
		w := best.waiters.Front().Value.(*waiter)
		g.remove(w)
		w.admitted = true
		best.running.Add(1)
		close(w.ready)
	}
}

// remove removes a request from its account's queue. The caller must hold g.mu.
func (g *Controller) remove(w *waiter) {
	a := w.account
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		if e.Value == w {
			a.waiters.Remove(e)
			g.waiting.Add(-1)
			break
		}
	}
	if a.waiters.Len() > 0 {
		return
	}
	for i, queued := range g.waitingAccounts {
		if queued == a {
			g.waitingAccounts = append(g.waitingAccounts[:i], g.waitingAccounts[i+1:]...)
			return
		}
	}
}

// Waiting returns the number of queued requests.
func (g *Controller) Waiting() int { return int(g.waiting.Load()) }

// Running returns the number of running requests.
func (g *Controller) Running() int { return int(g.running.Load()) }
