package pool

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against instances of two versions that can't read each other's records during an upgrade. The files were written by the versions that they name, which ignore
// fields that they do not know and read all others by their names.
func TestRecordsOfEarlierVersion(t *testing.T) {
	for name, test := range map[string]struct {
		file  string
		begun bool
	}{
		"start ordered only": {file: "record-c63ef0c5-ordered.json"},
		"tasks have ended":   {file: "record-c63ef0c5-begun.json", begun: true},
		"scheduled, begun":   {file: "record-a926d486-scheduled.json", begun: true},
		"workers crashed":    {file: "record-f1964db2-crashed.json", begun: true},
		"places":             {file: "record-6155caa1-places.json", begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			earlier, err := os.ReadFile(filepath.Join("testdata", test.file))
			require.NoError(t, err)
			j, err := Decode(earlier)
			require.NoError(t, err)
			require.Equal(t, test.begun, j.Begun())
			record, err := j.Encode("writer", 0)
			require.NoError(t, err)
			var want, got map[string]any
			require.NoError(t, json.Unmarshal(earlier, &want))
			require.NoError(t, json.Unmarshal(record, &got))
			begun, found := got["Begun"]
			require.Equal(t, test.begun, found && begun == true)
			delete(got, "Begun")
			delete(want, "Begun")
			require.Equal(t, want, got)
		})
	}
}

// Guards against records that outgrow a value of the store, although a successor can do without a part of them.
func TestRecordWithinLimit(t *testing.T) {
	for name, test := range map[string]struct {
		limit          int
		state          JobState
		started, fails bool
		// lost means that each worker of the job was lost once, and crashed that a second one was lost under one of its tasks.
		lost, crashed bool
	}{
		"its workers were lost":       {limit: 2000, state: Accepted, lost: true},
		"its workers were lost twice": {limit: 2000, state: Accepted, lost: true, crashed: true},
		"no limit":                    {state: Accepted, started: true},
		"large enough":                {limit: 10000, state: Accepted, started: true},
		"without places":              {limit: 2000, state: Accepted},
		"too small":                   {limit: 600, state: Accepted, fails: true},
		"too small, but ended":        {limit: 600, state: Completed},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(4, 2)
			j := gangJob("4c1d", 1, 40, 1, 0)
			j.Steps[0].Gang = false
			s.accept(j, testStart)
			s.startAll(testStart)
			for i, u := range j.units {
				if i < 20 {
					u.setPhase(done)
					continue
				}
				u.crashes.started = []StartedOn{{Worker: "w0000", Incarnation: 1764892800000, Tasks: []int{i}}}
			}
			crash := Crash{Worker: "w0000", Tasks: []int{0}, Age: time.Second, Incarnation: 1764892800000, Unseen: true}
			for i, u := range j.units {
				if test.lost {
					u.crashes.list = []Crash{crash}
				}
				if test.crashed && i == 20 {
					u.crashes.list = []Crash{crash, crash}
				}
			}
			j.State = test.state
			value, err := j.Encode("writer", test.limit)
			require.Equal(t, test.fails, err != nil)
			if test.fails {
				return
			}
			require.True(t, test.limit == 0 || len(value) <= test.limit)
			stored, err := Decode(value)
			require.NoError(t, err)
			require.Equal(t, test.state, stored.State)
			require.True(t, stored.Begun())
			if test.state != Accepted {
				require.Empty(t, stored.units, "nothing of an ended job is kept")
				return
			}
			require.Len(t, stored.units, 40)
			require.Equal(t, test.started, len(stored.units[20].crashes.started) > 0)
			require.Equal(t, done, stored.units[0].phase)
			require.Equal(t, test.crashed, len(stored.units[20].crashes.list) == 2, "crashes by which a task is suspected are kept")
		})
	}
}

// Guards against a record that earlier versions can't read, and against one that they have written again without what they don't know.
func TestRecordThroughEarlierVersion(t *testing.T) {
	s := testState(3, 1)
	j := gangJob("4c1d", 1, 1, 8, time.Second)
	s.accept(j, testStart)
	require.Len(t, s.startAll(testStart), 1)
	j.units[0].slowOn, j.units[0].shownTime = []ids.InstanceID{"w0001", "w0002"}, time.Minute
	s.Dirty(1, testStart)
	value, err := j.Encode("writer", 0)
	require.NoError(t, err)
	same, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, j.stamp, same.stamp)
	require.True(t, same.units[0].isProvenLong())
	var r Record
	require.NoError(t, json.Unmarshal(value, &r))
	// Versions up to 6155caa1 drop these fields.
	r.Stamp = tenure.Stamp{}
	unit := r.Units[0]
	unit.SlowOn, unit.Shown = nil, 0
	r.Units[0] = unit
	value, err = json.Marshal(r)
	require.NoError(t, err)
	for _, field := range []string{"Stamp", "SlowOn", "Shown"} {
		require.NotContains(t, string(value), field)
	}
	earlier, err := Decode(value)
	require.NoError(t, err)
	next := testState(3, 1)
	next.Epoch = 2
	now := testStart.Add(time.Minute)
	next.Recover([]*Job{earlier}, now)
	next.EndRecovery(nil, now, now)
	require.Zero(t, earlier.age(now), "it counts from the takeover")
	require.False(t, earlier.units[0].isProvenLong())
	require.NoError(t, next.Verify())
	require.Equal(t, j.units[0].placesOf(), earlier.units[0].placesOf())
}
