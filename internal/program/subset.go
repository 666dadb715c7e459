package program

import (
	"fmt"

	"frostpier/internal/control/subset"
	"frostpier/internal/control/zonetable"
	"frostpier/internal/settings"
	"frostpier/internal/subsetdriver"
)

// subsetConfig returns the configuration of an operator's section subset, or nil if section is nil.
func subsetConfig(section *settings.Subset, zones []string) (*subset.Config, error) {
	if section == nil {
		return nil, nil
	}
	config, err := section.Config(zones)
	if err != nil {
		return nil, err
	}
	if len(zones) > zonetable.MaxZones {
		reason := fmt.Sprintf("the settings have %d zones, at most %d are supported", len(zones), zonetable.MaxZones)
		return nil, &settings.KeyError{Source: settings.SourceOperator, Key: "subset", Reason: reason}
	}
	return &config, nil
}

// fleetLocation returns this gateway's index and zone in its fleet, from the settings.
func fleetLocation(host settings.Host) subsetdriver.Location {
	return subsetdriver.Location{
		GatewayIndex: host.Policy.GatewayIndex, Gateways: host.Policy.Gateways,
		Zones: host.Zones, Zone: host.Policy.Zone,
	}
}
