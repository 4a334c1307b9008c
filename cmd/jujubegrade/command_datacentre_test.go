package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// TestEvacuateCommand evacuates a data centre of a running instance and withdraws the evacuation. It guards against a dry run
// that changes the configuration, and against an unknown data centre that is added to it.
func TestEvacuateCommand(t *testing.T) {
	p := &platform.Platform{}
	p.AddWorker("north", 0, ids.Resources{Accelerators: 8, Cores: 64000, Memory: 250000})
	entries, err := p.StartEntries(1, nil)
	require.NoError(t, err)
	defer p.Close()
	defer entries[0].Kill()
	client := operator.NewClient(entries[0].Settings.Operators, platform.OperatorToken)
	require.Eventually(t, func() bool {
		_, err := client.Apply(context.Background(), operator.Change{Author: "test", Text: "[DataCentre \"north\"]\n[ClientAccount \"a\"]\n"})
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	t.Setenv("JUJUBEGRADE_OPERATORS", entries[0].Settings.Operators)
	t.Setenv("JUJUBEGRADE_TOKEN", platform.OperatorToken)
	evacuated := func() bool {
		current, err := client.Config(context.Background())
		require.NoError(t, err)
		return strings.Contains(strings.ReplaceAll(current.Text, " ", ""), "Evacuate=true")
	}
	steps := []struct {
		args      []string
		code      int
		want      string
		evacuated bool
	}{
		{[]string{"datacentre", "evacuate", "-dry-run", "north"}, exitOK, "its 1 workers with 8 accelerators get no new work", false},
		{[]string{"datacentre", "evacuate", "south"}, exitFailed, `"south" is not a data centre`, false},
		{[]string{"datacentre", "evacuate"}, exitFailed, "expected exactly one data centre id", false},
		{[]string{"datacentre", "evacuate", "north"}, exitOK, "accepted as version 2", true},
		{[]string{"datacentre", "evacuate", "-undo", "-dry-run", "north"}, exitOK, "not accepted; version 2 is in force", true},
		{[]string{"datacentre", "evacuate", "-undo", "north"}, exitOK, "accepted as version 3", false},
	}
	require.Eventually(t, func() bool {
		code, out := runCommand(t, steps[0].args...)
		require.Equal(t, exitOK, code, out)
		return !strings.Contains(out, "its workers are not known yet")
	}, 10*time.Second, 10*time.Millisecond, "the instance has read the list")
	for _, s := range steps {
		code, out := runCommand(t, s.args...)
		require.Equal(t, s.code, code, out)
		require.Contains(t, out, s.want)
		require.Equal(t, s.evacuated, evacuated(), s.args)
		if !s.evacuated {
			continue
		}
		require.Eventually(t, func() bool {
			code, out := runCommand(t, "report", "evacuation")
			return code == exitOK && strings.Contains(out, "north") && strings.Contains(out, "runs left 0")
		}, 10*time.Second, 50*time.Millisecond)
	}
}
