package logsink

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

// Write waits for the release.
func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// A reader that stalls blocks nobody who logs; the lines that don't fit are counted.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{release: make(chan struct{})}
		s := New(out)
		const lines = 3 * buffered
		for range lines {
			n, err := s.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
		}
		dropped := s.Dropped()
		require.Positive(t, dropped)
		close(out.release)
		s.Close()
		require.Equal(t, int64(lines), dropped+int64(strings.Count(out.String(), "\n")))
	})
}

// The lines of one message are bounded for each second, and what was left out is counted.
func TestBoundedVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		left := 0
		log := Logger(s, zap.InfoLevel, func() { left++ })
		const lines = 1000
		for range lines {
			log.Info("call: refused")
		}
		log.Info("owner: ownership ended")
		s.Close()
		written := strings.Count(out.String(), "call: refused")
		require.Equal(t, perSecond+(lines-perSecond)/thereafter, written)
		require.Equal(t, lines-written, left)
		require.Contains(t, out.String(), "owner: ownership ended")
	})
}
