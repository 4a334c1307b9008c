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

// step is one event of a random run, drawn before the run.
type step struct {
	what   string
	number int
	flag   bool
	after  time.Duration
}

var stepKinds = []string{
	"submit", "submit", "submit", "submit", "burst", "cancel", "kill", "pause", "resume", "takeOver", "heal",
	"storeOut", "storeSlow", "storeLosesAnswers", "workerSilent", "workerUnreachable", "workerRefusesHolds",
	"workerRefusesStarts", "workerLosesAnswers", "workerFailsTasks", "workerCrash", "rackSilent", "healWorkers", "healStore", "healWorkers",
}

func drawSteps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			what:   rapid.SampledFrom(stepKinds).Draw(t, "what"),
			number: rapid.IntRange(0, 1000).Draw(t, "number"),
			flag:   rapid.Bool().Draw(t, "flag"),
			after:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 30, 60).Draw(t, "steps")
}

// TestSoak runs competing owners through random faults in virtual time; the workers' ledger checks the promises.
func TestSoak(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if err := brokenBy(t, drawSteps(r), mechanisms{}); err != nil {
			r.Fatalf("%v", err)
		}
	})
}

// brokenBy returns the first promise that a random run breaks, or nil.
func brokenBy(t *testing.T, steps []step, without mechanisms) error {
	return play(t, without, func(w *world) {
		for i, s := range steps {
			w.perform(i, s)
			time.Sleep(s.after)
			w.ledger.sweep(time.Now())
		}
	})
}

// play runs a script in virtual time and returns the first promise that it breaks, or nil.
func play(t *testing.T, without mechanisms, script func(w *world)) error {
	var broken error
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, without)
		w.owners[0].wanted.Store(true)
		script(w)
		w.finish()
		broken = w.broken
	})
	return broken
}

func (w *world) perform(i int, s step) {
	c := w.owners[s.number%len(w.owners)]
	service := w.workers[w.nodes[s.number%len(w.nodes)].ID]
	switch s.what {
	case "submit":
		w.submitRandom(i, 0, s)
	case "burst":
		for k := range 6 {
			w.submitRandom(i, k, step{number: s.number + 7*k, flag: (s.number+k)%2 == 0})
		}
	case "cancel":
		w.cancelRandom(s)
	case "kill":
		w.kill(s.number % len(w.owners))
		w.start(s.number % len(w.owners))
	case "pause":
		c.pause()
	case "resume":
		for _, c := range w.owners {
			c.resume()
		}
	case "takeOver":
		for _, other := range w.owners {
			other.wanted.Store(false)
		}
		c.wanted.Store(true)
	case "heal":
		w.heal()
	case "storeOut":
		w.store.SetFaults(storeservice.Faults{Outage: true})
	case "storeSlow":
		w.store.SetFaults(storeservice.Faults{Delay: time.Duration(s.number) * 2 * time.Millisecond})
	case "storeLosesAnswers":
		n := 0
		w.store.SetFaults(storeservice.Faults{LoseAnswer: func(string) bool { n++; return n%3 == 0 }})
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
		service.SetFaults(workerFault(s.what))
	}
}

func workerFault(what string) workerservice.Faults {
	return workerservice.Faults{
		Silent: what == "workerSilent", Unreachable: what == "workerUnreachable", RefuseHolds: what == "workerRefusesHolds",
		RefuseStarts: what == "workerRefusesStarts", LoseAnswers: what == "workerLosesAnswers", FailTasks: what == "workerFailsTasks",
	}
}

func (w *world) submitRandom(i, k int, s step) {
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

func (w *world) cancelRandom(s step) {
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
		// The answer may be lost with the owner; the job's record tells in the end.
		_, _ = o.Cancel(w.t.Context(), list[s.number%len(list)].ID)
	})
}
