package dispatcher

import "frostpier/internal/control/subset"

// UseSubset restricts the gateway to the engines that the chooser selects; nil removes the restriction.
func (d *Dispatcher) UseSubset(chooser *subset.Chooser) {
	d.execute(d.Core.UseSubset(d.Loop.Now(), chooser), nil)
}

// ConfigureSubset changes the settings of the subset. If the settings are invalid, it changes nothing and returns an error.
func (d *Dispatcher) ConfigureSubset(config subset.Config) error {
	actions, err := d.Core.ConfigureSubset(d.Loop.Now(), config)
	d.execute(actions, nil)
	return err
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (d *Dispatcher) SetGateways(gateways []subset.Gateway) {
	d.execute(d.Core.SetGateways(d.Loop.Now(), gateways), nil)
}

// TickSubset removes engines whose linger time has elapsed from the subset. It should be called every second.
func (d *Dispatcher) TickSubset() {
	d.execute(d.Core.TickSubset(d.Loop.Now()), nil)
}

// SubsetSize returns the number of listed engines, without removed ones, and the number of those that the gateway uses.
func (d *Dispatcher) SubsetSize() (listed, used int) { return d.Core.SubsetSize() }

// UsesSubset reports whether the gateway uses fewer than all engines.
func (d *Dispatcher) UsesSubset() bool { return d.Core.UsesSubset() }

// SubsetOverlap returns the share of another gateway's subset, from 0 to 1, that is also in this gateway's subset, as far as it is known.
func (d *Dispatcher) SubsetOverlap(gateway int) float64 { return d.Core.SubsetOverlap(gateway) }
