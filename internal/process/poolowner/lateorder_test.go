package poolowner

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// lateOrders leaves the first start orders to one worker unanswered. They are delivered after a delay, to whatever process of the worker is up then.
type lateOrders struct {
	*cluster

	mu     sync.Mutex
	worker ids.InstanceID
	held   int
}

// leaveUnanswered makes the first orders late, to the worker that gets the first of them.
func (l *lateOrders) leaveUnanswered(most int, delay time.Duration) {
	for id := range l.listed {
		l.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
			l.mu.Lock()
			defer l.mu.Unlock()
			if call != "start" || l.held == most || l.worker != "" && l.worker != id {
				return runservice.Fault{}
			}
			l.held++
			l.worker = id
			return runservice.Fault{ExecuteAfter: delay}
		})
	}
}

// late returns the worker to which orders are late, and how many are.
func (l *lateOrders) late() (ids.InstanceID, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker, l.held
}

// restart ends the worker's process and starts the next one.
func (l *lateOrders) restart(down time.Duration) {
	id, _ := l.late()
	l.fleet.Worker(id).Crash()
	time.Sleep(down)
	l.fleet.Worker(id).Restart()
	l.listWorker(id)
}

func (l *lateOrders) replaceOwner() {
	first := l.ownerInstance()
	first.kill(false)
	l.awaitSuccessor(first)
	first.start()
}

// Guards against tasks that start once more, beside their next run, or after their job was cancelled, since an order without an answer arrives in its worker's next
// process, which knows neither the end nor the stop of the run.
func TestLateOrdersInNextProcess(t *testing.T) {
	const restart = 1500 * time.Millisecond
	whole := pool.Step{Tasks: 1, Each: ids.Resources{Accelerators: 8, Cores: 4000, Memory: 1024}, Estimate: 2 * time.Second}
	several, gang := whole, gangStep(3, 8)
	several.Tasks, several.Each.Accelerators = 4, 2
	cancelled := func(l *lateOrders) {
		time.Sleep(restart)
		l.cancel(l.instances[0], 1, "a")
		time.Sleep(restart)
		l.restart(restart)
	}
	elsewhere := func(l *lateOrders) {
		time.Sleep(4 * time.Second)
		l.restart(500 * time.Millisecond)
	}
	cases := map[string]struct {
		step    pool.Step
		most    int
		delay   time.Duration
		runTime time.Duration
		play    func(l *lateOrders)
	}{
		"the repeated order was carried out": {step: whole, most: 1, delay: 9 * time.Second, runTime: 2 * time.Second, play: func(l *lateOrders) {
			l.awaitState(1, "a", pool.Completed)
			l.restart(restart)
		}},
		"the task runs elsewhere":     {step: whole, most: maxStartAttempts, delay: 7 * time.Second, runTime: 9 * time.Second, play: elsewhere},
		"tasks run elsewhere":         {step: several, most: 4 * maxStartAttempts, delay: 7 * time.Second, runTime: 9 * time.Second, play: elsewhere},
		"a gang runs elsewhere":       {step: gang, most: maxStartAttempts, delay: 7 * time.Second, runTime: 9 * time.Second, play: elsewhere},
		"the longest delay":           {step: whole, most: maxStartAttempts, delay: 12 * time.Second, runTime: 20 * time.Second, play: elsewhere},
		"the job is cancelled":        {step: whole, most: maxStartAttempts, delay: 7 * time.Second, runTime: 9 * time.Second, play: cancelled},
		"the second run is cancelled": {step: whole, most: 1, delay: 7 * time.Second, runTime: 9 * time.Second, play: cancelled},
		"the worker restarts three times": {step: whole, most: maxStartAttempts, delay: 9 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(3 * time.Second)
			for range 3 {
				l.restart(500 * time.Millisecond)
				time.Sleep(time.Second)
			}
		}},
		"the owner changes before the restart": {step: whole, most: maxStartAttempts, delay: 9 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(3 * time.Second)
			l.replaceOwner()
			time.Sleep(2 * time.Second)
			l.restart(500 * time.Millisecond)
		}},
		"the owner changes after the restart": {step: whole, most: maxStartAttempts, delay: 9 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(3 * time.Second)
			l.restart(500 * time.Millisecond)
			l.replaceOwner()
		}},
		"the entry of the new process can't be read": {step: whole, most: maxStartAttempts, delay: 9 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(3 * time.Second)
			l.store.SetOutage(true, true)
			time.AfterFunc(5*time.Second, func() { l.store.SetOutage(false, false) })
			l.restart(500 * time.Millisecond)
		}},
		"the worker is not listed for a while": {step: whole, most: maxStartAttempts, delay: 10 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(3 * time.Second)
			id, _ := l.late()
			l.fleet.Worker(id).Crash()
			l.unlistWorker(id)
			time.Sleep(4 * time.Second)
			l.restart(0)
		}},
		"it arrives before the first call to the new process": {step: whole, most: maxStartAttempts, delay: 7 * time.Second, runTime: 20 * time.Second, play: func(l *lateOrders) {
			time.Sleep(4 * time.Second)
			id, _ := l.late()
			for _, i := range l.instances {
				i.mu.Lock()
				i.unreachable = map[ids.InstanceID]bool{id: true}
				i.mu.Unlock()
			}
			l.restart(500 * time.Millisecond)
			time.Sleep(4 * time.Second)
			for _, i := range l.instances {
				i.mu.Lock()
				i.unreachable = nil
				i.mu.Unlock()
			}
			time.Sleep(2 * time.Second)
			l.requireLog(l.t, string(id)+" Started a/0/0", "decision: UnknownRunStopped", string(id)+" Ended a/0/0 .* Stopped")
		}},
		"its data centre is evacuated": {step: whole, most: maxStartAttempts, delay: 7 * time.Second, runTime: 9 * time.Second, play: func(l *lateOrders) {
			time.Sleep(restart)
			id, _ := l.late()
			l.evacuate(l.listed[id].DataCentre)
			time.Sleep(restart)
			l.restart(restart)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				l := &lateOrders{cluster: w}
				l.leaveUnanswered(c.most, c.delay)
				w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{c.step}, runTime: c.runTime})
				c.play(l)
				_, held := l.late()
				require.Equal(t, c.most, held)
				time.Sleep(c.delay + c.runTime)
			})
		})
	}
}

// Guards against owners of earlier versions that are fenced by their predecessor's tokens, or wait for it although its record tells of its leases: they take the epoch
// that the store holds for that of the owner before, and the next one for their token.
func TestClaimIsReadByEarlierVersions(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		for range 2 {
			first := w.ownerInstance()
			first.kill(false)
			w.awaitSuccessor(first)
			first.start()
			time.Sleep(3 * time.Second)
		}
		read := func(key string, value any) {
			entry, err := w.store.Client("reader").Get(t.Context(), key)
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(entry.Value, value))
		}
		var epoch ids.Epoch
		var owner OwnerRecord
		var claims claimsRecord
		var promise TermRecord
		read(keyEpoch, &epoch)
		read(keyOwner, &owner)
		read(keyClaims, &claims)
		read(keyTerm, &promise)
		require.Equal(t, []ids.Epoch{epoch, epoch, epoch}, []ids.Epoch{owner.Epoch, claims.Epoch, promise.Epoch})
		require.EqualValues(t, 1, claims.Since)
		current, _ := w.ownerInstance().current()
		term := current.term.Load()
		require.NoError(t, term.do(t.Context(), func() {
			require.LessOrEqual(t, term.state.Tokens.Last, epoch)
			require.Greater(t, term.state.Tokens.First, epoch-tokensPerTerm)
		}))
	})
}
