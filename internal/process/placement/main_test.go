package placement

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain sets default rapid flags, including a fixed seed, unless the command line sets them.
func TestMain(m *testing.M) {
	testrun.Main(m, map[string]string{
		"rapid.checks": "60", "rapid.nofailfile": "true", "rapid.seed": "1", "rapid.shrinktime": "3s", "rapid.steps": "120",
	})
}
