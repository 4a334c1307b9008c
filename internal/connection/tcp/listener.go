// Package tcp listens for connections and stops without resetting those that clients have already opened.
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
	// pollInterval is the time between two looks at the queue of a listener that closes: short beside drainLimit.
	pollInterval = 2 * time.Millisecond
	// settle is how long the queue must have been empty: more than a round trip between data centres of one country, so
	// that handshakes under way have ended.
	settle = 50 * time.Millisecond
	// drainLimit bounds the wait of Close when nobody accepts: a tenth of the shortest grace of a shutdown.
	drainLimit = 500 * time.Millisecond

	// Place of the flags in a TCP header, and the flags that tell a client's first packet from all others.
	flagsOffset = 13
	flagSyn     = 0x02
	flagAck     = 0x10
)

// Listener is a TCP listener whose Close leaves no opened connection behind: those would be reset, and their clients
// couldn't tell whether their request was run.
type Listener struct {
	*net.TCPListener
}

// Listen opens a listener on an address of the form host:port. It speaks plain TCP, since the kernel filters no packets
// of multipath listeners.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Close turns new connections away, waits until those in the queue are accepted, and closes the listener. Someone must
// go on accepting meanwhile; connections that nobody accepts for half a second are given up.
func (l *Listener) Close() error {
	err := l.drain()
	return errors.CombineErrors(l.TCPListener.Close(), err)
}

func (l *Listener) drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach the listener's socket")
	}
	if err := control(raw, dropFirstPackets); err != nil {
		return errors.Wrap(err, "turn new connections away")
	}
	for start, empty := time.Now(), time.Now(); time.Since(start) < drainLimit && time.Since(empty) < settle; time.Sleep(pollInterval) {
		queued := 0
		if err := control(raw, func(fd int) (err error) { queued, err = queueLength(fd); return err }); err != nil {
			return errors.Wrap(err, "read the length of the listener's queue")
		}
		if queued > 0 {
			empty = time.Now()
		}
	}
	return nil
}

// dropFirstPackets makes the kernel drop packets that open a connection, as if they were lost: clients send them again
// until the listener is closed, and are refused then. Handshakes under way go on.
func dropFirstPackets(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSyn | flagAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSyn, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// queueLength returns the number of connections that wait to be accepted. For a listener the kernel reports it in the
// field that otherwise holds packets under way.
func queueLength(fd int) (int, error) {
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
