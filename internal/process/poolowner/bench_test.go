package poolowner

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// BenchmarkOwner measures the processor time that an owner and its stand-ins take for a job of a few tasks in a pool with
// free capacity.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{48, 350, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			// Only tests can use virtual time.
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
	w := newCluster(t, 1, workers)
	defer w.stop()
	w.awaitOwner()
	before := processorTime(t)
	for i := range b.N {
		id := ids.JobID(fmt.Sprintf("job%06d", i))
		w.defineJob(id, jobSpec{steps: []pool.Step{gangStep(2+i%4, 2)}, runTime: 500 * time.Millisecond})
		_, err := w.submit(w.instances[0], i%3, id)
		require.NoError(t, err)
		time.Sleep(30 * time.Millisecond)
	}
	// Virtual time doesn't measure processor time.
	b.ReportMetric(float64((processorTime(t)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(0, "ns/op")
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
