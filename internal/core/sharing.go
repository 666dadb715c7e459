package core

import (
	"math"
	"time"

	"frostpier/policy"
)

// dispatchSharingGateways sends the module the number of gateways that share its engines, if the number has changed.
func (c *Core) dispatchSharingGateways(now time.Duration) []Action {
	if c.subset != nil {
		c.subset.nextSharingCount = now + sharingCountInterval
	}
	state := policy.GatewaysInService{Count: c.sharingGateways(), UsesSubset: c.UsesSubset()}
	if state == c.lastInService {
		return nil
	}
	c.lastInService = state
	return c.dispatch(now, state)
}

// sharingGateways returns the number of gateways that share the engines of this gateway, including itself. A gateway whose
// subset is unknown counts as using all engines.
func (c *Core) sharingGateways() int {
	s := c.subset
	if s == nil || s.chooser.UsesAll() {
		return c.gatewaysInService
	}
	unknown := 0
	for number, g := range s.gateways {
		if g.InService && g.Zone < 0 && number != c.host.Policy.GatewayIndex {
			unknown++
		}
	}
	listed, used := c.SubsetSize()
	// The chooser counts a gateway with an unknown subset only by the mean share of a subset; this adds the rest up to 1.
	sharing := s.chooser.MeanGatewaysPerEngine() + float64(unknown)*(1-float64(used)/float64(max(1, listed)))
	return max(1, min(c.gatewaysInService, int(math.Round(sharing))))
}
