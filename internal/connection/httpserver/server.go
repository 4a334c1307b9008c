// Package httpserver serves HTTP to clients that nobody controls: it limits the memory and the connections that they take, whatever they send, and whether they read answers.
package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
)

type (
	// Server serves HTTP on one listener.
	Server struct {
		// Name names the listener in the log.
		Name    string
		Handler fasthttp.RequestHandler
		// Budget is the memory that the calls in flight may take; nil means that there is no limit.
		Budget *inflight.Budget
		// MaxBody and MaxHeader are the sizes of the largest body and the largest header in bytes.
		MaxBody, MaxHeader int
		// MaxConnections limits the open connections. A further one takes the place of the one whose client has kept the server waiting longest, or is refused.
		MaxConnections int
		// MinIdle is how long a connection has been without a request before it may be replaced as well. Its client may be about to send one.
		MinIdle time.Duration
		// ReadTimeout limits the time in which a request arrives, IdleTimeout that between two requests, and WriteTimeout that in which an answer is read.
		ReadTimeout, IdleTimeout, WriteTimeout time.Duration
		// Admit is called before the body of a request is read, if there is one; it answers the request and returns false to refuse it. Nil admits all.
		Admit func(rc *fasthttp.RequestCtx) bool
		// Cost returns a bound of the memory that a call takes while it is handled besides its body; nil means none.
		Cost func(rc *fasthttp.RequestCtx, body []byte) inflight.Bytes
		// MayRefuseAnswer reports whether the answer to a call may be replaced by a refusal if it doesn't fit, as that to a call that only reads may; nil means that none may.
		MayRefuseAnswer func(rc *fasthttp.RequestCtx) bool
		// Refuse answers a call that is not handled; nil writes only the fault.
		Refuse func(rc *fasthttp.RequestCtx, fault *httpjson.Fault)
		// OnRefuse is called for each call or connection that is refused or closed; it must not block. Nil ignores them.
		OnRefuse func(name string, cause inflight.Cause)

		startOnce sync.Once
		server    fasthttp.Server

		mu    sync.Mutex
		conns map[*conn]struct{}
		// refusing is the number of connections that are being refused.
		refusing atomic.Int32
	}
)

const (
	// maxFields limits the fields of a header, each of which takes many times its text.
	maxFields = 64
	// fieldsExceeded is a header field that marks a request whose other fields were dropped.
	fieldsExceeded = "Jujubegrade-Fields-Exceeded"
	// retryAfter is the delay after which a refused caller may retry, in seconds.
	retryAfter = 1
	// minStall is the time for which a client has kept the server waiting before its connection may be replaced.
	minStall = time.Second
	// maxRefusing limits the connections that are open while they are refused.
	maxRefusing = 32
	// spareWorkers is the number of connections, beyond the limit, that may be about to close.
	spareWorkers = 4096
)

// start prepares the HTTP library's server. Its limit of a body is the least, so that it reserves no memory for a body before its bytes have come; receive reads them.
func (s *Server) start() {
	s.startOnce.Do(func() {
		concurrency := 0
		if s.MaxConnections > 0 {
			concurrency = s.MaxConnections + spareWorkers
		}
		s.server = fasthttp.Server{
			Handler: s.receive, ErrorHandler: s.replyError, HeaderReceived: limitFields, StreamRequestBody: true, DisablePreParseMultipartForm: true, MaxRequestBodySize: 1,
			ReadBufferSize: s.MaxHeader, ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout, WriteTimeout: s.WriteTimeout,
			NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}, Concurrency: concurrency,
		}
	})
}

// Serve serves the connections of a listener until the server is shut down.
func (s *Server) Serve(l net.Listener) error {
	s.start()
	return s.server.Serve(&listener{Listener: l, server: s})
}

// Shutdown stops accepting connections and waits until the open ones have no request, or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.start()
	return s.server.ShutdownWithContext(ctx)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) refused(cause inflight.Cause) {
	if s.OnRefuse != nil {
		s.OnRefuse(s.Name, cause)
	}
}

// limitFields drops the fields of a header that has too many, so that no connection keeps them.
func limitFields(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.Len() > maxFields {
		*h = fasthttp.RequestHeader{}
		h.Set(fieldsExceeded, "1")
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{}
}

// discardLogger drops the HTTP library's own log lines, one for each refused request.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}
