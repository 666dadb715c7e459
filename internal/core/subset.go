package core

import (
	"cmp"
	"math"
	"slices"
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

// Disconnect asks the host to close the connections to an engine that is no longer used: idle ones now, the others when
// they are released.
type Disconnect struct{ Engine policy.EngineID }

func (Disconnect) action() {}

// SubsetCounts describes the subset of the engines that the gateway uses.
type SubsetCounts struct {
	Listed, Subset, Serving int     // engines of the list, of the subset, and of the subset that are ready
	MeanGateways            float64 // mean number of gateways that use an engine of the subset
	GatewaysSharing         int     // gateways that the decision module divides targets and memory by
	Added, Removed          uint64  // engines, since the start
}

// engineSubset is the state of a Core that uses a subset of the engines.
type engineSubset struct {
	chooser   *subset.Chooser
	reported  map[policy.EngineID]policy.EngineInfo // the last state of each engine that the module was sent
	all       bool                                  // the module was sent the full list
	lifted    bool                                  // the module is being sent every engine again
	gateways  []subset.Gateway
	cold      map[policy.EngineID]bool // the engines that the chooser counts as cold
	forgetAt  time.Duration            // when to send the module an empty update; 0 = never
	sharersAt time.Duration            // earliest time of the next count of sharers
	added     uint64
	removed   uint64
}

// UseSubset restricts the gateway to the engines that the chooser selects; nil lifts the restriction. It may be called
// while requests are open and attempts are out.
func (c *Core) UseSubset(now time.Duration, chooser *subset.Chooser) []Action {
	if chooser == nil {
		return c.useAll(now)
	}
	if c.subset == nil {
		c.subset = &engineSubset{all: true}
		c.recordFullList()
	}
	c.subset.chooser = chooser
	c.updateChooser(now)
	return c.applySubset(now)
}

// useAll makes every listed engine available to the module again.
func (c *Core) useAll(now time.Duration) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.lifted = true
	actions := c.dispatchChanges(now, c.inSubset)
	c.subset = nil
	c.updateShared()
	return append(actions, c.dispatchSharers(now)...)
}

// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
func (c *Core) ConfigureSubset(now time.Duration, config subset.Config) ([]Action, error) {
	if c.subset == nil {
		return nil, nil
	}
	if err := c.subset.chooser.Configure(now, config); err != nil {
		return nil, err
	}
	return c.applySubset(now), nil
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (c *Core) SetGateways(now time.Duration, gateways []subset.Gateway) []Action {
	if c.subset == nil {
		return nil
	}
	c.subset.gateways = gateways
	c.subset.chooser.SetGateways(now, gateways)
	return c.applySubset(now)
}

// TickSubset removes engines whose linger time has ended and takes notice of engines that have warmed up. It should be
// called every second.
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
	s.cold = map[policy.EngineID]bool{}
	var engines []subset.Engine
	for id, e := range c.engines {
		if e.Health == policy.Gone {
			continue
		}
		cold := c.cold(now, e)
		if cold {
			s.cold[id] = true
		}
		engines = append(engines, subset.Engine{ID: uint64(id), Zone: e.info.Zone, Ready: e.Health == policy.Ready, Cold: cold})
	}
	s.chooser.SetEngines(now, engines)
}

// cold reports whether an engine may still be warming up, by the same rule as the decision module.
func (c *Core) cold(now time.Duration, e *Engine) bool {
	return e.info.Started > 0 && now-e.info.Started < c.host.Module.Rules.WarmupTime
}

// anyWarmedUp reports whether an engine that the chooser counts as cold has warmed up.
func (c *Core) anyWarmedUp(now time.Duration) bool {
	for id := range c.subset.cold {
		if e := c.engines[id]; e == nil || !c.cold(now, e) {
			return true
		}
	}
	return false
}

// applySubset sends the module what changed in the subset.
func (c *Core) applySubset(now time.Duration) []Action {
	s := c.subset
	if !s.chooser.Changed() && s.all == s.chooser.All() {
		return nil
	}
	actions := c.dispatchChanges(now, c.inSubset)
	c.updateShared()
	return append(actions, c.updateAll(now)...)
}

// updateAll records whether the subset is the full list. When that changes, so does the number of sharers.
func (c *Core) updateAll(now time.Duration) []Action {
	was := c.subset.all
	c.subset.all = c.subset.chooser.All()
	if was == c.subset.all {
		return nil
	}
	return c.dispatchSharers(now)
}

// inSubset reports whether the gateway uses an engine.
func (c *Core) inSubset(e *Engine) bool {
	return c.subset == nil || c.subset.lifted || c.subset.chooser.Contains(uint64(e.ID))
}

// overflow reports whether the gateway uses an engine beyond the core of its subset, which it shares with many others.
func (c *Core) overflow(e *Engine) bool {
	return c.Narrowed() && !c.subset.chooser.Core(uint64(e.ID))
}

// dispatchList sends the module an engine list: unchanged while the subset is the full list, else the part of it that
// concerns the subset.
func (c *Core) dispatchList(now time.Duration, list policy.EngineList) []Action {
	s := c.subset
	if s == nil {
		return c.dispatch(now, list)
	}
	c.updateChooser(now)
	s.chooser.Changed() // the change is sent below
	if s.all && s.chooser.All() {
		c.recordFullList()
		return c.dispatch(now, list)
	}
	actions := c.dispatchChanges(now, c.inSubset)
	return append(actions, c.updateAll(now)...)
}

// recordFullList records that the module has the state of every engine.
func (c *Core) recordFullList() {
	c.subset.reported = make(map[policy.EngineID]policy.EngineInfo, len(c.engines))
	for id, e := range c.engines {
		c.subset.reported[id] = e.listed()
	}
}

// dispatchChanges sends the module the engines whose state differs from what it was sent last. Engines that wanted rejects
// are never sent to a module that does not have them; those that it has are sent as draining while an attempt is out there,
// and then as gone.
func (c *Core) dispatchChanges(now time.Duration, wanted func(*Engine) bool) []Action {
	list := policy.EngineList{Kind: policy.ListDelta}
	for id, e := range c.engines {
		before, known := c.subset.reported[id]
		after, needed := c.stateFor(e, known, wanted(e))
		if needed && !(known && before == after) {
			list.Engines = append(list.Engines, after)
		}
	}
	slices.SortFunc(list.Engines, func(a, b policy.EngineInfo) int { return cmp.Compare(a.ID, b.ID) })
	var disconnects []Action
	for _, after := range list.Engines {
		before, known := c.subset.reported[after.ID]
		c.subset.reported[after.ID] = after
		disconnects = append(disconnects, c.recordChange(now, c.engines[after.ID], before, after, known)...)
	}
	c.dropForgotten()
	if len(list.Engines) == 0 {
		return nil
	}
	return append(disconnects, c.dispatch(now, list)...)
}

// stateFor returns the state of an engine that the module should have; needed is false where it need not know the engine.
func (c *Core) stateFor(e *Engine, known, wanted bool) (info policy.EngineInfo, needed bool) {
	info = e.listed()
	switch {
	case !known && (!wanted || info.Health == policy.Gone):
		return info, false
	case wanted:
		info.Overflow = c.overflow(e)
	case c.outAt[e.ID] > 0 && info.Health != policy.Gone:
		info.Health = policy.Draining
	default:
		info.Health = policy.Gone
	}
	return info, true
}

// recordChange counts an engine that was added to the subset or removed from it. For a removed engine without attempts it
// asks for the end of the connections; the caller of UpdateEngines does so for engines that the list itself calls gone.
func (c *Core) recordChange(now time.Duration, e *Engine, before, after policy.EngineInfo, known bool) []Action {
	s := c.subset
	if after.Health == policy.Ready && (!known || before.Health != policy.Ready) {
		s.added++
	}
	if e.Health == policy.Ready && known && before.Health == policy.Ready && after.Health != policy.Ready {
		s.removed++
	}
	if after.Health != policy.Gone {
		return nil
	}
	s.forgetAt = now + forgetDelay
	if e.Health == policy.Gone {
		return nil
	}
	return []Action{Disconnect{e.ID}}
}

// attemptEnded records the end of an attempt at an engine. The last one ends the use of an engine that has left the subset.
func (c *Core) attemptEnded(now time.Duration, id policy.EngineID) []Action {
	if c.outAt[id]--; c.outAt[id] <= 0 {
		delete(c.outAt, id)
	}
	e := c.engines[id]
	if c.subset == nil || e == nil || c.outAt[id] > 0 || c.inSubset(e) {
		return nil
	}
	return c.dispatchChanges(now, c.inSubset)
}

// dropForgotten removes the record of engines that have been gone for long.
func (c *Core) dropForgotten() {
	for id := range c.subset.reported {
		if c.engines[id] == nil {
			delete(c.subset.reported, id)
		}
	}
}

// dispatchSharers sends the module the number of gateways that share its engines, if that has changed.
func (c *Core) dispatchSharers(now time.Duration) []Action {
	if c.subset != nil {
		c.subset.sharersAt = now + sharersInterval
	}
	state := policy.InService{Count: c.sharers(), Subset: c.Narrowed()}
	if state == c.reportedService {
		return nil
	}
	c.reportedService = state
	return c.dispatch(now, state)
}

// sharers is how many gateways share the engines of this one. A gateway whose subset is not known counts as using every
// engine.
func (c *Core) sharers() int {
	s := c.subset
	if s == nil || s.chooser.All() {
		return c.inService
	}
	unknown := 0
	for number, g := range s.gateways {
		if g.InService && g.Zone < 0 && number != c.host.Module.Number {
			unknown++
		}
	}
	listed, used := c.SubsetSize()
	// The chooser counts an unknown gateway by the share of the engines that a subset has.
	holders := s.chooser.Holders() + float64(unknown)*(1-float64(used)/float64(max(1, listed)))
	return max(1, min(c.inService, int(math.Round(holders))))
}

// Overlap is the share of another gateway's subset that lies in the own one, as far as it is known.
func (c *Core) Overlap(gateway int) float64 {
	if c.subset == nil {
		return 1
	}
	return c.subset.chooser.Overlaps(gateway)
}

// Narrowed reports whether the gateway uses fewer than all engines.
func (c *Core) Narrowed() bool {
	return c.subset != nil && !c.subset.lifted && !c.subset.chooser.All()
}

// SubsetSize is how many engines are listed and not gone, and how many of them the gateway uses.
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

// SubsetCounts describes the subset for the log.
func (c *Core) SubsetCounts() SubsetCounts {
	out := SubsetCounts{GatewaysSharing: c.reportedService.Count}
	out.Listed, out.Subset = c.SubsetSize()
	if c.subset == nil {
		return out
	}
	out.MeanGateways, out.Added, out.Removed = c.subset.chooser.Holders(), c.subset.added, c.subset.removed
	for _, e := range c.engines {
		if e.Health == policy.Ready && c.inSubset(e) {
			out.Serving++
		}
	}
	return out
}
