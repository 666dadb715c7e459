package capacity

import (
	"os"
	"testing"

	"frostpier/internal/testutil"
)

// A file of slopes of an earlier version is read, and written again as it was.
func TestStoredSlopesAreRead(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	result, err := DecodeResult(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := result.Encode()
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "slopes.json", again)
	testutil.Golden(t, "keys.golden", []byte(testutil.FieldKeys("json", "result", Result{})))
}
