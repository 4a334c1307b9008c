package httpjson

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// silentServer answers requests, except on connections that were opened before they were silenced.
type silentServer struct {
	mu       sync.Mutex
	conns    int
	silenced int
	// arrived receives each request, and answer releases its answer.
	arrived, answer chan struct{}
}

func (s *silentServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		number := s.conns
		s.mu.Unlock()
		go s.serveConn(c, number)
	}
}

func (s *silentServer) serveConn(c net.Conn, number int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.arrived <- struct{}{}
		s.mu.Lock()
		silent := number <= s.silenced
		s.mu.Unlock()
		if silent {
			continue
		}
		<-s.answer
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")); err != nil {
			return
		}
	}
}

// A call after one that timed out must not reuse another idle connection, since all of them may have gone silent at once.
func TestTimeoutDiscardsIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := &silentServer{arrived: make(chan struct{}, 16), answer: make(chan struct{})}
	go s.serve(l)
	client := NewClient(l.Addr().String())
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := client.Exchange(ctx, fasthttp.MethodGet, "/", nil)
		return err
	}
	const parallel = 4
	results := make(chan error)
	for range parallel {
		go func() { results <- call(10 * time.Second) }()
	}
	for range parallel {
		<-s.arrived
	}
	close(s.answer)
	for range parallel {
		require.NoError(t, <-results)
	}
	s.mu.Lock()
	require.Equal(t, parallel, s.conns)
	s.silenced = s.conns
	s.mu.Unlock()
	require.True(t, errors.Is(call(100*time.Millisecond), ErrNoResponse))
	require.NoError(t, call(2*time.Second))
}

// A call whose context was cancelled before it began is not sent: it may be an order of an owner that was replaced.
func TestCancelledCallIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var calls atomic.Int32
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { calls.Add(1) }}
	go func() { _ = server.Serve(l) }() // ends with the listener
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = NewClient(l.Addr().String()).Exchange(ctx, fasthttp.MethodPost, "/", struct{}{})
	require.True(t, errors.Is(err, ErrNotSent))
	require.Zero(t, calls.Load())
}

// A panic in a handler fails one call; the server goes on.
func TestPanicFailsOneCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var causes atomic.Int32
	handler := Recover(func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/panic" {
			panic("test")
		}
	}, Fault{Status: fasthttp.StatusGatewayTimeout, Code: "OutcomeUnknown"}, func(any) { causes.Add(1) })
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // ends with the listener
	defer func() { _ = l.Close() }()
	c := NewClient(l.Addr().String())
	for path, status := range map[string]int{"/panic": fasthttp.StatusGatewayTimeout, "/": fasthttp.StatusOK} {
		response, err := c.Exchange(context.Background(), fasthttp.MethodPost, path, nil)
		require.NoError(t, err)
		require.Equal(t, status, response.Status)
	}
	require.EqualValues(t, 1, causes.Load())
}
