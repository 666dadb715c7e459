package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"frostpier/internal/control/subset"
)

// Subset has the gateway use a subset of the engines. A missing key has the default of the package subset.
type Subset struct {
	Least      *int64     `toml:"least"`       // engines, at the least
	Rate       *float64   `toml:"rate"`        // statements a second of one gateway
	EngineRate *float64   `toml:"engine_rate"` // statements a second that one gateway puts on one engine
	Coverage   *int64     `toml:"coverage"`    // gateways an engine, on average, at the least
	LingerMS   *int64     `toml:"linger_ms"`   // that an engine stays in use after it is no longer wanted
	Regions    [][]string `toml:"regions"`     // names of zones
}

// SubsetError names the key of the section that is invalid.
type SubsetError struct {
	Key    string
	Reason string
}

func (e *SubsetError) Error() string {
	return fmt.Sprintf("operator's file: subset.%s: %s", e.Key, e.Reason)
}

// subsetKeys maps keys of the package subset to those of the file, where they differ.
var subsetKeys = map[string]string{"linger": "linger_ms"}

// mostLingerMS keeps the time within what a time.Duration holds; the package subset has a closer bound.
const mostLingerMS = 1 << 40

// Config returns the configuration that the section stands for in a fleet with these zones.
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
				return config, &SubsetError{"regions", fmt.Sprintf("%q is none of the settings' zones (%s)", name, strings.Join(zones, ", "))}
			}
			region = append(region, zone)
		}
		config.Regions = append(config.Regions, region)
	}
	return config, subsetError(config.Check())
}

// sizes returns the configuration without the regions.
func (s Subset) sizes() (subset.Config, error) {
	config := subset.DefaultConfig()
	if s.Least != nil {
		config.Least = int(*s.Least)
	}
	if s.Rate != nil {
		if *s.Rate <= 0 {
			return config, &SubsetError{"rate", fmt.Sprintf("%g is not above 0; without the key it is not known", *s.Rate)}
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
		if *s.LingerMS > mostLingerMS {
			return config, &SubsetError{"linger_ms", fmt.Sprintf("%d is too long", *s.LingerMS)}
		}
		config.Linger = time.Duration(*s.LingerMS) * time.Millisecond
	}
	return config, subsetError(config.Check())
}

// subsetError translates an error of the package subset to the key of the file.
func subsetError(err error) error {
	var fault *subset.ConfigError
	if !errors.As(err, &fault) {
		return err
	}
	key := fault.Key
	if name, other := subsetKeys[key]; other {
		key = name
	}
	return &SubsetError{key, fmt.Sprintf("%v: %s", fault.Value, fault.Reason)}
}

// check validates what does not depend on the fleet's zones.
func (s Subset) check() error {
	if _, err := s.sizes(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, names := range s.Regions {
		if len(names) == 0 {
			return &SubsetError{"regions", "a region without zones"}
		}
		for _, name := range names {
			if name == "" || seen[name] {
				return &SubsetError{"regions", fmt.Sprintf("zone %q has no name or is in two regions", name)}
			}
			seen[name] = true
		}
	}
	return nil
}
