package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/tcp"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
)

type (
	// Server serves the calls of peers.
	Server struct {
		// OnPanic is called with the cause of a panic in a method; nil ignores it.
		OnPanic func(method string, cause any)
		// OnAcceptError is called once for each disturbance in which connections can't be accepted; nil ignores it.
		OnAcceptError func(err error)
		// Budget is the memory that the calls in flight may take; nil means no limit.
		Budget *inflight.Budget
		// MaxMessage is the size of the largest message in bytes; zero means that of the largest request that instances forward.
		MaxMessage int
		// MaxConnections limits the open connections; zero means no limit. A further one takes the place of the one that was idle longest.
		MaxConnections int
		// OnRefuse is called for each message or connection that is not served; nil ignores them.
		OnRefuse func(cause inflight.Cause)

		mu    sync.Mutex
		conns map[*servedConn]struct{}

		methods map[string]method
		// began is the origin of the server's clock.
		began     time.Time
		beganOnce sync.Once
	}

	method func(ctx context.Context, params json.RawMessage) (any, error)

	// servedConn is a connection that a server serves.
	servedConn struct {
		server *Server
		stream *stream
		raw    net.Conn
		// inFlight is the number of its calls, and usedAt when the last one arrived, on the server's clock.
		inFlight, usedAt atomic.Int64
	}

	// discardLogger drops the JSON-RPC library's own log lines, one for each odd message.
	discardLogger struct{}
)

// CodeExpired is the fault of a call that came too late and was not carried out.
const CodeExpired = "Expired"

// methodClock returns the server's reading of its clock.
const methodClock = "Clock"

// maxParamsSize is the maximum size of the parameters of one call, in bytes.
const maxParamsSize = 72 << 20

// maxMessageSize is the maximum size of a message, in bytes: its parameters and their envelope.
const maxMessageSize = maxParamsSize + 1<<10

// Register registers a method with a server.
func Register[In, Out any](s *Server, name string, run func(context.Context, In) (Out, error)) {
	if s.methods == nil {
		s.methods = make(map[string]method)
	}
	s.methods[name] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &httpjson.Fault{Status: 400, Code: "Malformed", Message: err.Error()}
		}
		return run(ctx, in)
	}
}

// clock returns the time on the server's clock, which only this process shows.
func (s *Server) clock() time.Duration {
	s.beganOnce.Do(func() { s.began = time.Now() })
	return time.Since(s.began)
}

// isExpired reports whether a call states that it must not be carried out any more.
func (s *Server) isExpired(req *jsonrpc2.Request) bool {
	var meta callMeta
	return req.Meta != nil && json.Unmarshal(*req.Meta, &meta) == nil && meta.Expires > 0 && s.clock() > meta.Expires
}

// Serve serves the calls on all connections of a listener until ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	listener = tcp.NewRetryListener(listener, s.OnAcceptError)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.ServeConn(ctx, conn)
	}
}

// ServeConn serves the calls on one connection, each in its own goroutine, until ctx is done.
func (s *Server) ServeConn(ctx context.Context, raw net.Conn) {
	c := &servedConn{server: s, raw: raw, stream: newStream(raw)}
	c.usedAt.Store(int64(s.clock()))
	if !s.add(c) {
		s.refused(inflight.NoConnection)
		_ = raw.Close() // the other end retries
		return
	}
	c.stream.budget, c.stream.maxSize, c.stream.onRefuse, c.stream.onClose = s.Budget, uint64(cmp.Or(s.MaxMessage, maxMessageSize)), s.refused, func() { s.remove(c) }
	jsonrpc2.NewConn(ctx, c.stream, c, jsonrpc2.SetLogger(discardLogger{}))
}

// add adds a connection, in the place of the one that was idle longest if there are too many. It reports false if all have calls in flight.
func (s *Server) add(c *servedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*servedConn]struct{})
	}
	if s.MaxConnections > 0 && len(s.conns) >= s.MaxConnections {
		var longest *servedConn
		for other := range s.conns {
			if other.inFlight.Load() == 0 && (longest == nil || other.usedAt.Load() < longest.usedAt.Load()) {
				longest = other
			}
		}
		if longest == nil {
			return false
		}
		delete(s.conns, longest)
		_ = longest.raw.Close() // whoever reads it notices
		s.refused(inflight.Replaced)
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *servedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) refused(cause inflight.Cause) {
	if s.OnRefuse != nil {
		s.OnRefuse(cause)
	}
}

// Handle serves one call in the background. Its part of the budget is given back once it is answered.
func (c *servedConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	hold := c.stream.take()
	c.usedAt.Store(int64(c.server.clock()))
	c.inFlight.Add(1)
	go func() {
		defer func() {
			c.inFlight.Add(-1)
			hold.Close()
		}()
		c.server.Handle(ctx, conn, req)
	}()
}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}

// Handle serves one call.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.call(ctx, req)
	if req.Notif {
		return
	}
	// The reply fails if the caller has disconnected; the caller then retries at another instance.
	if err == nil {
		err = conn.Reply(ctx, req.ID, result)
	} else {
		err = conn.ReplyWithError(ctx, req.ID, rpcError(err))
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		// The caller reads no answers; a part of this one may have been written.
		_ = conn.Close() // it may have been closed meanwhile
	}
}

// call runs a method. A panic in it fails this call alone; the caller can't know whether it took effect.
func (s *Server) call(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if s.OnPanic != nil {
				s.OnPanic(req.Method, cause)
			}
			result, err = nil, &httpjson.Fault{Status: 500, Code: "Internal", Message: "the call failed unexpectedly"}
		}
	}()
	if req.Method == methodClock {
		return ClockReading{Arrived: s.clock()}, nil
	}
	if s.isExpired(req) {
		return nil, &httpjson.Fault{Status: 503, Code: CodeExpired, Message: "the call came too late and was not carried out", RetryAfter: 1}
	}
	run, found := s.methods[req.Method]
	if !found {
		return nil, &httpjson.Fault{Status: 404, Code: "NoMethod", Message: "unknown method " + req.Method}
	}
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	return run(ctx, params)
}

func rpcError(err error) *jsonrpc2.Error {
	var fault *httpjson.Fault
	if !errors.As(err, &fault) {
		fault = &httpjson.Fault{Status: 500, Code: "Internal", Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: faultCode, Message: fault.Message}
	e.SetError(carriedFault{Fault: *fault, Status: fault.Status})
	return e
}
