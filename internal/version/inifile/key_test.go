package inifile

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Values that pass a check of the settings but can't be used as they are written.
func TestValidateRejects(t *testing.T) {
	for name, test := range map[string]struct {
		key   KeySpec
		value string
	}{
		"a boolean written as a number":      {KeySpec{Kind: Boolean}, "1"},
		"a boolean in capitals":              {KeySpec{Kind: Boolean}, "TRUE"},
		"a number that is not one":           {KeySpec{Kind: Number, Min: 0, Max: 1}, "NaN"},
		"an unbounded number that is no one": {KeySpec{Kind: Number}, "NaN"},
		"an unbounded infinite number":       {KeySpec{Kind: Number}, "Inf"},
	} {
		t.Run(name, func(t *testing.T) { require.Error(t, test.key.Validate(test.value)) })
	}
	for _, value := range []string{"true", "false"} {
		require.NoError(t, (&KeySpec{Kind: Boolean}).Validate(value))
	}
}
