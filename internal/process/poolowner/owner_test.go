package poolowner

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/pause"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// inCluster runs a test in virtual time with three instances and six workers.
func inCluster(t *testing.T, run func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 3, 6)
		defer w.stop()
		run(t, w)
	})
}

func TestJobOfTwoSteps(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		second := pool.Step{Tasks: 5, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second, After: []int{0}}
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4), second}, runTime: 2 * time.Second})
		answer, err := w.submit(w.instances[1], 1, "a")
		require.NoError(t, err)
		require.Equal(t, OK, answer.Result, answer.Reason)
		w.awaitState(1, "a", pool.Completed)
		owner, _ := w.ownerInstance().current()
		m := owner.Metrics()
		require.Equal(t, []string{`priority="1"`}, m.StartTime.Labels())
		require.Equal(t, []string{`priority="1",outcome="Completed"`}, m.EndTime.Labels())
		require.InDelta(t, 4.0, m.EndTime.With(`priority="1",outcome="Completed"`).Quantile(50).Seconds(), 0.5)
	})
}

// A repeated submission whose record is being written during a store outage is neither refused nor run twice.
func TestRepeatedSubmissionDuringOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.store.SetOutage(true, true)
		_, err := w.submit(w.instances[0], 1, "a")
		require.ErrorIs(t, err, ErrUnknown)
		time.Sleep(3 * time.Second)
		answer, err := w.submit(w.instances[1], 1, "a")
		require.ErrorIs(t, err, ErrUnknown, "answered %+v", answer)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// The log shows the workers of each start, the age of the owner's list of workers then, and the watches that got no answer.
func TestLogShowsListAge(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.store.SilenceWatches()
		time.Sleep(time.Second)
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		_, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		w.awaitState(1, "a", pool.Completed)
		time.Sleep(10 * time.Second)
		log := w.checker.EventLog()
		owner := w.ownerInstance().name
		require.Regexp(t, owner+`: decision: Placed\t.*"workers": \["worker\d\d","worker\d\d"\], "listAge": "[0-9.]+m?s", "job": "a"`, log)
		for _, prefix := range []string{testWorkerPrefix, testConfigPrefix, keyOwner} {
			require.Regexp(t, owner+`: store: watch got no answer\t.*"prefix": "`+prefix+`", .*"took": "[0-9.]+s"`, log)
			require.Regexp(t, owner+`: store: watch works again\t.*"prefix": "`+prefix+`", "failures": 1, "after": "[0-9.]+s"`, log)
		}
		m := w.ownerInstance().owner.Metrics()
		require.EqualValues(t, 3, m.WatchesUnanswered.Value())
		require.EqualValues(t, 1, m.StartListAge.Count())
	})
}

// A call is answered within its queue's timeout, even if its client would wait longer.
func TestQueueTimeout(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.catalog.Queues[1].Timeout = 300 * time.Millisecond
		w.writeConfig()
		time.Sleep(time.Second)
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.store.SetOutage(true, true)
		before := time.Now()
		_, err := w.submit(w.ownerInstance(), 1, "a")
		require.ErrorIs(t, err, ErrUnknown)
		require.Equal(t, 300*time.Millisecond, time.Since(before))
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A job submitted during a store outage is refused at once, and never runs.
func TestRefusedDuringOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.defineJob("b", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.store.SetOutage(true, true)
		_, err := w.submit(w.instances[0], 1, "a")
		require.ErrorIs(t, err, ErrUnknown)
		before := time.Now()
		answer, err := w.submit(w.instances[0], 1, "b")
		require.NoError(t, err)
		require.Contains(t, []Result{Refused, NotNow}, answer.Result)
		require.Positive(t, answer.RetryAfter)
		require.Less(t, time.Since(before), time.Second)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// Runs continue when their owner is lost: the next owner takes them over.
func TestOwnerLost(t *testing.T) {
	losses := map[string]func(i *instance){
		"its process is killed":   func(i *instance) { i.kill(false) },
		"its machine is off":      func(i *instance) { i.kill(true) },
		"it is suspended":         func(i *instance) { i.pause(5 * time.Second) },
		"it gives up ownership":   func(i *instance) { owner, _ := i.current(); owner.Leave() },
		"it is restarted at once": func(i *instance) { i.kill(false); i.start() },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				lost := w.ownerInstance()
				lose(lost)
				time.Sleep(3 * time.Second)
				next := w.ownerInstance()
				require.NotNil(t, next, "no instance owns the pool 3 s after the loss")
				w.awaitState(1, "a", pool.Completed)
				require.Less(t, w.checker.StartCount("a"), 4, "the gang was started again")
			})
		})
	}
}

// An owner that is the only instance cut off from the store is replaced; its later orders change nothing.
func TestStoreUnreachableForOwner(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
		_, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		first := w.ownerInstance()
		w.store.SetFault(func(client string, _ bool) storeservice.CallFault {
			return storeservice.CallFault{Silent: client == first.name}
		})
		time.Sleep(5 * time.Second)
		second := w.ownerInstance()
		require.NotNil(t, second)
		require.NotEqual(t, first.name, second.name)
		w.store.SetFault(nil)
		w.awaitState(1, "a", pool.Completed)
	})
}

// Lost and late answers of the store leave one record per job and one run per task.
func TestStoreLosesAnswers(t *testing.T) {
	faults := map[string]storeservice.CallFault{
		"answers are lost":   {LoseAnswer: true},
		"writes come late":   {ExecuteAfter: 2 * time.Second},
		"writes are refused": {Refuse: true},
		"answers are slow":   {Delay: 240 * time.Millisecond},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				calls := 0
				w.store.SetFault(func(_ string, write bool) storeservice.CallFault {
					if calls++; write && calls%3 != 0 {
						return fault
					}
					return storeservice.CallFault{}
				})
				for n := range 10 {
					id := ids.JobID(rune('a' + n))
					w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(2, 2)}, runTime: time.Second})
					w.submit(w.instances[n%3], 1, id)
				}
				w.store.SetFault(nil)
				time.Sleep(30 * time.Second)
				for n := range 10 {
					w.state(1, ids.JobID(rune('a'+n)))
				}
			})
		})
	}
}

// Orders that get no answer and are carried out seconds later don't start a task twice.
func TestLateOrders(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for id := range w.listed {
			calls := 0
			w.fleet.Worker(id).SetFault(func(order string) runservice.Fault {
				if calls++; order != "renew" && order != "renewed" && calls%3 == 0 {
					return runservice.Fault{ExecuteAfter: 3 * time.Second}
				}
				return runservice.Fault{}
			})
		}
		for n := range 6 {
			id := ids.JobID(rune('a' + n))
			w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(3, 2)}, runTime: 2 * time.Second})
			w.submit(w.instances[n%3], 1, id)
		}
		for n := range 6 {
			w.awaitState(1, ids.JobID(rune('a'+n)), pool.Completed)
		}
	})
}

// A worker that is cut off continues its runs until its lease expires; its gang is not started again before that.
func TestWorkerCutOff(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 8)}, runTime: 10 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		w.fleet.Worker(w.checker.ActiveWorkers("a")[0]).SetPartitioned(true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A gang that lost a member in a worker crash is restarted elsewhere as soon as one call to the worker got no answer, even
// if the last renewal is still waiting.
func TestGangRestartsAfterWorkerCrash(t *testing.T) {
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(offset.String(), func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 8)}, runTime: 10 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second + offset)
				require.Equal(t, 3, w.checker.StartCount("a"))
				w.fleet.Worker(w.checker.ActiveWorkers("a")[0]).Crash()
				time.Sleep(workerCallTimeout + 400*time.Millisecond)
				require.Equal(t, 6, w.checker.StartCount("a"))
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// A revoked key is rejected once the configuration has changed.
func TestRevokedKey(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		w.catalog.Keys = map[string]ids.AccountID{"other": testAccount}
		w.catalog.Version++
		w.writeConfig()
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, NoKey, answer.Result)
	})
}

// An owner that can't confirm the configuration refuses each call for now, since its key may have been revoked.
func TestUnconfirmedConfiguration(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		w.submit(w.instances[0], 1, "a")
		w.store.SetOutage(true, true)
		time.Sleep(5 * time.Second)
		answer, err := w.call(w.instances[0], Read, 1, "a", jobSpec{})
		require.NoError(t, err)
		require.Equal(t, NotNow, answer.Result)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A cancelled job is stopped, and stays cancelled across owners.
func TestCancel(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: time.Minute})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		answer, err := w.call(w.instances[2], Cancel, 1, "a", jobSpec{})
		if err == nil && answer.Result == OK {
			w.checker.RecordCancellation("a")
		}
		require.Equal(t, OK, answer.Result, answer.Reason)
		time.Sleep(time.Second)
		require.Empty(t, w.checker.ActiveWorkers("a"))
		w.ownerInstance().kill(false)
		w.awaitState(1, "a", pool.Cancelled)
	})
}

// All instances are lost; the jobs continue from their records in the store.
func TestRestartOfAllInstances(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for n := range 8 {
			id := ids.JobID(rune('a' + n))
			w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 5 * time.Second})
			w.submit(w.instances[0], 1, id)
		}
		time.Sleep(time.Second)
		for _, i := range w.instances {
			i.kill(true)
		}
		time.Sleep(time.Second)
		for _, i := range w.instances {
			i.start()
		}
		for n := range 8 {
			w.awaitState(1, ids.JobID(rune('a'+n)), pool.Completed)
		}
	})
}

// A worker whose entry expired during a store outage still runs its tasks; they are not started a second time.
func TestExpiredEntry(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 8)}, runTime: 20 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		for _, id := range w.checker.ActiveWorkers("a") {
			w.unlistWorker(id)
		}
		w.ownerInstance().kill(false)
		time.Sleep(1500 * time.Millisecond)
		for id := range w.listed {
			w.listWorker(id)
		}
		w.awaitState(1, "a", pool.Completed)
	})
}

// A job that fails on every worker uses up its attempts and no more; the workers stay in use.
func TestPoisonedJob(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second, poison: true})
		w.submit(w.instances[0], 1, "a")
		w.awaitState(1, "a", pool.Failed)
	})
}

// A worker that was cut off while idle is used again once it answers.
func TestIdleWorkerReconnects(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: time.Second})
		w.fleet.Worker("worker00").SetPartitioned(true)
		w.submit(w.instances[0], 1, "a")
		time.Sleep(20 * time.Second)
		w.fleet.Worker("worker00").SetPartitioned(false)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A restarted worker numbers its run ends from the start. They must not be acknowledged by the numbers of its earlier
// incarnation.
func TestRestartedWorkerKeepsRunEnds(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for n := range 6 {
			id := ids.JobID(rune('a' + n))
			w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: 100 * time.Millisecond})
			w.submit(w.instances[0], 1, id)
			time.Sleep(5 * time.Second)
			for worker := range w.listed {
				w.fleet.Worker(worker).Crash()
				w.fleet.Worker(worker).Restart()
			}
		}
		for n := range 6 {
			w.awaitState(1, ids.JobID(rune('a'+n)), pool.Completed)
			require.Equal(t, 6, w.checker.StartCount(ids.JobID(rune('a'+n))))
		}
	})
}

// The entries of all busy workers expired during a store outage, and two owners are lost before the entries are back. The
// last owner still knows that tasks may run on workers that are not listed.
func TestExpiredEntriesAcrossTwoTakeovers(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 8)}, runTime: 20 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		busy := w.checker.ActiveWorkers("a")
		for _, id := range busy {
			w.unlistWorker(id)
		}
		for range 2 {
			w.ownerInstance().kill(false)
			time.Sleep(time.Second)
			w.awaitOwner()
			time.Sleep(500 * time.Millisecond)
		}
		require.Equal(t, 2, w.checker.StartCount("a"), "the gang was started again although it still runs on unlisted workers")
		for _, id := range busy {
			w.listWorker(id)
		}
		w.awaitState(1, "a", pool.Completed)
	})
}

// A job that waits behind an unanswered write is refused once the store counts as unavailable, long before
// the job's deadline.
func TestRefusedBehindUnansweredWrite(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for _, id := range []ids.JobID{"a", "b"} {
			w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		}
		w.store.SetOutage(true, true)
		go w.submit(w.instances[0], 1, "a")
		time.Sleep(300 * time.Millisecond)
		before := time.Now()
		answer, err := w.submit(w.instances[0], 1, "b")
		require.NoError(t, err)
		require.Equal(t, Refused, answer.Result)
		require.Less(t, time.Since(before), 2*storeOutageThreshold)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// The occurrences of a schedule run at their times, even if the owner is lost, and each runs its steps in order.
func TestScheduledJob(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		second := pool.Step{Tasks: 2, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second, After: []int{0}}
		schedule := pool.Schedule{Occurrences: 4, First: time.Now().Add(2 * time.Second), Interval: 1500 * time.Millisecond}
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4), second}, schedule: schedule, runTime: time.Second})
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, OK, answer.Result, answer.Reason)
		time.Sleep(5 * time.Second)
		w.ownerInstance().kill(false)
		w.awaitState(1, "a", pool.Completed)
		last := schedule.First.Add(3 * schedule.Interval)
		require.Less(t, time.Since(last), 2*time.Second+4*time.Second, "the last occurrence waited for more than a new owner")
		require.Equal(t, 4*4, w.checker.StartCount("a"), "not every task was started exactly once")
	})
}

// The run times that an owner learned are known to the next one.
func TestEstimatesSurviveTakeover(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for i := range 4 {
			id := ids.JobID(fmt.Sprintf("job%d", i))
			w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: 6 * time.Second})
			_, err := w.submit(w.instances[0], 1, id)
			require.NoError(t, err)
			w.awaitState(1, id, pool.Completed)
		}
		first := w.ownerInstance()
		first.kill(true)
		time.Sleep(3 * time.Second)
		second := w.ownerInstance()
		require.NotEqual(t, first, second)
		owner, _ := second.current()
		var learned map[ids.QueueID]pool.RunTimes
		require.NoError(t, owner.term.Load().do(t.Context(), func() { learned, _ = owner.term.Load().state.Estimates() }))
		require.GreaterOrEqual(t, learned["queue1"].Weight, 3.0)
		require.InDelta(t, math.Log(6), learned["queue1"].Real, 0.2)
	})
}

// The owner's process is found to have ended between two watches of its key: the next watch does not wait.
func TestTakeOverBetweenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Owner{Instance: "self", Log: zap.NewNop(), Store: store.TransactionClient{
			Watch: func(ctx context.Context, _ string, _ store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
				pause.For(ctx, wait)
				return nil, 1, ctx.Err()
			},
		}}
		dead := &OwnerRecord{Instance: "other", revision: 1}
		o.setCurrentOwner(dead)
		o.TakeOver(dead)
		began := time.Now()
		_, _, err := o.watchOwner(t.Context(), 1, ownerWatchWait)
		require.Error(t, err)
		require.Zero(t, time.Since(began))
	})
}

// The owner's process ends, and an instance with little processor time detects it first: an instance with more takes over.
func TestPatternSmallInstanceDetectsLostOwner(t *testing.T) {
	for seed := range 5 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				lost := w.ownerInstance()
				var small, large *instance
				for _, i := range w.instances {
					switch {
					case i == lost:
					case small == nil:
						small = i
					default:
						large = i
					}
				}
				small.kill(false)
				small.delayClaims = true
				small.start()
				time.Sleep(2 * time.Second)
				lost.kill(false)
				smallOwner, _ := small.current()
				largeOwner, _ := large.current()
				dead := largeOwner.Current()
				smallOwner.TakeOver(smallOwner.Current())
				time.Sleep(10 * time.Millisecond)
				largeOwner.TakeOver(dead)
				time.Sleep(time.Second)
				require.Equal(t, large.name, w.awaitOwner().name)
			})
		})
	}
}

// Guards against entries of other writers that are linked as workers, and against workers that stay unused once a configuration names their service, or are dropped with
// their runs when none does any more.
func TestWorkersOfUnnamedService(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		name := func(services ...ids.ServiceID) {
			w.catalog.Version++
			w.catalog.Services = make(map[ids.ServiceID]bool)
			for _, s := range services {
				w.catalog.Services[s] = true
			}
			w.writeConfig()
			time.Sleep(time.Second)
		}
		name("service")
		for i := range 3 {
			id := ids.InstanceID(fmt.Sprintf("worker%02d", i))
			l := w.listed[id]
			l.ID, l.Service = "x"+id, "other"
			w.fleet.Add(l.ID)
			w.listed[l.ID] = l
			w.listWorker(l.ID)
		}
		time.Sleep(time.Second)
		links := func() int {
			owner, _ := w.ownerInstance().current()
			count := 0
			require.NoError(t, owner.term.Load().do(t.Context(), func() { count = len(owner.term.Load().links) }))
			return count
		}
		require.Equal(t, 6, links())
		name("service", "other")
		require.Equal(t, 9, links())
		w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{gangStep(1, 8)}, runTime: 8 * time.Second})
		time.Sleep(500 * time.Millisecond)
		name("other")
		w.ownerInstance().kill(false)
		w.awaitState(1, "a", pool.Completed)
		require.Equal(t, 1, w.checker.StartCount("a"), "its worker is of a service that is not named any more")
	})
}
