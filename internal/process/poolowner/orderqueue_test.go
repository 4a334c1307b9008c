package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against orders beyond the limits of one worker and of all, against stops and urgent starts that wait behind others, and against a worker with many orders that
// delays those to the rest.
func TestDispatcher(t *testing.T) {
	order := func(name string, kind pool.ActionKind, priority int) queuedOrder {
		return queuedOrder{action: pool.Action{Kind: kind, Priority: priority, Run: worker.Run{Task: worker.Task{Job: ids.JobID(name)}}}}
	}
	bulk, urgent, stop := order("bulk", pool.StartRun, 1), order("urgent", pool.StartRun, 0), order("stop", pool.StopRun, 0)
	second := order("second", pool.StartRun, 1)
	for name, test := range map[string]struct {
		limit int
		// first and other are the orders to two workers, in the order of the decisions.
		first, other []queuedOrder
		// atOnce are the orders that go before any has returned, and all those that go as one after the other returns.
		atOnce int
		all    []string
	}{
		"one worker":           {first: []queuedOrder{bulk, second, urgent, stop}, atOnce: 2, all: []string{"bulk", "stop", "urgent", "second"}},
		"stops go first":       {limit: 1, first: []queuedOrder{bulk, second, stop, urgent}, atOnce: 1, all: []string{"bulk", "stop", "urgent", "second"}},
		"workers take turns":   {limit: 1, first: []queuedOrder{bulk, bulk, bulk}, other: []queuedOrder{second, second}, atOnce: 1, all: []string{"bulk", "bulk", "second", "bulk", "second"}},
		"a limit over workers": {limit: 3, first: []queuedOrder{bulk, bulk, bulk}, other: []queuedOrder{second, second}, atOnce: 3, all: []string{"bulk", "bulk", "second", "second", "bulk"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := &dispatcher{limit: func() int { return test.limit }}
			queues := [2]*orderQueue{{}, {}}
			var sent []string
			var underWay []*orderQueue
			take := func() {
				for {
					q, o, ok := d.take()
					if !ok {
						return
					}
					sent, underWay = append(sent, string(o.action.Run.Job)), append(underWay, q)
				}
			}
			// The first order goes at once, and the others are decided while it is under way.
			d.add(queues[0], test.first[0])
			take()
			for _, o := range test.first[1:] {
				d.add(queues[0], o)
			}
			for _, o := range test.other {
				d.add(queues[1], o)
			}
			take()
			require.Len(t, sent, test.atOnce)
			for len(underWay) > 0 {
				q := underWay[0]
				underWay = underWay[1:]
				d.returned(q)
				take()
			}
			require.Equal(t, test.all, sent)
			waiting, left := d.counts()
			require.Zero(t, waiting+left)
		})
	}
}

// Guards against an owner whose goroutines grow with the tasks of its jobs, and against a cancelled job that goes on since its stops wait behind starts.
func TestOrdersOfLargeJobs(t *testing.T) {
	const tasks = 1000
	inCluster(t, func(t *testing.T, w *cluster) {
		small := pool.Step{Tasks: tasks, Each: ids.Resources{Cores: 10}, Estimate: 5 * time.Second}
		owner, _ := w.ownerInstance().current()
		most := func() (most int) {
			for range 200 {
				time.Sleep(5 * time.Millisecond)
				waiting, underWay := owner.Orders()
				require.LessOrEqual(t, underWay, maxConcurrentOrders*len(w.listed))
				most = max(most, waiting)
			}
			return most
		}
		for id := range w.listed {
			w.fleet.Worker(id).SetFault(func(call string) runservice.Fault {
				if call == "start" {
					return runservice.Fault{LoseAnswer: true}
				}
				return runservice.Fault{}
			})
		}
		w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{small}, runTime: time.Minute})
		require.Greater(t, most(), tasks/2)
		for id := range w.listed {
			w.fleet.Worker(id).SetFault(nil)
		}
		w.cancel(w.instances[0], 1, "a")
		time.Sleep(4 * time.Second)
		require.Empty(t, w.checker.ActiveWorkers("a"), "the cancelled job goes on")
		waiting, underWay := owner.Orders()
		require.Zero(t, waiting+underWay)
	})
}
