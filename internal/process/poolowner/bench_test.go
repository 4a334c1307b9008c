package poolowner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// BenchmarkOwner times all that an owner and its stand-ins do for a job of a few tasks in a pool with room.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{48, 350, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			// Only tests can pause the clock.
			test := testing.InternalTest{Name: b.Name(), F: func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { submitJobs(t, b, workers) })
			}}
			if !testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{test}) {
				b.Fail()
			}
		})
	}
}

func submitJobs(t *testing.T, b *testing.B, workers int) {
	w := newWorld(t, 1, workers)
	defer w.stop()
	w.awaitOwner()
	b.ResetTimer()
	for i := range b.N {
		id := ids.JobID(fmt.Sprintf("job%06d", i))
		w.define(id, jobSpec{steps: []pool.Step{gangStep(2+i%4, 2)}, runTime: 500 * time.Millisecond})
		if _, err := w.submit(w.instances[0], i%3, id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	b.StopTimer()
}
