package poolowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/internal/version/catalog"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// changeQueue writes a new configuration in which the queue of priority 1 is changed.
func (w *cluster) changeQueue(change func(q *catalog.Queue)) {
	w.catalog.Version++
	change(&w.catalog.Queues[1])
	w.writeConfig()
	time.Sleep(2 * time.Second)
}

// moveWorkers makes workers from a number on those of another service.
func (w *cluster) moveWorkers(from int, service ids.ServiceID) {
	for i := from; i < len(w.listed); i++ {
		l := w.listed[workerID(i)]
		l.Service = service
		w.listed[l.ID] = l
		w.listWorker(l.ID)
	}
	time.Sleep(time.Second)
}

// Guards against accepted jobs that wait for workers of a service to which their queue is not sent any more.
func TestJobFollowsItsQueue(t *testing.T) {
	single := pool.Step{Tasks: 2, Each: ids.Resources{Accelerators: 1, Cores: 1000, Memory: 1}, Estimate: time.Second}
	second := single
	second.After = []int{0}
	gang := gangStep(2, 4)
	gang.After = []int{0}
	for name, test := range map[string]struct {
		spec     jobSpec
		takeover bool
	}{
		"later occurrences": {spec: jobSpec{steps: []pool.Step{single}, schedule: pool.Schedule{Occurrences: 3, Interval: 8 * time.Second}, runTime: time.Second}},
		"a later step":      {spec: jobSpec{steps: []pool.Step{single, second}, runTime: 6 * time.Second}},
		"a gang":            {spec: jobSpec{steps: []pool.Step{single, gang}, runTime: 6 * time.Second}},
		"after a takeover":  {spec: jobSpec{steps: []pool.Step{single, second}, runTime: 6 * time.Second}, takeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				w.moveWorkers(3, "other")
				if test.spec.schedule.Occurrences > 0 {
					test.spec.schedule.First = time.Now().Add(time.Second)
				}
				w.mustSubmit(w.instances[0], "a", test.spec)
				time.Sleep(1500 * time.Millisecond)
				w.changeQueue(func(q *catalog.Queue) { q.Service = "other" })
				if test.takeover {
					earlier := w.ownerInstance()
					earlier.kill(false)
					w.awaitSuccessor(earlier)
				}
				time.Sleep(3 * time.Second)
				for i := range 3 {
					w.unlistWorker(workerID(i))
					w.fleet.Worker(workerID(i)).SetPartitioned(true)
				}
				w.awaitState(1, "a", pool.Completed)
			})
		})
	}
}

// Guards against a job that its client can't read or cancel, or that is missing from its queue's pending jobs, since a configuration has replaced its route or has
// changed whether the route requires a key.
func TestJobOfChangedRoute(t *testing.T) {
	for name, test := range map[string]struct {
		change func(q *catalog.Queue)
		key    string
		// gone means that the job is not found: its queue has moved to another place, where it is found instead.
		gone bool
	}{
		"another queue at the same place": {change: func(q *catalog.Queue) { q.ID = "successor" }, key: testKey},
		"without keys":                    {change: func(q *catalog.Queue) { q.Public = true }},
		"without keys, and another queue": {change: func(q *catalog.Queue) { q.ID, q.Public = "successor", true }},
		"the same queue elsewhere":        {change: func(q *catalog.Queue) { q.Prefix = "/elsewhere/" }, key: testKey, gone: true},
		"another account's key":           {change: func(q *catalog.Queue) { q.ID = "successor" }, key: "other", gone: true},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", after a takeover"}[takeover], func(t *testing.T) {
				inCluster(t, func(t *testing.T, w *cluster) {
					w.catalog.Keys["other"] = "another account"
					w.mustSubmit(w.instances[0], "a", jobSpec{steps: []pool.Step{gangStep(2, 4)}, schedule: pool.Schedule{Occurrences: 1, First: time.Now().Add(time.Hour)}, runTime: time.Second})
					time.Sleep(time.Second)
					w.changeQueue(test.change)
					if takeover {
						earlier := w.ownerInstance()
						earlier.kill(false)
						w.awaitSuccessor(earlier)
					}
					owner, _ := w.awaitOwner().current()
					call := func(kind CallKind, path string) Answer {
						answer, err := owner.Handle(t.Context(), Call{Kind: kind, Host: "host", Path: path, Key: test.key})
						require.NoError(t, err)
						return answer
					}
					if test.gone {
						require.Contains(t, []Result{NoJob, NoQueue}, call(Read, "/1/a").Result)
						require.Contains(t, []Result{NoJob, NoQueue}, call(Cancel, "/1/a").Result)
						return
					}
					require.Equal(t, pool.Accepted, call(Read, "/1/a").State)
					require.Equal(t, 1, call(Read, "/1/").Pending)
					require.Equal(t, OK, call(Cancel, "/1/a").Result)
					require.Equal(t, pool.Cancelled, call(Read, "/1/a").State)
				})
			})
		}
	}
}
