package poolowner

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain sets the seed and the other flags of rapid, unless the command line sets them.
func TestMain(m *testing.M) {
	testrun.Main(m, map[string]string{
		"rapid.checks": "12", "rapid.nofailfile": "true", "rapid.seed": "1", "rapid.shrinktime": "5s",
	})
}
