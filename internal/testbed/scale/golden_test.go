package scale

import (
	"os"
	"testing"

	"frostpier/internal/testutil"
)

// Checks that a result file of an earlier version decodes and encodes to the same text, and that the JSON names are unchanged.
func TestStoredResultsAreRead(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/results.json")
	if err != nil {
		t.Fatal(err)
	}
	file, err := DecodeFile(text)
	if err != nil || len(file.Runs) == 0 || len(file.Runs[0].Steps) == 0 {
		t.Fatalf("%d runs, error %v; want at least one run with steps", len(file.Runs), err)
	}
	again, err := file.Encode()
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "results.json", again)
	testutil.Golden(t, "keys.golden", []byte(testutil.FieldKeys("json", "file", File{})))
}
