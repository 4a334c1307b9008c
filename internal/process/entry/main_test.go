package entry

import (
	"testing"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
)

func TestMain(m *testing.M) { testrun.Main(m, nil) }
