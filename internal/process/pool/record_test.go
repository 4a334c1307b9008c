package pool

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against instances of two versions that can't read each other's records during an upgrade. The files were written by c63ef0c5, which ignores fields that it
// does not know and reads all others by their names.
func TestRecordsOfEarlierVersion(t *testing.T) {
	for name, test := range map[string]struct {
		file  string
		begun bool
	}{
		"start ordered only": {file: "record-c63ef0c5-ordered.json"},
		"tasks have ended":   {file: "record-c63ef0c5-begun.json", begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			earlier, err := os.ReadFile(filepath.Join("testdata", test.file))
			require.NoError(t, err)
			j, err := Decode(earlier)
			require.NoError(t, err)
			require.Equal(t, test.begun, j.Begun())
			record, err := j.Encode("writer")
			require.NoError(t, err)
			var want, got map[string]any
			require.NoError(t, json.Unmarshal(earlier, &want))
			require.NoError(t, json.Unmarshal(record, &got))
			begun, found := got["Begun"]
			require.Equal(t, test.begun, found && begun == true)
			delete(got, "Begun")
			require.Equal(t, want, got)
		})
	}
}
