// Package testrun sets up test binaries: default flags for randomized tests, and GOMAXPROCS under the race detector.
package testrun

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// Main runs a package's tests. It sets each of flags to the given value unless the command line sets it.
//
// With the race detector the tests run on one processor: in Go 1.26 all timers of a testing/synctest bubble share one
// race context, and two threads use it concurrently when a goroutine finds its timer expired while the bubble is still
// firing others. TestRaceContext reproduces the crash. Without the race detector the tests run on all processors.
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
	if raceEnabled {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}
