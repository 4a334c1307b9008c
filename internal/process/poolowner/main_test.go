package poolowner

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised runs, unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
