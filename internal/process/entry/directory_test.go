package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// A worker that leaves is known soon after a poll of the instance list that got no answer, and the failure is an event.
func TestInstanceListWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const worker = ids.InstanceID("w")
		began := time.Now()
		polls, leaving := 0, false
		var kinds []string
		d := &directory{
			pollInterval: time.Second, callTimeout: time.Second,
			onEvent: func(kind, _ string) { kinds = append(kinds, kind) },
			list: instancelist.Client{List: func(ctx context.Context) ([]instancelist.Instance, error) {
				polls++
				if polls == 2 {
					leaving = true
					<-ctx.Done()
					return nil, ctx.Err()
				}
				var err error
				if polls > 3 {
					err = instancelist.ErrMalformed
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
		require.Equal(t, []string{"InstanceListLost", "InstanceListRegained"}, kinds)
		// Malformed entries of others are an event, once, and the list is followed.
		leaving = false
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"InstanceListLost", "InstanceListRegained", "InstanceMalformed"}, kinds)
		nodes, known := d.nodes("d", nil)
		require.True(t, known && !nodes[0].Leaving)
	})
}
