package placement

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain fixes the seed of randomised runs, unless the command line names one.
func TestMain(m *testing.M) {
	testrun.Main(m, map[string]string{
		"rapid.checks": "60", "rapid.nofailfile": "true", "rapid.seed": "1", "rapid.shrinktime": "3s", "rapid.steps": "120",
	})
}
