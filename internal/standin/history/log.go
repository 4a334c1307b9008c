package history

import (
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger returns a logger that writes to the event log, so that the cause of a violation can be traced.
func (c *Checker) Logger(instance string) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "msg", EncodeDuration: zapcore.StringDurationEncoder})
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(logWriter{c, instance}), zap.InfoLevel))
}

// logWriter adds an instance's log lines to the checker's event log.
type logWriter struct {
	checker  *Checker
	instance string
}

// Write adds a line to the event log.
func (w logWriter) Write(line []byte) (int, error) {
	w.checker.Log(w.instance + ": " + strings.TrimSpace(string(line)))
	return len(line), nil
}
