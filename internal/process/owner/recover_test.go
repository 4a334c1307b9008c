package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TestIncompleteReason checks which task states count as a gang that runs as a whole.
func TestIncompleteReason(t *testing.T) {
	task := func(index int, state worker.State) reportedTask {
		return reportedTask{TaskReport: worker.TaskReport{TaskRef: worker.TaskRef{Job: "j", Attempt: 2, Index: index}, State: state}}
	}
	cases := map[string]struct {
		tasks    []reportedTask
		complete bool
	}{
		"all run":              {[]reportedTask{task(0, worker.Running), task(1, worker.Running)}, true},
		"one has ended":        {[]reportedTask{task(0, worker.Ended), task(1, worker.Running)}, true},
		"one is held":          {[]reportedTask{task(0, worker.Running), task(1, worker.Held)}, false},
		"one is missing":       {[]reportedTask{task(0, worker.Running)}, false},
		"one runs twice":       {[]reportedTask{task(0, worker.Running), task(0, worker.Running)}, false},
		"one is found stopped": {[]reportedTask{task(0, worker.Running), task(1, worker.Running), task(1, worker.Stopped)}, false},
		"one has failed":       {[]reportedTask{task(0, worker.Running), task(1, worker.Failed)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Record{Attempt: 2, Job: caller.Job{Shape: ids.Shape{Tasks: 2}}}
			require.Equal(t, c.complete, incompleteReason(r, 2, c.tasks, nil) == "")
		})
	}
}
