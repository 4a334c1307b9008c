// Package runner sends HTTP/1.1 requests to the runners of a service, one at a time on each connection.
package runner

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Runner is a client of one runner, with its connection pool. ID, Address and Slots must be set.
	Runner struct {
		ID      ids.InstanceID
		Address string
		// Slots is the number of requests that the runner serves concurrently.
		Slots int
		// Dial opens a connection; nil dials TCP.
		Dial func(address string) (net.Conn, error)

		// InFlight counts the requests in flight from this instance.
		InFlight atomic.Int64
		// reportedLoad is the last load that the runner reported, in slots used by all clients; reportedAt is when, in terms of uptime.
		reportedLoad, reportedAt atomic.Int64
		// backoffUntil is when a runner that is leaving, refused a request or failed may be used again, in terms of uptime.
		backoffUntil atomic.Int64
		// generation is incremented when a reused connection fails; idle connections of earlier generations are discarded.
		generation atomic.Int64
		failures   atomic.Int64
		refusals   atomic.Int64
		idle       atomic.Pointer[idleConn]
	}

	// idleConn is an entry of the lock-free stack of idle connections. Each push allocates a new entry, so that
	// a compare-and-swap never mistakes a reused entry for the one it read (the ABA problem).
	idleConn struct {
		conn *conn
		next *idleConn
	}

	conn struct {
		net.Conn
		reader     *bufio.Reader
		writer     *bufio.Writer
		generation int64
		usedAt     time.Time
	}
)

// Headers exchanged between entry instances and runners.
const (
	// HeaderRequest carries the request's ID, which the response must repeat.
	HeaderRequest = "Jujubegrade-Request"
	// HeaderNotRun marks the response to a request that the runner did not run.
	HeaderNotRun = "Jujubegrade-Not-Run"
	// HeaderLoad carries the number of the runner's slots in use.
	HeaderLoad = "Jujubegrade-Load"
	// HeaderLeaving announces that the runner is draining and accepts no new requests.
	HeaderLeaving = "Jujubegrade-Leaving"
)

const (
	dialTimeout = time.Second
	// maxIdleTime is how long a connection can be idle and still be reused.
	maxIdleTime = 15 * time.Second
	// leavingBackoff is how long a leaving runner is avoided, unless it is removed from the instance list first.
	leavingBackoff = time.Minute
	// reportedLoadTTL is how long a reported load is used.
	reportedLoadTTL = 50 * time.Millisecond
	// refusalBackoff is how long a runner is avoided after it refused a request; each consecutive refusal doubles it.
	refusalBackoff = 20 * time.Millisecond
	// maxRefusalDoublings limits the doublings.
	maxRefusalDoublings = 7
	// failureBackoff is how long a runner is avoided for each consecutive failure.
	failureBackoff = 100 * time.Millisecond
	// maxFailureMultiple limits the number of failures that failureBackoff is multiplied by.
	maxFailureMultiple = 50
)

// processStart has a reading of the monotonic clock.
var processStart = time.Now()

var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNotRun means that the runner refused the request and did not run it.
	ErrNotRun = errors.New("the runner refused the request and did not run it")
	// ErrNoResponse means that no complete response was received in time; the request may have run.
	ErrNoResponse = errors.New("the runner sent no complete response")
	// ErrConnectionLost means that the connection ended before a complete response: the runner may have crashed. It is also an ErrNoResponse.
	ErrConnectionLost = errors.New("the connection to the runner ended")
	// ErrWrongResponse means that the response was for another request; this one may have run.
	ErrWrongResponse = errors.New("the runner responded to another request")
	// ErrTooLarge means that the response body exceeds the size limit.
	ErrTooLarge = errors.New("the response body is too large")
)

// TryAcquire acquires one of the runner's slots for a request, unless all are known to be in use. Release releases it.
func (r *Runner) TryAcquire() bool {
	for {
		n := r.InFlight.Load()
		if n >= int64(r.Slots) || r.recentLoad() >= int64(r.Slots) {
			return false
		}
		if r.InFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases a slot.
func (r *Runner) Release() { r.InFlight.Add(-1) }

// Do sends a request and reads its response before the deadline. A connection is reused only after a complete response
// with the ID of the request. With fresh, a new connection is opened: a network device may have dropped the idle ones.
func (r *Runner) Do(req *fasthttp.Request, resp *fasthttp.Response, id ids.RequestID, deadline time.Time, maxBody int, fresh bool) error {
	c, err := r.connect(fresh)
	if err != nil {
		r.recordFailure()
		return errors.Mark(err, ErrNotSent)
	}
	reused := c.usedAt != time.Time{}
	if err := c.SetDeadline(deadline); err != nil {
		c.close()
		return errors.Mark(err, ErrNotSent)
	}
	req.Header.Set(HeaderRequest, string(id))
	if err := req.Write(c.writer); err != nil {
		c.close()
		return errors.Mark(err, ErrNoResponse)
	}
	if err := c.writer.Flush(); err != nil {
		c.close()
		return errors.Mark(err, ErrNoResponse)
	}
	if err := resp.ReadLimitBody(c.reader, maxBody); err != nil {
		c.close()
		return r.handleReadError(err, reused)
	}
	if string(resp.Header.Peek(HeaderRequest)) != string(id) {
		c.close()
		r.recordFailure()
		return ErrWrongResponse
	}
	r.handleResponse(c, resp)
	if len(resp.Header.Peek(HeaderNotRun)) > 0 {
		r.backOff(refusalBackoff << min(r.refusals.Add(1)-1, maxRefusalDoublings))
		return ErrNotRun
	}
	r.refusals.Store(0)
	return nil
}

// handleReadError classifies a failure to read a response. If the connection was reused, the runner isn't backed off:
// a network device on the path may have dropped the state of this connection and of the other idle ones. All of them
// are discarded, and new connections are opened instead.
func (r *Runner) handleReadError(err error, reused bool) error {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Mark(err, ErrTooLarge)
	}
	if reused {
		r.generation.Add(1)
	} else {
		r.recordFailure()
	}
	if !errors.IsAny(err, os.ErrDeadlineExceeded, fasthttp.ErrTimeout) {
		err = errors.Mark(err, ErrConnectionLost)
	}
	return errors.Mark(err, ErrNoResponse)
}

func (r *Runner) handleResponse(c *conn, resp *fasthttp.Response) {
	r.failures.Store(0)
	if load, err := strconv.ParseInt(string(resp.Header.Peek(HeaderLoad)), 10, 64); err == nil {
		// The slot of this request is free by now.
		r.reportedLoad.Store(load - 1)
		r.reportedAt.Store(uptime(time.Now()))
	}
	if len(resp.Header.Peek(HeaderLeaving)) > 0 {
		r.backOff(leavingBackoff)
	}
	if resp.ConnectionClose() {
		c.close()
		return
	}
	c.usedAt = time.Now()
	r.push(c)
}

// uptime returns a time as nanoseconds since the start of the process. Unlike the time of day it doesn't jump.
func uptime(at time.Time) int64 { return int64(at.Sub(processStart)) }

func (r *Runner) recordFailure() {
	n := min(r.failures.Add(1), maxFailureMultiple)
	r.backOff(time.Duration(n) * failureBackoff)
}

func (r *Runner) backOff(d time.Duration) {
	until := uptime(time.Now().Add(d))
	if r.backoffUntil.Load() < until {
		r.backoffUntil.Store(until)
	}
}

// BackedOff reports whether the runner should get no new requests now.
func (r *Runner) BackedOff(now time.Time) bool {
	return r.backoffUntil.Load() > uptime(now)
}

// Load returns the load that the runner reported recently, but at least the requests in flight from this instance.
func (r *Runner) Load() int64 {
	return max(r.InFlight.Load(), r.recentLoad())
}

// recentLoad returns the load that the runner reported, or zero if the report is older than reportedLoadTTL.
func (r *Runner) recentLoad() int64 {
	if uptime(time.Now())-r.reportedAt.Load() > int64(reportedLoadTTL) {
		return 0
	}
	return r.reportedLoad.Load()
}

func (r *Runner) connect(fresh bool) (*conn, error) {
	for !fresh {
		c := r.pop()
		if c == nil {
			break
		}
		if c.generation == r.generation.Load() && time.Since(c.usedAt) < maxIdleTime && c.alive() {
			return c, nil
		}
		c.close()
	}
	dial := r.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(r.Address)
	if err != nil {
		return nil, err
	}
	const bufferSize = 4096
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize),
		generation: r.generation.Load(),
	}, nil
}

func dialTCP(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, dialTimeout)
}

func (r *Runner) push(c *conn) {
	entry := &idleConn{conn: c}
	for {
		entry.next = r.idle.Load()
		if r.idle.CompareAndSwap(entry.next, entry) {
			return
		}
	}
}

func (r *Runner) pop() *conn {
	for {
		entry := r.idle.Load()
		if entry == nil {
			return nil
		}
		if r.idle.CompareAndSwap(entry, entry.next) {
			return entry.conn
		}
	}
}

// Close closes the idle connections.
func (r *Runner) Close() {
	for c := r.pop(); c != nil; c = r.pop() {
		c.close()
	}
}

func (c *conn) close() {
	_ = c.Close() // the connection is discarded in any case
}
