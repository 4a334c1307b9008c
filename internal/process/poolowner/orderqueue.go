package poolowner

import (
	"container/heap"
	"sync"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
)

type (
	// dispatcher decides which orders go to the workers, and when: at most maxConcurrentOrders to one worker, and at most so many to all workers as the process has memory
	// for. The others wait as entries of their worker's queue. Its zero value has no limit over all workers.
	dispatcher struct {
		// limit returns how many orders may be under way; nil, or a result of zero, means no limit.
		limit func() int

		mu sync.Mutex
		// underWay counts the orders that were taken and have not returned.
		underWay int
		// ready holds the workers that have orders which may be sent, in turn, so that one with many orders does not delay those to others.
		ready []*orderQueue
		// waiting counts the orders in all queues.
		waiting int
	}

	// orderQueue holds the orders to one worker that wait. Stops go first, since they make room; starts go by the priority of their jobs, then in the order of the decisions,
	// so that the members of a gang go at the same time on all of its workers.
	orderQueue struct {
		link *link
		// stops and starts hold the waiting orders.
		stops  []queuedStop
		starts startHeap
		// underWay counts the orders of this worker that were taken and have not returned, and isReady is set while the queue is in dispatcher.ready.
		underWay int
		isReady  bool
		decided  uint64
	}

	// queuedOrder is an order that waits, with the time of its decision.
	queuedOrder struct {
		action  pool.Action
		decided timestamp
		number  uint64
		// waited is set if the order could not be sent at once.
		waited bool
	}

	// queuedStop is a stop that waits. A cancelled job has one for each of its tasks.
	queuedStop struct {
		run    worker.Run
		waited bool
	}

	// startHeap is a heap of starts, the next one first.
	startHeap []queuedOrder
)

// maxConcurrentOrders limits the concurrent orders to one worker.
const maxConcurrentOrders = 2

// Len implements heap.Interface.
func (h startHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h startHeap) Less(i, j int) bool {
	if h[i].action.Priority != h[j].action.Priority {
		return h[i].action.Priority < h[j].action.Priority
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h startHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *startHeap) Push(o any) { *h = append(*h, o.(queuedOrder)) }

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = queuedOrder{}
	*h = old[:len(old)-1]
	return last
}

func (q *orderQueue) waiting() int { return len(q.stops) + len(q.starts) }

// add adds an order to the queue.
func (q *orderQueue) add(o queuedOrder) {
	q.decided++
	o.number = q.decided
	if o.action.Kind == pool.StopRun {
		q.stops = append(q.stops, queuedStop{o.action.Run, o.waited})
		return
	}
	heap.Push(&q.starts, o)
}

// next removes the order that goes next.
func (q *orderQueue) next() queuedOrder {
	if len(q.stops) == 0 {
		return heap.Pop(&q.starts).(queuedOrder)
	}
	stop := q.stops[0]
	if q.stops = q.stops[1:]; len(q.stops) == 0 {
		q.stops = nil
	}
	return queuedOrder{action: pool.Action{Kind: pool.StopRun, Run: stop.run}, waited: stop.waited}
}

// isFull reports whether no further order may be sent now.
func (d *dispatcher) isFull() bool {
	if d.limit == nil {
		return false
	}
	limit := d.limit()
	return limit > 0 && d.underWay >= limit
}

// markReady adds a queue to those that take turns, if it has an order that may be sent.
func (d *dispatcher) markReady(q *orderQueue) {
	if !q.isReady && q.waiting() > 0 && q.underWay < maxConcurrentOrders {
		q.isReady = true
		d.ready = append(d.ready, q)
	}
}

// add queues an order to a worker, and reports whether a further one may be taken now.
func (d *dispatcher) add(q *orderQueue, o queuedOrder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.waited = q.underWay >= maxConcurrentOrders || q.waiting() > 0 || d.isFull()
	q.add(o)
	d.waiting++
	d.markReady(q)
	return len(d.ready) > 0 && !d.isFull()
}

// take returns the next order that may be sent, if there is one.
func (d *dispatcher) take() (q *orderQueue, o queuedOrder, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ready) == 0 || d.isFull() {
		return nil, queuedOrder{}, false
	}
	q = d.ready[0]
	d.ready[0] = nil
	d.ready, q.isReady = d.ready[1:], false
	o = q.next()
	d.underWay++
	d.waiting--
	q.underWay++
	d.markReady(q)
	return q, o, true
}

// returned records that an order has returned.
func (d *dispatcher) returned(q *orderQueue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.underWay--
	q.underWay--
	d.markReady(q)
}

// counts returns how many orders wait, and how many are under way.
func (d *dispatcher) counts() (waiting, underWay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting, d.underWay
}
