package testrun

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxControlShare and maxControlMemory are what an instance may use for control: a share of a core and bytes.
	maxControlShare  = 0.045
	maxControlMemory = 256 << 20
)

// RequireFrugal fails if one of the processes, which are named, uses more of a processor than the target allows within a few seconds, or has used more memory.
func RequireFrugal(t *testing.T, processes map[string]int) {
	t.Helper()
	const window = 4 * time.Second
	before := make(map[string]time.Duration)
	for name, pid := range processes {
		before[name] = ProcessorTime(t, pid)
	}
	began := time.Now()
	time.Sleep(window)
	for name, pid := range processes {
		share := (ProcessorTime(t, pid) - before[name]).Seconds() / time.Since(began).Seconds()
		memory := PeakMemory(t, pid)
		t.Logf("%s: %.1f%% of a core, %d MB at the peak", name, 100*share, memory>>20)
		require.Less(t, share, maxControlShare, name)
		require.Less(t, memory, maxControlMemory, name)
	}
}

func readProcess(t *testing.T, pid int, file string) string {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	require.NoError(t, err)
	return string(text)
}

// ProcessorTime returns the processor time that a process has used.
func ProcessorTime(t *testing.T, pid int) (used time.Duration) {
	const tick = 10 * time.Millisecond
	text := readProcess(t, pid, "stat")
	// The name, which is in parentheses, is followed by the state; user and system time are the 12th and 13th fields from there.
	for _, f := range strings.Fields(text[strings.LastIndexByte(text, ')')+1:])[11:13] {
		ticks, err := strconv.Atoi(f)
		require.NoError(t, err)
		used += time.Duration(ticks) * tick
	}
	return used
}

// PeakMemory returns the most memory that a process has had resident, in bytes.
func PeakMemory(t *testing.T, pid int) int {
	_, peak, found := strings.Cut(readProcess(t, pid, "status"), "VmHWM:")
	require.True(t, found)
	kib, err := strconv.Atoi(strings.Fields(peak)[0])
	require.NoError(t, err)
	return kib << 10
}
