package poolowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// The next owner knows the speeds that an earlier one stored, and a record that is cut or malformed yields none rather than wrong ones.
func TestSpeedRecord(t *testing.T) {
	all := map[ids.InstanceID]pool.Speed{
		"a": {Mean: -0.5134, Variance: 0.0312, Incarnation: 1768186968000}, "b": {Mean: 0.25, Variance: 0.0001, Incarnation: 7},
	}
	value, err := encodeSpeeds(all)
	require.NoError(t, err)
	restored, err := decodeSpeeds(value)
	require.NoError(t, err)
	require.Len(t, restored, 2)
	for id, v := range all {
		require.InDelta(t, v.Mean, restored[id].Mean, 0.001)
		require.InDelta(t, v.Variance, restored[id].Variance, 0.001)
		require.Positive(t, restored[id].Variance)
		require.Equal(t, v.Incarnation, restored[id].Incarnation)
	}
	for name, text := range map[string]string{"not JSON": "x", "another type": `{"Workers":7}`} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeSpeeds([]byte(text))
			require.Error(t, err)
		})
	}
	partial, err := decodeSpeeds([]byte(`{"Workers":["a","b"],"Mean":[1],"Variance":[2],"Incarnation":[3]}`))
	require.NoError(t, err)
	require.Len(t, partial, 1)
}
