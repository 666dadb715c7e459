package settings

import (
	"testing"

	"frostpier/internal/testutil"
)

// Checks the keys and value types of the configuration, the settings object and the operator's file against the golden
// file, because renaming a Go field must not change them.
func TestFileKeysMatchGoldenFile(t *testing.T) {
	t.Parallel()
	keys := testutil.FieldKeys("json", "configuration", Config{}) + testutil.FieldKeys("json", "settings", settingsObject{}) +
		testutil.FieldKeys("toml", "operator", Operator{})
	testutil.Golden(t, "keys.golden", []byte(keys))
}
