package proxy

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// echo serves a target that returns what it receives, with upper-case letters, and counts what has arrived.
func echo(t *testing.T) (address string, arrived chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	arrived = make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buffer := make([]byte, 100)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					arrived <- string(buffer[:n])
					_, _ = c.Write([]byte(strings.ToUpper(string(buffer[:n]))))
				}
			}()
		}
	}()
	return l.Addr().String(), arrived
}

// outcome sends text and returns what came of it within a short time.
func outcome(c net.Conn, text string) string {
	if _, err := c.Write([]byte(text)); err != nil {
		return "reset"
	}
	return received(c, len(text))
}

// outcomeOfNew is outcome for a new connection.
func outcomeOfNew(t *testing.T, p *Proxy, text string) string {
	c, err := net.Dial("tcp", p.Address())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return outcome(c, text)
}

func received(c net.Conn, n int) string {
	_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	buffer := make([]byte, n)
	n, err := io.ReadFull(c, buffer)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "nothing"
	case errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE):
		return "reset"
	case err != nil:
		return "closed"
	}
	return string(buffer[:n])
}

// Guards against a fault of the link that callers see as another one, that affects only some connections, or that outlasts its end.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault Fault
		// open and fresh are what a connection from before the fault and one from during it see; arrives tells whether the target gets the request.
		open, fresh string
		arrives     bool
		// later is what arrives on the first connection after the fault, and reopened what a connection from after it sees.
		later string
	}{
		"none":           {fault: Fault{}, open: "A", fresh: "B", arrives: true, later: "nothing"},
		"short delay":    {fault: Fault{Delay: 20 * time.Millisecond}, open: "A", fresh: "B", arrives: true, later: "nothing"},
		"long delay":     {fault: Fault{Delay: 250 * time.Millisecond}, open: "nothing", fresh: "nothing", arrives: true, later: "A"},
		"slow":           {fault: Fault{BytesPerSecond: 4}, open: "nothing", fresh: "nothing", arrives: true, later: "A"},
		"no requests":    {fault: Fault{HoldRequests: true}, open: "nothing", fresh: "nothing", later: "A"},
		"no responses":   {fault: Fault{HoldResponses: true}, open: "nothing", fresh: "nothing", arrives: true, later: "A"},
		"silence":        {fault: Fault{HoldRequests: true, HoldResponses: true}, open: "nothing", fresh: "nothing", later: "A"},
		"reset":          {fault: Fault{Reset: true}, open: "reset", fresh: "reset", later: "closed"},
		"refuse":         {fault: Fault{Refuse: true}, open: "reset", fresh: "refused", later: "closed"},
		"half-open":      {fault: Fault{HalfOpen: true}, open: "nothing", fresh: "nothing", later: "nothing"},
		"refuse at last": {fault: Fault{Refuse: true, HalfOpen: true}, open: "reset", fresh: "refused", later: "closed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, arrived := echo(t)
			p := &Proxy{Target: target}
			require.NoError(t, p.Listen("127.0.0.1:0"))
			t.Cleanup(p.Close)
			c, err := net.Dial("tcp", p.Address())
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			require.Equal(t, "X", outcome(c, "x"))
			require.Equal(t, "x", <-arrived)
			end := p.Begin(test.fault)
			require.Equal(t, test.open, outcome(c, "a"))
			require.Equal(t, test.fresh, outcomeOfNew(t, p, "b"))
			time.Sleep(150 * time.Millisecond)
			require.Equal(t, test.arrives, len(arrived) > 0)
			end()
			require.Eventually(t, func() bool { return outcomeOfNew(t, p, "c") == "C" }, time.Second, 10*time.Millisecond)
			if test.later == "closed" {
				require.Contains(t, []string{"closed", "reset"}, received(c, 1))
				return
			}
			got := received(c, 1)
			for range 3 {
				if got == "nothing" {
					got = received(c, 1)
				}
			}
			require.Equal(t, test.later, got)
		})
	}
}

// Guards against a target's end that callers don't see.
func TestTargetEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Proxy{Target: l.Addr().String()}
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, server.Close())
	require.Equal(t, "closed", received(c, 1))
	require.NoError(t, l.Close())
	require.Contains(t, []string{"closed", "reset"}, outcomeOfNew(t, p, "x"))
}
