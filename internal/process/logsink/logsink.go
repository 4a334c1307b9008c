// Package logsink writes log lines without blocking the goroutines that log.
package logsink

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type (
	// Sink passes lines to a writer through a bounded buffer. It drops and counts the lines that arrive while the buffer is full.
	Sink struct {
		lines   chan []byte
		stopped chan struct{}
		once    sync.Once
		done    chan struct{}
		dropped atomic.Int64
	}

	// selective samples the lines of all loggers but those named Complete.
	selective struct {
		zapcore.Core
		complete zapcore.Core
	}

	// completeWriter writes to all of a sink's buffer.
	completeWriter struct{ *Sink }

	// textErrors writes errors as their texts. Their verbose form would add a stack trace to each line.
	textErrors struct{ zapcore.Core }
)

// Complete is the name of loggers whose lines are not sampled. Their volume must be bounded by what they report.
const Complete = "complete"

const (
	// bufferLines is the capacity of the buffer for sampled lines: about one second of logging under heavy load.
	bufferLines = 2048
	// completeLines is the additional capacity for lines of loggers named Complete: one for each of the workers of a large pool, and as many starts.
	completeLines = 3 * bufferLines
	// flushTimeout bounds the time that Close waits for the writer.
	flushTimeout = 500 * time.Millisecond
)

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferLines+completeLines), stopped: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	write := func(line []byte) {
		if _, err := out.Write(line); err != nil {
			// The log itself has failed, so the error can't be logged.
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

// Write appends one line to the buffer, or drops it if the part for sampled lines is full. It never fails.
func (s *Sink) Write(p []byte) (int, error) {
	if len(s.lines) >= bufferLines {
		s.dropped.Add(1)
		return len(p), nil
	}
	return s.writeComplete(p)
}

// writeComplete appends one line to the buffer, or drops it if all of the buffer is full.
func (s *Sink) writeComplete(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Write implements io.Writer.
func (w completeWriter) Write(p []byte) (int, error) { return w.writeComplete(p) }

// Sync does nothing: lines are written as soon as the writer accepts them.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of dropped lines, including those whose write failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close flushes the buffer, for a bounded time.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stopped) })
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

// With implements zapcore.Core.
func (c selective) With(fields []zapcore.Field) zapcore.Core {
	return selective{Core: c.Core.With(fields), complete: c.complete.With(fields)}
}

// Check implements zapcore.Core.
func (c selective) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.LoggerName == Complete {
		return c.complete.Check(e, checked)
	}
	return c.Core.Check(e, checked)
}

// With implements zapcore.Core.
func (c textErrors) With(fields []zapcore.Field) zapcore.Core {
	return textErrors{c.Core.With(errorsAsText(fields))}
}

// Check implements zapcore.Core.
func (c textErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c textErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsAsText(fields))
}

func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, isError := f.Interface.(error); isError && f.Type == zapcore.ErrorType {
			fields = slices.Clone(fields)
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}

const (
	// sampleFirst is the number of lines with the same message that are written each second before sampling begins.
	sampleFirst = 100
	// sampleThereafter is the sampling interval of the further lines: one in this many is written.
	sampleThereafter = 20
)

// Logger returns a logger that writes JSON lines to a sink. Lines with the same message are sampled each second, except those
// of loggers named Complete; onSuppressed is called for each suppressed line.
func Logger(s *Sink, level zapcore.Level, onSuppressed func()) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.CallerKey, c.NameKey = zapcore.OmitKey, zapcore.OmitKey
	core := textErrors{zapcore.NewCore(zapcore.NewJSONEncoder(c), s, level)}
	complete := textErrors{zapcore.NewCore(zapcore.NewJSONEncoder(c), completeWriter{s}, level)}
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			onSuppressed()
		}
	})
	return zap.New(selective{Core: zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, count), complete: complete})
}
