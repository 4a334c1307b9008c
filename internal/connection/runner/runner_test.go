package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// Guards against a runner that is used again too early, or avoided for too long, since the time of day was stepped.
func TestBackoffWhenTheTimeOfDayJumps(t *testing.T) {
	for name, step := range map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour, "not at all": 0} {
		t.Run(name, func(t *testing.T) {
			r := &Runner{}
			r.backOff(10 * time.Second)
			later := func(d time.Duration) time.Time { return testrun.StepTimeOfDay(t, time.Now().Add(d), step) }
			require.True(t, r.BackedOff(later(9*time.Second)))
			require.False(t, r.BackedOff(later(11*time.Second)))
		})
	}
}
