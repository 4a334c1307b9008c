package testrun

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// StepTimeOfDay returns a time of this process as if its time of day had been stepped by whole seconds before. The monotonic clock never steps.
func StepTimeOfDay(t *testing.T, at time.Time, step time.Duration) time.Time {
	stepped := at
	// The first field of a time holds the seconds of the time of day from bit 30 on.
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(step/time.Second) << 30
	require.Equal(t, step, stepped.Round(0).Sub(at.Round(0)), "the time of day")
	require.Zero(t, stepped.Sub(at), "the monotonic clock")
	return stepped
}

// StepTimes returns the times of n events, a second apart, the first of them at a stepped time of day.
func StepTimes(t *testing.T, start time.Time, n, stepped int, step time.Duration) []time.Time {
	list := make([]time.Time, n)
	for i := range list {
		list[i] = start.Add(time.Duration(i) * time.Second)
		if i < stepped {
			list[i] = StepTimeOfDay(t, list[i], step)
		}
	}
	return list
}
