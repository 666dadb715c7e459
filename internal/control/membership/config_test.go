package membership

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Checks that New rejects invalid values with a ConfigError that names the field and the requirement.
func TestNewRejectsInvalidConfig(t *testing.T) {
	valid := func() Config { return Config{Self: 1, Peers: peerAddresses(3), Fleet: "f"} }
	if _, err := New(valid()); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Config)
		field  string
	}{
		"Self too large":          {func(c *Config) { c.Self = 3 }, "Self"},
		"Self negative":           {func(c *Config) { c.Self = -1 }, "Self"},
		"duplicate peer":          {func(c *Config) { c.Peers[2] = c.Peers[0] }, "Peers[2]"},
		"peer without port":       {func(c *Config) { c.Peers[2] = netip.AddrPort{} }, "Peers[2]"},
		"too many peers":          {func(c *Config) { c.Peers = peerAddresses(MaxMembers + 1) }, "len(Peers)"},
		"interval too short":      {func(c *Config) { c.Interval = time.Millisecond }, "Interval"},
		"probe timeout too long":  {func(c *Config) { c.ProbeTimeout = time.Second }, "Timeout"},
		"suspicion too short":     {func(c *Config) { c.SuspicionTimeout = time.Millisecond }, "Suspect"},
		"extensions too frequent": {func(c *Config) { c.ExtensionInterval = time.Millisecond }, "ExtensionInterval"},
		"probe timeout negative":  {func(c *Config) { c.ProbeTimeout = -1 }, "Timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := valid()
			c.change(&cfg)
			_, err := New(cfg)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Fatalf("error %v, want a ConfigError for %s", err, c.field)
			}
			if text := err.Error(); !strings.Contains(text, c.field) || !strings.Contains(text, invalid.Bound) {
				t.Errorf("error %q does not contain the field %s and the requirement %q", text, c.field, invalid.Bound)
			}
		})
	}
}

// Checks that SetTimeouts rejects an invalid timeout without changing the old one, and applies a valid one.
func TestSetTimeoutsRejectsInvalidValues(t *testing.T) {
	n := newNode(t, 0, 5)
	before := n.cfg.ProbeTimeout
	var invalid *ConfigError
	if err := n.SetTimeouts(n.cfg.Interval, 0); !errors.As(err, &invalid) || invalid.Field != "Timeout" || n.cfg.ProbeTimeout != before {
		t.Errorf("invalid timeout: error %v, timeout now %v, want a ConfigError and %v", err, n.cfg.ProbeTimeout, before)
	}
	if err := n.SetTimeouts(before/2, 0); err != nil || n.cfg.ProbeTimeout != before/2 {
		t.Errorf("valid timeout: error %v, timeout now %v, want %v", err, n.cfg.ProbeTimeout, before/2)
	}
}
