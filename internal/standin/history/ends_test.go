package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a checker that misses a second run of a task, or takes an allowed one for a violation.
func TestSecondRun(t *testing.T) {
	event := func(kind runservice.EventKind, id ids.InstanceID, number ids.RunNumber) runservice.Event {
		return runservice.Event{Kind: kind, Worker: id, Run: worker.Run{Task: worker.Task{Job: "a"}, Number: number}, Reason: worker.EndDone}
	}
	started, ended := event(runservice.Started, "w0", 1), event(runservice.Ended, "w0", 1)
	again, acknowledged := event(runservice.Started, "w1", 2), event(runservice.Acknowledged, "w0", 1)
	const (
		atOnce          = "a/0/0 was started as run 2 on w1 while run 1 was active on w0"
		afterEnd        = "a/0/0 was started as run 2 on w1 after run 1 had ended as done on w0, an end that was acknowledged later"
		acknowledgedEnd = "a/0/0 was started after its end as done was acknowledged"
	)
	for name, test := range map[string]struct {
		events []runservice.Event
		want   []string
	}{
		"two at once":                                  {[]runservice.Event{started, again}, []string{atOnce}},
		"two at once, and the end acknowledged":        {[]runservice.Event{started, again, ended, acknowledged}, []string{atOnce}},
		"after an end that is not acknowledged":        {[]runservice.Event{started, ended, again}, nil},
		"after an end, acknowledged later":             {[]runservice.Event{started, ended, again, acknowledged}, []string{afterEnd}},
		"after an acknowledged end":                    {[]runservice.Event{started, ended, acknowledged, again}, []string{acknowledgedEnd}},
		"the lease expires before the acknowledgement": {[]runservice.Event{started, ended, again, {Kind: runservice.LeaseExpired, Worker: "w0"}, acknowledged}, nil},
		"another worker's lease expires":               {[]runservice.Event{started, ended, again, {Kind: runservice.LeaseExpired, Worker: "w1"}, acknowledged}, []string{afterEnd}},
		"the worker crashes":                           {[]runservice.Event{started, {Kind: runservice.Crashed, Worker: "w0"}, again}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(ids.Resources{})
			c.Add("a", []pool.Step{{Tasks: 1}}, pool.Schedule{}, 1)
			c.RecordSubmission("a")
			for _, e := range test.events {
				c.Observe(e)
			}
			require.Equal(t, test.want, c.Violations())
		})
	}
}
