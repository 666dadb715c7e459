// Package settings reads what a gateway is started with: the platform's configuration, the settings object in it, which
// is the same in the simulator's protocol, and the operator's file. It checks them and translates the settings object to
// policy.Settings. It reads no files and environment variables itself, and keeps no state.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"frostpier/policy"
)

// Host is what a gateway needs of the settings object beyond the settings of the decision module.
type Host struct {
	Policy          policy.Settings
	ConnIdleTimeout time.Duration // engines close connections that were idle for so long
	ConnectTimeout  time.Duration
	MaxPending      int           // requests that may be pending at once; 0 = no limit
	MaxRetryAfter   time.Duration // maximum Retry-After of a rejection
	MachineTypes    []string      // names of the engine kinds, by number
	Zones           []string      // names of the zones, by number
	PeerMessages    bool          // gateways may send each other datagrams
}

// Parse reads a settings object for the decision module alone. The error of an invalid value is a *KeyError.
func Parse(text []byte) (policy.Settings, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, err
	}
	return s.moduleSettings()
}

// ParseHost reads a settings object for a gateway. The error of an invalid value is a *KeyError.
func ParseHost(text []byte) (Host, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return Host{}, fmt.Errorf("%s: %w", SourceSettings, err)
	}
	module, err := s.moduleSettings()
	if err != nil {
		return Host{}, err
	}
	p := s.Permissions
	return Host{
		Policy: module, ConnIdleTimeout: p.ConnIdle, ConnectTimeout: p.ConnectTimeout, MaxPending: p.MaxOpen,
		MaxRetryAfter: p.MaxRetryAfter, MachineTypes: s.Models, Zones: s.Zones, PeerMessages: p.PeerMessages,
	}, nil
}

// MetricOf returns the metric that a field of a load report holds; policy.UnknownMetric for a field that the decision module
// does not use.
func MetricOf(field string) policy.Metric { return metrics[field] }
