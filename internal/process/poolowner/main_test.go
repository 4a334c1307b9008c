package poolowner

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain sets the seed of randomised runs, unless the command line names one.
func TestMain(m *testing.M) {
	testrun.Main(m, map[string]string{
		"rapid.checks": "12", "rapid.nofailfile": "true", "rapid.seed": "1", "rapid.shrinktime": "5s",
	})
}
