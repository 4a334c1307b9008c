package poolowner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Malformed values of the store end no process and no other job: a record that can't be decided on is left alone, and an
// unreadable list of used workers means that any worker may run tasks.
func TestMalformedStoreEntries(t *testing.T) {
	record := func(change func(r *pool.Record)) []byte {
		r := pool.Record{Format: 1, ID: "x", State: pool.Accepted, MaxAttempts: 1, Steps: []pool.Step{{Tasks: 1}}}
		change(&r)
		value, err := json.Marshal(r)
		require.NoError(t, err)
		return value
	}
	for name, entry := range map[string]struct {
		key   string
		value []byte
	}{
		"a record without steps":          {prefixJobs + "x", record(func(r *pool.Record) { r.Steps = nil })},
		"a record with a later step":      {prefixJobs + "x", record(func(r *pool.Record) { r.Steps[0].After = []int{3} })},
		"a record of no tasks":            {prefixJobs + "x", record(func(r *pool.Record) { r.Steps[0].Tasks = -1 })},
		"a record of too many tasks":      {prefixJobs + "x", record(func(r *pool.Record) { r.Schedule.Occurrences = 1 << 40 })},
		"a record of negative resources":  {prefixJobs + "x", record(func(r *pool.Record) { r.Steps[0].Each.Accelerators = -8 })},
		"a record in an unknown state":    {prefixJobs + "x", record(func(r *pool.Record) { r.State = "Paused" })},
		"a record under another job's id": {prefixJobs + "y", record(func(*pool.Record) {})},
		"a record that is not JSON":       {prefixJobs + "x", []byte("{")},
		"a worker that is not JSON":       {testWorkerPrefix + "x", []byte("{")},
		"used workers that are not JSON":  {keyWorkers, []byte("{")},
		"estimates that are not JSON":     {keyEstimates, []byte("{")},
		"an owner that is not JSON":       {keyOwner, []byte("{")},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				w.ownerInstance().kill(false)
				w.store.Set(entry.key, entry.value)
				time.Sleep(5 * time.Second)
				w.awaitState(1, "a", pool.Completed)
				require.Equal(t, 3, w.checker.StartCount("a"), "the gang was started again")
				w.defineJob("b", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
				_, err = w.submit(w.awaitOwner(), 1, "b")
				require.NoError(t, err)
				w.awaitState(1, "b", pool.Completed)
			})
		})
	}
}

// A malformed submission that another instance forwards is refused.
func TestMalformedPeerCalls(t *testing.T) {
	for name, steps := range map[string][]pool.Step{
		"no steps":           nil,
		"no tasks":           {{Tasks: 0}},
		"too many tasks":     {{Tasks: 1 << 40}},
		"a later step":       {{Tasks: 1, After: []int{1}}},
		"a negative step":    {{Tasks: 1, After: []int{-1}}},
		"negative resources": {{Tasks: 1, Each: ids.Resources{Accelerators: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				_, forwarder := w.ownerInstance().current()
				answer, err := forwarder.servePeer(context.Background(), Call{Kind: Submit, Host: "host", Path: "/1/a", Key: testKey, Steps: steps})
				require.NoError(t, err)
				require.Equal(t, Invalid, answer.Result)
			})
		})
	}
}

// A panic ends the term and not the process. The next owner takes over the runs.
func TestPanicEndsTheTerm(t *testing.T) {
	for name, cause := range map[string]func(t *term){
		"in an event":               func(t *term) { t.post(func() { panic("test") }) },
		"in one of its goroutines":  func(t *term) { t.spawn("test", func() { panic("test") }) },
		"while it waits for a call": func(t *term) { _ = t.do(context.Background(), func() { panic("test") }) },
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(3, 4)}, runTime: 8 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				first := w.ownerInstance()
				owner, _ := first.current()
				cause(owner.term.Load())
				time.Sleep(3 * time.Second)
				require.NotNil(t, w.ownerInstance(), "no instance owns the pool")
				require.EqualValues(t, 1, owner.Metrics().Panics.Value())
				w.awaitState(1, "a", pool.Completed)
				require.Equal(t, 3, w.checker.StartCount("a"), "the gang was started again")
			})
		})
	}
}

// An order whose process was suspended between the decision and the sending is not sent if its run is no longer wanted. Workers
// that have restarted since know no epoch, so fencing does not stop it.
func TestOrderDecidedBeforeSuspension(t *testing.T) {
	const pause = 5 * time.Second
	for name, decide := range map[string]func(now timestamp) timestamp{
		"the process was stopped":   func(now timestamp) timestamp { return timestamp{at: now.at.Add(-pause)} },
		"the machine was suspended": func(now timestamp) timestamp { return timestamp{at: now.at, suspended: -pause} },
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("late", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
				owner, _ := w.ownerInstance().current()
				term := owner.term.Load()
				l := term.links["worker00"]
				l.start(queuedOrder{action: pool.Action{Kind: pool.StartRun, Worker: l.id, Run: worker.Run{Task: worker.Task{Job: "late"}, Number: 1001}}, decided: decide(owner.now())})
				time.Sleep(time.Second)
				require.Zero(t, w.checker.StartCount("late"))
			})
		})
	}
}

// An order that waits for a slot when its term ends is not sent.
func TestNoOrderAfterTheTerm(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("late", jobSpec{steps: []pool.Step{gangStep(1, 1)}, runTime: time.Second})
		owner, _ := w.ownerInstance().current()
		term := owner.term.Load()
		l := term.links["worker00"]
		term.end("test")
		for i := range 100 {
			l.start(queuedOrder{action: pool.Action{Kind: pool.StartRun, Worker: l.id, Run: worker.Run{Task: worker.Task{Job: "late"}, Number: 1001}}, decided: owner.now(), waited: i%2 == 0})
		}
		time.Sleep(time.Second)
		require.Zero(t, w.checker.StartCount("late"))
	})
}

// A worker that is silent for less than its lease keeps its run, which is neither started again nor given up.
func TestWorkerSilentForLessThanItsLease(t *testing.T) {
	for name, silence := range map[string]time.Duration{"shortly": time.Second, "for half of its lease": 3 * time.Second, "for most of its lease": 4500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: 8 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				for id := range w.listed {
					w.fleet.Worker(id).SetPartitioned(true)
				}
				time.Sleep(silence)
				for id := range w.listed {
					w.fleet.Worker(id).SetPartitioned(false)
				}
				w.awaitState(1, "a", pool.Completed)
				require.Equal(t, 2, w.checker.StartCount("a"), "the gang was started again")
			})
		})
	}
}

// Guards against tasks that run twice, since the answer to their start is lost and the worker restarts at once: a start whose connection was closed counted as gone
// with the process that had closed it, but it may still be carried out by the next one. The checker verifies that no second run exists at the same time, and none
// starts after the end.
func TestLostStartAnswerBeforeRestart(t *testing.T) {
	for name, fault := range map[string]runservice.Fault{
		"no answer": {LoseAnswer: true},
		"the connection is closed, executed late": {Refusal: worker.ErrConnectionClosed, ExecuteAfter: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(1, 8)}, runTime: 3 * time.Second})
				for id := range w.listed {
					w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
						if call != "start" {
							return runservice.Fault{}
						}
						return fault
					})
				}
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(200 * time.Millisecond)
				for id := range w.listed {
					w.fleet.Worker(id).SetFault(nil)
					w.fleet.Worker(id).Crash()
					w.fleet.Worker(id).Restart()
					w.listWorker(id)
				}
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// Guards against stop orders that multiply until the owner runs out of memory: each one that failed marked its worker as dead, and a dead worker got new stop
// orders for all runs whose starts were not answered.
func TestStopOrdersOfDeadWorkersDoNotMultiply(t *testing.T) {
	const jobs = 18
	for name, refusal := range map[string]error{"nothing listens": worker.ErrNotListening, "another worker answers": worker.ErrIncarnationMismatch} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				began := time.Now()
				for id := range w.listed {
					w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
						switch after := time.Since(began); {
						case after < 100*time.Millisecond:
							return runservice.Fault{Silent: call == "start"}
						case after < 3*time.Second:
							return runservice.Fault{Refusal: refusal}
						}
						return runservice.Fault{}
					})
				}
				for i := range jobs {
					id := ids.JobID(fmt.Sprintf("job%02d", i))
					w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(1, 2)}, runTime: time.Second})
					_, err := w.submit(w.instances[0], 1, id)
					require.NoError(t, err)
				}
				for i := range jobs {
					w.awaitState(1, ids.JobID(fmt.Sprintf("job%02d", i)), pool.Completed)
				}
				owner, _ := w.ownerInstance().current()
				require.LessOrEqual(t, owner.Metrics().Stops.Value(), int64(4*jobs), "stop orders sent")
			})
		})
	}
}

// A submission whose write was executed but not answered when its owner was lost is accepted once; no instance says that it was
// refused.
func TestLostSubmissionAnswerAtHandOver(t *testing.T) {
	for name, machineOff := range map[string]bool{"its process is killed": false, "its machine is off": true} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: 2 * time.Second})
				first := w.ownerInstance()
				w.store.SetFault(func(client string, write bool) storeservice.CallFault {
					return storeservice.CallFault{LoseAnswer: write && client == first.name}
				})
				time.AfterFunc(100*time.Millisecond, func() { first.kill(machineOff) })
				for try := range 4 {
					var other *instance
					for other = w.instances[try%3]; other == first; other = w.instances[(try+1)%3] {
					}
					answer, err := w.submit(other, 1, "a")
					if err == nil {
						require.NotContains(t, []Result{Refused, NotNow}, answer.Result)
						if answer.Result == OK {
							break
						}
					}
				}
				w.awaitState(1, "a", pool.Completed)
				require.Equal(t, 2, w.checker.StartCount("a"))
			})
		})
	}
}

// All instances restart while lists show the store as it was before a key was revoked and a worker was removed, and watches get
// no answer. The key is not accepted, and nothing starts on the worker.
func TestOldListsAfterRestart(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(1, 8)}, runTime: time.Second})
		w.defineJob("b", jobSpec{steps: []pool.Step{{Tasks: 6, Each: ids.Resources{Accelerators: 8, Cores: 1000, Memory: 1}, Estimate: time.Second}}, runTime: time.Second})
		_, err := w.submit(w.instances[0], 1, "a")
		require.NoError(t, err)
		w.awaitState(1, "a", pool.Completed)
		for _, i := range w.instances {
			i.kill(false)
		}
		// The job is accepted before and waits; the removed worker would be needed to run all of its tasks at once.
		w.store.FreezeLists(true)
		delete(w.catalog.Keys, testKey)
		w.catalog.Keys["other"] = testAccount
		w.writeConfig()
		w.unlistWorker("worker05")
		w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
			return storeservice.CallFault{Silent: prefix != keyOwner}
		})
		for _, i := range w.instances {
			i.start()
		}
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			for _, i := range w.instances {
				answer, err := w.call(i, Read, 1, "a", jobSpec{})
				require.False(t, err == nil && answer.Result == OK, "a revoked key was accepted: %+v", answer)
			}
		}
		w.store.FreezeLists(false)
		w.store.SetWatchFault(nil)
		owner, _ := w.awaitOwner().current()
		require.False(t, owner.term.Load().lists("worker05"), "a removed worker is listed again")
	})
}

// lists reports whether a worker is in the term's instance list.
func (t *term) lists(id ids.InstanceID) (found bool) {
	if err := t.do(context.Background(), func() { _, found = t.listed[id] }); err != nil {
		return false
	}
	return found
}

// A list in place of a watch that failed shows the store as it was before a worker was removed: the worker stays removed.
func TestOldListAfterFailedWatch(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		owner, _ := w.ownerInstance().current()
		term := owner.term.Load()
		w.store.FreezeLists(true)
		w.unlistWorker("worker05")
		time.Sleep(time.Second)
		w.store.SetWatchFault(func(_, prefix string) storeservice.CallFault {
			return storeservice.CallFault{Refuse: prefix == testWorkerPrefix}
		})
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			require.False(t, term.lists("worker05"), "a removed worker is listed again")
		}
		w.store.SetWatchFault(nil)
		w.store.FreezeLists(false)
	})
}

// A submission is repeated at an instance whose lists show the store as it was before the job was accepted, while no instance serves:
// it is not refused.
func TestRepeatedSubmissionWithOldLists(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		w.defineJob("a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, runTime: time.Second})
		w.store.FreezeLists(true)
		first := w.ownerInstance()
		_, err := w.submit(first, 1, "a")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		first.kill(false)
		for _, other := range w.instances {
			if other != first {
				answer, err := w.submit(other, 1, "a")
				require.ErrorIs(t, err, ErrUnknown, "answered %+v", answer)
			}
		}
		w.store.FreezeLists(false)
		w.awaitState(1, "a", pool.Completed)
	})
}

// Guards against tasks that run twice, since more of them have ended on a worker than its report holds: a run beyond the listed ends is neither active nor listed as
// ended, and counted as lost. Ends pile up while the store is out and they can't be acknowledged.
func TestEndsBeyondReport(t *testing.T) {
	const tasks, runTime = 16, 3 * time.Second
	for name, test := range map[string]struct {
		// atEnd is called just before the store is back, and again is set if tasks may be started again after it.
		atEnd func(w *cluster)
		again bool
	}{
		"store out":                        {atEnd: func(*cluster) {}},
		"store out, and the owner changes": {atEnd: func(w *cluster) { w.ownerInstance().kill(false) }},
		"store out, and the workers restart": {again: true, atEnd: func(w *cluster) {
			for id := range w.listed {
				w.fleet.Worker(id).Crash()
				w.fleet.Worker(id).Restart()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				w.fleet.SetEndsPerReport(2)
				step := gangStep(tasks, 1)
				step.Gang = false
				w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{step}, runTime: runTime})
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, tasks, w.checker.StartCount("a"))
				w.store.SetOutage(true, true)
				time.Sleep(runTime + time.Second)
				test.atEnd(w)
				w.store.SetOutage(false, true)
				w.awaitState(1, "a", pool.Completed)
				if !test.again {
					require.Equal(t, tasks, w.checker.StartCount("a"), w.checker.EventLog())
				}
			})
		})
	}
}

// Guards against orders without an outcome: a worker's address changes while an order waits for its answer, and the run keeps its place without being started or
// stopped again.
func TestAddressChangesDuringOrder(t *testing.T) {
	for call, runTime := range map[string]time.Duration{"start": 2 * time.Second, "stop": 10 * time.Minute} {
		t.Run(call, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				for id := range w.listed {
					w.fleet.Worker(id).SetFault(func(c string) runservice.Fault { return runservice.Fault{Silent: c == call} })
				}
				w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{gangStep(3, 8)}, runTime: runTime})
				time.Sleep(200 * time.Millisecond)
				if call == "stop" {
					_, err := w.call(w.instances[0], Cancel, 1, "a", jobSpec{})
					require.NoError(t, err)
					time.Sleep(100 * time.Millisecond)
				}
				for id, l := range w.listed {
					l.Address = "elsewhere"
					w.mu.Lock()
					w.listed[id] = l
					w.mu.Unlock()
					w.listWorker(id)
				}
				time.Sleep(300 * time.Millisecond)
				for id := range w.listed {
					w.fleet.Worker(id).SetFault(nil)
				}
				if call == "start" {
					w.awaitState(1, "a", pool.Completed)
				}
				w.defineJob("b", jobSpec{steps: []pool.Step{gangStep(6, 8)}, runTime: time.Second})
				_, err := w.submit(w.instances[0], 0, "b")
				require.NoError(t, err)
				w.awaitState(0, "b", pool.Completed)
			})
		})
	}
}

// Guards against one job that stops all writes: its record outgrows a value of the store, and the transaction is repeated without end. It is refused at submission if
// that can be known, and otherwise ended, so that the others go on.
func TestRecordOutgrowsValue(t *testing.T) {
	const limit = 4000
	step := gangStep(1, 1)
	step.Gang = false
	wide := step
	wide.Tasks = 120
	for name, test := range map[string]struct {
		id   ids.JobID
		spec jobSpec
		// state is that of the job in the end; empty if it is refused.
		state pool.JobState
	}{
		"small":       {"a", jobSpec{steps: []pool.Step{step}}, pool.Completed},
		"too wide":    {"a", jobSpec{steps: []pool.Step{wide}}, ""},
		"id too long": {ids.JobID(strings.Repeat("a", 200)), jobSpec{steps: []pool.Step{step}}, ""},
		"many at once": {"a", jobSpec{steps: []pool.Step{step}, schedule: pool.Schedule{
			Occurrences: 100, First: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), Interval: time.Millisecond,
		}}, pool.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				for _, i := range w.instances {
					i.maxValueBytes = limit
				}
				for _, i := range w.instances {
					i.kill(false)
					i.start()
				}
				time.Sleep(2 * time.Second)
				w.awaitOwner()
				test.spec.runTime = 3 * time.Second
				w.defineJob(test.id, test.spec)
				answer, err := w.submit(w.instances[0], 1, test.id)
				require.NoError(t, err)
				if test.state == "" {
					require.Equal(t, Invalid, answer.Result, answer.Reason)
				}
				w.mustSubmit(w.instances[1], "other", jobSpec{steps: []pool.Step{step}, runTime: time.Second})
				w.awaitState(1, "other", pool.Completed)
				if test.state != "" {
					w.awaitState(1, test.id, test.state)
				}
			})
		})
	}
}
