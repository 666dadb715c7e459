package subset

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Defaults of Config, with their reasons.
const (
	DefaultLeast      = 80               // engines: fleets of up to 80 work as they did without subsets
	DefaultEngineRate = 20               // statements a second that one gateway puts on one engine
	DefaultCoverage   = 16               // gateways an engine, so that the loss of a few is a small part of its load
	DefaultLinger     = 30 * time.Second // longer than a restart, and than a table group's engines stay unused
)

// Bounds of Config. Values beyond them are taken for mistakes.
const (
	MaxEngines  = 1 << 14 // engines of a list that are taken over
	MaxGateways = 1 << 12 // configured gateways, as many as membership takes

	maxRate   = 1e6
	maxLinger = time.Hour
	maxZones  = 1 << 10
)

// Config says how many engines a gateway works with, and how fast it lets go of those that it no longer needs.
type Config struct {
	Least      int           // engines of a subset, at the least
	Rate       float64       // statements a second of one gateway; 0 = not known, which leaves Least and Coverage
	EngineRate float64       // statements a second that one gateway puts on one engine
	Coverage   int           // subsets that an engine lies in, on average, at the least
	Linger     time.Duration // that an engine stays in the subset after it is no longer wanted
	Regions    [][]int       // zones by region; empty = one region. Zones that none names form one more
}

// ConfigError says which key of a Config, or argument of New, makes no sense.
type ConfigError struct {
	Key    string // as in the operator's file
	Value  any
	Reason string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("subset: %s = %v: %s", e.Key, e.Value, e.Reason)
}

// DefaultConfig returns the settings of a fleet that sets nothing.
func DefaultConfig() Config {
	return Config{Least: DefaultLeast, EngineRate: DefaultEngineRate, Coverage: DefaultCoverage, Linger: DefaultLinger}
}

// Check returns a *ConfigError for the first key that makes no sense.
func (c Config) Check() error {
	switch {
	case c.Least < 1 || c.Least > MaxEngines:
		return &ConfigError{"least", c.Least, fmt.Sprintf("not from 1 to %d engines", MaxEngines)}
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

// size is how many serving engines a gateway wants of a fleet with so many engines and gateways.
func (c Config) size(engines, gateways int) int {
	byRate := math.Ceil(c.Rate / c.EngineRate)
	byCoverage := (c.Coverage*engines + gateways - 1) / gateways
	return min(engines, max(c.Least, int(min(byRate, MaxEngines)), byCoverage))
}
