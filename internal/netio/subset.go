package netio

import "frostpier/internal/subset"

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
