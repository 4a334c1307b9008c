package poolowner

import (
	"time"

	"golang.org/x/sys/unix"
)

// stamp is a moment by the steady clock and by the one that goes on while the machine is suspended.
type stamp struct {
	at        time.Time
	suspended time.Duration
}

// now returns the stamp of this moment.
func (o *Owner) now() stamp {
	suspended := o.Suspended
	if suspended == nil {
		suspended = systemSuspended
	}
	return stamp{at: time.Now(), suspended: suspended()}
}

// since returns the time since a stamp, suspensions included. A stamp that was never set is longer ago than anything.
func (o *Owner) since(s stamp) time.Duration {
	if s.at.IsZero() {
		return 1<<63 - 1
	}
	now := o.now()
	return now.at.Sub(s.at) + now.suspended - s.suspended
}

// systemSuspended returns by how much the clock that counts suspensions is ahead of the steady one.
func systemSuspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		// Both clocks exist on every Linux system; without them nothing is known of suspensions.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
