package runner

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"frostpier/internal/control/subset"
	"frostpier/internal/settings"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/scale"
)

// Lifecycle states and the machine type of engines in the engine list.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
	engineKind  = "m"
)

// engineCores is the number of cores of an engine according to the settings.
const engineCores = 12

// lookupClass returns the only class of queries that clients send.
func lookupClass() []emulator.Class {
	return []emulator.Class{{Name: "lookup", Share: 1, Work: 0.05, Threads: 1, IO: 0.3, MemoryMB: 50, Objective: 800 * time.Millisecond,
		Timeout: 4 * time.Second, Weight: 1}}
}

// zonePlacement is the part of the platform's settings that has the zones and a gateway's own zone.
type zonePlacement struct {
	Zones []string `json:"zones"`
	Zone  int      `json:"zone"`
}

// settings returns the platform's settings of a real gateway: those of package emulator, extended by the zones of the plan.
func (r *Runner) settings(gateways, self int) string {
	text := emulator.Settings(lookupClass(), gateways, self, engineCores)
	placement := zonePlacement{Zone: r.plan.ZoneOf(self), Zones: r.plan.ZoneNames()}
	object := map[string]json.RawMessage{}
	if json.Unmarshal([]byte(text), &object) != nil {
		return text // unreachable: the settings are a JSON object
	}
	zones, zonesErr := json.Marshal(placement.Zones)
	zone, zoneErr := json.Marshal(placement.Zone)
	if zonesErr != nil || zoneErr != nil {
		return text // unreachable: strings and integers can be encoded
	}
	object["zones"], object["zone"] = zones, zone
	out, err := json.Marshal(object)
	if err != nil {
		return text
	}
	return string(out)
}

// subsetConfig returns the subset configuration of hollow gateways, or nil if every gateway uses all engines.
func (r *Runner) subsetConfig() *subset.Config {
	if r.plan.SubsetMinEngines == 0 {
		return nil
	}
	config := subset.DefaultConfig()
	config.MinEngines, config.Regions = r.plan.SubsetMinEngines, r.plan.ZonesByRegion()
	return &config
}

// operatorSections are the sections of the operator's file in addition to the membership section.
type operatorSections struct {
	Spread settings.Spread  `toml:"spread"`
	Subset *settings.Subset `toml:"subset,omitempty"`
}

// operator returns the additional sections of the operator's file for real gateways, with the same subset configuration as
// that of hollow gateways.
func (r *Runner) operator() (string, error) {
	var sections operatorSections
	if r.plan.SubsetMinEngines > 0 {
		least := int64(r.plan.SubsetMinEngines)
		sections.Subset = &settings.Subset{MinEngines: &least, Regions: r.regionNames()}
	}
	var text strings.Builder
	if err := toml.NewEncoder(&text).Encode(sections); err != nil {
		return "", fmt.Errorf("operator's file: %w", err)
	}
	return "\n" + text.String(), nil
}

// regionNames returns the zone names of each region.
func (r *Runner) regionNames() (regions [][]string) {
	for _, zones := range r.plan.ZonesByRegion() {
		var names []string
		for _, zone := range zones {
			names = append(names, scale.ZoneName(zone))
		}
		regions = append(regions, names)
	}
	return regions
}
