package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// The state in force doesn't depend on the order of the instances.
func TestSummarizeVersions(t *testing.T) {
	const maxAge = 5 * time.Second
	for name, test := range map[string]struct {
		instances  []operator.InstanceVersion
		everywhere bool
	}{
		"all have the newest":               {[]operator.InstanceVersion{{Version: 3}, {Version: 3}}, true},
		"an earlier one is behind":          {[]operator.InstanceVersion{{Version: 2}, {Version: 3}}, false},
		"a later one is behind":             {[]operator.InstanceVersion{{Version: 3}, {Version: 2}}, false},
		"one that is silent is behind":      {[]operator.InstanceVersion{{Version: 3}, {Version: 2, Age: 6}}, true},
		"one that is silent has the newest": {[]operator.InstanceVersion{{Version: 2}, {Version: 3, Age: 6}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			in := operator.InForce{Instances: test.instances}
			summarizeVersions(&in, maxAge)
			require.EqualValues(t, 3, in.Accepted)
			require.Equal(t, test.everywhere, in.Everywhere)
		})
	}
}
