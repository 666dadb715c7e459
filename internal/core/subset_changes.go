package core

import (
	"cmp"
	"slices"
	"time"

	"frostpier/policy"
)

// dispatchList passes an engine list to the module. While the subset contains all engines, the list is passed unchanged;
// otherwise the module only gets the changes to engines of the subset.
func (c *Core) dispatchList(now time.Duration, list policy.EngineList) []Action {
	s := c.subset
	if s == nil {
		return c.dispatch(now, list)
	}
	c.updateChooser(now)
	s.chooser.Changed() // resets the flag, since the changes are sent below
	if s.coversAll && s.chooser.UsesAll() {
		c.markAllSent()
		return c.dispatch(now, list)
	}
	actions := c.dispatchChanges(now)
	return append(actions, c.updateCoversAll(now)...)
}

// markAllSent records that the current state of each engine was sent to the module.
func (c *Core) markAllSent() {
	c.subset.sent = make(map[policy.EngineID]policy.EngineInfo, len(c.engines))
	for id, e := range c.engines {
		c.subset.sent[id] = e.currentInfo()
	}
}

// dispatchChanges sends the module each engine whose state differs from the state sent last. An engine outside the subset
// is only sent if the module already knows it: as draining while an attempt is in flight there, and as gone afterwards.
func (c *Core) dispatchChanges(now time.Duration) []Action {
	changed := c.changedEngines()
	var disconnects []Action
	for _, after := range changed {
		before, known := c.subset.sent[after.ID]
		c.subset.sent[after.ID] = after
		e := c.engines[after.ID]
		c.countSubsetChange(e, before, after, known)
		if after.Health != policy.Gone {
			continue
		}
		c.subset.moduleCleanupAt = now + moduleCleanupDelay
		if e.Health != policy.Gone { // UpdateEngines returns engines that are gone from the list, and its caller disconnects from them
			disconnects = append(disconnects, Disconnect{e.ID})
		}
	}
	c.pruneSentStates()
	if len(changed) == 0 {
		return nil
	}
	return append(disconnects, c.dispatch(now, policy.EngineList{Kind: policy.ListDelta, Engines: changed})...)
}

// changedEngines returns the engine states to send to the module, sorted by engine ID.
func (c *Core) changedEngines() (changed []policy.EngineInfo) {
	for id, e := range c.engines {
		before, known := c.subset.sent[id]
		after, needed := c.stateToSend(e, known)
		if needed && !(known && before == after) {
			changed = append(changed, after)
		}
	}
	slices.SortFunc(changed, func(a, b policy.EngineInfo) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// stateToSend returns the state that the module should have for an engine. known reports whether the module knows the
// engine. needed is false if the module does not need to know it.
func (c *Core) stateToSend(e *Engine, known bool) (info policy.EngineInfo, needed bool) {
	info = e.currentInfo()
	wanted := c.inSubset(e)
	switch {
	case !known && (!wanted || info.Health == policy.Gone):
		return info, false
	case wanted:
		info.Overflow = c.isOverflow(e)
	case c.inFlightByEngine[e.ID] > 0 && info.Health != policy.Gone:
		info.Health = policy.Draining
	default:
		info.Health = policy.Gone
	}
	return info, true
}

// countSubsetChange counts an engine that was added to the subset or removed from it.
func (c *Core) countSubsetChange(e *Engine, before, after policy.EngineInfo, known bool) {
	wasReady := known && before.Health == policy.Ready
	isReady := after.Health == policy.Ready
	if isReady && !wasReady {
		c.subset.added++
	}
	if e.Health == policy.Ready && wasReady && !isReady {
		c.subset.removed++
	}
}

// releaseEngine records the end of an attempt at an engine. If the engine is no longer in the subset and has no other
// attempt in flight, the module is sent that it is gone.
func (c *Core) releaseEngine(now time.Duration, id policy.EngineID) []Action {
	if c.inFlightByEngine[id]--; c.inFlightByEngine[id] <= 0 {
		delete(c.inFlightByEngine, id)
	}
	e := c.engines[id]
	if c.subset == nil || e == nil || c.inFlightByEngine[id] > 0 || c.inSubset(e) {
		return nil
	}
	return c.dispatchChanges(now)
}

// pruneSentStates removes the sent states of engines that the Core no longer knows.
func (c *Core) pruneSentStates() {
	for id := range c.subset.sent {
		if c.engines[id] == nil {
			delete(c.subset.sent, id)
		}
	}
}
