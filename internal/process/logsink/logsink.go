// Package logsink writes log lines without ever blocking those who log.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sink hands lines to a writer through a bounded buffer. Lines that find it full are dropped and counted.
type Sink struct {
	lines   chan []byte
	stopped chan struct{}
	once    sync.Once
	done    chan struct{}
	dropped atomic.Int64
}

const (
	// buffered is the number of lines that wait for a slow reader: a second of a heavy day.
	buffered = 2048
	// flushTime bounds the wait for the reader at the end.
	flushTime = 500 * time.Millisecond
)

// New returns a sink for a writer.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, buffered), stopped: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	write := func(line []byte) {
		if _, err := out.Write(line); err != nil {
			// There is nowhere else to tell of it.
			s.dropped.Add(1)
		}
	}
	for {
		select {
		case line := <-s.lines:
			write(line)
		case <-s.stopped:
			for {
				select {
				case line := <-s.lines:
					write(line)
				default:
					return
				}
			}
		}
	}
}

// Write takes one line, or drops it if the buffer is full.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: lines are written as soon as the reader takes them.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is buffered, for a bounded time.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stopped) })
	select {
	case <-s.done:
	case <-time.After(flushTime):
	}
}

const (
	// perSecond is the number of lines of one message that are written in a second before lines are left out.
	perSecond = 100
	// thereafter is the part of the further lines that is written: one in so many.
	thereafter = 20
)

// Logger returns a logger of JSON lines on a sink. Of each message only so many lines are written in a second; what was left
// out is counted by the function leftOut.
func Logger(s *Sink, level zapcore.Level, leftOut func()) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), s, level)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			leftOut()
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, perSecond, thereafter, count))
}
