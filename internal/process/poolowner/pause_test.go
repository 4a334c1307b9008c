package poolowner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
)

// TestPauseBeforeSendingStart guards against a first start order that is sent after a pause of the process between the check of its age
// and the sending. The pause exceeds the bounds for draining workers and evacuated data centres.
func TestPauseBeforeSendingStart(t *testing.T) {
	for pausedCall, sent := range []int{1, 0, 0, 0} {
		t.Run(fmt.Sprintf("at reading %d of the clock", pausedCall), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				readings, starts := 0, 0
				o := &Owner{Times: Times{}.withDefaults(), Suspended: func() time.Duration {
					// Reading 0 is the time of the decision.
					if readings++; readings == pausedCall+1 && pausedCall > 0 {
						time.Sleep(6 * time.Second)
					}
					return 0
				}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				term := &term{owner: o, claim: &claim{}, log: zap.NewNop(), ctx: ctx, events: make(chan func()), state: &pool.State{}}
				term.leaseRenewedAt.Store(&timestamp{at: time.Now()})
				term.ownedAt.Store(&timestamp{at: time.Now()})
				go func() {
					for {
						select {
						case event := <-term.events:
							event()
						case <-ctx.Done():
							return
						}
					}
				}()
				l := &link{term: term, id: "w", ctx: ctx}
				l.runs.Start = func(ctx context.Context, _ worker.StartRunRequest) error {
					// A client sends nothing under a context that is done.
					if ctx.Err() != nil {
						return ctx.Err()
					}
					starts++
					return nil
				}
				l.runs.Renew = func(context.Context, worker.RenewRunsRequest) (worker.RunReport, error) {
					return worker.RunReport{}, worker.ErrConnectionClosed
				}
				l.start(queuedOrder{action: pool.Action{Worker: "w"}, decided: o.now()})
				require.Equal(t, sent, starts)
			})
		})
	}
}
