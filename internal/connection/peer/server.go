package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/tcp"
)

type (
	// Server serves the calls of peers.
	Server struct {
		// OnPanic is called with the cause of a panic in a method; nil ignores it.
		OnPanic func(method string, cause any)
		// OnAcceptError is called once for each disturbance in which connections can't be accepted; nil ignores it.
		OnAcceptError func(err error)

		methods map[string]method
		// began is the origin of the server's clock.
		began     time.Time
		beganOnce sync.Once
	}

	method func(ctx context.Context, params json.RawMessage) (any, error)
)

// CodeExpired is the fault of a call that came too late and was not carried out.
const CodeExpired = "Expired"

// methodClock returns the server's reading of its clock.
const methodClock = "Clock"

// maxParamsSize is the maximum size of the parameters of one call, in bytes.
const maxParamsSize = 72 << 20

// maxMessageSize is the maximum size of a message, in bytes: its parameters and their envelope.
const maxMessageSize = maxParamsSize + 1<<10

// codec is VarintObjectCodec with a limit on the size of a message.
type codec struct{ jsonrpc2.VarintObjectCodec }

// errTooLarge means that a message exceeds maxMessageSize; the connection is closed.
var errTooLarge = errors.New("the message is too large")

// ReadObject reads one message.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return errTooLarge
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}

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

// ServeConn serves the calls on one connection, each in its own goroutine.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(conn, codec{})
	c := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(s))
	context.AfterFunc(ctx, func() { _ = c.Close() })
}

// Handle serves one call.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.call(ctx, req)
	if req.Notif {
		return
	}
	// The reply fails if the caller has disconnected; the caller then retries at another instance.
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, rpcError(err))
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
