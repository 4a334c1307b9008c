package testrun

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	Main(m, nil)
}

// TestRaceContext makes goroutines find their timers expired while other timers are still firing. On more than one
// processor this crashes the race detector's runtime of Go 1.26 within seconds.
func TestRaceContext(t *testing.T) {
	const rounds, timers = 400, 50
	synctest.Test(t, func(t *testing.T) {
		due := 0
		for range rounds {
			found := make(chan bool, timers)
			for range timers {
				timer := time.NewTimer(time.Second)
				time.AfterFunc(time.Second, func() {
					select {
					case <-timer.C:
						found <- true
					default:
						found <- false
					}
				})
			}
			for range timers {
				if <-found {
					due++
				}
			}
		}
		require.Equal(t, rounds*timers, due)
	})
}

// TestPackages checks that every package whose tests use testing/synctest runs them through Main.
func TestPackages(t *testing.T) {
	usesSynctest, callsMain := make(map[string]bool), make(map[string]bool)
	require.NoError(t, filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		usesSynctest[dir] = usesSynctest[dir] || strings.Contains(string(text), `"testing/synctest"`)
		callsMain[dir] = callsMain[dir] || strings.Contains(string(text), "testrun.Main(m")
		return nil
	}))
	callsMain[filepath.Join("..", "..", "internal", "testrun")] = true
	count := 0
	for dir, uses := range usesSynctest {
		if uses {
			count++
			require.True(t, callsMain[dir], "%s uses testing/synctest but has no TestMain that calls testrun.Main", dir)
		}
	}
	require.Greater(t, count, 5)
}
