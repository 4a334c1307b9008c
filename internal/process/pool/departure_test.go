package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// What is known of a worker that does not answer, and what may have become of its runs. The same table is in docs/PROOFS.md.
func TestFateOfWorker(t *testing.T) {
	for name, test := range map[string]struct {
		evidence evidence
		want     fate
	}{
		"no answer":                     {evidence{}, mayRun},
		"another process answers":       {evidence{otherProcess: true}, mayRun},
		"replaced":                      {evidence{replaced: true}, processEnded},
		"left":                          {evidence{left: true}, processEnded},
		"lease expired":                 {evidence{leaseExpired: true}, lapsed},
		"lease expired, left":           {evidence{leaseExpired: true, left: true}, processEnded},
		"lease expired, another answer": {evidence{leaseExpired: true, otherProcess: true}, processEnded},
	} {
		t.Run(name, func(t *testing.T) {
			got, cause := test.evidence.fate()
			require.Equal(t, test.want, got)
			require.Equal(t, got == mayRun, cause == "")
		})
	}
}

// Guards against runs that are started elsewhere on evidence that a worker which runs on can also give: calls that fail, however they fail, and an entry that
// may have been removed since the worker could not write it. Times are in seconds after the worker's last answer.
func TestEvidenceOfWorker(t *testing.T) {
	const interval = 1500 * time.Millisecond
	type call struct {
		kind CallFailure
		// sent and failed are when the call was sent and when it failed.
		sent, failed float64
	}
	for name, test := range map[string]struct {
		calls []call
		// draining is set if the worker had announced that it leaves, and its time is over.
		draining bool
		// removed is when its entry was removed, and written the earliest time of its last write; the entry stays if both are zero.
		removed, written float64
		// interval is the time between the writes of its entry; zero if the settings lack it.
		interval time.Duration
		// listed is the incarnation that its entry names; zero if the entry is not written again.
		listed uint64
		// answers is the incarnation that answers in the end, to a call sent at 1; zero if none does.
		answers uint64
		want    evidence
	}{
		"calls fail":                          {calls: []call{{NoAnswer, 0.1, 0.6}, {NoAnswer, 0.7, 1.2}, {NoAnswer, 1.3, 1.3}}},
		"calls fail, its time is over":        {calls: []call{{NoAnswer, 0.1, 0.6}, {NoAnswer, 0.7, 1.2}}, draining: true},
		"another process":                     {calls: []call{{OtherProcess, 0.1, 0.1}}, want: evidence{otherProcess: true}},
		"another process before it answered":  {calls: []call{{OtherProcess, -0.1, 0.1}}},
		"entry removed soon after a write":    {written: -1, removed: 0.3, interval: interval, want: evidence{left: true}},
		"the same, calls fail, time is over":  {calls: []call{{NoAnswer, 0.1, 0.2}}, draining: true, written: -1, removed: 0.3, interval: interval, want: evidence{left: true}},
		"entry removed after long silence":    {written: -3, removed: 0.3, interval: interval},
		"the same, calls fail, time is over ": {calls: []call{{NoAnswer, 0.1, 0.2}, {NoAnswer, 0.3, 0.4}}, draining: true, written: -3, removed: 0.3, interval: interval},
		"entry removed, last write not known": {written: -1e9, removed: 0.3, interval: interval},
		"removed just before two intervals":   {written: -2.6, removed: 0.3, interval: interval, want: evidence{left: true}},
		"removed soon, interval not known":    {written: -1, removed: 0.3},
		"removed just after two intervals":    {written: -2.8, removed: 0.3, interval: interval},
		"entry names a newer incarnation":     {listed: 2, want: evidence{replaced: true}},
		"entry names the known incarnation":   {listed: 1},
		"replaced, and the new one answers":   {listed: 2, answers: 2},
		"replaced, and an old answer arrives": {calls: []call{{NoAnswer, 0.1, 0.2}}, listed: 2, answers: 1, want: evidence{replaced: true}},
		"another process, and it answers":     {calls: []call{{OtherProcess, 0.1, 0.1}}, answers: 2},
		"calls fail, and it answers":          {calls: []call{{NoAnswer, 0.1, 0.2}}, answers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
			s := testStateOf(Times{EntryInterval: test.interval}, 2, 2)
			n := s.nodes["w0000"]
			n.reportedAt, n.leaseExpiry = testStart, at(10)
			if test.draining {
				n.Draining, n.LeavesAt = true, at(0.1)
			}
			for _, c := range test.calls {
				s.CallFailed(n.ID, c.kind, at(c.sent), at(c.failed), at(c.failed))
			}
			if test.removed != 0 {
				s.SetWorkers([]Worker{s.nodes["w0001"].Worker})
				s.EntryRemoved(n.ID, at(test.removed).Sub(at(test.written)), at(test.removed))
			}
			if test.listed != 0 {
				s.EntryReplaced(n.ID, test.listed, at(1))
			}
			if test.answers != 0 {
				s.Reported(n.ID, worker.RunReport{Incarnation: test.answers}, at(1), at(1.1))
			}
			require.Equal(t, test.want, n.evidence(false))
			require.Equal(t, test.want != evidence{}, n.processEnded)
		})
	}
}

// Guards against tasks that run twice, since their runs counted as lost with a process that had ended before they were started: the worker had a new process, which
// the owner did not know of yet.
func TestRunsOfReplacedProcess(t *testing.T) {
	replaced := func(s *State, now time.Time) { s.EntryReplaced("w0000", 2, now) }
	left := func(s *State, now time.Time) {
		s.SetWorkers([]Worker{s.nodes["w0001"].Worker})
		s.EntryRemoved("w0000", time.Second, now)
	}
	for name, test := range map[string]struct {
		// listed is set if the earlier process has listed the run.
		listed bool
		ends   func(s *State, now time.Time)
		// lists is set if the new process lists it afterwards.
		lists bool
		want  unitPhase
	}{
		"listed, replaced":                        {listed: true, ends: replaced, want: waiting},
		"listed, left":                            {listed: true, ends: left, want: waiting},
		"not listed, replaced":                    {ends: replaced, want: running},
		"not listed, left":                        {ends: left, want: running},
		"not listed, replaced, listed by the new": {ends: replaced, lists: true, want: running},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(2, 2)
			j := gangJob("a", 1, 1, 8, 10*time.Second)
			s.accept(j, testStart)
			a := s.startAll(testStart)[0]
			require.Equal(t, ids.InstanceID("w0000"), a.Worker)
			s.ExtendLease(a.Worker, testStart.Add(simLease))
			now := testStart.Add(time.Second)
			active := []worker.ActiveRun{{Run: a.Run, Percent: 10}}
			if test.listed {
				s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Active: active}, now, now)
			}
			test.ends(s, now.Add(time.Second))
			if test.lists {
				s.Reported(a.Worker, worker.RunReport{Incarnation: 2, Active: active}, now.Add(2*time.Second), now.Add(2*time.Second))
			}
			require.Equal(t, test.want, j.units[0].phase)
			s.Decide(testStart.Add(simLease + time.Second))
			require.Equal(t, test.lists, j.units[0].phase == running, "without a report the run is lost with the lease")
		})
	}
}

// Guards against ends that are acknowledged to a worker's new process by the numbers of the earlier one, and against starts there that are stopped: a report of the
// earlier process was overtaken by one of the new process, and counted as another restart. A start time that is really earlier, after a clock was set back, counts.
func TestOvertakenReport(t *testing.T) {
	at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		// sent is when the report was requested that names the earlier start time.
		sent float64
		want uint64
	}{
		"requested before the newer report arrived": {sent: 1, want: 2},
		"requested after it":                        {sent: 3.1, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			s.accept(gangJob("a", 1, 1, 8, 10*time.Second), testStart)
			a := s.startAll(testStart)[0]
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Active: []worker.ActiveRun{{Run: a.Run}}}, at(0.5), at(0.6))
			s.Reported(a.Worker, worker.RunReport{Incarnation: 2}, at(2), at(3))
			s.accept(gangJob("b", 0, 1, 8, 10*time.Second), at(3))
			actions, _ := s.Decide(at(3))
			require.Len(t, actions, 1)
			s.RunStartUnanswered(a.Worker, actions[0].Run, at(3.1))
			s.Reported(a.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Number: 58, Reason: worker.EndStopped}}}, at(test.sent), at(3.3))
			require.Equal(t, test.want, s.Incarnation(a.Worker))
			require.Equal(t, test.want == 1, s.HandledEnd(a.Worker) == 58)
			actions, _ = s.Decide(at(3.4))
			require.Equal(t, test.want == 1, len(actions) > 0, "the start is stopped")
		})
	}
}

// Guards against a guess that widens a proof: an entry that names a newer incarnation, or was removed, proves the end of those runs only that the earlier process has
// listed. If another worker had answered at the address before, all confirmed runs counted as ended, without a lease that has expired.
func TestGuessDoesNotWidenProof(t *testing.T) {
	for name, other := range map[string]bool{"replaced": false, "replaced, another process answers": true} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			at := func(d float64) time.Time { return testStart.Add(time.Duration(d * float64(time.Second))) }
			s.Reported("w0000", worker.RunReport{Incarnation: 1}, at(0), at(0))
			j := gangJob("a", 1, 1, 8, time.Minute)
			j.Steps[0].Gang = false
			s.accept(j, at(0))
			// Confirmed, perhaps by the next process, and not listed yet.
			require.Len(t, s.startAll(at(0.1)), 1)
			s.ExtendLease("w0000", at(7))
			if other {
				s.CallFailed("w0000", OtherProcess, at(0.2), at(0.2), at(0.2))
				s.Decide(at(0.2))
			}
			s.EntryReplaced("w0000", 2, at(0.3))
			_, notices := s.Decide(at(0.3))
			for _, n := range notices {
				t.Log(n.Kind, n.Cause)
			}
			require.Len(t, s.nodes["w0000"].runs, 1, "the run may be in the new process")
		})
	}
}

// Guards against tasks that run twice, since the entry of a worker's earlier process was taken for that of a later one: the worker's time of day was set back before it
// restarted, and its new process had not written its entry yet.
func TestRestartAtEarlierTimeOfDay(t *testing.T) {
	at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	s := testState(1, 1)
	n := s.nodes["w0000"]
	n.Incarnation = 1000
	s.Reported("w0000", worker.RunReport{Incarnation: 900}, at(1), at(1))
	s.accept(gangJob("a", 1, 1, 8, 10*time.Second), at(2))
	started := s.startAll(at(2))
	require.Len(t, started, 1)
	s.Reported("w0000", worker.RunReport{Incarnation: 900, Active: []worker.ActiveRun{{Run: started[0].Run}}}, at(3), at(3))
	listed := n.Worker
	listed.Incarnation = 1000
	s.EntryReplaced("w0000", 1000, at(3.1))
	s.SetWorkers([]Worker{listed})
	require.True(t, s.HasRun("w0000", started[0].Run), "its process goes on")
	require.True(t, n.schedulable())
	// A report of the earlier process was overtaken.
	s.Reported("w0000", worker.RunReport{Incarnation: 1000}, at(2.9), at(3.2))
	require.True(t, s.HasRun("w0000", started[0].Run))
	// A later process is known by its entry, even if the owner has not heard of it.
	s.EntryReplaced("w0000", 2000, at(4))
	require.False(t, s.HasRun("w0000", started[0].Run))
}
