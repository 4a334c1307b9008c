package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a run that had counted as ended and goes on, or has ended as done, of which the notices don't say so.
func TestLostRunFound(t *testing.T) {
	const cause = "this owner counted it as ended 4s before: its process has ended"
	for name, test := range map[string]struct {
		epoch  ids.Epoch
		report func(r worker.Run) worker.RunReport
		want   Notice
	}{
		"active": {1, func(r worker.Run) worker.RunReport {
			return worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: r}}}
		}, Notice{Kind: "UnknownRunStopped", OwnRun: true, Cause: cause}},
		"done": {1, func(r worker.Run) worker.RunReport {
			return worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: r, Number: 1, Reason: worker.EndDone}}}
		}, Notice{Kind: "Done", Cause: "an earlier run; " + cause}},
		"active, of an earlier owner": {2, func(r worker.Run) worker.RunReport {
			r.Number = 1007
			return worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: r}}}
		}, Notice{Kind: "UnknownRunStopped", Cause: "this owner did not start it"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			s.Epoch = test.epoch
			j := gangJob("a", 1, 1, 8, time.Minute)
			s.accept(j, testStart)
			a := s.startAll(testStart)[0]
			now := testStart.Add(2 * time.Second)
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: a.Run}}}, now, now)
			s.ExtendLease(a.Worker, now.Add(simLease))
			now = now.Add(time.Second)
			s.MarkDead(a.Worker, "its process has ended", now)
			loss := func(notices []Notice) *Loss {
				for _, n := range notices {
					if n.Loss != nil {
						return n.Loss
					}
				}
				return nil
			}
			_, notices := s.Decide(now)
			l := loss(notices)
			require.NotNil(t, l)
			require.Equal(t, []worker.Run{a.Run}, l.Runs)
			require.Equal(t, time.Second, l.ReportAge)
			require.Equal(t, simLease-time.Second, l.LeaseLeft)
			now = now.Add(4 * time.Second)
			// A task under which a worker has crashed starts again once the crash and the start are stored.
			var again []Action
			for range 3 {
				s.MarkStored(j.ID, j.Version())
				again = append(again, s.startAll(now)...)
			}
			require.Len(t, again, 1)
			s.Reported(a.Worker, test.report(a.Run), now, now)
			_, notices = s.Decide(now)
			for _, n := range notices {
				if n.Kind == test.want.Kind {
					require.Equal(t, test.want, Notice{Kind: n.Kind, OwnRun: n.OwnRun, Cause: n.Cause})
					return
				}
			}
			require.Fail(t, "no notice", "%+v", notices)
		})
	}
}

// Guards against lines without limit, and against runs that are left out of them, when a worker loses many runs.
func TestLossesShareNotices(t *testing.T) {
	s := testState(1, 1)
	j := gangJob("a", 1, 250, 0, time.Minute)
	j.Steps[0].Gang, j.Steps[0].Each = false, ids.Resources{Cores: 100}
	s.accept(j, testStart)
	require.Len(t, s.startAll(testStart), 250)
	s.MarkDead("w0000", "its process has ended", testStart.Add(time.Second))
	_, notices := s.Decide(testStart.Add(time.Second))
	var sizes []int
	seen := make(map[worker.Run]bool)
	for _, n := range notices {
		if n.Loss != nil {
			sizes = append(sizes, len(n.Loss.Runs))
			for _, r := range n.Loss.Runs {
				seen[r] = true
			}
		}
	}
	require.Equal(t, []int{100, 100, 50}, sizes)
	require.Len(t, seen, 250)
}
