package core

import (
	"hash/fnv"
	"slices"
	"time"

	"frostpier/policy"
)

// Engine is an engine that the engine list names.
type Engine struct {
	ID        policy.EngineID
	Name      string // name in the list; it survives restarts of the engine
	Addr      string
	Health    policy.Health
	updatedAt time.Duration     // when a list named it last
	info      policy.EngineInfo // as listed last, except for the health
}

// listed returns the engine's current entry in the list.
func (e *Engine) listed() policy.EngineInfo {
	info := e.info
	info.Health = e.Health
	return info
}

// goneRetention is how long a gone engine stays known: longer than any client waits for an attempt there, but bounded,
// as otherwise the state would grow with every engine that is replaced.
const goneRetention = 30 * time.Second

// ListedEngine is an entry of the engine list.
type ListedEngine struct {
	Name, Addr, Zone, Kind string
	Cell                   int
	Health                 policy.Health
	Weight                 float64
	Started                time.Duration // since the Unix epoch; 0 = long ago
}

// UpdateEngines applies an engine list: the full one, or only the entries that changed. It returns the engines that are
// gone or have another address now; connections to their former processes are of no more use.
func (c *Core) UpdateEngines(now time.Duration, full bool, entries []ListedEngine) (gone []Engine, actions []Action) {
	list := policy.EngineList{Kind: policy.ListDelta}
	if full {
		list.Kind = policy.ListFull
		gone = c.removeUnlisted(now, entries)
	}
	for _, entry := range entries {
		e := c.engineNamed(entry.Name)
		wentAway := entry.Health == policy.Gone && e.Health != policy.Gone
		moved := e.Addr != "" && e.Addr != entry.Addr
		if wentAway || moved {
			gone = append(gone, *e)
		}
		c.updateEngine(now, e, entry)
		list.Engines = append(list.Engines, e.info)
	}
	c.forgetGoneEngines(now)
	actions = c.dispatchList(now, list)
	c.updateSharedEngines()
	return gone, actions
}

// removeUnlisted marks the engines that a full list lacks as gone, and returns them.
func (c *Core) removeUnlisted(now time.Duration, entries []ListedEngine) (gone []Engine) {
	for id, e := range c.engines {
		named := slices.ContainsFunc(entries, func(entry ListedEngine) bool { return engineID(entry.Name) == id })
		if !named && e.Health != policy.Gone {
			e.Health, e.updatedAt = policy.Gone, now
			gone = append(gone, *e)
		}
	}
	return gone
}

// engineNamed returns the engine with this name and adds it if it is not known.
func (c *Core) engineNamed(name string) *Engine {
	id := engineID(name)
	e := c.engines[id]
	if e == nil {
		e = &Engine{ID: id, Name: name}
		c.engines[id] = e
	}
	return e
}

// updateEngine sets an engine to what the list says of it.
func (c *Core) updateEngine(now time.Duration, e *Engine, entry ListedEngine) {
	e.Addr, e.Health, e.updatedAt = entry.Addr, entry.Health, now
	e.info = policy.EngineInfo{
		ID: e.ID, Zone: indexOf(c.host.Zones, entry.Zone), MachineType: indexOf(c.host.EngineKinds, entry.Kind), Cell: entry.Cell,
		Health: entry.Health, Scale: entry.Weight, Started: entry.Started,
	}
}

// forgetGoneEngines removes the engines that have been gone for goneRetention.
func (c *Core) forgetGoneEngines(now time.Duration) {
	for id, e := range c.engines {
		if e.Health == policy.Gone && now-e.updatedAt > goneRetention {
			delete(c.engines, id)
		}
	}
}

// EngineCount returns how many engines are listed and not gone.
func (c *Core) EngineCount() (engines int) {
	for _, e := range c.engines {
		if e.Health != policy.Gone {
			engines++
		}
	}
	return engines
}

// indexOf returns the index of a name. A name that the settings lack gets an index past their end, which matches nothing.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// engineID derives an engine's ID from its name, so that all gateways agree on it: they order engines and choose home
// engines by ID.
func engineID(name string) policy.EngineID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return policy.EngineID(h.Sum64())
}
