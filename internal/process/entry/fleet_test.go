package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/process/entry"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

const fleetConfig = `
[DataCentre "d"]
[ClientAccount "a"]
RequestShare = 1
[ClientAccount "b"]
[Service "catalogue"]
`

func addTokens(s *settings.Settings) {
	s.Tokens = append(s.Tokens, settings.Token{Name: "a", Secret: "secret-a", Account: "a"}, settings.Token{Name: "b", Secret: "secret-b", Account: "b"})
	s.MaxBody = 64 << 10
}

// startFleet starts entry instances on a simulated platform with workers and one runner, and waits until they serve.
func startFleet(b testing.TB, instances, workers int) (*platform.Platform, []*entry.Entry) {
	p := &platform.Platform{}
	for i := range workers {
		p.AddWorker("d", i, ids.Resources{Accelerators: 8, Cores: 64000, Memory: 250000})
	}
	_, err := p.AddRunner("d", "catalogue", 0, &runnerservice.Service{Slots: 1024})
	require.NoError(b, err)
	entries, err := p.StartEntries(instances, addTokens)
	require.NoError(b, err)
	b.Cleanup(func() {
		for _, e := range entries {
			e.Kill()
		}
		p.Close()
	})
	c := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	require.Eventually(b, func() bool {
		_, err := c.Apply(context.Background(), operator.Change{Author: "bench", Text: fleetConfig})
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(b, func() bool {
		reports, err := c.Reports(context.Background())
		return err == nil && len(reports.Reports) == 1
	}, 20*time.Second, 10*time.Millisecond)
	return p, entries
}
