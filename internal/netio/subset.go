package netio

import "frostpier/internal/control/subset"

// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction.
func (g *Gateway) UseSubset(chooser *subset.Chooser) {
	g.carryOut(g.Core.UseSubset(g.Loop.Now(), chooser), nil)
}

// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
func (g *Gateway) ConfigureSubset(config subset.Config) error {
	actions, err := g.Core.ConfigureSubset(g.Loop.Now(), config)
	g.carryOut(actions, nil)
	return err
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (g *Gateway) SetGateways(gateways []subset.Gateway) {
	g.carryOut(g.Core.SetGateways(g.Loop.Now(), gateways), nil)
}

// TickSubset removes engines whose linger time has ended. It should be called every second.
func (g *Gateway) TickSubset() {
	g.carryOut(g.Core.TickSubset(g.Loop.Now()), nil)
}

// SubsetSize is how many engines are listed and not gone, and how many of them the gateway uses.
func (g *Gateway) SubsetSize() (listed, used int) { return g.Core.SubsetSize() }

// Narrowed reports whether the gateway uses fewer than all engines.
func (g *Gateway) Narrowed() bool { return g.Core.Narrowed() }

// Overlap is the share of another gateway's subset that lies in the own one, as far as it is known.
func (g *Gateway) Overlap(gateway int) float64 { return g.Core.Overlap(gateway) }
