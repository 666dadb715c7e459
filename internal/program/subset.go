package program

import (
	"fmt"

	"frostpier/internal/control/subset"
	"frostpier/internal/control/subset/driver"
	"frostpier/internal/control/zonetable"
	"frostpier/internal/settings"
)

// subsetConfig returns the configuration of a section; nil for none.
func subsetConfig(section *settings.Subset, zones []string) (*subset.Config, error) {
	if section == nil {
		return nil, nil
	}
	config, err := section.Config(zones)
	if err != nil {
		return nil, err
	}
	if len(zones) > zonetable.MostZones {
		return nil, fmt.Errorf("operator's file: subset: the settings have %d zones, %d at most", len(zones), zonetable.MostZones)
	}
	return &config, nil
}

// placeOf is where the settings put this gateway in its fleet.
func placeOf(host settings.Host) driver.Place {
	return driver.Place{Number: host.Module.Number, Gateways: host.Module.Gateways, Zones: host.Zones, Zone: host.Module.Zone}
}

// ReceiveZones records the zones that another gateway reports. The next update of the subset uses them.
func (p peers) ReceiveZones(member int, body []byte) {
	p.subset.ReceiveZones(member, body)
}

// logSubset logs the size of the subset, and what it is shared with.
func (p *program) logSubset() {
	if p.subset == nil || !p.subset.On() {
		return
	}
	c := p.dispatcher.Core.SubsetCounts()
	p.log.Info("subset counts", "engines", c.Listed, "subset", c.Subset, "serving", c.Serving, "holders", c.MeanGateways, "sharers", c.GatewaysSharing,
		"added", c.Added, "removed", c.Removed)
}
