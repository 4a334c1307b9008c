package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
)

// Workers leave a part of the calls unanswered and carry them out seconds later. A gang of eight, of which a member's order is nearly always lost, must not start
// later than callers notice, a preempted run must make room as soon, and an end must not stay unknown for a second.
func TestPatternUnansweredCalls(t *testing.T) {
	for name, test := range map[string]struct {
		call string
		// lost is how many of the first calls of that kind to each worker get no answer, and within the time limit for the gang's completion.
		lost   int
		within time.Duration
	}{
		"one start order to each worker":  {call: "start", lost: 1, within: 300 * time.Millisecond},
		"two start orders to each worker": {call: "start", lost: 2, within: 500 * time.Millisecond},
		"one stop order to each worker":   {call: "stop", lost: 1, within: 600 * time.Millisecond},
		"two reports of each worker":      {call: "renew", lost: 2, within: 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				if test.call == "stop" {
					w.mustSubmit(w.instances[0], "bulk", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: 20 * time.Second})
					time.Sleep(time.Second)
				}
				for id := range w.listed {
					lost := 0
					w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
						if call != test.call || lost == test.lost {
							return runservice.Fault{}
						}
						lost++
						return runservice.Fault{ExecuteAfter: 3 * time.Second}
					})
				}
				const runTime = 400 * time.Millisecond
				w.defineJob("urgent", jobSpec{steps: []pool.Step{gangStep(8, 2)}, runTime: runTime})
				began := time.Now()
				_, err := w.submit(w.instances[0], 0, "urgent")
				require.NoError(t, err)
				w.awaitState(0, "urgent", pool.Completed)
				require.Less(t, time.Since(began)-runTime, test.within)
				require.Equal(t, 8, w.checker.StartCount("urgent"))
			})
		})
	}
}
