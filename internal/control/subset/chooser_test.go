package subset

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// TestWithoutOtherGateways checks that a gateway uses every engine while it knows no others, or is alone, and narrows its
// subset step by step once others are back.
func TestWithoutOtherGateways(t *testing.T) {
	f := fleetOf(300, 1100, contiguous)
	c, err := New(f.config, 7, f.gateways[7].Zone, len(f.gateways))
	if err != nil {
		t.Fatal(err)
	}
	c.SetEngines(0, f.engines)
	if !c.UsesAll() || !c.Changed() || c.Changed() {
		t.Errorf("%d engines while nothing is known of other gateways", len(c.IDs()))
	}
	c.SetGateways(time.Second, f.gateways)
	if n := len(c.IDs()); n != DefaultMinEngines+2 || c.UsesAll() { // two to cover its part of the circle
		t.Errorf("%d engines at once when the others are known", n)
	}
	c.SetGateways(time.Minute, nil)
	if !c.UsesAll() || c.MeanGatewaysPerEngine() != 1 {
		t.Errorf("%d engines of a gateway that is alone, used by %v", len(c.IDs()), c.MeanGatewaysPerEngine())
	}
	c.SetGateways(2*time.Minute, f.gateways)
	steps, last := tickUntilDone(t, c)
	if want := time.Duration(steps-1)*removalInterval + 2*time.Minute + DefaultLinger; steps != 255 || last != want {
		t.Errorf("narrowed in %d steps until %v, not %v", steps, last, want)
	}
}

// tickUntilDone calls Tick as often as Next asks for, and returns how often that was and when the last time.
func tickUntilDone(t *testing.T, c *Chooser) (steps int, last time.Duration) {
	t.Helper()
	for at, due := c.NextTick(); due; at, due = c.NextTick() {
		before := len(c.IDs())
		c.Tick(at)
		steps, last = steps+1, at
		if removed := before - len(c.IDs()); removed < 1 || removed > removalBatch {
			t.Fatalf("%d engines removed in a step", removed)
		}
	}
	return steps, last
}

// TestSmallFleet checks that every gateway of a fleet with few engines uses all of them.
func TestSmallFleet(t *testing.T) {
	c := fleetOf(300, DefaultMinEngines, contiguous).chooser(3)
	if !c.UsesAll() || c.MeanGatewaysPerEngine() != 300 || c.Overlap(299) != 1 {
		t.Errorf("all engines: %v, used by %v", c.UsesAll(), c.MeanGatewaysPerEngine())
	}
}

func TestConfigErrors(t *testing.T) {
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
				t.Errorf("%v", err)
			}
		})
	}
}

func TestArgumentErrors(t *testing.T) {
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
				t.Errorf("%v", err)
			}
		})
	}
}
