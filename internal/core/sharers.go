package core

import (
	"math"
	"time"

	"frostpier/policy"
)

// dispatchSharers sends the module the number of gateways that share its engines, if that has changed.
func (c *Core) dispatchSharers(now time.Duration) []Action {
	if c.subset != nil {
		c.subset.sharersAt = now + sharersInterval
	}
	state := policy.GatewaysInService{Count: c.sharers(), Subset: c.UsesSubset()}
	if state == c.sentInService {
		return nil
	}
	c.sentInService = state
	return c.dispatch(now, state)
}

// sharers returns how many gateways share the engines of this one. A gateway whose subset is unknown counts as using
// every engine.
func (c *Core) sharers() int {
	s := c.subset
	if s == nil || s.chooser.All() {
		return c.gatewaysInService
	}
	unknown := 0
	for number, g := range s.gateways {
		if g.InService && g.Zone < 0 && number != c.host.Module.GatewayIndex {
			unknown++
		}
	}
	listed, used := c.SubsetSize()
	// The chooser already counts an unknown gateway as the mean share of a subset; the rest is added here.
	holders := s.chooser.MeanGateways() + float64(unknown)*(1-float64(used)/float64(max(1, listed)))
	return max(1, min(c.gatewaysInService, int(math.Round(holders))))
}
