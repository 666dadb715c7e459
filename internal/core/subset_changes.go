package core

import (
	"cmp"
	"slices"
	"time"

	"frostpier/policy"
)

// dispatchList sends the module an engine list: unchanged while the subset is the full list, otherwise only the changes
// that concern the subset.
func (c *Core) dispatchList(now time.Duration, list policy.EngineList) []Action {
	s := c.subset
	if s == nil {
		return c.dispatch(now, list)
	}
	c.updateChooser(now)
	s.chooser.Changed() // resets the mark: the change is sent below
	if s.isFullList && s.chooser.All() {
		c.recordFullList()
		return c.dispatch(now, list)
	}
	actions := c.dispatchChanges(now)
	return append(actions, c.updateIsFullList(now)...)
}

// recordFullList records that the module has the state of every engine.
func (c *Core) recordFullList() {
	c.subset.sent = make(map[policy.EngineID]policy.EngineInfo, len(c.engines))
	for id, e := range c.engines {
		c.subset.sent[id] = e.listed()
	}
}

// dispatchChanges sends the module the engines whose state differs from what it was sent last. Engines outside the subset
// are never sent to a module that does not know them; those that it knows are sent as draining while an attempt is in
// flight there, and then as gone.
func (c *Core) dispatchChanges(now time.Duration) []Action {
	changed := c.changedEngines()
	var disconnects []Action
	for _, after := range changed {
		before, known := c.subset.sent[after.ID]
		c.subset.sent[after.ID] = after
		e := c.engines[after.ID]
		c.countChange(e, before, after, known)
		if after.Health != policy.Gone {
			continue
		}
		c.subset.forgetAt = now + forgetDelay
		if e.Health != policy.Gone { // the caller of UpdateEngines disconnects from engines that are gone from the list
			disconnects = append(disconnects, Disconnect{e.ID})
		}
	}
	c.dropForgotten()
	if len(changed) == 0 {
		return nil
	}
	return append(disconnects, c.dispatch(now, policy.EngineList{Kind: policy.ListDelta, Engines: changed})...)
}

// changedEngines returns the states that the module lacks, in the order of the engines' IDs.
func (c *Core) changedEngines() (changed []policy.EngineInfo) {
	for id, e := range c.engines {
		before, known := c.subset.sent[id]
		after, needed := c.stateFor(e, known)
		if needed && !(known && before == after) {
			changed = append(changed, after)
		}
	}
	slices.SortFunc(changed, func(a, b policy.EngineInfo) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// stateFor returns the state of an engine that the module should have. known tells whether the module knows the engine;
// needed is false where it need not.
func (c *Core) stateFor(e *Engine, known bool) (info policy.EngineInfo, needed bool) {
	info = e.listed()
	wanted := c.inSubset(e)
	switch {
	case !known && (!wanted || info.Health == policy.Gone):
		return info, false
	case wanted:
		info.Overflow = c.overflow(e)
	case c.inFlightByEngine[e.ID] > 0 && info.Health != policy.Gone:
		info.Health = policy.Draining
	default:
		info.Health = policy.Gone
	}
	return info, true
}

// countChange counts an engine that was added to the subset or removed from it.
func (c *Core) countChange(e *Engine, before, after policy.EngineInfo, known bool) {
	wasReady := known && before.Health == policy.Ready
	isReady := after.Health == policy.Ready
	if isReady && !wasReady {
		c.subset.added++
	}
	if e.Health == policy.Ready && wasReady && !isReady {
		c.subset.removed++
	}
}

// releaseEngine records the end of an attempt at an engine. The last one ends the use of an engine that was removed from
// the subset.
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

// dropForgotten removes the record of engines that are no longer known.
func (c *Core) dropForgotten() {
	for id := range c.subset.sent {
		if c.engines[id] == nil {
			delete(c.subset.sent, id)
		}
	}
}
