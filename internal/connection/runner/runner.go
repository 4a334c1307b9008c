// Package runner speaks HTTP/1.1 to the runners of a service, one request on a connection at a time.
package runner

import (
	"bufio"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Runner is one runner with its connections. ID, Address and Slots must be set.
	Runner struct {
		ID      ids.InstanceID
		Address string
		// Slots is the number of requests that the runner serves at once.
		Slots int
		// Dial opens a connection; nil dials TCP.
		Dial func(address string) (net.Conn, error)

		// InFlight counts the requests sent from here.
		InFlight atomic.Int64
		// told is the load that the runner told last, in slots used by anybody, and toldAt when, in Unix nanoseconds.
		told, toldAt atomic.Int64
		// avoidUntil is when a runner that announced its leaving, or refused, may be used again, in Unix nanoseconds.
		avoidUntil atomic.Int64
		// generation counts the times that idle connections were found silent; older ones aren't used again.
		generation atomic.Int64
		failures   atomic.Int64
		refusals   atomic.Int64
		idle       atomic.Pointer[idle]
	}

	// idle is an entry of the lock-free stack of idle connections. Each push allocates a new one, so that
	// a compare-and-swap never takes a reused entry for the one it read.
	idle struct {
		conn *conn
		next *idle
	}

	conn struct {
		net.Conn
		reader     *bufio.Reader
		writer     *bufio.Writer
		generation int64
		usedAt     time.Time
	}
)

// The headers between entry instances and runners.
const (
	// HeaderRequest carries the request's id, which the answer must repeat.
	HeaderRequest = "Jujubegrade-Request"
	// HeaderNotRun marks an answer to a request that the runner did not run.
	HeaderNotRun = "Jujubegrade-Not-Run"
	// HeaderLoad tells the runner's slots in use.
	HeaderLoad = "Jujubegrade-Load"
	// HeaderLeaving announces that the runner takes no new requests.
	HeaderLeaving = "Jujubegrade-Leaving"
)

const (
	dialTimeout = time.Second
	// maxIdle is the age after which an idle connection isn't used again.
	maxIdle = 15 * time.Second
	// leavingTime is how long a runner that announced its leaving is avoided, unless the instance list drops it.
	leavingTime = time.Minute
	// toldTime is how long a told load counts.
	toldTime = 50 * time.Millisecond
	// refusedTime is how long a runner that refused a request is avoided; each refusal in a row doubles it.
	refusedTime = 20 * time.Millisecond
	// maxRefusals bounds the doublings.
	maxRefusals = 7
	// failedTime is how long a runner is avoided after failures in a row, times their number.
	failedTime = 100 * time.Millisecond
	// maxFailures bounds that multiple.
	maxFailures = 50
)

var (
	// ErrNotSent tells that no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNotRun tells that the runner refused the request and did not run it.
	ErrNotRun = errors.New("the runner refused the request and did not run it")
	// ErrNoAnswer tells that no whole answer came in time; the request may have run.
	ErrNoAnswer = errors.New("the runner gave no whole answer")
	// ErrMismatch tells that an answer to another request came; this one may have run.
	ErrMismatch = errors.New("the runner answered another request")
	// ErrTooLarge tells that the answer exceeds the largest body.
	ErrTooLarge = errors.New("the answer's body is too large")
)

// Take takes one of the runner's slots for a request, unless all are known to be in use. Give gives it back.
func (r *Runner) Take() bool {
	for {
		n := r.InFlight.Load()
		if n >= int64(r.Slots) || r.toldLoad() >= int64(r.Slots) {
			return false
		}
		if r.InFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Give gives a slot back.
func (r *Runner) Give() { r.InFlight.Add(-1) }

// Do sends a request and reads its answer until a deadline. A connection is used again only after a whole answer
// with the request's own id.
func (r *Runner) Do(req *fasthttp.Request, resp *fasthttp.Response, id ids.RequestID, deadline time.Time, maxBody int) error {
	c, err := r.connect()
	if err != nil {
		r.failed()
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
		return errors.Mark(err, ErrNoAnswer)
	}
	if err := c.writer.Flush(); err != nil {
		c.close()
		return errors.Mark(err, ErrNoAnswer)
	}
	if err := resp.ReadLimitBody(c.reader, maxBody); err != nil {
		c.close()
		return r.unanswered(err, reused)
	}
	if string(resp.Header.Peek(HeaderRequest)) != string(id) {
		c.close()
		r.failed()
		return ErrMismatch
	}
	r.answered(c, resp)
	if len(resp.Header.Peek(HeaderNotRun)) > 0 {
		r.avoid(refusedTime << min(r.refusals.Add(1)-1, maxRefusals))
		return ErrNotRun
	}
	r.refusals.Store(0)
	return nil
}

// unanswered rates a missing answer. Silence on a connection that was used before may be the connection's alone:
// something between may have lost track of it, and of the other idle ones. New connections are opened instead.
func (r *Runner) unanswered(err error, reused bool) error {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Mark(err, ErrTooLarge)
	}
	if reused {
		r.generation.Add(1)
	} else {
		r.failed()
	}
	return errors.Mark(err, ErrNoAnswer)
}

func (r *Runner) answered(c *conn, resp *fasthttp.Response) {
	r.failures.Store(0)
	if load, err := strconv.ParseInt(string(resp.Header.Peek(HeaderLoad)), 10, 64); err == nil {
		// The answer's own slot is free by now.
		r.told.Store(load - 1)
		r.toldAt.Store(time.Now().UnixNano())
	}
	if len(resp.Header.Peek(HeaderLeaving)) > 0 {
		r.avoid(leavingTime)
	}
	if resp.ConnectionClose() {
		c.close()
		return
	}
	c.usedAt = time.Now()
	r.push(c)
}

func (r *Runner) failed() {
	n := min(r.failures.Add(1), maxFailures)
	r.avoid(time.Duration(n) * failedTime)
}

func (r *Runner) avoid(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	if r.avoidUntil.Load() < until {
		r.avoidUntil.Store(until)
	}
}

// Avoided reports whether the runner should get no new requests now.
func (r *Runner) Avoided(now time.Time) bool {
	return r.avoidUntil.Load() > now.UnixNano()
}

// Load returns the runner's load: what it told, but at least what is in flight from here.
func (r *Runner) Load() int64 {
	return max(r.InFlight.Load(), r.toldLoad())
}

// toldLoad returns the load that the runner told of late; an older word tells nothing.
func (r *Runner) toldLoad() int64 {
	if time.Now().UnixNano()-r.toldAt.Load() > int64(toldTime) {
		return 0
	}
	return r.told.Load()
}

func (r *Runner) connect() (*conn, error) {
	for {
		c := r.pop()
		if c == nil {
			break
		}
		if c.generation == r.generation.Load() && time.Since(c.usedAt) < maxIdle && c.alive() {
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
	entry := &idle{conn: c}
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
	_ = c.Close() // the connection is given up in any case
}
