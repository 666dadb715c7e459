package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"frostpier/internal/control/subset"
)

// Subset makes the gateway use a subset of the engines. A nil key selects the default of package subset.
type Subset struct {
	MinEngines *int64     `toml:"least"`       // minimum number of engines in the subset
	Rate       *float64   `toml:"rate"`        // statements per second of one gateway
	EngineRate *float64   `toml:"engine_rate"` // statements per second that one gateway sends to one engine
	Coverage   *int64     `toml:"coverage"`    // minimum average number of gateways per engine
	LingerMS   *int64     `toml:"linger_ms"`   // how long an engine stays in use after it has left the subset
	Regions    [][]string `toml:"regions"`     // zone names of each region
}

// operatorKeys maps subset.ConfigError.Key to the key in the operator's file, where they differ.
var operatorKeys = map[string]string{"linger": "linger_ms"}

// maxLingerMS prevents an overflow in the conversion of linger_ms to a time.Duration. Package subset enforces a smaller
// maximum.
const maxLingerMS = 1 << 40

// Config returns the configuration of package subset for a fleet with the given zones. The error for an invalid key is a
// *KeyError.
func (s Subset) Config(zones []string) (subset.Config, error) {
	config, err := s.configWithoutRegions()
	if err != nil {
		return config, err
	}
	for _, names := range s.Regions {
		var region []int
		for _, name := range names {
			zone := slices.Index(zones, name)
			if zone < 0 {
				reason := fmt.Sprintf("not one of the zones in the settings (%s)", strings.Join(zones, ", "))
				return config, operatorError("subset.regions", name, reason)
			}
			region = append(region, zone)
		}
		config.Regions = append(config.Regions, region)
	}
	return config, subsetError(config.Validate())
}

// configWithoutRegions returns the configuration of package subset, except for the regions.
func (s Subset) configWithoutRegions() (subset.Config, error) {
	config := subset.DefaultConfig()
	if s.MinEngines != nil {
		config.MinEngines = int(*s.MinEngines)
	}
	if s.Rate != nil {
		if *s.Rate <= 0 {
			return config, operatorError("subset.rate", *s.Rate, "must be above 0; omit the key if the rate is unknown")
		}
		config.Rate = *s.Rate
	}
	if s.EngineRate != nil {
		config.EngineRate = *s.EngineRate
	}
	if s.Coverage != nil {
		config.Coverage = int(*s.Coverage)
	}
	if s.LingerMS != nil {
		if *s.LingerMS > maxLingerMS {
			return config, operatorError("subset.linger_ms", *s.LingerMS, fmt.Sprintf("must be at most %d", int64(maxLingerMS)))
		}
		config.Linger = time.Duration(*s.LingerMS) * time.Millisecond
	}
	return config, subsetError(config.Validate())
}

// subsetError converts a *subset.ConfigError to a *KeyError with the key in the operator's file. It returns any other error
// unchanged.
func subsetError(err error) error {
	var invalid *subset.ConfigError
	if !errors.As(err, &invalid) {
		return err
	}
	key, differs := operatorKeys[invalid.Key]
	if !differs {
		key = invalid.Key
	}
	return operatorError("subset."+key, invalid.Value, invalid.Reason)
}

// check checks the keys, except whether the fleet has the zones of the regions.
func (s Subset) check() error {
	if _, err := s.configWithoutRegions(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, names := range s.Regions {
		if len(names) == 0 {
			return operatorError("subset.regions", nil, "each region must have at least one zone")
		}
		for _, name := range names {
			if name == "" || seen[name] {
				return operatorError("subset.regions", name, "zone names must not be empty or appear twice")
			}
			seen[name] = true
		}
	}
	return nil
}
