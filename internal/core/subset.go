package core

import (
	"time"

	"frostpier/internal/control/subset"
	"frostpier/policy"
)

const (
	// forgetDelay is how long after the removal of an engine an empty update lets the decision module drop its record. The
	// module keeps removed engines for a minute and looks for them only when a list comes.
	forgetDelay = 65 * time.Second
	// sharersInterval is the time between two counts of the gateways that share the subset's engines. A count compares the
	// subsets of all gateways: some milliseconds for 800 of them.
	sharersInterval = 5 * time.Second
)

// SubsetCounts describes, for the log, the subset of the engines that the gateway uses.
type SubsetCounts struct {
	Listed, Subset, Serving int     // engines of the list, of the subset, and of the subset that are ready
	MeanGateways            float64 // mean number of gateways that use an engine of the subset
	GatewaysSharing         int     // gateways among which the module divides concurrency targets and memory
	Added, Removed          uint64  // engines, since the start
}

// engineSubset is the state of a Core that uses a subset of the engines.
type engineSubset struct {
	chooser    *subset.Chooser
	sent       map[policy.EngineID]policy.EngineInfo // the last state of each engine that the module was sent
	isFullList bool                                  // the module was sent the full list
	lifted     bool                                  // the module is being sent every engine again
	gateways   []subset.Gateway
	warmingUp  map[policy.EngineID]bool // as the chooser was told
	forgetAt   time.Duration            // when to send the module an empty update; 0 = never
	sharersAt  time.Duration            // earliest time of the next count of sharers
	added      uint64
	removed    uint64
}

// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction. It may be called
// while requests are pending and attempts are in flight.
func (c *Core) UseSubset(now time.Duration, chooser *subset.Chooser) []Action {
	if chooser == nil {
		return c.liftSubset(now)
	}
	if c.subset == nil { // so far the module has every engine
		c.subset = &engineSubset{isFullList: true}
		c.recordFullList()
	}
	c.subset.chooser = chooser
	c.updateChooser(now)
	return c.applySubset(now)
}

// liftSubset makes every listed engine available to the module again.
func (c *Core) liftSubset(now time.Duration) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.lifted = true
	actions := c.dispatchChanges(now)
	c.subset = nil
	c.updateSharedEngines()
	return append(actions, c.dispatchSharers(now)...)
}

// ConfigureSubset changes the settings of the subset. Invalid settings change nothing and return a *subset.ConfigError.
// Without a subset it does nothing.
func (c *Core) ConfigureSubset(now time.Duration, config subset.Config) ([]Action, error) {
	if c.subset == nil {
		return nil, nil
	}
	if err := c.subset.chooser.Configure(now, config); err != nil {
		return nil, err
	}
	return c.applySubset(now), nil
}

// SetGateways sets the zone of each gateway, by number, and which of them are in service. Without a subset it does
// nothing.
func (c *Core) SetGateways(now time.Duration, gateways []subset.Gateway) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.gateways = gateways
	c.subset.chooser.SetGateways(now, gateways)
	return c.applySubset(now)
}

// TickSubset removes engines whose linger time has ended, and updates the chooser when an engine has warmed up. The host
// should call it every second.
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
	if now >= s.sharersAt {
		actions = append(actions, c.dispatchSharers(now)...)
	}
	if s.forgetAt > 0 && now >= s.forgetAt {
		s.forgetAt = 0
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
	return e.info.Started > 0 && now-e.info.Started < c.host.Module.Rules.WarmupTime
}

// anyWarmedUp reports whether an engine that the chooser knows as warming up no longer is.
func (c *Core) anyWarmedUp(now time.Duration) bool {
	for id := range c.subset.warmingUp {
		if e := c.engines[id]; e == nil || !c.warmingUp(now, e) {
			return true
		}
	}
	return false
}

// applySubset sends the module what changed in the subset.
func (c *Core) applySubset(now time.Duration) []Action {
	s := c.subset
	if !s.chooser.Changed() && s.isFullList == s.chooser.All() {
		return nil
	}
	actions := c.dispatchChanges(now)
	c.updateSharedEngines()
	return append(actions, c.updateIsFullList(now)...)
}

// updateIsFullList records whether the subset is the full list. When that changes, so does the number of sharers.
func (c *Core) updateIsFullList(now time.Duration) []Action {
	was := c.subset.isFullList
	c.subset.isFullList = c.subset.chooser.All()
	if was == c.subset.isFullList {
		return nil
	}
	return c.dispatchSharers(now)
}

// inSubset reports whether the gateway uses an engine.
func (c *Core) inSubset(e *Engine) bool {
	return c.subset == nil || c.subset.lifted || c.subset.chooser.Contains(uint64(e.ID))
}

// overflow reports whether an engine lies beyond the core of the gateway's subset: there it shares the engine with many
// other gateways.
func (c *Core) overflow(e *Engine) bool {
	return c.UsesSubset() && !c.subset.chooser.Core(uint64(e.ID))
}

// SubsetOverlap returns which share, 0 to 1, of another gateway's subset lies in the own one; 1 without a subset.
func (c *Core) SubsetOverlap(gateway int) float64 {
	if c.subset == nil {
		return 1
	}
	return c.subset.chooser.Overlap(gateway)
}

// UsesSubset reports whether the gateway uses fewer than all engines.
func (c *Core) UsesSubset() bool {
	return c.subset != nil && !c.subset.lifted && !c.subset.chooser.All()
}

// SubsetSize returns how many engines are listed and not gone, and how many of them the gateway uses.
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

// SubsetCounts returns the current counts.
func (c *Core) SubsetCounts() SubsetCounts {
	counts := SubsetCounts{GatewaysSharing: c.sentInService.Count}
	counts.Listed, counts.Subset = c.SubsetSize()
	if c.subset == nil {
		return counts
	}
	counts.MeanGateways = c.subset.chooser.MeanGateways()
	counts.Added, counts.Removed = c.subset.added, c.subset.removed
	for _, e := range c.engines {
		if e.Health == policy.Ready && c.inSubset(e) {
			counts.Serving++
		}
	}
	return counts
}
