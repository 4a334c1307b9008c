package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// The log line of a refused call shows whom the refusal concerns: its queue, account and priority.
func TestLogOfRefusedCall(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(500, 8)}, runTime: time.Second})
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, Refused, answer.Result)
		require.Regexp(t, `call: refused\t.*"queue": "queue1", "account": "`+string(testAccount)+`", "priority": 1}`, w.checker.EventLog())
	})
}

// The metrics compare the wait that was expected at a job's admission with the actual one, so that a forecast that is wrong in one
// direction is seen: a job onto a free pool starts about as expected, and one that another job blocks longer than announced
// starts later.
func TestForecastIsCheckedAgainstTheOutcome(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("first", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: 30 * time.Second})
		w.defineJob("second", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: time.Second})
		for i, id := range []ids.JobID{"first", "second"} {
			answer, err := w.submit(w.ownerInstance(), i+1, id)
			require.NoError(t, err)
			require.Equal(t, OK, answer.Result, answer.Reason)
			time.Sleep(2 * time.Second)
		}
		w.awaitState(2, "second", pool.Completed)
		owner, _ := w.ownerInstance().current()
		m := owner.Metrics()
		labels := []string{`queue="queue1",priority="1"`, `queue="queue2",priority="2"`}
		require.Equal(t, labels, m.ExpectedWait.Labels())
		require.Equal(t, labels, m.ActualWait.Labels())
		require.Less(t, m.ForecastError.With(labels[0]+`,started="Later"`).Quantile(100), 500*time.Millisecond)
		late := m.ForecastError.With(labels[1] + `,started="Later"`)
		require.NotNil(t, late, "%v", m.ForecastError.Labels())
		require.InDelta(t, (m.ActualWait.With(labels[1]).Quantile(50) - m.ExpectedWait.With(labels[1]).Quantile(50)).Seconds(), late.Quantile(50).Seconds(), 0.5)
		require.Greater(t, late.Quantile(50), 10*time.Second)
	})
}
