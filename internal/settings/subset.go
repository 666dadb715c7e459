package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"frostpier/internal/control/subset"
)

// Subset has the gateway use a subset of the engines. A key that is nil has the default of the package subset.
type Subset struct {
	MinEngines *int64     `toml:"least"`       // minimum number of engines
	Rate       *float64   `toml:"rate"`        // statements per second of one gateway
	EngineRate *float64   `toml:"engine_rate"` // statements per second that one gateway sends to one engine
	Coverage   *int64     `toml:"coverage"`    // minimum of the mean number of gateways per engine
	LingerMS   *int64     `toml:"linger_ms"`   // how long an engine stays in use after the choice changes
	Regions    [][]string `toml:"regions"`     // names of the zones of each region
}

// subsetKeys maps keys of subset.Config to keys of the file, where they differ.
var subsetKeys = map[string]string{"linger": "linger_ms"}

// maxLingerMS keeps linger_ms within what a time.Duration holds. The package subset checks a lower bound.
const maxLingerMS = 1 << 40

// Config returns the section's configuration in a fleet with these zones. The error of an invalid key is a *KeyError.
func (s Subset) Config(zones []string) (subset.Config, error) {
	config, err := s.sizes()
	if err != nil {
		return config, err
	}
	for _, names := range s.Regions {
		var region []int
		for _, name := range names {
			zone := slices.Index(zones, name)
			if zone < 0 {
				reason := fmt.Sprintf("none of the settings' zones (%s)", strings.Join(zones, ", "))
				return config, operatorError("subset.regions", name, reason)
			}
			region = append(region, zone)
		}
		config.Regions = append(config.Regions, region)
	}
	return config, subsetError(config.Validate())
}

// sizes returns the section's configuration without the regions.
func (s Subset) sizes() (subset.Config, error) {
	config := subset.DefaultConfig()
	if s.MinEngines != nil {
		config.MinEngines = int(*s.MinEngines)
	}
	if s.Rate != nil {
		if *s.Rate <= 0 {
			return config, operatorError("subset.rate", *s.Rate, "not above 0; without the key it is not known")
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
			return config, operatorError("subset.linger_ms", *s.LingerMS, fmt.Sprintf("too long: over %d", int64(maxLingerMS)))
		}
		config.Linger = time.Duration(*s.LingerMS) * time.Millisecond
	}
	return config, subsetError(config.Validate())
}

// subsetError translates the error of an invalid subset.Config to one that names the key of the file.
func subsetError(err error) error {
	var fault *subset.ConfigError
	if !errors.As(err, &fault) {
		return err
	}
	key, differs := subsetKeys[fault.Key]
	if !differs {
		key = fault.Key
	}
	return operatorError("subset."+key, fault.Value, fault.Reason)
}

// check checks what does not depend on the zones of the fleet.
func (s Subset) check() error {
	if _, err := s.sizes(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, names := range s.Regions {
		if len(names) == 0 {
			return operatorError("subset.regions", nil, "a region without zones")
		}
		for _, name := range names {
			if name == "" || seen[name] {
				return operatorError("subset.regions", name, "a zone that has no name or is in two regions")
			}
			seen[name] = true
		}
	}
	return nil
}
