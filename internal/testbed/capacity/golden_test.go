package capacity

import (
	"os"
	"testing"

	"frostpier/internal/testutil"
)

// A result file of an earlier version decodes, and encodes to the same bytes.
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
