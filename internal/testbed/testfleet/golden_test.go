package testfleet

import (
	"encoding/json"
	"os"
	"testing"

	"frostpier/internal/testutil"
)

// Checks that ParseScenario reads a scenario file of an earlier version, and that the keys of the file format have not changed.
func TestParseScenarioReadsStoredFile(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/scenario.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseScenario(text)
	if err != nil || s.Gateways == 0 || len(s.Steps) == 0 {
		t.Fatalf("scenario %+v, error %v; want one with gateways and steps", s, err)
	}
	steps, err := json.Marshal([]any{len(s.Steps), s.Steps[0].Action, s.Steps[len(s.Steps)-1].Action, s.Network.Loss, s.Network.DelayMS})
	if err != nil {
		t.Fatal(err)
	}
	keys := testutil.FieldKeys("toml", "scenario", Scenario{})
	testutil.Golden(t, "scenario.golden", append([]byte(keys), steps...))
}
