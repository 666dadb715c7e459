package subset

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultMinEngines = 80               // engines: gateways of smaller fleets use every engine
	DefaultEngineRate = 20               // statements per second of one gateway on one engine
	DefaultCoverage   = 16               // gateways per engine: the loss of a few is a small part of its load
	DefaultLinger     = 30 * time.Second // longer than a restart, and than the engines of a table group stay unused
)

// Bounds of Config. Values beyond them are errors.
const (
	MaxEngines  = 1 << 14 // engines of a list; those beyond are ignored
	MaxGateways = 1 << 12 // configured gateways, as many as membership takes

	maxRate   = 1e6
	maxLinger = time.Hour
	maxZones  = 1 << 10
)

// Config sets how many engines a gateway uses, and how long it keeps those that it no longer wants.
type Config struct {
	MinEngines int           `json:"Least"` // minimum engines of a subset
	Rate       float64       // statements per second of one gateway; 0 = not known: Least and Coverage decide
	EngineRate float64       // statements per second of one gateway on one engine
	Coverage   int           // minimum number of subsets that an engine is in, on average
	Linger     time.Duration // time that an engine stays in the subset after it is no longer wanted
	Regions    [][]int       // zones by region; empty = one region. Zones that no region names form one more
}

// ConfigError says which key of a Config, or argument of New, is invalid.
type ConfigError struct {
	Key    string // as in the operator's file
	Value  any
	Reason string // with the bound that the value violates
}

// Error returns the text that operators see.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("subset: %s = %v: %s", e.Key, e.Value, e.Reason)
}

// DefaultConfig returns the settings of a fleet that sets nothing.
func DefaultConfig() Config {
	return Config{MinEngines: DefaultMinEngines, EngineRate: DefaultEngineRate, Coverage: DefaultCoverage, Linger: DefaultLinger}
}

// Validate returns a *ConfigError for the first invalid key, nil if there is none.
func (c Config) Validate() error {
	switch {
	case c.MinEngines < 1 || c.MinEngines > MaxEngines:
		return &ConfigError{"least", c.MinEngines, fmt.Sprintf("not from 1 to %d engines", MaxEngines)}
	case !(c.Rate >= 0 && c.Rate <= maxRate):
		return &ConfigError{"rate", c.Rate, fmt.Sprintf("not from 0 to %g statements a second", float64(maxRate))}
	case !(c.EngineRate > 0 && c.EngineRate <= maxRate):
		return &ConfigError{"engine_rate", c.EngineRate, fmt.Sprintf("not above 0 and up to %g", float64(maxRate))}
	case c.Coverage < 1 || c.Coverage > MaxGateways:
		return &ConfigError{"coverage", c.Coverage, fmt.Sprintf("not from 1 to %d gateways", MaxGateways)}
	case c.Linger <= 0 || c.Linger > maxLinger:
		return &ConfigError{"linger", c.Linger, fmt.Sprintf("not above 0 and up to %v", maxLinger)}
	}
	return c.checkRegions()
}

func (c Config) checkRegions() error {
	var seen []int
	for _, region := range c.Regions {
		if len(region) == 0 {
			return &ConfigError{"regions", c.Regions, "a region without zones"}
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

// size returns how many serving engines a gateway wants of a fleet with so many engines and gateways.
func (c Config) size(engines, gateways int) int {
	byRate := math.Ceil(c.Rate / c.EngineRate)
	byCoverage := (c.Coverage*engines + gateways - 1) / gateways
	return min(engines, max(c.MinEngines, int(min(byRate, MaxEngines)), byCoverage))
}
