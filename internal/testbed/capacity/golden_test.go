package capacity

import (
	"os"
	"testing"

	"frostpier/internal/testutil"
)

// TestStoredSlopesAreRead checks that a result file of an earlier version decodes, that it encodes to the same bytes, and
// that the JSON keys of Result are unchanged.
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
	encoded, err := result.Encode()
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "slopes.json", encoded)
	testutil.Golden(t, "keys.golden", []byte(testutil.FieldKeys("json", "result", Result{})))
}
