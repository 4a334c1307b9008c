package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// endAll reports that the runs of some starts have ended.
func (s *State) endAll(actions []Action, reason worker.EndReason, now time.Time) {
	for _, a := range actions {
		number := s.nodes[a.Worker].handledEnd + 1
		s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: a.Run, Number: number, Reason: reason}}}, now, now)
	}
}

// Guards against failing workers that get more gangs: the success of a run that was started before the worker began to fail cleared its failures, and counted as
// proof that the worker is sound.
func TestSuccessOfOlderRunProvesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		// successStarted is when the run that succeeds was started, and proven whether the worker counts as sound then.
		successStarted time.Duration
		proven         bool
	}{
		"started before the failure": {successStarted: -time.Second},
		"started after the failure":  {successStarted: time.Second, proven: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			failedAt := testStart.Add(2 * time.Second)
			sound, failing := gangJob("sound", 1, 1, 4, 4*time.Second), gangJob("failing", 1, 1, 4, time.Second)
			var started []Action
			start := func() {
				s.accept(sound, failedAt.Add(test.successStarted))
				started = s.startAll(failedAt.Add(test.successStarted))
			}
			if test.successStarted < 0 {
				start()
			}
			s.accept(failing, testStart.Add(1500*time.Millisecond))
			s.endAll(s.startAll(testStart.Add(1500*time.Millisecond)), worker.EndFailed, failedAt)
			s.Cancel("failing", failedAt)
			if test.successStarted > 0 {
				start()
			}
			require.Len(t, started, 1)
			now := failedAt.Add(3 * time.Second)
			s.endAll(started, worker.EndDone, now)
			require.Equal(t, test.proven, s.nodes["w0000"].failures == 0)
			require.Equal(t, test.proven, s.nodes["w0000"].isProven(now))
		})
	}
}

// A tenth of the workers begins to fail all that it starts. Urgent gangs then go to workers on which a run has outlived such failures, although others fit better;
// one that has failed is started there at once, and others take any worker as before.
func TestPatternUrgentDuringFailures(t *testing.T) {
	for name, test := range map[string]struct {
		priority, failing int
		// failed is set if the gang has failed once and its retry is delayed.
		failed, onProven, starts bool
	}{
		"urgent":                           {failing: waveSize, onProven: true, starts: true},
		"urgent, few workers fail":         {failing: waveSize - 1, starts: true},
		"not urgent":                       {failing: waveSize, priority: 1, starts: true},
		"urgent, has failed":               {failing: waveSize, failed: true, onProven: true, starts: true},
		"not urgent, has failed and waits": {failing: waveSize, failed: true, priority: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(40, 8)
			occupant := gangJob("occupant", 1, 1, 1, 10*time.Second)
			occupant.Steps[0].Checkpoints = true
			s.accept(occupant, testStart)
			proven := s.startAll(testStart)[0].Worker
			// Another worker fits better.
			s.nodes["w0039"].used = ids.Resources{Accelerators: 6}
			now := testStart.Add(time.Second)
			for _, id := range []ids.InstanceID{"w0010", "w0011", "w0012", "w0013"}[:test.failing] {
				s.recordFailure(s.nodes[id], "x", now)
			}
			j := gangJob("a", test.priority, 1, 2, time.Second)
			s.accept(j, now)
			if u := j.units[0]; test.failed {
				u.failedRuns, u.notBefore, u.retryDelayed = []ids.RunNumber{1001}, now.Add(time.Second), true
			}
			actions := s.startAll(now)
			if !test.starts {
				require.Empty(t, actions)
				return
			}
			require.Len(t, actions, 1)
			require.Equal(t, test.onProven, actions[0].Worker == proven, actions[0].Worker)
		})
	}
}
