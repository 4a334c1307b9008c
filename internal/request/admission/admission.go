// Package admission decides which requests of which client account run now, wait, or are refused at once.
//
// While there is room and nobody waits, a request is admitted by atomic counters alone.
package admission

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Gate admits the requests of one service at one instance. Its zero value has no capacity.
	Gate struct {
		capacity atomic.Int64
		running  atomic.Int64
		waiting  atomic.Int64
		// service is a moving average of the time that a request takes, in nanoseconds.
		service atomic.Int64

		accounts sync.Map // ids.AccountID to *account

		mu     sync.Mutex
		queued []*account
	}

	// Share is what a client account is due.
	Share struct {
		// Guaranteed is the account's share of the capacity, from 0 to 1.
		Guaranteed float64
		// Queue bounds the account's waiting requests.
		Queue int
	}

	// Refusal tells why a request was not run, and when to come back.
	Refusal struct {
		Reason     string
		RetryAfter time.Duration
		// Full tells that the account's own queue is full.
		Full bool
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
		// admitted is guarded by the gate's lock.
		admitted bool
	}
)

const (
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// averageWeight is the weight of the past in the moving average of the service time.
	averageWeight = 15
	// minWeight is the share of accounts that have no guarantee, when it is decided whose turn it is.
	minWeight = 0.01
)

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// SetCapacity sets how many requests may run at once.
func (g *Gate) SetCapacity(n int) {
	g.capacity.Store(int64(n))
	if g.waiting.Load() > 0 {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// Capacity returns how many requests may run at once.
func (g *Gate) Capacity() int { return int(g.capacity.Load()) }

func (g *Gate) account(id ids.AccountID) *account {
	if known, found := g.accounts.Load(id); found {
		return known.(*account)
	}
	known, _ := g.accounts.LoadOrStore(id, &account{})
	return known.(*account)
}

// Enter admits a request, at once or after a wait that ends at its deadline at the latest.
// It returns a *Refusal as soon as it is known that the request won't run. An admitted request calls leave when it ends.
func (g *Gate) Enter(id ids.AccountID, share Share, deadline time.Time) (leave func(), refusal *Refusal) {
	a := g.account(id)
	if g.waiting.Load() == 0 && g.take() {
		a.running.Add(1)
		return g.leaver(a), nil
	}
	w, refusal := g.enqueue(a, share, deadline)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Until(deadline) - g.serviceTime())
	defer timer.Stop()
	select {
	case <-w.ready:
		return g.leaver(a), nil
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		return g.leaver(a), nil
	}
	g.remove(w)
	return nil, &Refusal{Reason: "the deadline would pass before the request could run", RetryAfter: g.retryAfter()}
}

func (g *Gate) take() bool {
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

func (g *Gate) leaver(a *account) func() {
	started := time.Now()
	return func() {
		g.learn(time.Since(started))
		a.running.Add(-1)
		g.running.Add(-1)
		if g.waiting.Load() > 0 {
			g.mu.Lock()
			g.dispatch()
			g.mu.Unlock()
		}
	}
}

func (g *Gate) learn(took time.Duration) {
	old := g.service.Load()
	if old == 0 {
		g.service.Store(int64(took))
		return
	}
	g.service.Store((old*averageWeight + int64(took)) / (averageWeight + 1))
}

func (g *Gate) serviceTime() time.Duration { return time.Duration(g.service.Load()) }

// enqueue puts a request into its account's queue, unless the queue is full or the deadline would pass.
func (g *Gate) enqueue(a *account, share Share, deadline time.Time) (*waiter, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.share = share
	if a.waiters.Len() >= share.Queue {
		return nil, &Refusal{Reason: "the account's queue is full", RetryAfter: g.retryAfter(), Full: true}
	}
	if wait := g.expectedWait(a); time.Now().Add(wait + g.serviceTime()).After(deadline) {
		return nil, &Refusal{Reason: "the expected wait exceeds the deadline", RetryAfter: g.retryAfter()}
	}
	w := &waiter{ready: make(chan struct{}), account: a, deadline: deadline}
	if a.waiters.Len() == 0 {
		g.queued = append(g.queued, a)
	}
	a.waiters.PushBack(w)
	g.waiting.Add(1)
	// A request may have left between the first look and the count of this one.
	g.dispatch()
	return w, nil
}

// expectedWait estimates when the next request of an account will run: behind its own queue, at the rate that
// the account's share of the capacity gives.
func (g *Gate) expectedWait(a *account) time.Duration {
	capacity := g.capacity.Load()
	if capacity <= 0 {
		return maxRetryAfter
	}
	total := 0.0
	for _, other := range g.queued {
		total += weightOf(other)
	}
	part := weightOf(a) / max(total, weightOf(a))
	slots := max(float64(capacity)*part, 0.1)
	return time.Duration(float64(a.waiters.Len()+1) * float64(g.serviceTime()) / slots)
}

func weightOf(a *account) float64 { return max(a.share.Guaranteed, minWeight) }

// retryAfter tells a refused caller when the present queue will have been served.
func (g *Gate) retryAfter() time.Duration {
	capacity := max(1, g.capacity.Load())
	wait := time.Duration((g.waiting.Load() + 1) * g.service.Load() / capacity)
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// dispatch admits waiting requests while there is room: the account that runs the least for its share goes first.
// The caller holds the lock.
func (g *Gate) dispatch() {
	for len(g.queued) > 0 {
		if !g.take() {
			return
		}
		best := g.queued[0]
		for _, a := range g.queued[1:] {
			if float64(a.running.Load())/weightOf(a) < float64(best.running.Load())/weightOf(best) {
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

// remove takes a waiting request out of its queue. The caller holds the lock.
func (g *Gate) remove(w *waiter) {
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
	for i, queued := range g.queued {
		if queued == a {
			g.queued = append(g.queued[:i], g.queued[i+1:]...)
			return
		}
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }

// Running returns the number of running requests.
func (g *Gate) Running() int { return int(g.running.Load()) }
