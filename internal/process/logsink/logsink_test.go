package logsink

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stalledWriter blocks writes until release is closed.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

// Write waits for release to be closed.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// A stalled writer must not block logging; lines that exceed the buffer are dropped and counted.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		s := New(out)
		const lines = 3 * bufferLines
		log := Logger(s, zap.InfoLevel, nil)
		for range lines {
			n, err := s.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
			// The sink holds the first line, and takes no other one.
			synctest.Wait()
		}
		dropped := s.Dropped()
		require.Positive(t, dropped)
		for range completeLines {
			log.Named(Complete).Info("decision: RunsLost")
		}
		require.Equal(t, dropped, s.Dropped())
		log.Named(Complete).Info("decision: RunsLost")
		require.Equal(t, dropped+1, s.Dropped())
		dropped++
		close(out.release)
		s.Close()
		require.Equal(t, completeLines, strings.Count(out.String(), "decision: RunsLost"))
		require.Equal(t, int64(lines+completeLines+1), dropped+int64(strings.Count(out.String(), "\n")))
	})
}

// Lines with the same message are sampled each second, and the suppressed lines are counted. Complete loggers are exempt.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		suppressed := 0
		log := Logger(s, zap.InfoLevel, func() { suppressed++ })
		const lines = 1000
		for range lines {
			log.Info("call: refused")
			log.With(zap.Int("epoch", 1)).Named(Complete).Info("decision: Placed")
		}
		log.Info("owner: ownership ended")
		s.Close()
		written := strings.Count(out.String(), "call: refused")
		require.Equal(t, sampleFirst+(lines-sampleFirst)/sampleThereafter, written)
		require.Equal(t, lines-written, suppressed)
		require.Contains(t, out.String(), "owner: ownership ended")
		require.Equal(t, lines, strings.Count(out.String(), "decision: Placed"))
	})
}

// Errors are written as their texts, without stack traces.
func TestErrorsAsText(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := Logger(s, zap.InfoLevel, func() {})
	log.With(zap.NamedError("first", errors.New("one"))).Warn("store: watch failed", zap.Error(errors.Wrap(errors.New("refused"), "listing")))
	s.Close()
	require.Contains(t, out.String(), `"first":"one","error":"listing: refused"}`)
}
