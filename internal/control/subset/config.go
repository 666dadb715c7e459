package subset

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultMinEngines = 80               // gateways use every engine if the fleet has no more engines than this
	DefaultEngineRate = 20               // statements per second that one gateway sends to one engine
	DefaultCoverage   = 16               // gateways per engine, so that an engine loses little load when a few gateways fail
	DefaultLinger     = 30 * time.Second // longer than a restart, and longer than a table group's engines stay unused
)

// Bounds of Config.
const (
	MaxEngines  = 1 << 14 // engines in a list; the rest of a longer list is ignored
	MaxGateways = 1 << 12 // configured gateways; the limit of membership

	maxRate   = 1e6
	maxLinger = time.Hour
	maxZones  = 1 << 10
)

// Config sets how many engines a gateway uses, and how long it keeps engines that it no longer wants.
type Config struct {
	MinEngines int           `json:"Least"` // minimum size of a subset
	Rate       float64       // statements per second of one gateway; 0 = unknown, and then only MinEngines and Coverage apply
	EngineRate float64       // statements per second that one gateway sends to one engine
	Coverage   int           // minimum mean number of subsets that contain an engine
	Linger     time.Duration // how long an engine stays in the subset after it is no longer selected
	Regions    [][]int       // zones of each region; empty = one region. Zones that are listed in no region form an additional one
}

// ConfigError reports an invalid key of a Config, or an invalid argument of New.
type ConfigError struct {
	Key    string // name in the operator's file
	Value  any
	Reason string // names the bound that the value violates
}

// Error returns the key, its value and the bound that the value violates.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("subset: %s = %v: %s", e.Key, e.Value, e.Reason)
}

// DefaultConfig returns the Config of a fleet whose settings are all defaults.
func DefaultConfig() Config {
	return Config{MinEngines: DefaultMinEngines, EngineRate: DefaultEngineRate, Coverage: DefaultCoverage, Linger: DefaultLinger}
}

// Validate returns a *ConfigError for the first invalid key, or nil if there is none.
func (c Config) Validate() error {
	switch {
	case c.MinEngines < 1 || c.MinEngines > MaxEngines:
		return &ConfigError{"least", c.MinEngines, fmt.Sprintf("must be from 1 to %d engines", MaxEngines)}
	case !(c.Rate >= 0 && c.Rate <= maxRate):
		return &ConfigError{"rate", c.Rate, fmt.Sprintf("must be from 0 to %g statements per second", float64(maxRate))}
	case !(c.EngineRate > 0 && c.EngineRate <= maxRate):
		return &ConfigError{"engine_rate", c.EngineRate, fmt.Sprintf("must be above 0 and at most %g statements per second", float64(maxRate))}
	case c.Coverage < 1 || c.Coverage > MaxGateways:
		return &ConfigError{"coverage", c.Coverage, fmt.Sprintf("must be from 1 to %d gateways", MaxGateways)}
	case c.Linger <= 0 || c.Linger > maxLinger:
		return &ConfigError{"linger", c.Linger, fmt.Sprintf("must be above 0 and at most %v", maxLinger)}
	}
	return c.checkRegions()
}

func (c Config) checkRegions() error {
	var seen []int
	for _, region := range c.Regions {
		if len(region) == 0 {
			return &ConfigError{"regions", c.Regions, "a region has no zones"}
		}
		for _, zone := range region {
			if zone < 0 || slices.Contains(seen, zone) {
				return &ConfigError{"regions", c.Regions, fmt.Sprintf("zone %d is negative or in two regions", zone)}
			}
			seen = append(seen, zone)
		}
		if len(seen) > maxZones {
			return &ConfigError{"regions", len(seen), fmt.Sprintf("more than %d zones", maxZones)}
		}
	}
	return nil
}

// clone returns a copy that shares no slice with c.
func (c Config) clone() Config {
	regions := make([][]int, len(c.Regions))
	for i, region := range c.Regions {
		regions[i] = slices.Clone(region)
	}
	c.Regions = regions
	return c
}

// subsetSize returns the number of serving engines that a gateway wants in a fleet of the given size.
func (c Config) subsetSize(engines, gateways int) int {
	byRate := math.Ceil(c.Rate / c.EngineRate)
	byCoverage := (c.Coverage*engines + gateways - 1) / gateways
	return min(engines, max(c.MinEngines, int(min(byRate, MaxEngines)), byCoverage))
}
