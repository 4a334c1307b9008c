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

// Client calls one peer over one connection, which it opens again after a failure.
type Client struct {
	// Address is the peer's IP:port.
	Address string
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Bytes counts what is sent and received over all connections; nil counts nothing.
	Bytes *atomic.Int64

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

var (
	// ErrUnreachable tells that the call was never delivered.
	ErrUnreachable = errors.New("the peer could not be reached")
	// ErrUnknown tells that no answer came; the call may have taken effect.
	ErrUnknown = errors.New("the peer gave no answer")
)

// faultCode is the JSON-RPC error code of an answer that carries a typed fault.
const faultCode = 1

// Call makes one call. An error that the peer answered is returned as a *httpjson.Fault.
// A connection on which no answer came in time is closed, since it may have gone silent.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	conn, err := c.open(ctx)
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	err = conn.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return faultOf(answered)
	}
	c.drop(conn)
	return errors.Mark(err, ErrUnknown)
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

// carriedFault carries a fault's HTTP status, which its body in HTTP leaves out.
type carriedFault struct {
	httpjson.Fault
	Status int
}

func (c *Client) open(ctx context.Context) (*jsonrpc2.Conn, error) {
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
		raw = &countedConn{Conn: raw, bytes: c.Bytes}
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, refuseAll{})
	return c.conn, nil
}

// Disconnected opens the connection, if there is none, and returns what is closed when it ends.
func (c *Client) Disconnected(ctx context.Context) (<-chan struct{}, error) {
	conn, err := c.open(ctx)
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

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // a broken connection has nothing left to tell
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close() // nothing is in flight that the caller waits for
	}
}

// refuseAll answers calls from the called side, which makes none.
type refuseAll struct{}

// Handle refuses a call.
func (refuseAll) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls are taken here"})
	}
}

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
