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

// How the list of engines names states and machines.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
	engineKind  = "m"
)

// engineCores is how many cores a gateway takes an engine to have.
const engineCores = 12

// lookups is the one class of statements.
func lookups() []emulator.Class {
	return []emulator.Class{{Name: "lookup", Share: 1, Work: 0.05, Threads: 1, IO: 0.3, MB: 50, Objective: 800 * time.Millisecond,
		Timeout: 4 * time.Second, Weight: 1}}
}

// placement is the part of the platform's settings that says where a gateway is.
type placement struct {
	Zones []string `json:"zones"`
	Zone  int      `json:"zone"`
}

// settings are the platform's settings of a real gateway: a stand-in's, with the zones of the plan.
func (r *Rig) settings(gateways, self int) string {
	text := emulator.Settings(lookups(), gateways, self, engineCores)
	where := placement{Zone: r.plan.ZoneOf(self), Zones: r.plan.ZoneNames()}
	object := map[string]json.RawMessage{}
	if json.Unmarshal([]byte(text), &object) != nil {
		return text // the stand-in's settings are an object
	}
	zones, zonesErr := json.Marshal(where.Zones)
	zone, zoneErr := json.Marshal(where.Zone)
	if zonesErr != nil || zoneErr != nil {
		return text // names and numbers encode
	}
	object["zones"], object["zone"] = zones, zone
	out, err := json.Marshal(object)
	if err != nil {
		return text
	}
	return string(out)
}

// subsetConfig is the configuration of subsets for hollow gateways; nil where every gateway uses all engines.
func (r *Rig) subsetConfig() *subset.Config {
	if r.plan.Subset == 0 {
		return nil
	}
	config := subset.DefaultConfig()
	config.Least, config.Regions = r.plan.Subset, r.plan.ZonesByRegion()
	return &config
}

// operatorSections are the sections that a real gateway's operator's file has beyond membership.
type operatorSections struct {
	Spread settings.Spread  `toml:"spread"`
	Subset *settings.Subset `toml:"subset,omitempty"`
}

// operator is the operator's file of the real gateways, beyond membership: the same configuration of subsets.
func (r *Rig) operator() (string, error) {
	var sections operatorSections
	if r.plan.Subset > 0 {
		least := int64(r.plan.Subset)
		sections.Subset = &settings.Subset{Least: &least, Regions: r.regionNames()}
	}
	var text strings.Builder
	if err := toml.NewEncoder(&text).Encode(sections); err != nil {
		return "", fmt.Errorf("operator's file: %w", err)
	}
	return "\n" + text.String(), nil
}

// regionNames are the names of the zones of each region.
func (r *Rig) regionNames() (regions [][]string) {
	for _, zones := range r.plan.ZonesByRegion() {
		var names []string
		for _, zone := range zones {
			names = append(names, scale.ZoneName(zone))
		}
		regions = append(regions, names)
	}
	return regions
}
