package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
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
