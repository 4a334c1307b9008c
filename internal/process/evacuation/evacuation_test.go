package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestSet guards against requests that are missed, reported twice, or kept after their withdrawal.
func TestSet(t *testing.T) {
	steps := []struct {
		requested []ids.DataCentreID
		at        time.Duration
		want      []Event
	}{
		{nil, 0, nil},
		{[]ids.DataCentreID{"b", "a", "a"}, time.Second, []Event{{DataCentre: "a", Phase: Begun}, {DataCentre: "b", Phase: Begun}}},
		{[]ids.DataCentreID{"a", "b"}, 2 * time.Second, nil},
		{[]ids.DataCentreID{"b", "c"}, 3 * time.Second, []Event{{DataCentre: "a", Phase: Withdrawn, After: 2 * time.Second}, {DataCentre: "c", Phase: Begun}}},
		{[]ids.DataCentreID{"a", "b", "c"}, 4 * time.Second, []Event{{DataCentre: "a", Phase: Begun}}},
		{nil, 5 * time.Second, []Event{
			{DataCentre: "a", Phase: Withdrawn, After: time.Second},
			{DataCentre: "b", Phase: Withdrawn, After: 4 * time.Second},
			{DataCentre: "c", Phase: Withdrawn, After: 2 * time.Second},
		}},
	}
	var tr Tracker
	for _, s := range steps {
		require.Equal(t, s.want, tr.Set(s.requested, at(s.at)))
		for _, id := range []ids.DataCentreID{"a", "b", "c"} {
			require.Equal(t, slices.Contains(s.requested, id), tr.Contains(id))
		}
	}
	require.Empty(t, tr.Requested())
}

// TestObserve guards against an Emptied event while runs are left, and against repeated or missing ones.
func TestObserve(t *testing.T) {
	var tr Tracker
	require.Empty(t, tr.Observe(map[ids.DataCentreID]int{"a": 0}, at(0)))
	tr.Set([]ids.DataCentreID{"a", "b"}, at(0))
	require.Equal(t, []Event{{DataCentre: "b", Phase: Emptied, After: time.Second}}, tr.Observe(map[ids.DataCentreID]int{"a": 2, "c": 1}, at(time.Second)))
	require.Empty(t, tr.Observe(map[ids.DataCentreID]int{"a": 1}, at(2*time.Second)))
	require.Equal(t, []Event{{DataCentre: "a", Phase: Emptied, After: 3 * time.Second}}, tr.Observe(nil, at(3*time.Second)))
	require.Empty(t, tr.Observe(nil, at(4*time.Second)))
	// A late report may show a run that was not known.
	require.Empty(t, tr.Observe(map[ids.DataCentreID]int{"a": 1}, at(5*time.Second)))
	require.Equal(t, []Event{{DataCentre: "b", Phase: Withdrawn, After: 6 * time.Second}}, tr.Set([]ids.DataCentreID{"a"}, at(6*time.Second)))
	require.Equal(t, []Event{{DataCentre: "a", Phase: Withdrawn, RunsLeft: 1, After: 7 * time.Second}}, tr.Set(nil, at(7*time.Second)))
}

// TestMayMove guards against moves of work that ends soon, and against moves that exceed the pace.
func TestMayMove(t *testing.T) {
	cases := map[string]struct {
		remaining, restore time.Duration
		want               bool
	}{
		"it ends soon":                         {2 * time.Second, 100 * time.Millisecond, false},
		"it runs on":                           {5 * time.Second, 100 * time.Millisecond, true},
		"it would restore for long":            {5 * time.Second, time.Second, false},
		"it would run longer than it restores": {11 * time.Second, time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			require.Equal(t, c.want, tr.MayMove(c.remaining, c.restore, at(0)))
		})
	}
	t.Run("pace", func(t *testing.T) {
		var tr Tracker
		moved := 0
		for ms := range 1000 {
			for range 10 {
				if tr.MayMove(10*time.Second, 0, at(time.Duration(ms)*time.Millisecond)) {
					moved++
				}
			}
		}
		require.InDelta(t, moveBurst+10, moved, 1)
		// A pause does not add up to a larger burst.
		moved = 0
		for range 100 {
			if tr.MayMove(10*time.Second, 0, at(time.Hour)) {
				moved++
			}
		}
		require.Equal(t, moveBurst, moved)
	})
	t.Run("work that ends soon does not use the pace", func(t *testing.T) {
		var tr Tracker
		for range 100 {
			tr.MayMove(time.Second, 0, at(0))
		}
		require.True(t, tr.MayMove(10*time.Second, 0, at(0)))
	})
}
