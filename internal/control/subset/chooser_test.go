package subset

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// TestLoneGatewayUsesAllEngines checks that a gateway uses every engine while it knows no other gateways, or no other gateway
// is in service, and that it shrinks its subset gradually once others are in service again.
func TestLoneGatewayUsesAllEngines(t *testing.T) {
	f := newFleetModel(300, 1100, contiguous)
	c, err := New(f.config, 7, f.gateways[7].Zone, len(f.gateways))
	if err != nil {
		t.Fatal(err)
	}
	c.SetEngines(0, f.engines)
	if !c.UsesAll() || !c.Changed() || c.Changed() {
		t.Errorf("before the other gateways are known: %d engines, want all, and Changed to return true exactly once", len(c.IDs()))
	}
	c.SetGateways(time.Second, f.gateways)
	if n := len(c.IDs()); n != DefaultMinEngines+2 || c.UsesAll() { // two engines cover the gap to the next gateway
		t.Errorf("%d engines immediately after the other gateways are known, want %d", n, DefaultMinEngines+2)
	}
	c.SetGateways(time.Minute, nil)
	if !c.UsesAll() || c.MeanGatewaysPerEngine() != 1 {
		t.Errorf("the only gateway in service uses %d engines, want all; each is used by %v gateways, want 1", len(c.IDs()), c.MeanGatewaysPerEngine())
	}
	c.SetGateways(2*time.Minute, f.gateways)
	steps, last := tickUntilDone(t, c)
	if want := time.Duration(steps-1)*removalInterval + 2*time.Minute + DefaultLinger; steps != 255 || last != want {
		t.Errorf("shrank in %d steps until %v, want 255 steps until %v", steps, last, want)
	}
}

// tickUntilDone calls Tick at each time that NextTick returns. It returns the number of calls and the time of the last one.
func tickUntilDone(t *testing.T, c *Chooser) (steps int, last time.Duration) {
	t.Helper()
	for at, due := c.NextTick(); due; at, due = c.NextTick() {
		before := len(c.IDs())
		c.Tick(at)
		steps, last = steps+1, at
		if removed := before - len(c.IDs()); removed < 1 || removed > removalBatch {
			t.Fatalf("a tick removed %d engines, want 1 to %d", removed, removalBatch)
		}
	}
	return steps, last
}

// TestSmallFleetUsesAllEngines checks that every gateway of a fleet with few engines uses all of them.
func TestSmallFleetUsesAllEngines(t *testing.T) {
	c := newFleetModel(300, DefaultMinEngines, contiguous).chooser(3)
	if !c.UsesAll() || c.MeanGatewaysPerEngine() != 300 || c.Overlap(299) != 1 {
		t.Errorf("uses all engines: %v, want true; gateways per engine: %v, want 300; overlap: %v, want 1",
			c.UsesAll(), c.MeanGatewaysPerEngine(), c.Overlap(299))
	}
}

// TestValidateNamesInvalidKey checks that Validate returns a ConfigError that names the key of the invalid value.
func TestValidateNamesInvalidKey(t *testing.T) {
	for key, change := range map[string]func(*Config){
		"least":       func(c *Config) { c.MinEngines = 0 },
		"rate":        func(c *Config) { c.Rate = math.NaN() },
		"engine_rate": func(c *Config) { c.EngineRate = 0 },
		"coverage":    func(c *Config) { c.Coverage = -1 },
		"linger":      func(c *Config) { c.Linger = 48 * time.Hour },
		"regions":     func(c *Config) { c.Regions = [][]int{{0}, {1, 0}} },
	} {
		t.Run(key, func(t *testing.T) {
			c := DefaultConfig()
			change(&c)
			var invalid *ConfigError
			if err := c.Validate(); !errors.As(err, &invalid) || invalid.Key != key {
				t.Errorf("error %v, want a ConfigError for %s", err, key)
			}
		})
	}
}

// TestNewNamesInvalidArgument checks that New returns a ConfigError that names the invalid argument.
func TestNewNamesInvalidArgument(t *testing.T) {
	for _, c := range []struct {
		number, gateways int
		key              string
	}{
		{0, 0, "gateways"},
		{-1, 3, "number"},
		{3, 3, "number"},
		{0, MaxGateways + 1, "gateways"},
	} {
		t.Run(fmt.Sprintf("number %d of %d", c.number, c.gateways), func(t *testing.T) {
			var invalid *ConfigError
			if _, err := New(DefaultConfig(), c.number, 0, c.gateways); !errors.As(err, &invalid) || invalid.Key != c.key {
				t.Errorf("error %v, want a ConfigError for %s", err, c.key)
			}
		})
	}
}
