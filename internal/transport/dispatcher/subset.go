package dispatcher

import (
	"frostpier/internal/control/subset"
)

// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction.
func (d *Dispatcher) UseSubset(chooser *subset.Chooser) {
	d.carryOut(d.Core.UseSubset(d.Loop.Now(), chooser), nil)
}

// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
func (d *Dispatcher) ConfigureSubset(config subset.Config) error {
	actions, err := d.Core.ConfigureSubset(d.Loop.Now(), config)
	d.carryOut(actions, nil)
	return err
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (d *Dispatcher) SetGateways(gateways []subset.Gateway) {
	d.carryOut(d.Core.SetGateways(d.Loop.Now(), gateways), nil)
}

// TickSubset removes engines whose linger time has ended. It should be called every second.
func (d *Dispatcher) TickSubset() {
	d.carryOut(d.Core.TickSubset(d.Loop.Now()), nil)
}

// SubsetSize is how many engines are listed and not gone, and how many of them the gateway uses.
func (d *Dispatcher) SubsetSize() (listed, used int) { return d.Core.SubsetSize() }

// Narrowed reports whether the gateway uses fewer than all engines.
func (d *Dispatcher) Narrowed() bool { return d.Core.Narrowed() }

// Overlap is the share of another gateway's subset that lies in the own one, as far as it is known.
func (d *Dispatcher) Overlap(gateway int) float64 { return d.Core.Overlap(gateway) }
