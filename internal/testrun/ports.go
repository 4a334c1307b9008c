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

// FreeAddresses returns loopback addresses with consecutive free ports. The ports are below the kernel's ephemeral range,
// so that no outgoing connection takes a port before the process under test listens on it.
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
