package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience bounds each wait of the tests.
const patience = 10 * time.Second

// TestClose requires that every connection which a client has opened is accepted and answered, although the listener
// closes under load.
func TestClose(t *testing.T) {
	const rounds, clients = 4, 16
	for range rounds {
		l, err := Listen("127.0.0.1:0")
		require.NoError(t, err)
		served := make(chan struct{})
		go func() {
			defer close(served)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answer(c)
			}
		}()
		var answered, cutOff atomic.Int64
		var done sync.WaitGroup
		for range clients {
			done.Go(func() {
				for {
					c, err := net.DialTimeout("tcp", l.Addr().String(), patience)
					if err != nil {
						return
					}
					if exchange(c) {
						answered.Add(1)
					} else {
						cutOff.Add(1)
					}
				}
			})
		}
		require.Eventually(t, func() bool { return answered.Load() > 200 }, patience, time.Millisecond)
		require.NoError(t, l.Close())
		done.Wait()
		<-served
		require.Zero(t, cutOff.Load(), "opened connections were reset")
	}
}

// TestCloseWithoutAccept requires that Close ends although nobody accepts what is queued.
func TestCloseWithoutAccept(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	c, err := net.DialTimeout("tcp", l.Addr().String(), patience)
	require.NoError(t, err)
	defer c.Close()
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	select {
	case err := <-closed:
		require.NoError(t, err)
	case <-time.After(patience):
		t.Fatal("Close waits for good")
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
}

func answer(c net.Conn) {
	defer c.Close()
	b := make([]byte, 1)
	if _, err := c.Read(b); err == nil {
		_, _ = c.Write(b) // a client that went away needs no answer
	}
}

// exchange sends a byte and reports whether it came back.
func exchange(c net.Conn) bool {
	defer c.Close()
	b := []byte{7}
	if _, err := c.Write(b); err != nil {
		return false
	}
	n, err := c.Read(b)
	return err == nil && n == 1 && b[0] == 7
}
