package membership

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestConfigIsValidated(t *testing.T) {
	valid := func() Config { return Config{Self: 1, Peers: peerAddresses(3), Fleet: "f"} }
	if _, err := New(valid()); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Config)
		field  string
	}{
		"own number too large":     {func(c *Config) { c.Self = 3 }, "Self"},
		"own number negative":      {func(c *Config) { c.Self = -1 }, "Self"},
		"duplicate peer":           {func(c *Config) { c.Peers[2] = c.Peers[0] }, "Peers[2]"},
		"peer without port":        {func(c *Config) { c.Peers[2] = netip.AddrPort{} }, "Peers[2]"},
		"too many peers":           {func(c *Config) { c.Peers = peerAddresses(MaxMembers + 1) }, "len(Peers)"},
		"interval too short":       {func(c *Config) { c.Interval = time.Millisecond }, "Interval"},
		"timeout too long":         {func(c *Config) { c.ProbeTimeout = time.Second }, "Timeout"},
		"suspicion too short":      {func(c *Config) { c.SuspicionTimeout = time.Millisecond }, "Suspect"},
		"extensions too frequent":  {func(c *Config) { c.ExtensionInterval = time.Millisecond }, "ExtensionInterval"},
		"negative probe's timeout": {func(c *Config) { c.ProbeTimeout = -1 }, "Timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := valid()
			c.change(&cfg)
			_, err := New(cfg)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Fatalf("error %v, want a ConfigError of %s", err, c.field)
			}
			if text := err.Error(); !strings.Contains(text, c.field) || !strings.Contains(text, invalid.Bound) {
				t.Errorf("error %q does not name the field %s and the bound %q", text, c.field, invalid.Bound)
			}
		})
	}
}

// An invalid timeout changes nothing while the protocol runs; a valid one takes effect.
func TestAdjustRejectsInvalidTimeouts(t *testing.T) {
	n := newNode(t, 0, 5)
	before := n.cfg.ProbeTimeout
	var invalid *ConfigError
	if err := n.SetTimeouts(n.cfg.Interval, 0); !errors.As(err, &invalid) || invalid.Field != "Timeout" || n.cfg.ProbeTimeout != before {
		t.Errorf("error %v, timeout %v", err, n.cfg.ProbeTimeout)
	}
	if err := n.SetTimeouts(before/2, 0); err != nil || n.cfg.ProbeTimeout != before/2 {
		t.Errorf("error %v, timeout %v", err, n.cfg.ProbeTimeout)
	}
}
