package vrrp

import (
	"fmt"
	"net/netip"
	"time"
)

// Config configures a virtual router on one VRRP router. Only Priority and PrimaryAddr differ between the routers.
type Config struct {
	VRID         uint8         // 1 to 255
	Priority     uint8         // 255 for the owner of the addresses, else 1 to 254
	Interval     time.Duration // between advertisements, 10 ms to 40.95 s
	Preempt      bool          // take over from a master with a lower priority
	PrimaryAddr  netip.Addr    // primary IPv4 address of this router; the higher one wins between equal priorities
	VirtualAddrs []netip.Addr  // IPv4 addresses of the virtual router, 1 to 255 of them
}

// ConfigError reports a field of a Config that is out of range.
type ConfigError struct {
	VRID  uint8
	Field string
	Value any
	Bound string // requirement that the value violates
}

// Error gives the virtual router, the field, its value and the requirement.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("virtual router %d: %s is %v, want %s", e.VRID, e.Field, e.Value, e.Bound)
}

// validate returns a *ConfigError for the first field that is out of range.
func (c Config) validate() error {
	switch {
	case c.VRID == 0:
		return c.invalid("VRID", c.VRID, "1 to 255")
	case c.Priority == 0:
		return c.invalid("priority", c.Priority, "1 to 255")
	case c.Interval < intervalUnit || c.Interval > maxInterval:
		return c.invalid("interval", c.Interval, fmt.Sprintf("%v to %v", intervalUnit, maxInterval))
	case len(c.VirtualAddrs) == 0 || len(c.VirtualAddrs) > maxAddresses:
		return c.invalid("number of addresses", len(c.VirtualAddrs), fmt.Sprintf("1 to %d", maxAddresses))
	case !c.PrimaryAddr.Is4():
		return c.invalid("primary address", c.PrimaryAddr, "an IPv4 address")
	}
	for _, addr := range c.VirtualAddrs {
		if !addr.Is4() {
			return c.invalid("address", addr, "an IPv4 address")
		}
	}
	return nil
}

func (c Config) invalid(field string, value any, bound string) error {
	return &ConfigError{VRID: c.VRID, Field: field, Value: value, Bound: bound}
}
