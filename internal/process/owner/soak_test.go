package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// step is one action of a random run, drawn before the run.
type step struct {
	kind   string
	number int
	flag   bool
	delay  time.Duration
}

var stepKinds = []string{
	"submit", "submit", "submit", "submit", "burst", "cancel", "kill", "pause", "resume", "takeOver", "heal",
	"storeOut", "storeSlow", "storeLosesAnswers", "workerSilent", "workerUnreachable", "workerRefusesHolds",
	"workerRefusesStarts", "workerLosesAnswers", "workerFailsTasks", "workerCrash", "rackSilent", "healWorkers", "healStore", "healWorkers",
	"evacuate", "withdraw", "withdraw", "workerLosesRenewAnswers",
}

func drawSteps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.SampledFrom(stepKinds).Draw(t, "what"),
			number: rapid.IntRange(0, 1000).Draw(t, "number"),
			flag:   rapid.Bool().Draw(t, "flag"),
			delay:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 30, 60).Draw(t, "steps")
}

// TestSoak runs competing owners under random faults in virtual time and checks the guarantees against the task history.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if err := simulateSteps(t, drawSteps(r), safeguards{}); err != nil {
			r.Fatalf("%v", err)
		}
	})
}

// simulateSteps returns the first violation of a guarantee in a random run, or nil.
func simulateSteps(t *testing.T, steps []step, disabled safeguards) error {
	return simulate(t, disabled, func(w *simulation) {
		for i, s := range steps {
			w.performStep(i, s)
			time.Sleep(s.delay)
			w.history.checkAllPartial(time.Now())
		}
	})
}

// simulate runs a script in virtual time and returns the first violation of a guarantee, or nil.
func simulate(t *testing.T, disabled safeguards, script func(w *simulation)) error {
	var violation error
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 3, disabled)
		w.candidates[0].eligible.Store(true)
		script(w)
		w.finish()
		violation = w.violation
	})
	return violation
}

func (w *simulation) performStep(i int, s step) {
	c := w.candidates[s.number%len(w.candidates)]
	service := w.workers[w.nodes[s.number%len(w.nodes)].ID]
	switch s.kind {
	case "submit":
		w.submitRandom(i, 0, s)
	case "burst":
		for k := range 6 {
			w.submitRandom(i, k, step{number: s.number + 7*k, flag: (s.number+k)%2 == 0})
		}
	case "cancel":
		w.cancelRandom(s)
	case "kill":
		w.kill(s.number % len(w.candidates))
		w.start(s.number % len(w.candidates))
	case "pause":
		c.pause()
	case "resume":
		for _, c := range w.candidates {
			c.resume()
		}
	case "takeOver":
		for _, other := range w.candidates {
			other.eligible.Store(false)
		}
		c.eligible.Store(true)
	case "heal":
		w.clearFaults()
	case "storeOut":
		w.store.SetFaults(storeservice.Faults{Outage: true})
	case "storeSlow":
		w.store.SetFaults(storeservice.Faults{Delay: time.Duration(s.number) * 2 * time.Millisecond})
	case "storeLosesAnswers":
		n := 0
		w.store.SetFaults(storeservice.Faults{LoseAnswer: func(string) bool { n++; return n%3 == 0 }})
	case "evacuate", "withdraw":
		w.evacuate(s.kind == "evacuate")
	case "healStore":
		w.store.SetFaults(storeservice.Faults{})
	case "healWorkers":
		for _, s := range w.workers {
			s.SetFaults(workerservice.Faults{})
		}
	case "rackSilent":
		for k := range 4 {
			w.workers[w.nodes[(s.number%2)*4+k].ID].SetFaults(workerservice.Faults{Silent: true})
		}
	case "workerCrash":
		service.Crash()
	default:
		service.SetFaults(workerFault(s.kind))
	}
}

func workerFault(kind string) workerservice.Faults {
	return workerservice.Faults{
		Silent: kind == "workerSilent", Unreachable: kind == "workerUnreachable", RefuseHolds: kind == "workerRefusesHolds",
		RefuseStarts: kind == "workerRefusesStarts", LoseAnswers: kind == "workerLosesAnswers", FailTasks: kind == "workerFailsTasks",
		LoseRenewAnswers: kind == "workerLosesRenewAnswers",
	}
}

func (w *simulation) submitRandom(i, k int, s step) {
	shapes := []ids.Shape{
		{Tasks: 1, Each: ids.Resources{Accelerators: 4}},
		{Tasks: 2, Each: ids.Resources{Accelerators: 8}},
		{Tasks: 3, Each: ids.Resources{Accelerators: 8}, Adjacent: ids.SameRack},
		{Tasks: 6, Each: ids.Resources{Accelerators: 2}},
	}
	account := ids.AccountID("borrower")
	if s.number%3 == 0 {
		account = "owed"
	}
	run := time.Duration(1+s.number%40) * time.Second
	w.submit(caller.Job{
		Key: fmt.Sprintf("%d-%d", i, k), Shape: shapes[s.number%len(shapes)], Idempotent: s.flag, RunTime: run, Urgent: s.number%5 == 0,
	}, account, run)
}

func (w *simulation) cancelRandom(s step) {
	c := w.owner()
	if c == nil || len(w.jobs) == 0 {
		return
	}
	o := c.Owner
	w.calls.Go(func() {
		list, err := o.List(w.t.Context(), "")
		if err != nil || len(list) == 0 {
			return
		}
		// The answer may be lost with the owner; the job's record has the outcome.
		_, _ = o.Cancel(w.t.Context(), list[s.number%len(list)].ID)
	})
}
