package runner

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection is still open and has no unsolicited bytes to read, such as a late response.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = peekErr == syscall.EAGAIN
	})
	return err == nil && alive
}
