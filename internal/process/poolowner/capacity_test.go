package poolowner

import (
	"testing"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// setCapacity changes a worker's capacity, which the worker writes to its entry unless the store is out.
func (w *cluster) setCapacity(id ids.InstanceID, total ids.Resources, written bool) {
	w.mu.Lock()
	l := w.listed[id]
	l.Total = total
	w.listed[id] = l
	w.mu.Unlock()
	w.checker.RecordCapacity(id, total)
	if written {
		w.listWorker(id)
	}
}

func (w *cluster) setCapacities(total ids.Resources, written bool) {
	for id := range w.listed {
		w.setCapacity(id, total, written)
	}
}

// A start brought a worker over its capacity, which had been reduced while the worker was running: the owner decided by an old capacity, or sent an
// order that it had decided by one. The checker fails the test.
func TestNoStartBeyondReducedCapacity(t *testing.T) {
	task := pool.Step{Tasks: 8, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second}
	reduced := ids.Resources{Accelerators: 1, Cores: 64000, Memory: 262144}
	for name, run := range map[string]func(w *cluster){
		"while the store is out": func(w *cluster) {
			full := task
			full.Tasks = 6 * 8
			w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{full}, runTime: 6500 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
			w.mustSubmit(w.instances[0], "b", jobSpec{steps: []pool.Step{full}, runTime: time.Second})
			w.store.SetOutage(true, true)
			time.Sleep(500 * time.Millisecond)
			w.setCapacities(reduced, false)
			time.Sleep(7 * time.Second)
			w.store.SetOutage(false, true)
			w.setCapacities(reduced, true)
		},
		"late orders": func(w *cluster) {
			from := time.Now()
			w.setStartFault(func() runservice.Fault { return runservice.Fault{Silent: time.Since(from) < 5*time.Second} })
			many := pool.Step{Tasks: 24, Each: ids.Resources{Cores: 1000, Memory: 1}, Estimate: time.Second}
			w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{many}, runTime: time.Second})
			time.Sleep(50 * time.Millisecond)
			w.setCapacities(ids.Resources{}, true)
			time.Sleep(8 * time.Second)
			w.setCapacities(reduced, true)
		},
		"while a new owner takes over": func(w *cluster) {
			w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{task}, runTime: 3 * time.Second})
			time.Sleep(100 * time.Millisecond)
			w.ownerInstance().kill(false)
			w.setCapacities(reduced, true)
			time.Sleep(5 * time.Second)
			w.mustSubmit(w.awaitOwner(), "b", jobSpec{steps: []pool.Step{task}, runTime: time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.catalog.UncheckedCapacity = true
				w.writeConfig()
				time.Sleep(time.Second)
				run(w)
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}
