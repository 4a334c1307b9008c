package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

// What is known of a worker that does not answer, and what may have become of its runs. The same table is in docs/PROOFS.md.
func TestFateOfWorker(t *testing.T) {
	for name, test := range map[string]struct {
		evidence evidence
		want     fate
	}{
		"no answer":                                  {evidence{}, mayRun},
		"no answer, its time is over":                {evidence{leaves: true}, mayRun},
		"no answer, entry removed early":             {evidence{removed: true}, mayRun},
		"no answer, its time is over, entry removed": {evidence{leaves: true, removed: true}, mayRun},
		"closed":                   {evidence{closed: true}, mayRun},
		"closed, its time is over": {evidence{closed: true, leaves: true}, mayRun},
		"closed, entry removed early, not announced": {evidence{closed: true, removed: true}, mayRun},
		"closed, entry removed early, time is over":  {evidence{closed: true, removed: true, leaves: true}, processEnded},
		"refused once": {evidence{refusals: 1}, mayRun},
		"refused once, entry removed early, time over": {evidence{refusals: 1, removed: true, leaves: true}, mayRun},
		"refused twice":                {evidence{refusals: 2}, processEnded},
		"another process answers":      {evidence{otherProcess: true}, processEnded},
		"lease expired":                {evidence{leaseExpired: true}, lapsed},
		"lease expired, closed":        {evidence{leaseExpired: true, closed: true}, lapsed},
		"lease expired, refused twice": {evidence{leaseExpired: true, refusals: 2}, processEnded},
	} {
		t.Run(name, func(t *testing.T) {
			got, cause := test.evidence.fate()
			require.Equal(t, test.want, got)
			require.Equal(t, got == mayRun, cause == "")
		})
	}
}

// The evidence by what was observed, in seconds after the worker's last answer.
func TestEvidenceOfWorker(t *testing.T) {
	type call struct {
		kind CallFailure
		// sent and failed are when the call was sent and when it failed.
		sent, failed float64
	}
	for name, test := range map[string]struct {
		calls []call
		// leaves is until when the worker had announced to stay, and removed when its entry was removed; zero if not.
		leaves, removed float64
		answers         bool
		want            evidence
	}{
		"cut off":                    {calls: []call{{NoAnswer, 0.1, 0.6}, {NoAnswer, 0.7, 1.2}}},
		"one call closed":            {calls: []call{{Closed, 0.1, 0.2}}},
		"calls under way closed":     {calls: []call{{Closed, 0.1, 0.2}, {Closed, 0.15, 0.2}}},
		"closed, then no answer":     {calls: []call{{Closed, 0.1, 0.2}, {NoAnswer, 0.3, 0.8}}, want: evidence{closed: true}},
		"closed, then answers":       {calls: []call{{Closed, 0.1, 0.2}, {Closed, 0.3, 0.4}}, answers: true},
		"refused":                    {calls: []call{{Refused, 0.1, 0.1}, {Refused, 0.2, 0.2}}, want: evidence{refusals: 2}},
		"calls under way refused":    {calls: []call{{Refused, 0.1, 0.3}, {Refused, 0.2, 0.3}}, want: evidence{refusals: 1}},
		"refused, then no answer":    {calls: []call{{Refused, 0.1, 0.1}, {NoAnswer, 0.2, 0.7}}},
		"another process":            {calls: []call{{OtherProcess, 0.1, 0.1}}, want: evidence{otherProcess: true}},
		"its time is not over":       {leaves: 3},
		"its time is over":           {leaves: 1, want: evidence{leaves: true}},
		"entry removed at once":      {removed: 0.3, want: evidence{removed: true}},
		"entry removed when silent":  {removed: 3},
		"entry removed before":       {removed: -1},
		"left and removed its entry": {calls: []call{{Closed, 0.1, 0.2}, {NoAnswer, 0.3, 0.8}}, leaves: 0.2, removed: 0.2, want: evidence{closed: true, leaves: true, removed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
			s := testState(2, 2)
			n := s.nodes["w0000"]
			n.reportedAt, n.leaseExpiry = testStart, at(10)
			if test.leaves != 0 {
				n.Draining, n.LeavesAt = true, at(test.leaves)
			}
			for _, c := range test.calls {
				s.CallFailed(n.ID, c.kind, at(c.sent), at(c.failed), at(c.failed))
			}
			if test.removed != 0 {
				s.SetWorkers([]Worker{s.nodes["w0001"].Worker})
				s.EntryRemoved(n.ID, at(test.removed))
			}
			if test.answers {
				s.Reported(n.ID, worker.RunReport{Incarnation: 1}, at(1), at(1))
			}
			require.Equal(t, test.want, s.evidence(n, at(2)))
		})
	}
}
