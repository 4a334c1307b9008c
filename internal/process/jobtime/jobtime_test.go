package jobtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

func TestAccounts(t *testing.T) {
	const s = time.Second
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	d := func(after time.Duration, kind Kind, step, task int, cause string) Decision {
		return Decision{At: start.Add(after), Kind: kind, Job: "a", Step: step, Task: task, Cause: cause}
	}
	for name, test := range map[string]struct {
		objective time.Duration
		decisions []Decision
		late      bool
		want      map[Cause]time.Duration
	}{
		"starts at once": {objective: 4 * s, decisions: []Decision{
			d(0, Placed, 0, 0, ""), d(3*s, Done, 0, 0, ""), d(3*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{Run: 3 * s}},
		"waits for stops": {objective: 3 * s, late: true, decisions: []Decision{
			{At: start, Kind: Stopped, Job: "other", Cause: "preempted by urgent job a"},
			d(s, Placed, 0, 0, ""), d(4*s, Done, 0, 0, ""), d(4*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{WaitForStops: s, Run: 3 * s}},
		"fails once": {objective: 9 * s, decisions: []Decision{
			d(s, Placed, 0, 0, ""), d(2*s, Stopped, 0, 0, "a task failed on w1"), d(3*s, Placed, 0, 0, ""), d(5*s, Done, 0, 0, ""),
			d(5*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{WaitForRoom: s, LostToFailure: s, WaitAfterFailure: s, Run: 2 * s}},
		"the last of several tasks counts": {objective: 9 * s, decisions: []Decision{
			d(0, Placed, 0, 0, ""), d(0, Placed, 0, 1, ""), d(s, Stopped, 0, 1, "its worker w1 leaves in 1s"), d(2*s, Done, 0, 0, ""),
			d(3*s, Placed, 0, 1, ""), d(6*s, Done, 0, 1, ""), d(6*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{LostToDeparture: s, WaitAfterLoss: 2 * s, Run: 3 * s}},
		"two steps": {objective: 9 * s, decisions: []Decision{
			d(0, Placed, 0, 0, ""), d(2*s, Done, 0, 0, ""), d(3*s, Placed, 1, 0, ""), d(5*s, Done, 1, 0, ""), d(5*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{EarlierSteps: 2 * s, WaitForRoom: s, Run: 2 * s}},
		"taken over by another owner": {objective: 9 * s, decisions: []Decision{
			d(0, Placed, 0, 0, ""), d(2*s, TakenOver, 0, 0, ""), d(3*s, Done, 0, 0, ""), d(3*s, JobEnded, 0, 0, "Completed: all tasks are done"),
		}, want: map[Cause]time.Duration{Run: 3 * s}},
		"cancelled while it runs": {objective: 9 * s, decisions: []Decision{
			d(s, Placed, 0, 0, ""), d(3*s, JobEnded, 0, 0, "Cancelled: cancelled by the caller"),
		}, want: map[Cause]time.Duration{WaitForRoom: s, Unfinished: 2 * s}},
		"never started": {objective: s, late: true, decisions: []Decision{
			d(3*s, JobEnded, 0, 0, "Cancelled: cancelled by the caller"),
		}, want: map[Cause]time.Duration{WaitForRoom: 3 * s}},
	} {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			l.Add(Decision{At: start, Kind: Admitted, Job: "a", Objective: test.objective})
			for _, d := range test.decisions {
				l.Add(d)
			}
			require.Len(t, l.Accounts(), 1)
			a := l.Accounts()[0]
			require.Equal(t, test.want, a.Spent)
			require.Equal(t, test.late, a.Late)
			sum := time.Duration(0)
			for _, d := range a.Spent {
				sum += d
			}
			require.Equal(t, a.Age, sum, "the parts don't add up")
		})
	}
}

func TestSummarize(t *testing.T) {
	account := func(job ids.JobID, priority int, late bool, spent map[Cause]time.Duration) Account {
		a := Account{Job: job, Priority: priority, Late: late, Spent: spent}
		for _, d := range spent {
			a.Age += d
		}
		return a
	}
	require.Equal(t, []Group{
		{Priority: 0, Late: true, Jobs: 2, MeanAge: 4 * time.Second, Parts: []Part{{Run, 3 * time.Second, 2}, {WaitForStops, time.Second, 1}}},
		{Priority: 0, Jobs: 1, MeanAge: time.Second, Parts: []Part{{Run, time.Second, 1}}},
		{Priority: 2, Jobs: 1, MeanAge: time.Second, Parts: []Part{{Run, time.Second, 1}}},
	}, Summarize([]Account{
		account("a", 2, false, map[Cause]time.Duration{Run: time.Second}),
		account("b", 0, true, map[Cause]time.Duration{Run: 2 * time.Second, WaitForStops: 2 * time.Second}),
		account("c", 0, false, map[Cause]time.Duration{Run: time.Second}),
		account("d", 0, true, map[Cause]time.Duration{Run: 4 * time.Second}),
	}))
}
