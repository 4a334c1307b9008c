package testrun

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type (
	// Crowd is a number of clients that misbehave in the same way. Each sends something on a connection of its own and keeps it open without reading.
	Crowd struct {
		Clients int
		// Send sends what a client sends. It returns an error if the connection is closed before.
		Send func(w io.Writer) error

		mu    sync.Mutex
		conns []net.Conn
	}
)

const (
	// crowdTimeout bounds the wait until a crowd has sent what the process takes.
	crowdTimeout = 20 * time.Second
	// pollInterval is the time between two looks at the process, and steadyPolls the number of equal ones after which it has settled.
	pollInterval = 100 * time.Millisecond
	steadyPolls  = 10
	// smallBuffer is the size of a client's receive buffer, so that answers that it doesn't read fill it soon.
	smallBuffer = 4 << 10
)

// Text returns a function that sends a text.
func Text(text string) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// Repeat returns a function that sends a prefix and then a text n times.
func Repeat(prefix, text string, n int) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, prefix); err != nil {
			return err
		}
		for range n {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// Open connects the clients and returns once each has sent everything, was closed, or can send no more, and the process has settled: watch, which is called now and
// then meanwhile, returns the same number for a while.
func (c *Crowd) Open(t *testing.T, address string, watch func() int) {
	t.Helper()
	dialer := net.Dialer{Timeout: crowdTimeout, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	deadline := time.Now().Add(crowdTimeout)
	var sending sync.WaitGroup
	for range c.Clients {
		sending.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return // the process may refuse connections
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(deadline) // can't fail on an open connection
			_ = c.Send(conn)                    // the process may close the connection
		})
	}
	t.Cleanup(c.Close)
	done := make(chan struct{})
	go func() {
		defer close(done)
		sending.Wait()
	}()
	for last, steady := -1, 0; steady < steadyPolls && time.Now().Before(deadline); time.Sleep(pollInterval) {
		number := watch()
		steady++
		select {
		case <-done:
		default:
			steady = 0
		}
		if number != last {
			last, steady = number, 0
		}
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the process may have reset it
	}
	c.conns = nil
}

// Alone waits until no other test that calls it runs, in any process of this user.
func Alone(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "jujubegrade-alone-"+strconv.Itoa(os.Getuid())), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	require.NoError(t, syscall.Flock(int(file.Fd()), syscall.LOCK_EX))
	t.Cleanup(func() { _ = file.Close() }) // closing unlocks
}

// OpenDescriptors returns how many file descriptors a process has open.
func OpenDescriptors(t *testing.T, pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	require.NoError(t, err)
	return len(entries)
}
