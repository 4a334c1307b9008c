package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// drainFirst lists the first worker as draining, with a notice that begins now.
func (s *State) drainFirst(notice time.Duration, now time.Time) {
	var list []Worker
	for _, n := range s.sortedNodes() {
		w := n.Worker
		if n.ID == "w0000" {
			w.Draining, w.Notice, w.LeavesAt = true, notice, now.Add(notice)
		}
		list = append(list, w)
	}
	s.SetWorkers(list)
}

// A worker leaves after a notice while a gang of ten seconds, half done, runs on it and on another worker. What can end before
// goes on. What can't is stopped as a whole and starts elsewhere: with checkpoints shortly before, otherwise at once.
func TestPatternWorkerLeavesAfterNotice(t *testing.T) {
	const notice = 2 * time.Second
	for name, test := range map[string]struct {
		percent     int
		checkpoints bool
		// stayed is how long earlier workers stayed beyond the same notice.
		stayed time.Duration
		// stoppedAfter is the time from the notice to the stop; zero means that the gang is not stopped.
		stoppedAfter time.Duration
	}{
		"it ends before":                        {percent: 90},
		"without checkpoints":                   {percent: 50, stoppedAfter: time.Millisecond},
		"with checkpoints":                      {percent: 50, checkpoints: true, stoppedAfter: notice - 400*time.Millisecond - evacuationMargin},
		"earlier workers stayed long enough":    {percent: 50, stayed: 4 * time.Second},
		"earlier workers stayed, but too short": {percent: 50, stayed: time.Second, stoppedAfter: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 4)
			j := gangJob("a", 1, 2, 8, 10*time.Second)
			j.Steps[0].Checkpoints = test.checkpoints
			s.accept(j, testStart)
			runs := s.startAllByWorker(testStart)
			require.Contains(t, runs, ids.InstanceID("w0000"))
			now := testStart
			for percent := 10; percent <= test.percent; percent += 10 {
				now = now.Add(time.Second)
				both := make(map[ids.InstanceID]int)
				for id := range runs {
					both[id] = percent
				}
				s.reportProgress(runs, both, now)
			}
			if test.stayed > 0 {
				for range minDepartures {
					s.recordDeparture(&node{Worker: Worker{Draining: true, Notice: notice, LeavesAt: now.Add(-test.stayed)}}, now)
				}
			}
			s.drainFirst(notice, now)
			stoppedAfter := time.Duration(0)
			for d := time.Millisecond; d < notice; d += time.Millisecond {
				if actions, _ := s.Decide(now.Add(d)); len(actions) > 0 {
					require.Len(t, actions, 2)
					require.Equal(t, StopRun, actions[0].Kind)
					stoppedAfter = d
					break
				}
			}
			require.InDelta(t, test.stoppedAfter, stoppedAfter, float64(2*time.Millisecond))
			if stoppedAfter == 0 {
				return
			}
			now = now.Add(stoppedAfter + 100*time.Millisecond)
			for id, list := range runs {
				s.Reported(id, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: list[0], Number: 1, Reason: worker.EndStopped}}}, now, now)
			}
			again := s.startAllByWorker(now)
			require.Len(t, again, 2)
			require.NotContains(t, again, ids.InstanceID("w0000"))
		})
	}
}

// A new owner finds a gang running on a worker that was draining already when it took over.
func TestDrainingWorkerAfterTakeover(t *testing.T) {
	j := gangJob("a", 1, 1, 8, 10*time.Second)
	testState(2, 2).accept(j, testStart)
	record, err := j.Encode("1", 0)
	require.NoError(t, err)
	restored, err := Decode(record)
	require.NoError(t, err)
	s := testState(2, 2)
	s.Epoch = 2
	s.drainFirst(time.Second, testStart)
	s.Recover([]*Job{restored}, testStart)
	run := runOf(j, 0, 1001)
	s.Reported("w0000", worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: run, Percent: 5}}}, testStart, testStart)
	s.EndRecovery(nil, testStart, testStart)
	actions, _ := s.Decide(testStart.Add(10 * time.Millisecond))
	require.Equal(t, []Action{{Kind: StopRun, Worker: "w0000", Run: run}}, actions)
}
