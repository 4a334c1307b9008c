package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/examples"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/internal/version/inifile"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

func TestEveryFaultIsFoundInOnePass(t *testing.T) {
	text := `[Policy]
CompletionWeight = 7
Unknown = 1
CheckpointGrace = soon
[DataCentre "d"]
Accelerators = 8
[ClientAccount "a"]
Selector = pool in (
RequestShare = 0.8
[ClientAccount "b"]
RequestShare = 0.8
[Guarantee "g"]
Account = nobody
DataCentre = nowhere
Shape = 2by8
[Guarantee "h"]
Account = a
DataCentre = d
Shape = 2x8
[Surprise]
[ClientAccount "a"]
`
	_, err := config.Parse("file.ini", []byte(text))
	require.Error(t, err)
	for _, want := range []string{
		"file.ini:2: Policy.CompletionWeight: 7 is out of range, allowed is 0 to 1",
		"file.ini:3: Policy.Unknown: unknown key",
		`file.ini:4: Policy.CheckpointGrace: "soon" is no duration`,
		`file.ini:8: ClientAccount "a".Selector`,
		"the accounts' shares add up to 1.60",
		`Guarantee "g".Shape: "2by8" is no shape`,
		"the guarantees in d add up to 16 accelerators, planned are 8",
		"file.ini:20: Surprise: unknown section",
		`file.ini:21: ClientAccount "a": duplicate section, first at line 7`,
	} {
		require.Contains(t, err.Error(), want)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for name, text := range map[string]string{"kerotechni": examples.Kerotechni, "darling-downs": examples.DarlingDowns} {
		t.Run(name, func(t *testing.T) {
			c, err := config.Parse(name, []byte(text))
			require.NoError(t, err)
			require.Len(t, c.Accounts, 4)
		})
	}
}

func TestEditInstance(t *testing.T) {
	drain := true
	text, err := config.EditInstance(examples.Kerotechni, "w1", config.InstanceEdit{Labels: map[string]string{"pool": "a", "zone": "1"}, Drain: &drain})
	require.NoError(t, err)
	text, err = config.EditInstance(text, "w1", config.InstanceEdit{Labels: map[string]string{"zone": ""}})
	require.NoError(t, err)
	c, err := config.Parse("edited", []byte(text))
	require.NoError(t, err)
	require.Equal(t, "pool=a", c.Instances["w1"].Labels.String())
	require.True(t, c.Instances["w1"].Drain)
	require.Len(t, c.Guarantees, 7, "the rest of the document is unchanged")
}

// TestEditSectionWithoutQuotes guards against an edit that adds a second section for a title that the document has without
// quotes. Such a document has a duplicate section and is refused.
func TestEditSectionWithoutQuotes(t *testing.T) {
	drain := true
	text, err := config.EditInstance("[DataCentre d]\n[Instance w1]\n", "w1", config.InstanceEdit{Drain: &drain})
	require.NoError(t, err)
	text, err = config.EvacuateDataCentre(text, "d", true)
	require.NoError(t, err)
	c, err := config.Parse("edited", []byte(text))
	require.NoError(t, err)
	require.True(t, c.Instances["w1"].Drain)
	require.True(t, c.DataCentres["d"].Evacuate)
}

// TestEvacuateDataCentre guards against an edit that changes more than one key, and against an unknown data centre that the
// edit adds to the configuration.
func TestEvacuateDataCentre(t *testing.T) {
	before, err := config.Parse("before", []byte(examples.Kerotechni))
	require.NoError(t, err)
	require.Len(t, before.DataCentres, 3)
	var id ids.DataCentreID
	for id = range before.DataCentres {
		require.False(t, before.DataCentres[id].Evacuate, "the default is no evacuation")
	}
	text := examples.Kerotechni
	for _, evacuate := range []bool{true, true, false} {
		text, err = config.EvacuateDataCentre(text, id, evacuate)
		require.NoError(t, err)
		after, err := config.Parse("edited", []byte(text))
		require.NoError(t, err)
		for other, want := range before.DataCentres {
			want.Evacuate = evacuate && other == id
			require.Equal(t, want, after.DataCentres[other])
		}
		require.Equal(t, before.Guarantees, after.Guarantees, "the rest of the document is unchanged")
	}
	_, err = config.EvacuateDataCentre(text, "nowhere", true)
	require.ErrorContains(t, err, `"nowhere" is not a data centre`)
}

// TestConfigurationPage checks docs/CONFIGURATION.md against the tables in the code.
// JUJUBEGRADE_WRITE_PAGES=1 regenerates the page.
func TestConfigurationPage(t *testing.T) {
	const file = "../../../docs/CONFIGURATION.md"
	want := "# Configuration and settings\n\n" +
		"The operators' configuration is kept in the platform's store and accepted through the administration API. The settings\n" +
		"belong to one entry instance and are read at its start. Both are INI documents; `jujubegrade check FILE` checks either.\n" +
		"Durations are written with their unit, such as 250ms or 2h.\n\n" +
		"## Configuration\n\n" + inifile.Markdown(config.Sections) + "## Settings\n\n" + inifile.Markdown(settings.Sections)
	want = strings.TrimRight(want, "\n") + "\n"
	if os.Getenv("JUJUBEGRADE_WRITE_PAGES") != "" {
		require.NoError(t, os.WriteFile(file, []byte(want), 0o644))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, want, string(page))
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Kerotechni)
	f.Add(examples.DarlingDowns)
	f.Add("[Guarantee \"g\"]\nShape = 99999999999999999999x1\n")
	f.Add("[Policy\n=\n[]")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := config.Parse("fuzz", []byte(text))
		if err != nil {
			return
		}
		for _, g := range c.Guarantees {
			require.NoError(t, g.Shape.Validate())
			require.Contains(t, c.Accounts, g.Account)
			require.Contains(t, c.DataCentres, g.DataCentre)
		}
		for _, a := range c.Accounts {
			require.True(t, a.Selector != nil)
			require.Positive(t, a.Weight)
		}
	})
}
