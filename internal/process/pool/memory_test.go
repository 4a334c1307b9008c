package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heapInUse returns the memory that is reachable.
func heapInUse() Bytes {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return Bytes(m.HeapAlloc)
}

// Guards against jobs that take more memory than is accounted for, so that accepted jobs outgrow the process.
func TestMemoryIsAccounted(t *testing.T) {
	// runtimeBytes is what the runtime and the test itself may allocate meanwhile.
	const runtimeBytes = 64 << 10
	tasksOf := func(tasks int) func(i int) *Job {
		return func(i int) *Job {
			j := gangJob(fmt.Sprintf("%016x", i), 1, tasks, 1, time.Second)
			j.Steps[0].Gang = false
			return j
		}
	}
	for name, test := range map[string]struct {
		jobs int
		job  func(i int) *Job
		// workers is the number of workers, on which eight tasks each run. These keep what they need until they have ended.
		workers int
	}{
		"waiting tasks":    {jobs: 2, job: tasksOf(20000)},
		"running tasks":    {jobs: 20, job: tasksOf(200), workers: 500},
		"small jobs":       {jobs: 5000, job: tasksOf(1)},
		"jobs with a spec": {jobs: 5000, job: func(i int) *Job { j := tasksOf(1)(i); j.Payload = fmt.Sprintf("%04000d", i); return j }},
		"scheduled jobs": {jobs: 200, job: func(i int) *Job {
			j := tasksOf(2)(i)
			j.Schedule = Schedule{Occurrences: 8760, First: testStart.Add(time.Hour), Interval: time.Hour}
			return j
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(test.workers, 1)
			before := heapInUse()
			for i := range test.jobs {
				s.accept(test.job(i), testStart)
			}
			s.startAll(testStart)
			used := heapInUse() - before
			t.Logf("%d bytes in use, %d accounted, %d jobs", used, s.MemoryUsed(), test.jobs)
			require.LessOrEqual(t, used, s.MemoryUsed()+runtimeBytes)
			for id := range s.jobs {
				s.Cancel(id, testStart)
			}
			for id, j := range s.jobs {
				s.MarkStored(id, j.Version())
			}
			s.startAll(testStart)
			used = heapInUse() - before
			t.Logf("ended: %d bytes in use, %d accounted", used, s.MemoryUsed())
			if test.workers == 0 {
				require.LessOrEqual(t, used, s.MemoryUsed()+runtimeBytes)
			}
			s.RemoveRetired(testStart.Add(time.Hour))
			require.Empty(t, s.jobs)
			require.Zero(t, s.MemoryUsed())
			runtime.KeepAlive(s)
		})
	}
}
