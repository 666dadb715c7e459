package testfleet

import (
	"errors"
	"strings"
	"testing"
)

// Checks that ParseScenario rejects an invalid scenario with a ScenarioError that contains the step and the key.
func TestParseScenarioErrorHasStepAndKey(t *testing.T) {
	const good = "name = \"x\"\ngateways = 5\n[[step]]\ndo = \"kill\"\ncount = 2\n"
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		step int
		key  string
	}{
		"too few gateways":       {text: "gateways = 1\n[[step]]\ndo = \"kill\"\n", key: "gateways"},
		"no steps":               {text: "gateways = 5\n", key: "step"},
		"loss of all datagrams":  {text: "gateways = 5\n[network]\nloss = 1.0\n[[step]]\ndo = \"kill\"\n", key: "network.loss"},
		"unknown action":         {text: "gateways = 5\n[[step]]\ndo = \"explode\"\n", step: 1, key: "do"},
		"pause without duration": {text: "gateways = 5\n[[step]]\ndo = \"pause\"\n", step: 1, key: "for_s"},
		"gateway out of range":   {text: "gateways = 5\n[[step]]\ndo = \"kill\"\ngateways = [5]\n", step: 1, key: "gateways"},
		"no gateway unaffected":  {text: "gateways = 5\n[[step]]\ndo = \"kill\"\ncount = 5\n", step: 1, key: "count"},
		"network missing":        {text: "gateways = 5\n[[step]]\ndo = \"network\"\n", step: 1, key: "network"},
		"unknown key":            {text: good + "fro_s = 3\n", key: "step.fro_s"},
		"negative repeat":        {text: "gateways = 5\n[[step]]\ndo = \"kill\"\nrepeat = -1\n", step: 1, key: "repeat"},
	} {
		t.Run(name, func(t *testing.T) {
			var invalid *ScenarioError
			_, err := ParseScenario([]byte(c.text))
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v, want a *ScenarioError", err)
			}
			if invalid.Step != c.step || invalid.Key != c.key || !strings.Contains(err.Error(), c.key) {
				t.Errorf("error %v (step %d, key %s), want step %d, key %s", err, invalid.Step, invalid.Key, c.step, c.key)
			}
		})
	}
}
