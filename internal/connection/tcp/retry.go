package tcp

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// RetryListener retries Accept after temporary errors, which would otherwise end the server that uses the listener.
	RetryListener struct {
		net.Listener
		// OnError is called with the first error of a disturbance; nil ignores it.
		OnError func(err error)

		closeOnce sync.Once
		closed    chan struct{}
		lastError time.Time
	}
)

const (
	// retryDelay is the delay after a temporary error. It is short compared with the timeouts of peers, and 20 attempts a second
	// cost little while the process has no file descriptors left.
	retryDelay = 50 * time.Millisecond
	// errorInterval is the time without an error after which the next one counts as a new disturbance.
	errorInterval = time.Minute
)

// temporaryErrors are the errors of accept that concern one connection or a lack of resources, and not the listener.
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPROTO, syscall.EPERM,
}

// NewRetryListener returns a listener that retries Accept. Its Accept must not be called concurrently.
func NewRetryListener(l net.Listener, onError func(err error)) *RetryListener {
	return &RetryListener{Listener: l, OnError: onError, closed: make(chan struct{})}
}

// Accept returns the next connection. It returns an error only if the listener is closed or unusable.
func (l *RetryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		now := time.Now()
		if l.OnError != nil && (l.lastError.IsZero() || now.Sub(l.lastError) > errorInterval) {
			l.OnError(err)
		}
		l.lastError = now
		timer := time.NewTimer(retryDelay)
		select {
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		case <-timer.C:
		}
	}
}

// Close closes the listener, and ends a retry only after that, since closing may wait until queued connections are accepted.
func (l *RetryListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}

func isTemporary(err error) bool {
	return errors.IsAny(err, temporaryErrors...)
}
