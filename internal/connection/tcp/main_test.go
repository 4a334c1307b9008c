package tcp

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

// TestMain runs the tests on one processor with the race detector, which testing/synctest needs.
func TestMain(m *testing.M) { testrun.Main(m, nil) }
