package testrun

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// FreeAddresses returns loopback addresses with consecutive ports on which nobody listens. The ports lie below those that
// the kernel gives to outgoing connections, which may take a port before the process that it is meant for.
func FreeAddresses(t *testing.T, n int) []string {
	t.Helper()
	const first, last = 10000, 32000
	var list []string
	for port := first + os.Getpid()*n%(last-first); len(list) < n; port++ {
		if port >= last {
			port, list = first, nil
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) {
			list = nil
			continue
		}
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list
}
