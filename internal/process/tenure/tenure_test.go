package tenure

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// Guards against a clock that follows the time of day, or falls behind what earlier owners have recorded.
func TestClock(t *testing.T) {
	now := time.Now()
	first, next := Clock{}, Clock{}
	accepted := first.Moment(now)
	require.Positive(t, accepted)
	written := first.Moment(testrun.StepTimeOfDay(t, now.Add(10*time.Second), time.Hour))
	require.Equal(t, accepted+Moment(10*time.Second), written)
	require.Equal(t, written, Stamp{Accepted: accepted, Written: written}.Latest())

	takeover := testrun.StepTimeOfDay(t, now.Add(time.Minute), -time.Hour)
	next.Resume(written, takeover)
	require.Equal(t, 10*time.Second, takeover.Sub(next.Time(accepted)))
	require.Equal(t, written+Moment(time.Second), next.Moment(takeover.Add(time.Second)))
}

// Guards against a malformed record that stops the clock for all jobs.
func TestClockAfterMalformedMoment(t *testing.T) {
	c, now := Clock{}, time.Now()
	c.Resume(math.MaxInt64, now)
	require.Greater(t, c.Moment(now.Add(time.Second)), c.Moment(now))
}
