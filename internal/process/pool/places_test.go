package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a successor that starts a unit too early, or not, although it knows all places: it waits for those workers alone on which the unit may run, or on which
// a run of it may have failed unreported.
func TestBlockedByPlaces(t *testing.T) {
	for name, test := range map[string]struct {
		// prepare changes the unit before its record is written, and kept are the starts that the witnesses keep.
		prepare func(u *unit)
		kept    []PlacedStart
		unknown ids.InstanceID
		limit   int
		blocked bool
	}{
		"it was started there":        {unknown: "w0000", blocked: true},
		"it was started elsewhere":    {unknown: "w0001"},
		"witnesses keep a start":      {unknown: "w0001", kept: []PlacedStart{{Task: worker.Task{Job: "a"}, Worker: "w0001"}}, blocked: true},
		"another start is kept":       {unknown: "w0001", kept: []PlacedStart{{Task: worker.Task{Job: "b"}, Worker: "w0001"}}},
		"an unreported end there":     {unknown: "w0001", prepare: func(u *unit) { u.unreportedOn = append(u.unreportedOn, "w0001") }, blocked: true},
		"no room for the places":      {unknown: "w0001", limit: 420, blocked: true},
		"the place of an earlier run": {unknown: "w0001", prepare: func(u *unit) { u.places = append(u.places, "w0001") }, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(1, 1)
			j := gangJob("a", 1, 1, 1, time.Second)
			s.accept(j, testStart)
			require.Len(t, s.startAll(testStart), 1)
			if test.prepare != nil {
				test.prepare(j.units[0])
			}
			value, err := j.Encode("writer", test.limit)
			require.NoError(t, err)
			j, err = Decode(value)
			require.NoError(t, err)
			next := testState(2, 1)
			next.nodes[test.unknown].reported = false
			next.Epoch = 2
			next.Recover([]*Job{j}, testStart)
			next.EndRecovery([]ids.InstanceID{"w0000", "w0001"}, testStart.Add(time.Hour), testStart)
			require.True(t, next.blocked(j.units[0]), "not all places are known yet")
			next.TrustPlaces(test.kept, testStart)
			require.Equal(t, test.blocked, next.blocked(j.units[0]))
		})
	}
}

// Guards against a unit whose run may have failed on a silent worker, of which a record does not tell: its successor would start it once too often.
func TestPlacesOfBrokenGang(t *testing.T) {
	s := testState(2, 1)
	j := gangJob("a", 1, 2, 8, time.Second)
	s.accept(j, testStart)
	actions := s.startAll(testStart)
	require.Len(t, actions, 2)
	silent, other := actions[0], actions[1]
	now := testStart.Add(time.Second)
	s.CallFailed(silent.Worker, NoAnswer, now, time.Time{}, now)
	s.Reported(other.Worker, worker.RunReport{Incarnation: 1, Ended: []worker.EndedRun{{Run: other.Run, Number: 1, Reason: worker.EndGangMemberLost}}}, now, now)
	s.Decide(now.Add(time.Second))
	require.Equal(t, waiting, j.units[0].phase, "the gang may start elsewhere")
	require.NotEmpty(t, j.units[0].maybeFailedRuns)
	require.Contains(t, j.units[0].placesOf(), silent.Worker)
}
