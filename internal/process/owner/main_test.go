package owner

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain fixes the seed of randomized runs, unless the command line sets one.
func TestMain(m *testing.M) {
	testrun.Main(m, map[string]string{
		"rapid.checks": "12", "rapid.nofailfile": "true", "rapid.seed": "1", "rapid.shrinktime": "5s",
	})
}
