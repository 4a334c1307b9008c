package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// TestBroken tells whole gangs from others by what a new owner finds.
func TestBroken(t *testing.T) {
	task := func(index int, state worker.State) found {
		return found{TaskReport: worker.TaskReport{TaskRef: worker.TaskRef{Job: "j", Attempt: 2, Index: index}, State: state}}
	}
	cases := map[string]struct {
		tasks []found
		whole bool
	}{
		"all run":              {[]found{task(0, worker.Running), task(1, worker.Running)}, true},
		"one has ended":        {[]found{task(0, worker.Ended), task(1, worker.Running)}, true},
		"one is held":          {[]found{task(0, worker.Running), task(1, worker.Held)}, false},
		"one is missing":       {[]found{task(0, worker.Running)}, false},
		"one runs twice":       {[]found{task(0, worker.Running), task(0, worker.Running)}, false},
		"one is found stopped": {[]found{task(0, worker.Running), task(1, worker.Running), task(1, worker.Stopped)}, false},
		"one has failed":       {[]found{task(0, worker.Running), task(1, worker.Failed)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Record{Attempt: 2, Job: caller.Job{Shape: ids.Shape{Tasks: 2}}}
			require.Equal(t, c.whole, broken(r, 2, c.tasks, nil) == "")
		})
	}
}
