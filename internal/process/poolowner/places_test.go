package poolowner

import (
	"encoding/json"
	"fmt"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// promisedTime is how long a start may take after a takeover if its task waits for no worker.
const promisedTime = 3 * time.Second

// awaitPromise waits until the owner has promised that all places are known.
func (w *cluster) awaitPromise() {
	w.t.Helper()
	for range 100 {
		owner, _ := w.awaitOwner().current()
		confirmed := false
		if t := owner.term.Load(); t != nil && t.do(w.t.Context(), func() { confirmed = t.places.isConfirmed }) == nil && confirmed {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("the owner does not promise that all places are known")
}

// loseWorkers makes workers unreachable for good, before the last owner has noticed.
func (w *cluster) loseWorkers(list ...ids.InstanceID) {
	for _, id := range list {
		w.fleet.Worker(id).SetPartitioned(true)
		w.unlistWorker(id)
	}
}

// Guards against accepted jobs that wait, after a change of the owner, for workers which are lost for good and on which none of their tasks can run.
func TestWaitOnlyForOwnWorkers(t *testing.T) {
	type scene struct {
		w *cluster
		// lost is the worker on which the job "there" runs.
		lost ids.InstanceID
	}
	for name, test := range map[string]struct {
		lose func(s scene)
		// waits means that the other jobs wait too, since not all places are known.
		waits bool
	}{
		"one takeover": {lose: func(s scene) { s.w.ownerInstance().kill(true) }},
		"two takeovers": {lose: func(s scene) {
			first := s.w.ownerInstance()
			first.kill(true)
			s.w.awaitSuccessor(first)
			first.start()
			s.w.ownerInstance().kill(false)
		}},
		"an owner that is lost before it serves": {lose: func(s scene) {
			s.w.setListFault(func(prefix string) error {
				if prefix == prefixJobs {
					return errors.New("test")
				}
				return nil
			})
			defer s.w.setListFault(nil)
			s.w.ownerInstance().kill(true)
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				for _, i := range s.w.instances {
					if owner, _ := i.current(); !i.isDead() && owner.recovering.Load() {
						i.kill(true)
						return
					}
				}
			}
			s.w.t.Fatal("no owner recovers")
		}},
		"the promise of an earlier version": {waits: true, lose: func(s scene) {
			s.w.store.Set(keyTerm, []byte(`{"Epoch":1,"Grace":6000000000}`))
			s.w.ownerInstance().kill(false)
		}},
		"the witnesses were restarted": {waits: true, lose: func(s scene) {
			for _, i := range s.w.others() {
				i.kill(false)
				i.start()
			}
			s.w.ownerInstance().kill(false)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// A majority of the four witnesses answers without the first two owners.
				w := newCluster(t, 5, 6)
				defer w.stop()
				w.checker.BeginDisturbance()
				w.awaitPromise()
				long := gangStep(1, 8)
				long.Estimate = 30 * time.Second
				w.mustSubmit(w.instances[0], "there", jobSpec{steps: []pool.Step{long}, runTime: 30 * time.Second})
				// The second steps become due after the takeover.
				second := gangStep(1, 4)
				second.After = []int{0}
				for i := range 4 {
					w.mustSubmit(w.instances[0], ids.JobID(fmt.Sprintf("other%d", i)), jobSpec{steps: []pool.Step{gangStep(1, 4), second}, runTime: 3 * time.Second})
				}
				time.Sleep(time.Second)
				lost := w.checker.ActiveWorkers("there")[0]
				w.loseWorkers(lost)
				test.lose(scene{w, lost})
				began := time.Now()
				done := func() bool {
					for i := range 4 {
						if w.state(1, ids.JobID(fmt.Sprintf("other%d", i))) != pool.Completed {
							return false
						}
					}
					return true
				}
				for !done() && time.Since(began) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(began)
				require.Equal(t, test.waits, took > 3*time.Second+3*time.Second+promisedTime, "took %v\n%s", took, w.checker.EventLog())
				require.GreaterOrEqual(t, w.checker.StartCount("there"), 1)
				// The checker verifies that no task runs twice at a time.
				w.awaitState(1, "there", pool.Completed)
			})
		})
	}
}

// firstOwnersStart is a start of the task of job a by the owner of the first epoch.
var firstOwnersStart = regexp.MustCompile(`Started a/0/0 run 100\d{3}\b`)

// Guards against a task that runs twice since its start was sent while the store did not answer, so that its successor does not know where it runs: the witnesses do.
// Without them it is not sent.
func TestStartsThatTheStoreLacks(t *testing.T) {
	for name, test := range map[string]struct {
		// isolated means that the witnesses do not answer the owner.
		isolated bool
		starts   int
	}{
		"kept by witnesses": {starts: 1},
		"no witnesses":      {isolated: true, starts: 0},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.checker.BeginDisturbance()
				w.awaitPromise()
				first := w.ownerInstance()
				fill := gangStep(1, 8)
				fill.Estimate = 2 * time.Second
				for i := range len(w.listed) {
					w.mustSubmit(w.instances[0], ids.JobID(fmt.Sprintf("fill%d", i)), jobSpec{steps: []pool.Step{fill}, runTime: 2 * time.Second})
				}
				w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{fill}, runTime: 30 * time.Second})
				time.Sleep(time.Second)
				require.Zero(t, w.checker.StartCount("a"))
				w.store.SetFault(func(client string, _ bool) storeservice.CallFault {
					return storeservice.CallFault{Refuse: client == first.name}
				})
				if test.isolated {
					first.mu.Lock()
					first.cutOff = true
					first.mu.Unlock()
				}
				time.Sleep(1100 * time.Millisecond)
				// The successor may have started it as well by now, under numbers of its own epoch.
				require.Len(t, firstOwnersStart.FindAllString(w.checker.EventLog(), -1), test.starts, w.checker.EventLog())
				if test.starts > 0 {
					w.loseWorkers(w.checker.ActiveWorkers("a")...)
				}
				first.kill(true)
				w.awaitSuccessor(first)
				w.store.SetFault(nil)
				// The checker verifies that the task never runs twice at a time.
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// Witnesses keep starts for the newest owner alone, and only until their places are stored.
func TestKeptStarts(t *testing.T) {
	var k keptStarts
	start := func(index int) []pool.PlacedStart {
		return []pool.PlacedStart{{Task: worker.Task{Job: "a", Index: index}, Worker: "w"}}
	}
	process := k.processNumber()
	call := func(c PlacesCall) ([]pool.PlacedStart, error) {
		c.Process = process
		answer, err := k.handle(c)
		return answer.Starts, err
	}
	_, err := call(PlacesCall{Epoch: 1, Number: 1, Stored: 1, Starts: start(1)})
	require.NoError(t, err)
	_, err = call(PlacesCall{Epoch: 1, Number: 2, Stored: 1, Starts: start(2)})
	require.NoError(t, err)
	_, err = call(PlacesCall{Epoch: 1, Number: 3, Stored: 2, Starts: start(3)})
	require.NoError(t, err)
	for range 2 {
		kept, err := call(PlacesCall{Epoch: 2, Collect: true})
		require.NoError(t, err)
		require.Equal(t, append(start(2), start(3)...), kept)
	}
	_, err = call(PlacesCall{Epoch: 1, Number: 4, Stored: 4, Starts: start(4)})
	require.Error(t, err, "a newer owner has asked")
	_, err = k.handle(PlacesCall{Epoch: 3, Collect: true, Process: process + 1})
	require.Error(t, err, "the call is for another process")
	_, err = call(PlacesCall{Epoch: 2, Number: 1, Stored: 1, Starts: make([]pool.PlacedStart, maxKeptStarts+1)})
	require.Error(t, err, "the number of starts is limited")
	_, err = call(PlacesCall{Epoch: 2, Number: 1, Stored: 1, Starts: start(5)})
	require.NoError(t, err)
	kept, err := call(PlacesCall{Epoch: 3, Collect: true})
	require.NoError(t, err)
	require.Equal(t, start(5), kept)
}

// What a926d486 reads of the record of a term and of a call is what it read before, and what it writes promises nothing about places.
func TestPlacesAndEarlierVersions(t *testing.T) {
	type earlierTerm struct {
		Epoch   ids.Epoch
		Grace   time.Duration
		Lapsing []LapsingWorkers
	}
	value, err := json.Marshal(TermRecord{Epoch: 3, Grace: testGrace, ArePlacesKnown: true, Witnesses: []Witness{{Instance: "i", Address: "a", Process: 1}}})
	require.NoError(t, err)
	var earlier earlierTerm
	require.NoError(t, json.Unmarshal(value, &earlier))
	require.Equal(t, earlierTerm{Epoch: 3, Grace: testGrace}, earlier)
	var r TermRecord
	require.NoError(t, json.Unmarshal([]byte(`{"Epoch":3,"Grace":6000000000}`), &r))
	require.False(t, r.ArePlacesKnown)
}
