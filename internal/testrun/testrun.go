// Package testrun sets up the runs of test packages: seeds of random runs, and processors under the race detector.
package testrun

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// Main runs a package's tests. Flags of random runs get the given values, unless the command line names them.
//
// With the race detector the tests run on one processor: in Go 1.26 all timers of a testing/synctest bubble share one
// race context, which two threads use at once when a goroutine finds its timer due while the bubble still fires others.
// TestRaceContext shows the crash. Without the race detector the tests run on all processors.
func Main(m *testing.M, flags map[string]string) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range flags {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	if raceDetector {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}
