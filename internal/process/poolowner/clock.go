package poolowner

import (
	"time"

	"golang.org/x/sys/unix"
)

// timestamp is a moment on the monotonic clock, and the total time for which the machine had been suspended by then.
type timestamp struct {
	at        time.Time
	suspended time.Duration
}

// now returns the current timestamp.
func (o *Owner) now() timestamp {
	suspended := o.Suspended
	if suspended == nil {
		suspended = suspendedTime
	}
	return timestamp{at: time.Now(), suspended: suspended()}
}

// since returns the time since a timestamp, including suspensions. For a zero timestamp it returns the maximum duration.
func (o *Owner) since(s timestamp) time.Duration {
	if s.at.IsZero() {
		return 1<<63 - 1
	}
	now := o.now()
	return now.at.Sub(s.at) + now.suspended - s.suspended
}

// suspendedTime returns how far the clock that counts suspensions is ahead of the monotonic clock.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		// Both clocks exist on every Linux system; without them suspensions can't be measured.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
