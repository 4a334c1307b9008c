package entry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against a dry run that reports no workers because the instance list has not been read yet.
func TestEffectsBeforeInstanceList(t *testing.T) {
	e := &Entry{}
	c := &config.Config{DataCentres: map[ids.DataCentreID]config.DataCentre{"d": {Evacuate: true}, "e": {}}}
	effects := func() []string {
		_, effects := e.checkFeasibility(c)
		return effects
	}
	require.Equal(t, []string{`DataCentre "d": evacuated; its workers are not known yet, since the instance list has not been read`}, effects())
	e.directory.snapshot.Store(newSnapshot(nil))
	require.Equal(t, []string{`DataCentre "d": evacuated, but no worker names it`}, effects())
}

// A worker that leaves is known soon after a poll of the instance list that got no answer, and the failure is an event.
func TestInstanceListWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const worker = ids.InstanceID("w")
		began := time.Now()
		polls, leaving := 0, false
		var mu sync.Mutex
		var kinds []string
		seen := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(kinds)
		}
		d := &directory{
			pollInterval: time.Second, callTimeout: time.Second,
			onEvent: func(kind, _ string) {
				mu.Lock()
				defer mu.Unlock()
				kinds = append(kinds, kind)
			},
			list: instancelist.Client{List: func(ctx context.Context) ([]instancelist.Instance, error) {
				polls++
				if polls == 2 {
					leaving = true
					<-ctx.Done()
					return nil, ctx.Err()
				}
				var err error
				if polls > 3 {
					leaving, err = false, instancelist.ErrMalformed
				}
				return []instancelist.Instance{{ID: worker, Role: instancelist.Worker, DataCentre: "d", Leaving: leaving}}, err
			}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.run(ctx, func() {})
		for {
			time.Sleep(10 * time.Millisecond)
			if nodes, known := d.nodes("d", nil); known && nodes[0].Leaving {
				break
			}
		}
		require.Less(t, time.Since(began), 2500*time.Millisecond)
		require.Equal(t, []string{"InstanceListLost", "InstanceListRegained"}, seen())
		// Malformed entries of others are an event, once, and the list is followed.
		time.Sleep(3 * time.Second)
		nodes, known := d.nodes("d", nil)
		require.True(t, known && !nodes[0].Leaving)
		require.Equal(t, []string{"InstanceListLost", "InstanceListRegained", "InstanceMalformed"}, seen())
	})
}
