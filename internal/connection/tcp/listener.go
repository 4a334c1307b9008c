// Package tcp provides a TCP listener that closes without resetting connections that clients have already opened.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// pollInterval is how often Close checks the accept queue; it is short compared with drainTimeout.
	pollInterval = 2 * time.Millisecond
	// quietPeriod is how long the accept queue must stay empty before Close closes the socket. It exceeds a round trip
	// between data centres in one country, so that handshakes in progress have completed.
	quietPeriod = 50 * time.Millisecond
	// drainTimeout limits how long Close waits if Accept is not called: a tenth of the shortest shutdown grace period.
	drainTimeout = 500 * time.Millisecond

	// Offset of the flags in a TCP header, and the flags that distinguish a SYN packet from all others.
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// Listener is a TCP listener whose Close leaves no connection in the accept queue. The kernel would reset such
// connections, and their clients couldn't tell whether their requests had been run.
type Listener struct {
	*net.TCPListener
}

// Listen opens a listener on an address of the form host:port. It disables Multipath TCP because the kernel applies no
// packet filter to MPTCP listeners. buffer is the size of each buffer of its connections in bytes; zero means the system's, which grow.
func Listen(address string, buffer int) (*Listener, error) {
	config := listenConfig(buffer)
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// listenConfig returns the configuration of a listener whose connections have buffers of a size in bytes in each direction; zero means the system's, which grow. What clients
// send ahead, and answers that they don't read, wait in these.
func listenConfig(buffer int) net.ListenConfig {
	if buffer == 0 {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			// Connections have the sizes of their listener. A system that doesn't allow them keeps its own.
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, buffer)
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, buffer)
			return nil
		})
	}}
}

// Close drops new connection attempts, waits until all queued connections are accepted, and closes the listener. Accept
// must still be called meanwhile; connections that are not accepted within half a second are abandoned.
func (l *Listener) Close() error {
	err := l.drain()
	return errors.CombineErrors(l.TCPListener.Close(), err)
}

func (l *Listener) drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the listener's socket")
	}
	if err := control(raw, dropSYNs); err != nil {
		return errors.Wrap(err, "drop new connections")
	}
	for start, emptySince := time.Now(), time.Now(); time.Since(start) < drainTimeout && time.Since(emptySince) < quietPeriod; time.Sleep(pollInterval) {
		queued := 0
		if err := control(raw, func(fd int) (err error) { queued, err = acceptQueueLength(fd); return err }); err != nil {
			return errors.Wrap(err, "read the length of the accept queue")
		}
		if queued > 0 {
			emptySince = time.Now()
		}
	}
	return nil
}

// dropSYNs makes the kernel drop SYN packets as if they were lost. Clients retransmit them until the listener is closed,
// and are refused then. Handshakes in progress still complete.
func dropSYNs(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// acceptQueueLength returns the number of connections that wait to be accepted. For a listener, the kernel reports it
// in the field that otherwise holds the number of unacknowledged packets.
func acceptQueueLength(fd int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}
