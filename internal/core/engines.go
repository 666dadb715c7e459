package core

import (
	"hash/fnv"
	"slices"
	"time"

	"frostpier/policy"
)

// Engine is an engine in the engine list.
type Engine struct {
	ID          policy.EngineID
	Name        string // name in the list, which stays the same when the engine restarts
	Addr        string
	Health      policy.Health
	updatedAt   time.Duration     // when an engine list last contained the engine
	listedStart time.Duration     // ListedEngine.Started of the latest list entry
	info        policy.EngineInfo // the engine's latest list entry; its health may be outdated
}

// currentInfo returns the engine's last list entry with its current health.
func (e *Engine) currentInfo() policy.EngineInfo {
	info := e.info
	info.Health = e.Health
	return info
}

// goneRetention is how long the Core keeps the state of a gone engine. It is longer than any client waits for an attempt
// there, but limited, since otherwise the state would grow with each engine that is replaced.
const goneRetention = 30 * time.Second

// ListedEngine is an entry of the engine list.
type ListedEngine struct {
	Name, Addr, Zone, MachineType string
	Cell                          int
	Health                        policy.Health
	Weight                        float64
	Started                       time.Duration // when the engine started, since the Unix epoch; 0 = long ago
}

// UpdateEngines applies an engine list: the full list, or only the entries that changed. It returns the engines that are
// gone or have a new address, with their former addresses. The host should close its connections to them.
func (c *Core) UpdateEngines(now time.Duration, full bool, entries []ListedEngine) (gone []Engine, actions []Action) {
	list := policy.EngineList{Kind: policy.ListDelta}
	if full {
		list.Kind = policy.ListFull
		gone = c.markUnlistedGone(now, entries)
	}
	for _, entry := range entries {
		e := c.getOrAddEngine(entry.Name)
		wentAway := entry.Health == policy.Gone && e.Health != policy.Gone
		moved := e.Addr != "" && e.Addr != entry.Addr
		if wentAway || moved {
			gone = append(gone, *e)
		}
		c.updateEngine(now, e, entry)
		list.Engines = append(list.Engines, e.info)
	}
	c.removeGoneEngines(now)
	actions = c.dispatchList(now, list)
	c.updateReportedEngines()
	return gone, actions
}

// markUnlistedGone marks the engines that are missing from a full list as gone, and returns them.
func (c *Core) markUnlistedGone(now time.Duration, entries []ListedEngine) (gone []Engine) {
	for id, e := range c.engines {
		named := slices.ContainsFunc(entries, func(entry ListedEngine) bool { return engineID(entry.Name) == id })
		if !named && e.Health != policy.Gone {
			e.Health, e.updatedAt = policy.Gone, now
			gone = append(gone, *e)
		}
	}
	return gone
}

// getOrAddEngine returns the engine with this name, and adds an empty one if the name is unknown.
func (c *Core) getOrAddEngine(name string) *Engine {
	id := engineID(name)
	e := c.engines[id]
	if e == nil {
		e = &Engine{ID: id, Name: name}
		c.engines[id] = e
	}
	return e
}

// updateEngine sets an engine's state to its list entry.
func (c *Core) updateEngine(now time.Duration, e *Engine, entry ListedEngine) {
	started := c.startTime(now, e, entry.Started)
	e.Addr, e.Health, e.updatedAt, e.listedStart = entry.Addr, entry.Health, now, entry.Started
	e.info = policy.EngineInfo{
		ID: e.ID, Zone: indexOf(c.host.Zones, entry.Zone), MachineType: indexOf(c.host.MachineTypes, entry.MachineType), Cell: entry.Cell,
		Health: entry.Health, Scale: entry.Weight, Started: started,
	}
}

// startTime returns when an engine started, on this host's clock. A start in the future counts as now, since the clocks of machines differ; it
// stays the same until the engine is listed with another one.
func (c *Core) startTime(now time.Duration, e *Engine, listed time.Duration) time.Duration {
	switch {
	case listed <= 0:
		return 0
	case listed == e.listedStart:
		return e.info.Started
	case listed <= now:
		return listed
	}
	c.log.Warn("engine start in the future, counting as now", "engine", e.Name, "ahead_ms", (listed - now).Milliseconds())
	return now
}

// removeGoneEngines removes the engines that have been gone for longer than goneRetention.
func (c *Core) removeGoneEngines(now time.Duration) {
	for id, e := range c.engines {
		if e.Health == policy.Gone && now-e.updatedAt > goneRetention {
			delete(c.engines, id)
		}
	}
}

// EngineCount returns the number of listed engines that are not gone.
func (c *Core) EngineCount() (engines int) {
	for _, e := range c.engines {
		if e.Health != policy.Gone {
			engines++
		}
	}
	return engines
}

// indexOf returns the index of a name. If the settings do not contain the name, it returns len(names), which matches
// nothing.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// engineID derives an engine's ID from its name. All gateways must compute the same ID, since they sort engines and choose
// home engines by it.
func engineID(name string) policy.EngineID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return policy.EngineID(h.Sum64())
}
