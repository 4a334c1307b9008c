package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
)

// The time for which a worker is cold is not extended by the repeated delivery of its entry, and ends early if a later entry says so.
func TestColdUntil(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old := ListedWorker{Worker: pool.Worker{ID: "w", Incarnation: 1, ColdUntil: now.Add(5 * time.Second)}, ColdRemaining: 10 * time.Second, revision: 3}
	change := func(do func(w *ListedWorker)) ListedWorker {
		w := old
		w.ColdUntil = time.Time{}
		do(&w)
		return w
	}
	cases := map[string]struct {
		w, old ListedWorker
		want   time.Time
	}{
		"a new worker":                {change(func(*ListedWorker) {}), ListedWorker{}, now.Add(10 * time.Second)},
		"a new worker that is warm":   {change(func(w *ListedWorker) { w.ColdRemaining = 0 }), ListedWorker{}, time.Time{}},
		"the same entry":              {change(func(*ListedWorker) {}), old, now.Add(5 * time.Second)},
		"a later entry":               {change(func(w *ListedWorker) { w.revision, w.ColdRemaining = 4, time.Second }), old, now.Add(time.Second)},
		"a later entry ends it":       {change(func(w *ListedWorker) { w.revision, w.ColdRemaining = 4, 0 }), old, now},
		"another incarnation is cold": {change(func(w *ListedWorker) { w.revision, w.Incarnation = 4, 2 }), old, now.Add(10 * time.Second)},
		"another incarnation is warm": {change(func(w *ListedWorker) { w.revision, w.Incarnation, w.ColdRemaining = 4, 2, 0 }), old, time.Time{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, coldUntil(c.w, c.old, now)) })
	}
}
