package settings

import (
	"testing"

	"frostpier/internal/testutil"
)

// The configuration, the platform's settings and the operator's file have the keys that they had before the code was
// rearranged.
func TestKeysOfFiles(t *testing.T) {
	t.Parallel()
	keys := testutil.FieldKeys("json", "configuration", Config{}) + testutil.FieldKeys("json", "settings", setup{}) +
		testutil.FieldKeys("toml", "operator", Operator{})
	testutil.Golden(t, "keys.golden", []byte(keys))
}
