// Package inflight decides how much memory the calls in flight may take: what clients have sent so far, what it becomes once decoded, and answers that they have not read.
package inflight

import (
	"sync"
	"time"
)

type (
	// Bytes is an amount of memory.
	Bytes int64

	// Budget is the memory that the calls of one or several listeners may take together. The zero value and a nil one have no limit.
	Budget struct {
		// Patience is how long a call waits, while others are being handled, for them to end before it is refused.
		Patience time.Duration

		mu    sync.Mutex
		limit Bytes
		used  Bytes
		// handled is the part of used that belongs to calls that are received.
		handled   Bytes
		receiving map[*Hold]struct{}
		// leaving is the number of interrupted calls that still hold their part.
		leaving int
		// changed is closed when a part is given back or a call is interrupted; nil if nobody waits.
		changed chan struct{}
	}

	// Hold is the part of a budget that one call takes. A nil one is part of no budget.
	Hold struct {
		budget *Budget
		// interrupt makes the call stop waiting for its client. It must not block.
		interrupt                        func()
		bytes                            Bytes
		received, isInterrupted, isEnded bool
	}
)

// leaveTimeout bounds the wait until an interrupted call has given back its part.
const leaveTimeout = time.Second

// SetLimit sets the limit; zero means none. Calls that have their parts keep them.
func (b *Budget) SetLimit(limit Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.notify()
}

// Limit returns the limit, or zero.
func (b *Budget) Limit() Bytes {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used returns the memory that is taken.
func (b *Budget) Used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns the part of a call whose bytes begin to arrive. interrupt is called at most once, when the call has to give way.
func (b *Budget) Open(interrupt func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, interrupt: interrupt}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receiving == nil {
		b.receiving = make(map[*Hold]struct{})
	}
	b.receiving[h] = struct{}{}
	return h
}

// Grow adds to a call's part before the memory is taken. It reports false if the call has to be refused, since it does not fit or has given way to another.
func (h *Hold) Grow(n Bytes) bool {
	if h == nil {
		return true
	}
	b := h.budget
	var leave, patience <-chan time.Time
	for {
		b.mu.Lock()
		if h.isInterrupted {
			b.mu.Unlock()
			return false
		}
		if b.limit <= 0 || b.used+n <= b.limit {
			h.add(n)
			b.mu.Unlock()
			return true
		}
		mayWait := b.Patience > 0 && b.handled > 0 && h.bytes+n <= b.limit
		if !mayWait && b.leaving == 0 {
			b.interruptLargest(h.bytes + n)
		}
		if !mayWait && b.leaving == 0 {
			b.mu.Unlock()
			return false
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		if leave == nil && !mayWait {
			leave = time.After(leaveTimeout)
		}
		if patience == nil && mayWait {
			patience = time.After(b.Patience)
		}
		select {
		case <-changed:
		case <-leave:
			return false
		case <-patience:
			return false
		}
	}
}

// interruptLargest makes the largest call that is still being received give way, if it is larger than another would be: small calls get through while large ones stall.
func (b *Budget) interruptLargest(than Bytes) {
	var largest *Hold
	for h := range b.receiving {
		if !h.isInterrupted && h.bytes > than {
			largest, than = h, h.bytes
		}
	}
	if largest == nil {
		return
	}
	largest.isInterrupted = true
	b.leaving++
	b.notify()
	largest.interrupt()
}

// add changes the size of a part. The budget is locked.
func (h *Hold) add(n Bytes) {
	h.bytes += n
	h.budget.used += n
	if h.received {
		h.budget.handled += n
	}
}

// Received states that the call has arrived whole: it does not give way any more. It reports false if it has to be refused, since it was interrupted before.
func (h *Hold) Received() bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isInterrupted {
		return false
	}
	delete(b.receiving, h)
	h.received = true
	b.handled += h.bytes
	return true
}

// Resize sets the size of a received call's part. It reports false, and leaves it as it is, if it does not fit.
func (h *Hold) Resize(n Bytes) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && n > h.bytes && b.used+n-h.bytes > b.limit {
		return false
	}
	h.resize(n)
	return true
}

// Replace sets the size of a received call's part, whether it fits or not: an answer can't be taken back.
func (h *Hold) Replace(n Bytes) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.resize(n)
}

// resize sets the size of a part. The budget is locked.
func (h *Hold) resize(n Bytes) {
	if h.isEnded || n == h.bytes {
		return
	}
	isSmaller := n < h.bytes
	h.add(n - h.bytes)
	if isSmaller {
		h.budget.notify()
	}
}

// IsInterrupted reports whether the call has given way to another.
func (h *Hold) IsInterrupted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isInterrupted
}

// Close gives back the part. Further calls have no effect.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isEnded {
		return
	}
	h.isEnded = true
	if h.isInterrupted {
		b.leaving--
	}
	delete(b.receiving, h)
	h.add(-h.bytes)
	b.notify()
}

// notify wakes the calls that wait for room. The budget is locked.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
