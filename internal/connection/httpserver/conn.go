package httpserver

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
)

type (
	// conn is a connection of a client.
	conn struct {
		net.Conn
		server *Server
		// lingers means that the client may have sent more than was read: closing the connection at once would reset it, and lose the answer.
		lingers atomic.Bool
		// hold is the part of the budget that the latest call takes until its answer is written.
		hold atomic.Pointer[inflight.Hold]
		// state and since are what the connection waits for and since when, in terms of uptime.
		state, since atomic.Int64
		isClosed     atomic.Bool
	}

	// listener admits the connections of a server.
	listener struct {
		net.Listener
		server *Server
	}
)

// The states of a connection.
const (
	// receiving means that the client has not sent a whole request yet.
	receiving = iota
	handling
	// writing means that the client has not read an answer yet.
	writing
	// idle means that there is no request.
	idle
)

const (
	// lingerTimeout and lingerBytes limit how long and how much is read after an answer to a request that was not read whole.
	lingerTimeout = time.Second
	lingerBytes   = 256 << 10
	lingerBuffer  = 2 << 10
	// refuseTimeout limits the time in which the answer to a connection that is refused is written.
	refuseTimeout = 100 * time.Millisecond
)

// processStart has a reading of the monotonic clock.
var processStart = time.Now()

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit returns a connection, in the place of another if there are too many; nil means that it is refused.
func (s *Server) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s}
	c.setState(receiving)
	s.mu.Lock()
	var replaced *conn
	if s.MaxConnections > 0 && len(s.conns) >= s.MaxConnections {
		if replaced = s.longestWaiting(); replaced == nil {
			s.mu.Unlock()
			s.refuseConnection(raw)
			return nil
		}
		delete(s.conns, replaced)
	}
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if replaced != nil {
		s.refused(inflight.Replaced)
		_ = replaced.Conn.Close() // whoever uses it notices
	}
	return c
}

// longestWaiting returns the connection whose client has kept the server waiting longest; nil if none has for a while. The server is locked.
func (s *Server) longestWaiting() *conn {
	var longest *conn
	most := time.Duration(0)
	now := time.Since(processStart)
	for c := range s.conns {
		waited := now - time.Duration(c.since.Load())
		switch c.state.Load() {
		case receiving, writing:
			waited -= minStall
		case idle:
			waited -= max(minStall, s.MinIdle)
		default:
			continue
		}
		if waited > most {
			longest, most = c, waited
		}
	}
	return longest
}

// refuseConnection answers a connection that is not admitted. Nothing was read of it, so that nothing runs.
func (s *Server) refuseConnection(raw net.Conn) {
	s.refused(inflight.NoConnection)
	if s.refusing.Add(1) > maxRefusing {
		s.refusing.Add(-1)
		_ = raw.Close() // there is nobody to inform
		return
	}
	go func() {
		defer s.refusing.Add(-1)
		var rc fasthttp.RequestCtx
		rc.Init(&fasthttp.Request{}, nil, discardLogger{})
		fault := &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: string(inflight.NoConnection), Message: "too many connections are open", RetryAfter: retryAfter}
		if s.Refuse == nil {
			httpjson.ReplyFault(&rc, fault)
		} else {
			s.Refuse(&rc, fault)
		}
		rc.SetConnectionClose()
		if err := raw.SetWriteDeadline(time.Now().Add(refuseTimeout)); err == nil {
			_, _ = rc.Response.WriteTo(raw) // a client that has left needs no answer
		}
		linger(raw)
	}()
}

func (c *conn) setState(state int64) {
	c.since.Store(int64(time.Since(processStart)))
	c.state.Store(state)
}

// beginCall returns the part of the budget for a call; that of the call before is given back.
func (c *conn) beginCall() *inflight.Hold {
	c.endCall()
	c.setState(receiving)
	// A read that waits for the client fails at once.
	hold := c.server.Budget.Open(func() { _ = c.SetReadDeadline(processStart) })
	c.hold.Store(hold)
	return hold
}

func (c *conn) endCall() {
	if hold := c.hold.Swap(nil); hold != nil {
		hold.Close()
	}
}

// Read implements net.Conn. The library reads once the answer before is written.
func (c *conn) Read(p []byte) (int, error) {
	if c.state.Load() == idle {
		c.endCall()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.state.Load() == idle {
		c.setState(receiving)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	state := c.state.Load()
	c.setState(writing)
	n, err := c.Conn.Write(p)
	c.setState(state)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.isClosed.Swap(true) {
		return nil
	}
	c.setState(receiving)
	var err error
	if c.lingers.Load() {
		linger(c.Conn)
	} else {
		err = c.Conn.Close()
	}
	c.endCall()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return err
}

// linger closes a connection once its client has read the answer or sent enough.
func linger(raw net.Conn) {
	defer func() { _ = raw.Close() }() // the answer was written before
	half, ok := raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || raw.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	var buffer [lingerBuffer]byte
	for total := 0; total < lingerBytes; {
		n, err := raw.Read(buffer[:])
		if err != nil {
			return
		}
		total += n
	}
}
