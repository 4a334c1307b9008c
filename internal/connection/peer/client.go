package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
)

type (
	// connClock is a reading of the clock of the peer's process at the other end of a connection.
	connClock struct {
		conn    *jsonrpc2.Conn
		reading ClockReading
		readAt  time.Time
		isKnown bool
	}

	// callMeta is what a call states besides its parameters.
	callMeta struct {
		// Expires is the time on the peer's clock after which the call is not carried out.
		Expires time.Duration
	}
)

// maxClockReadingAge is the age from which a reading of a peer's clock is replaced: the estimate falls back by a fortieth of it.
const maxClockReadingAge = 5 * time.Second

// Client calls one peer over a single connection and reconnects after a failure.
type Client struct {
	// Address is the peer's IP:port.
	Address string
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Bytes counts the bytes sent and received over all connections; nil disables counting.
	Bytes *atomic.Int64
	// Expires reports whether calls of a method expire at the peer with their deadline, so that one that the network delivers later is not carried out; nil means that
	// none do. A peer of a version that doesn't know it carries them out whenever they arrive.
	Expires func(method string) bool

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// clock is the peer's clock as of the opening of conn; nil if it was not read.
	clock *connClock
}

var (
	// ErrUnreachable means that the request was never delivered.
	ErrUnreachable = errors.New("the peer could not be reached")
	// ErrUnknown means that no response was received; the call may have taken effect.
	ErrUnknown = errors.New("the peer did not respond")
)

// faultCode is the JSON-RPC error code of a response that carries a typed fault.
const faultCode = 1

// Call makes one call. An error response from the peer is returned as a *httpjson.Fault.
// A connection that delivers no response in time is closed, since it may be dead.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	var options []jsonrpc2.CallOption
	if deadline, limited := ctx.Deadline(); limited && c.Expires != nil && c.Expires(method) {
		meta, err := c.expiry(ctx, conn, deadline)
		if err != nil {
			// Only the peer's clock was read.
			c.discard(conn)
			return errors.Mark(err, ErrUnreachable)
		}
		if meta != nil {
			options = append(options, jsonrpc2.Meta(meta))
		}
	}
	err = conn.Call(ctx, method, in, out, options...)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return faultOf(rpcErr)
	}
	c.discard(conn)
	return errors.Mark(err, ErrUnknown)
}

// expiry returns what states the deadline of a call on the peer's clock; nil if the peer shows none.
func (c *Client) expiry(ctx context.Context, conn *jsonrpc2.Conn, deadline time.Time) (*callMeta, error) {
	c.mu.Lock()
	clock := c.clock
	c.mu.Unlock()
	if clock == nil || clock.conn != conn || time.Since(clock.readAt) > maxClockReadingAge {
		clock = &connClock{conn: conn}
		var rpcErr *jsonrpc2.Error
		switch err := conn.Call(ctx, methodClock, struct{}{}, &clock.reading); {
		case errors.As(err, &rpcErr):
			// The peer's version has no such method.
		case err != nil:
			return nil, err
		default:
			clock.isKnown = true
		}
		clock.readAt = time.Now()
		c.mu.Lock()
		c.clock = clock
		c.mu.Unlock()
	}
	if !clock.isKnown {
		return nil, nil
	}
	e := ClockEstimate{Reading: clock.reading, SinceAnswered: time.Since(clock.readAt)}
	return &callMeta{Expires: e.After(time.Until(deadline))}, nil
}

func faultOf(e *jsonrpc2.Error) error {
	fault := &httpjson.Fault{Status: 500, Code: "Internal", Message: e.Message}
	if e.Code == faultCode && e.Data != nil {
		var carried carriedFault
		if err := json.Unmarshal(*e.Data, &carried); err == nil {
			carried.Fault.Status = carried.Status
			return &carried.Fault
		}
	}
	return fault
}

// carriedFault adds the HTTP status, which the JSON encoding of Fault omits.
type carriedFault struct {
	httpjson.Fault
	Status int
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	if c.Bytes != nil {
		raw = &countingConn{Conn: raw, bytes: c.Bytes}
	}
	c.conn = jsonrpc2.NewConn(context.Background(), newStream(raw), rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	return c.conn, nil
}

// DisconnectNotify connects if necessary and returns a channel that is closed when the connection ends.
func (c *Client) DisconnectNotify(ctx context.Context) (<-chan struct{}, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return conn.DisconnectNotify(), nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	const dialTimeout = time.Second
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // an error when closing a broken connection is of no interest
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close() // the caller isn't waiting for any call in flight
	}
}

// rejectCalls rejects calls from the server side, which makes none.
type rejectCalls struct{}

// Handle rejects a call.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls are not accepted here"})
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
