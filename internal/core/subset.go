package core

import (
	"time"

	"frostpier/internal/control/subset"
	"frostpier/policy"
)

const (
	// moduleCleanupDelay is the time between the removal of an engine from the subset and an empty engine list that makes the
	// decision module delete its state. The module keeps removed engines for a minute, and deletes them only when it gets a list.
	moduleCleanupDelay = 65 * time.Second
	// sharingCountInterval is the time between two counts of the gateways that share the subset's engines. A count compares the
	// subsets of all gateways, which takes some milliseconds for 800 gateways.
	sharingCountInterval = 5 * time.Second
)

// SubsetCounts describes the subset of engines that the gateway uses, for the log.
type SubsetCounts struct {
	Listed, Subset, Serving int     // number of engines in the list, in the subset, and in the subset and ready
	MeanGateways            float64 // mean number of gateways that use an engine of the subset
	GatewaysSharing         int     // number of gateways among which the module divides concurrency targets and memory
	Added, Removed          uint64  // number of engines added and removed since the start
}

// engineSubset is the state of the subset of engines that a Core uses.
type engineSubset struct {
	chooser          *subset.Chooser
	sent             map[policy.EngineID]policy.EngineInfo // state that was last sent to the module, by engine
	coversAll        bool                                  // the subset contains all engines, and the module has all of them
	disabling        bool                                  // the subset is being disabled: all engines count as part of it
	gateways         []subset.Gateway
	warmingUp        map[policy.EngineID]bool // engines that were passed to the chooser as warming up
	moduleCleanupAt  time.Duration            // time to send the module an empty engine list, see moduleCleanupDelay; 0 = never
	nextSharingCount time.Duration            // earliest time of the next dispatchSharingGateways
	added            uint64
	removed          uint64
}

// UseSubset restricts the gateway to the engines that the chooser selects. A nil chooser disables the subset. UseSubset
// may be called while requests are pending and attempts are in flight.
func (c *Core) UseSubset(now time.Duration, chooser *subset.Chooser) []Action {
	if chooser == nil {
		return c.disableSubset(now)
	}
	if c.subset == nil { // so far the module has been given all engines
		c.subset = &engineSubset{coversAll: true}
		c.markAllSent()
	}
	c.subset.chooser = chooser
	c.updateChooser(now)
	return c.applySubset(now)
}

// disableSubset makes all listed engines available to the module again.
func (c *Core) disableSubset(now time.Duration) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.disabling = true
	actions := c.dispatchChanges(now)
	c.subset = nil
	c.updateReportedEngines()
	return append(actions, c.dispatchSharingGateways(now)...)
}

// ConfigureSubset changes the settings of the subset. For invalid settings it returns a *subset.ConfigError and changes
// nothing. Without a subset it does nothing.
func (c *Core) ConfigureSubset(now time.Duration, config subset.Config) ([]Action, error) {
	if c.subset == nil {
		return nil, nil
	}
	if err := c.subset.chooser.Configure(now, config); err != nil {
		return nil, err
	}
	return c.applySubset(now), nil
}

// SetGateways sets the zone and the state of each gateway, indexed by gateway number. Without a subset it does nothing.
func (c *Core) SetGateways(now time.Duration, gateways []subset.Gateway) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.gateways = gateways
	c.subset.chooser.SetGateways(now, gateways)
	return c.applySubset(now)
}

// TickSubset removes engines whose linger time has ended from the subset, and updates the chooser when an engine has
// warmed up. The host should call it every second.
func (c *Core) TickSubset(now time.Duration) []Action {
	s := c.subset
	if s == nil {
		return nil
	}
	if c.anyWarmedUp(now) {
		c.updateChooser(now)
	}
	s.chooser.Tick(now)
	actions := c.applySubset(now)
	if now >= s.nextSharingCount {
		actions = append(actions, c.dispatchSharingGateways(now)...)
	}
	if s.moduleCleanupAt > 0 && now >= s.moduleCleanupAt {
		s.moduleCleanupAt = 0
		actions = append(actions, c.dispatch(now, policy.EngineList{Kind: policy.ListDelta})...)
	}
	return actions
}

// updateChooser passes the engine list to the chooser.
func (c *Core) updateChooser(now time.Duration) {
	s := c.subset
	s.warmingUp = map[policy.EngineID]bool{}
	var engines []subset.Engine
	for id, e := range c.engines {
		if e.Health == policy.Gone {
			continue
		}
		warmingUp := c.warmingUp(now, e)
		if warmingUp {
			s.warmingUp[id] = true
		}
		engines = append(engines, subset.Engine{
			ID: uint64(id), Zone: e.info.Zone, Ready: e.Health == policy.Ready, WarmingUp: warmingUp,
		})
	}
	s.chooser.SetEngines(now, engines)
}

// warmingUp reports whether an engine may still be warming up, by the same rule as the decision module.
func (c *Core) warmingUp(now time.Duration, e *Engine) bool {
	return e.info.Started > 0 && now-e.info.Started < c.host.Policy.Rules.WarmupTime
}

// anyWarmedUp reports whether an engine that was passed to the chooser as warming up is warm or unknown by now.
func (c *Core) anyWarmedUp(now time.Duration) bool {
	for id := range c.subset.warmingUp {
		if e := c.engines[id]; e == nil || !c.warmingUp(now, e) {
			return true
		}
	}
	return false
}

// applySubset sends the changes of the subset to the module.
func (c *Core) applySubset(now time.Duration) []Action {
	s := c.subset
	if !s.chooser.Changed() && s.coversAll == s.chooser.UsesAll() {
		return nil
	}
	actions := c.dispatchChanges(now)
	c.updateReportedEngines()
	return append(actions, c.updateCoversAll(now)...)
}

// updateCoversAll records whether the subset contains all engines. When that changes, so does the number of sharing
// gateways.
func (c *Core) updateCoversAll(now time.Duration) []Action {
	was := c.subset.coversAll
	c.subset.coversAll = c.subset.chooser.UsesAll()
	if was == c.subset.coversAll {
		return nil
	}
	return c.dispatchSharingGateways(now)
}

// inSubset reports whether the gateway uses an engine: it is in the subset, or there is no subset.
func (c *Core) inSubset(e *Engine) bool {
	return c.subset == nil || c.subset.disabling || c.subset.chooser.Contains(uint64(e.ID))
}

// isOverflow reports whether an engine is outside the core of the gateway's subset. The core is the part that the gateway
// shares with many gateways of its zone.
func (c *Core) isOverflow(e *Engine) bool {
	return c.UsesSubset() && !c.subset.chooser.InCore(uint64(e.ID))
}

// SubsetOverlap returns the share, 0 to 1, of another gateway's subset that is also in this gateway's subset. Without a
// subset it returns 1.
func (c *Core) SubsetOverlap(gateway int) float64 {
	if c.subset == nil {
		return 1
	}
	return c.subset.chooser.Overlap(gateway)
}

// UsesSubset reports whether the gateway uses fewer than all engines.
func (c *Core) UsesSubset() bool {
	return c.subset != nil && !c.subset.disabling && !c.subset.chooser.UsesAll()
}

// SubsetSize returns the number of listed engines that are not gone, and how many of them the gateway uses.
func (c *Core) SubsetSize() (listed, used int) {
	for _, e := range c.engines {
		if e.Health != policy.Gone {
			listed++
		}
	}
	if c.subset == nil {
		return listed, listed
	}
	return listed, len(c.subset.chooser.IDs())
}

// SubsetCounts returns the current state of the subset for the log.
func (c *Core) SubsetCounts() SubsetCounts {
	counts := SubsetCounts{GatewaysSharing: c.lastInService.Count}
	counts.Listed, counts.Subset = c.SubsetSize()
	if c.subset == nil {
		return counts
	}
	counts.MeanGateways = c.subset.chooser.MeanGatewaysPerEngine()
	counts.Added, counts.Removed = c.subset.added, c.subset.removed
	for _, e := range c.engines {
		if e.Health == policy.Ready && c.inSubset(e) {
			counts.Serving++
		}
	}
	return counts
}
