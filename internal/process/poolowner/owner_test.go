package poolowner

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// inWorld runs a test in virtual time with three instances and six workers.
func inWorld(t *testing.T, run func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 6)
		defer w.stop()
		run(t, w)
	})
}

func TestJobOfTwoSteps(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		second := pool.Step{Tasks: 5, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second, After: []int{0}}
		w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 4), second}, runTime: 2 * time.Second})
		answer, err := w.submit(w.instances[1], 1, "a")
		require.NoError(t, err)
		require.Equal(t, OK, answer.Result, answer.Reason)
		w.awaitState(1, "a", pool.Completed)
		owner, _ := w.ownerInstance().current()
		m := owner.Metrics()
		require.Equal(t, []string{`priority="1"`}, m.StartTime.Labels())
		require.Equal(t, []string{`priority="1",outcome="Completed"`}, m.EndTime.Labels())
		require.InDelta(t, 4.0, m.EndTime.Of(`priority="1",outcome="Completed"`).Quantile(50).Seconds(), 0.5)
	})
}

// A repetition of a submission whose record is being written while the store is out is neither refused nor run twice.
func TestRepeatedSubmissionDuringOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
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

// A call is answered within its queue's bound, also if its client would wait longer.
func TestQueueTimeout(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.catalog.Queues[1].Timeout = 300 * time.Millisecond
		w.configure()
		time.Sleep(time.Second)
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.store.SetOutage(true, true)
		before := time.Now()
		_, err := w.submit(w.ownerInstance(), 1, "a")
		require.ErrorIs(t, err, ErrUnknown)
		require.Equal(t, 300*time.Millisecond, time.Since(before))
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// What comes while the store is out is refused at once, and never runs.
func TestRefusedDuringOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.define("b", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
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

// Work goes on over the loss of the owner: the next one takes the runs over.
func TestOwnerLost(t *testing.T) {
	losses := map[string]func(i *instance){
		"its process is killed":   func(i *instance) { i.kill(false) },
		"its machine is off":      func(i *instance) { i.kill(true) },
		"it stands still":         func(i *instance) { i.pause(5 * time.Second) },
		"it gives ownership up":   func(i *instance) { owner, _ := i.current(); owner.Leave() },
		"it is restarted at once": func(i *instance) { i.kill(false); i.start() },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				lost := w.ownerInstance()
				lose(lost)
				time.Sleep(3 * time.Second)
				next := w.ownerInstance()
				require.NotNil(t, next, "nobody owns the pool 3 s after the loss")
				w.awaitState(1, "a", pool.Completed)
				require.Less(t, w.ledger.Starts("a"), 4, "the gang was started again")
			})
		})
	}
}

// An owner that alone is turned away by the store is replaced; what it still orders changes nothing.
func TestStoreTurnsOwnerAway(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
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

// Lost and late answers of the store leave one record a job and one run a task.
func TestStoreLosesAnswers(t *testing.T) {
	faults := map[string]storeservice.CallFault{
		"answers are lost":   {LoseAnswer: true},
		"writes come late":   {Late: 2 * time.Second},
		"writes are refused": {Refuse: true},
		"answers are slow":   {Delay: 240 * time.Millisecond},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				calls := 0
				w.store.SetFault(func(_ string, write bool) storeservice.CallFault {
					if calls++; write && calls%3 != 0 {
						return fault
					}
					return storeservice.CallFault{}
				})
				for n := range 10 {
					id := ids.JobID(rune('a' + n))
					w.define(id, jobSpec{steps: []pool.Step{gangStep(2, 2)}, runTime: time.Second})
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

// Orders that get no answer and are carried out seconds later start no task twice.
func TestLateOrders(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for id := range w.listed {
			calls := 0
			w.fleet.Worker(id).SetFault(func(order string) runservice.Fault {
				if calls++; order != "renew" && order != "renewed" && calls%3 == 0 {
					return runservice.Fault{Late: 3 * time.Second}
				}
				return runservice.Fault{}
			})
		}
		for n := range 6 {
			id := ids.JobID(rune('a' + n))
			w.define(id, jobSpec{steps: []pool.Step{gangStep(3, 2)}, runTime: 2 * time.Second})
			w.submit(w.instances[n%3], 1, id)
		}
		for n := range 6 {
			w.awaitState(1, ids.JobID(rune('a'+n)), pool.Completed)
		}
	})
}

// A worker that is cut off runs on until its lease ends; its gang is not started again before.
func TestWorkerCutOff(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 8)}, runTime: 10 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		w.fleet.Worker(w.ledger.Active("a")[0]).SetCut(true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A gang that lost a member with its worker starts again elsewhere as soon as the worker has left one call without an answer,
// however long its last renewal still waits.
func TestGangOfDarkWorker(t *testing.T) {
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(offset.String(), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 8)}, runTime: 10 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second + offset)
				require.Equal(t, 3, w.ledger.Starts("a"))
				w.fleet.Worker(w.ledger.Active("a")[0]).Crash()
				time.Sleep(workerCall + 400*time.Millisecond)
				require.Equal(t, 6, w.ledger.Starts("a"))
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// A key that was taken away opens nothing once the configuration has changed.
func TestRevokedKey(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		w.catalog.Keys = map[string]ids.AccountID{"other": testAccount}
		w.catalog.Version++
		w.configure()
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, NoKey, answer.Result)
	})
}

// An owner that can't confirm the configuration answers no keyed call.
func TestUnconfirmedConfiguration(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		w.submit(w.instances[0], 1, "a")
		w.store.SetOutage(true, true)
		time.Sleep(5 * time.Second)
		answer, err := w.ask(w.instances[0], Read, 1, "a", jobSpec{})
		require.NoError(t, err)
		require.Equal(t, NotNow, answer.Result)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A cancelled job is stopped, and stays cancelled over owners.
func TestCancel(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: time.Minute})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		answer, err := w.ask(w.instances[2], Cancel, 1, "a", jobSpec{})
		if err == nil && answer.Result == OK {
			w.ledger.Cancelled("a")
		}
		require.Equal(t, OK, answer.Result, answer.Reason)
		time.Sleep(time.Second)
		require.Empty(t, w.ledger.Active("a"))
		w.ownerInstance().kill(false)
		w.awaitState(1, "a", pool.Cancelled)
	})
}

// Everything is lost but the store; the jobs go on from their records.
func TestRestartOfEverything(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for n := range 8 {
			id := ids.JobID(rune('a' + n))
			w.define(id, jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 5 * time.Second})
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

// A worker whose entry lapsed while the store was out still runs its tasks; they are not started a second time.
func TestLapsedEntry(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 8)}, runTime: 20 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		for _, id := range w.ledger.Active("a") {
			w.unlist(id)
		}
		w.ownerInstance().kill(false)
		time.Sleep(1500 * time.Millisecond)
		for id := range w.listed {
			w.list(id)
		}
		w.awaitState(1, "a", pool.Completed)
	})
}

// A poisoned job uses its attempts up and no more; the workers stay in use.
func TestPoisonedJob(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second, poison: true})
		w.submit(w.instances[0], 1, "a")
		w.awaitState(1, "a", pool.Failed)
	})
}

// A worker that was cut off while nothing ran there is used again once it answers.
func TestIdleWorkerComesBack(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: time.Second})
		w.fleet.Worker("worker00").SetCut(true)
		w.submit(w.instances[0], 1, "a")
		time.Sleep(20 * time.Second)
		w.fleet.Worker("worker00").SetCut(false)
		w.awaitState(1, "a", pool.Completed)
	})
}

// A worker that was restarted numbers its ends anew. It is not told to forget the first ones by the numbers of its earlier life.
func TestRestartedWorkerKeepsItsEnds(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for n := range 6 {
			id := ids.JobID(rune('a' + n))
			w.define(id, jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: 100 * time.Millisecond})
			w.submit(w.instances[0], 1, id)
			time.Sleep(5 * time.Second)
			for worker := range w.listed {
				w.fleet.Worker(worker).Crash()
				w.fleet.Worker(worker).Restart()
			}
		}
		for n := range 6 {
			w.awaitState(1, ids.JobID(rune('a'+n)), pool.Completed)
			require.Equal(t, 6, w.ledger.Starts(ids.JobID(rune('a'+n))))
		}
	})
}

// The entries of all workers lapsed while the store was out, and two owners are lost before they are back. The last one
// still knows that tasks may run on workers that are not listed.
func TestLapsedEntriesOverTwoOwners(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 8)}, runTime: 20 * time.Second})
		w.submit(w.instances[0], 1, "a")
		time.Sleep(time.Second)
		busy := w.ledger.Active("a")
		for _, id := range busy {
			w.unlist(id)
		}
		for range 2 {
			w.ownerInstance().kill(false)
			time.Sleep(time.Second)
			w.awaitOwner()
			time.Sleep(500 * time.Millisecond)
		}
		require.Equal(t, 2, w.ledger.Starts("a"), "the gang runs on workers that are not listed")
		for _, id := range busy {
			w.list(id)
		}
		w.awaitState(1, "a", pool.Completed)
	})
}

// A job that waits behind a write without an answer is refused once the store is taken as out, long before its deadline.
func TestRefusedBehindLostWrite(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for _, id := range []ids.JobID{"a", "b"} {
			w.define(id, jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		}
		w.store.SetOutage(true, true)
		go w.submit(w.instances[0], 1, "a")
		time.Sleep(300 * time.Millisecond)
		before := time.Now()
		answer, err := w.submit(w.instances[0], 1, "b")
		require.NoError(t, err)
		require.Equal(t, Refused, answer.Result)
		require.Less(t, time.Since(before), 2*storeOut)
		w.store.SetOutage(false, true)
		w.awaitState(1, "a", pool.Completed)
	})
}

// The occurrences of a schedule run at their times, also over the loss of the owner, and each runs its steps in order.
func TestScheduledJob(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		second := pool.Step{Tasks: 2, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second, After: []int{0}}
		schedule := pool.Schedule{Occurrences: 4, First: time.Now().Add(2 * time.Second), Interval: 1500 * time.Millisecond}
		w.define("a", jobSpec{steps: []pool.Step{gangStep(2, 4), second}, schedule: schedule, runTime: time.Second})
		answer, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		require.Equal(t, OK, answer.Result, answer.Reason)
		time.Sleep(5 * time.Second)
		w.ownerInstance().kill(false)
		w.awaitState(1, "a", pool.Completed)
		last := schedule.First.Add(3 * schedule.Interval)
		require.Less(t, time.Since(last), 2*time.Second+4*time.Second, "the last occurrence waits for a new owner at most")
		require.Equal(t, 4*4, w.ledger.Starts("a"), "each task was started once")
	})
}

// What an owner has learned of run times is known to the next one.
func TestEstimatesOutliveTheOwner(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for i := range 4 {
			id := ids.JobID(fmt.Sprintf("job%d", i))
			w.define(id, jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: 6 * time.Second})
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
