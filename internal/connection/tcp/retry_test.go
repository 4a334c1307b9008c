package tcp

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// failingListener fails Accept with the given errors in turn, then with net.ErrClosed.
type failingListener struct {
	net.Listener
	errors []error
	calls  int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls++
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	if err == nil {
		conn, _ := net.Pipe()
		return conn, nil
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func (*failingListener) Close() error { return nil }

// TestRetryAccept guards against a server that stops accepting for good at a temporary error, that logs each attempt, or that retries
// an error of a listener that is unusable.
func TestRetryAccept(t *testing.T) {
	for name, c := range map[string]struct {
		errors       []error
		accepted     bool
		logged, call int
		waited       time.Duration
	}{
		"no file descriptors":  {[]error{syscall.EMFILE, syscall.ENFILE, nil}, true, 1, 3, 2 * retryDelay},
		"connection aborted":   {[]error{syscall.ECONNABORTED, nil}, true, 1, 2, retryDelay},
		"unusable":             {[]error{syscall.EBADF, nil}, false, 0, 1, 0},
		"closed":               {nil, false, 0, 1, 0},
		"closed while retried": {[]error{syscall.EMFILE, syscall.EMFILE}, false, 1, 3, 2 * retryDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := &failingListener{errors: c.errors}
				logged := 0
				l := NewRetryListener(inner, func(error) { logged++ })
				start := time.Now()
				conn, err := l.Accept()
				require.Equal(t, c.accepted, err == nil)
				require.Equal(t, c.waited, time.Since(start))
				require.Equal(t, c.call, inner.calls)
				require.Equal(t, c.logged, logged)
				if conn != nil {
					require.NoError(t, conn.Close())
				}
			})
		})
	}
}

// TestCloseEndsRetry guards against a server that still retries after its listener was closed.
func TestCloseEndsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &failingListener{errors: []error{syscall.EMFILE, syscall.EMFILE}}
		l := NewRetryListener(inner, nil)
		time.AfterFunc(retryDelay/2, func() { _ = l.Close() })
		_, err := l.Accept()
		require.True(t, errors.Is(err, net.ErrClosed))
		require.Equal(t, 1, inner.calls)
	})
}
