package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// The lease of a worker that has left the instance list runs on until its time, so that its tasks may too.
func TestLeaseOfUnlistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expiry := time.Now().Add(time.Second)
		term := &term{sessions: map[ids.InstanceID]*workerSession{"w": {cancel: func() {}, leaseExpiry: expiry}}}
		term.removeSession("w")
		require.Equal(t, expiry, term.leaseExpiry("w"))
		require.True(t, time.Now().After(term.leaseExpiry("never listed")))
	})
}

// TestLostRenewalAnswers guards against a job that runs twice at a time: the answers of its worker's renewals are lost and stops don't
// arrive, while the renewals still extend the lease and the worker's clock is slow. The job must also be restarted before the lost
// answers return.
func TestLostRenewalAnswers(t *testing.T) {
	for name, clockError := range map[string]float64{"exact clock": 0, "slow clock": 0.02} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, simulate(t, safeguards{}, func(w *simulation) {
				w.kill(0)
				var cutOff atomic.Bool
				var running, maxRunning int
				var starts []ids.InstanceID
				for id, s := range w.workers {
					started := make(map[worker.TaskRef]bool)
					s.Observe = func(ref worker.TaskRef, state worker.State) {
						w.history.observe(ref, state)
						w.mu.Lock()
						defer w.mu.Unlock()
						switch {
						case state == worker.Running:
							started[ref] = true
							starts = append(starts, id)
							running++
							maxRunning = max(maxRunning, running)
						case started[ref]:
							delete(started, ref)
							running--
						}
					}
				}
				w.configure = func(o *Owner) {
					dial := o.Worker
					o.Worker = func(id ids.InstanceID) worker.Client {
						c := dial(id)
						renew, stop := c.Renew, c.Stop
						c.Renew = func(ctx context.Context, r worker.Renew) (worker.Report, error) {
							r.TTL = time.Duration(float64(r.TTL) * (1 + clockError))
							return renew(ctx, r)
						}
						c.Stop = func(ctx context.Context, s worker.Stop) (worker.Stopping, error) {
							if cutOff.Load() {
								return worker.Stopping{}, worker.ErrUnreachable
							}
							return stop(ctx, s)
						}
						return c
					}
				}
				w.start(0)
				w.awaitOwner()
				w.submit(caller.Job{Key: "a", Shape: oneAccelerator, Idempotent: true}, "borrower", 2*time.Minute)
				time.Sleep(5 * time.Second)
				w.mu.Lock()
				first := starts[0]
				w.mu.Unlock()
				cutOff.Store(true)
				w.workers[first].SetFaults(workerservice.Faults{LoseRenewAnswers: true})
				time.Sleep(30 * time.Second)
				cutOff.Store(false)
				w.mu.Lock()
				defer w.mu.Unlock()
				require.Equal(t, 1, maxRunning, "the job ran on two workers at once")
				require.Len(t, starts, 2, "the job was not restarted")
			}))
		})
	}
}

// TestLeaseExpiry guards against an expiry that is too early for a worker whose clock is 2% slow, or that counts no renewal without an
// answer or in flight.
func TestLeaseExpiry(t *testing.T) {
	const ttl, timeout, before = 10 * time.Second, 500 * time.Millisecond, 3 * time.Second
	slow := time.Duration(1.02 * float64(ttl))
	for name, c := range map[string]struct {
		err error
		// after is the least time from the sending to the expiry, which is not over a tenth later.
		after time.Duration
	}{
		"answered":    {nil, slow},
		"no answer":   {worker.ErrUnknown, timeout + slow},
		"unreachable": {worker.ErrUnreachable, before},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := time.Now()
				l := &workerSession{leaseExpiry: sent.Add(before)}
				l.term = &term{ctx: t.Context(), lease: &lease{}, events: make(chan func(), 1), owner: &Owner{
					Times: Times{WorkerCallTimeout: timeout},
					Worker: func(ids.InstanceID) worker.Client {
						return worker.Client{Renew: func(context.Context, worker.Renew) (worker.Report, error) {
							require.GreaterOrEqual(t, l.expiry().Sub(sent), timeout+slow, "in flight")
							return worker.Report{}, c.err
						}}
					},
				}}
				require.False(t, l.renew(t.Context(), ttl))
				require.GreaterOrEqual(t, l.expiry().Sub(sent), c.after)
				require.Less(t, l.expiry().Sub(sent), c.after*11/10)
			})
		})
	}
}
