package poolowner

import (
	"cmp"
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

// Guards against tasks that run twice, since the connections of a worker that is cut off are refused or closed although it runs on, and against tasks that wait
// for the lease of a worker which is proved to have ended.
func TestTaskOfUnreachableWorker(t *testing.T) {
	const (
		notice, prompt = 3 * time.Second, 2 * time.Second
		otherProcess   = "another process answers at its address and its lease has expired"
	)
	cutOff := func(w *cluster, id ids.InstanceID, refusal error) {
		w.fleet.Worker(id).SetFault(func(string) runservice.Fault { return runservice.Fault{Refusal: refusal} })
	}
	for name, test := range map[string]struct {
		// draining is set if the worker announces that it leaves, and its time is over.
		draining bool
		// begin begins the disturbance.
		begin func(w *cluster, id ids.InstanceID)
		// waits is set if the task starts elsewhere only when the lease has expired, and evidence is what the log then names, or else.
		waits    bool
		evidence string
	}{
		"it leaves": {draining: true, evidence: "it has left and removed its entry", begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Leave()
			w.unlistWorker(id)
		}},
		"it leaves unannounced": {evidence: "it has left and removed its entry", begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Leave()
			w.unlistWorker(id)
		}},
		"it restarts": {evidence: "the worker no longer lists the run", begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Crash()
			w.fleet.Worker(id).Restart()
		}},
		"it restarts behind a cut": {evidence: "its entry names a new incarnation", begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(true)
			w.fleet.Worker(id).Crash()
			w.fleet.Worker(id).Restart()
			w.listWorker(id)
		}},
		"another worker has its address": {waits: true, evidence: otherProcess, begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Crash()
			w.fleet.Worker(id).Restart()
			cutOff(w, id, worker.ErrIncarnationMismatch)
		}},
		"another worker has its address, and it runs on": {waits: true, evidence: otherProcess, begin: func(w *cluster, id ids.InstanceID) { cutOff(w, id, worker.ErrIncarnationMismatch) }},
		"its address changes to that of another worker": {waits: true, begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(true)
			l := w.listed[id]
			l.Address = "elsewhere"
			w.listed[id] = l
			w.listWorker(id)
			time.Sleep(time.Second)
			w.fleet.Worker(id).SetPartitioned(false)
			cutOff(w, id, worker.ErrIncarnationMismatch)
		}},
		"its connections are refused": {waits: true, begin: func(w *cluster, id ids.InstanceID) { cutOff(w, id, worker.ErrNotListening) }},
		"its connections are closed":  {waits: true, begin: func(w *cluster, id ids.InstanceID) { cutOff(w, id, worker.ErrConnectionClosed) }},
		"it is cut off, and its entry lapses": {draining: true, waits: true, begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(true)
			time.AfterFunc(3200*time.Millisecond, func() { w.unlistWorker(id) })
		}},
		"its connections are closed, and its entry, which it could not write, lapses": {draining: true, waits: true, begin: func(w *cluster, id ids.InstanceID) {
			time.Sleep(entryLapse - entryInterval)
			cutOff(w, id, worker.ErrConnectionClosed)
			time.AfterFunc(entryInterval, func() { w.unlistWorker(id) })
		}},
		"its connections are closed, and its entry can't be read": {draining: true, waits: true, begin: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).Leave()
			w.store.Set(testWorkerPrefix+string(id), []byte("{"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				step := gangStep(1, 8)
				step.Gang, step.Checkpoints = false, true
				w.defineJob("a", jobSpec{steps: []pool.Step{step}, runTime: 20 * time.Second})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				id := w.checker.ActiveWorkers("a")[0]
				w.checker.BeginDisturbance()
				if test.draining {
					l := w.listed[id]
					l.Draining, l.Notice = true, notice
					w.listed[id] = l
					w.listWorker(id)
					w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
						return runservice.Fault{Silent: call == "stop"}
					})
					time.Sleep(notice + 200*time.Millisecond)
				}
				w.listWorker(id)
				time.Sleep(time.Second)
				test.begin(w, id)
				time.Sleep(prompt)
				if test.waits {
					require.Equal(t, 1, w.checker.StartCount("a"), w.checker.EventLog())
					time.Sleep(6 * time.Second)
				}
				require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
				w.fleet.Worker(id).SetFault(nil)
				w.awaitState(1, "a", pool.Completed)
				requireLoss(t, linesOf(w.checker.EventLog(), "a"), id, cmp.Or(test.evidence, "the worker's lease has expired"))
			})
		})
	}
}

// linesOf returns the lines of an event log that name a job, all that is read of a log to find out why its task was started again.
func linesOf(log, job string) string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"`+job+`"`) || strings.Contains(line, `"`+job+"/") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// requireLoss requires that the lines of a job say which worker was believed to have lost its run, by which evidence, how old that was, and since when the worker
// had not reported, both when it was lost and with its next start.
func requireLoss(t *testing.T, lines string, id ids.InstanceID, evidence string) {
	const ages = `"evidenceAge": "[^"]+", "reportAge": "[^"]+", "leaseLeft": "[^"]+"`
	first, second := fmt.Sprint(tokensPerTerm*1000+1), fmt.Sprint(tokensPerTerm*1000+2)
	require.Regexp(t, `decision: RunsLost\t.*`+ages+`, "runs": \["a/0/0 run `+first+`"\], "listAge": .*"worker": "`+string(id)+`", "cause": "`+evidence+`"`, lines)
	require.Regexp(t, `decision: Placed\t.*"previous": {"run": `+first+`, "cause": "[^"]+", "age": "[^"]+", "lostOn": "`+string(id)+`", "evidence": "`+evidence+`", `+ages+`}, "job": "a".*"run": `+second, lines)
}

// Guards against tasks that wait for a worker of an earlier owner anew with each takeover: a new owner counted the time for which a worker that it doesn't know may
// have runs from its own takeover. A worker that was listed again meanwhile may have a newer lease.
func TestWaitForUnknownWorkerAcrossTakeovers(t *testing.T) {
	const (
		wait = testGrace + defaultWorkerLease*51/50
		// takeover covers the loss of an owner, the claim and the age of the record.
		takeover = 6 * time.Second
	)
	for name, test := range map[string]struct {
		// between is called between the two takeovers.
		between func(w *cluster, id ids.InstanceID)
		// isListed is set if its entry stays.
		isListed bool
		// anew is set if the wait begins anew with the second takeover.
		anew bool
	}{
		"the worker has left": {},
		"the worker is back and is cut off again": {anew: true, between: func(w *cluster, id ids.InstanceID) {
			w.fleet.Worker(id).SetPartitioned(false)
			w.listWorker(id)
			time.Sleep(4 * time.Second)
			w.fleet.Worker(id).SetPartitioned(true)
			w.unlistWorker(id)
		}},
		"the worker is cut off and listed": {isListed: true},
		// A start there would not be accounted for.
		"the worker is back while records can't be stored": {between: func(w *cluster, id ids.InstanceID) {
			time.Sleep(4 * time.Second)
			w.store.SetFault(func(_ string, write bool) storeservice.CallFault { return storeservice.CallFault{Silent: write} })
			w.fleet.Worker(id).SetPartitioned(false)
			w.listWorker(id)
			time.Sleep(DefaultLease / 2)
			w.fleet.Worker(id).SetPartitioned(true)
			w.unlistWorker(id)
			w.store.SetFault(nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				step := gangStep(1, 8)
				step.Gang, step.Estimate = false, time.Minute
				w.defineJob("a", jobSpec{steps: []pool.Step{step}, runTime: time.Minute})
				_, err := w.submit(w.instances[0], 1, "a")
				require.NoError(t, err)
				time.Sleep(time.Second)
				id := w.checker.ActiveWorkers("a")[0]
				replaceOwner := func() {
					i := w.ownerInstance()
					i.kill(true)
					time.AfterFunc(3*time.Second, i.start)
					time.Sleep(3 * time.Second)
					w.awaitOwner()
				}
				w.fleet.Worker(id).SetPartitioned(true)
				if !test.isListed {
					w.unlistWorker(id)
				}
				replaceOwner()
				from := time.Now()
				time.Sleep(5 * time.Second)
				if test.between != nil {
					test.between(w, id)
				}
				replaceOwner()
				second := time.Now()
				if test.anew {
					time.Sleep(time.Until(second.Add(wait - 3*time.Second)))
					// The second start is the one that the worker has carried out when it was back.
					require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
					return
				}
				time.Sleep(time.Until(from.Add(wait + takeover)))
				require.Less(t, time.Since(second), wait, "the wait has begun anew")
				require.Equal(t, 2, w.checker.StartCount("a"), w.checker.EventLog())
			})
		})
	}
}

// Guards against tasks that run twice: a worker that was idle restarts, starts a task, and is cut off before it has listed it. Its new entry proves the end of the earlier
// process only, also if what cuts it off answers as another worker.
func TestRunInNewProcessBehindOtherProcess(t *testing.T) {
	for name, fault := range map[string]runservice.Fault{"no answer": {Silent: true}, "another process answers": {Refusal: worker.ErrIncarnationMismatch}} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				for id := range w.listed {
					w.fleet.Worker(id).Crash()
					w.fleet.Worker(id).Restart()
					w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
						if call == "start" {
							return runservice.Fault{}
						}
						return fault
					})
				}
				step := gangStep(1, 8)
				step.Gang, step.Estimate = false, time.Minute
				w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{step}, runTime: time.Minute})
				time.Sleep(600 * time.Millisecond)
				id := w.checker.ActiveWorkers("a")[0]
				for other := range w.listed {
					if other != id {
						w.fleet.Worker(other).SetFault(nil)
					}
				}
				w.listWorker(id)
				time.Sleep(2 * time.Second)
				require.Equal(t, 1, w.checker.StartCount("a"), w.checker.EventLog())
			})
		})
	}
}
