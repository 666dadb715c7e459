// Package settings parses and validates the inputs with which a gateway starts: the platform's configuration, the settings
// object that it contains (and that the simulator's protocol uses as well), and the operator's file. It translates the
// settings object to policy.Settings. It does not read files or environment variables, and it keeps no state.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"frostpier/policy"
)

// Host contains the settings of a gateway process, which is the host of the decision module.
type Host struct {
	Policy          policy.Settings
	ConnIdleTimeout time.Duration // idle time after which engines close a connection
	ConnectTimeout  time.Duration
	MaxPending      int           // maximum number of pending requests; 0 = no limit
	MaxQueryBytes   int           // maximum memory that frontends hold for active requests; 0 = no limit
	MaxRetryAfter   time.Duration // maximum Retry-After of a rejection
	MachineTypes    []string      // names of machine types, in the order of policy.Settings.MachineTypes
	Zones           []string      // zone names, indexed by zone number
	PeerMessages    bool          // gateways may send datagrams to each other
}

// Parse parses a settings object and returns the settings of the decision module. The error for an invalid value is a
// *KeyError.
func Parse(text []byte) (policy.Settings, error) {
	var s settingsObject
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, err
	}
	return s.moduleSettings()
}

// ParseHost parses a settings object and returns the settings of a gateway process. The error for an invalid value is a
// *KeyError.
func ParseHost(text []byte) (Host, error) {
	var s settingsObject
	if err := json.Unmarshal(text, &s); err != nil {
		return Host{}, fmt.Errorf("%s: %w", SourceSettings, err)
	}
	module, err := s.moduleSettings()
	if err != nil {
		return Host{}, err
	}
	p := s.Permissions
	return Host{
		Policy: module, ConnIdleTimeout: p.ConnIdle, ConnectTimeout: p.ConnectTimeout, MaxPending: p.MaxPending,
		MaxRetryAfter: p.MaxRetryAfter, MachineTypes: s.MachineTypes, Zones: s.Zones, PeerMessages: p.PeerMessages,
	}, nil
}

// MetricOf returns the metric of a field of load reports, or policy.UnknownMetric if the decision module does not use the
// field.
func MetricOf(field string) policy.Metric { return metricsByField[field] }
