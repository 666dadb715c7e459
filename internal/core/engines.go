package core

import (
	"hash/fnv"
	"slices"
	"time"

	"frostpier/policy"
)

// Engine is an engine of the list.
type Engine struct {
	ID        policy.EngineID
	Name      string // its name in the list, the same after a restart of its process
	Addr      string
	Health    policy.Health
	updatedAt time.Duration // when a list last named it
}

// goneFor is how long an engine that has gone stays known: longer than a client waits for an attempt there. Where
// engines are replaced all the time, what is kept of each adds up.
const goneFor = 30 * time.Second

// ListedEngine is an entry of the engine list.
type ListedEngine struct {
	Name, Addr, Zone, Kind string
	Cell                   int
	Health                 policy.Health
	Weight                 float64
	Started                time.Duration // since the Unix epoch; 0 = long ago
}

// UpdateEngines applies an engine list, the full one or only its changes. It returns the engines that have gone.
func (c *Core) UpdateEngines(now time.Duration, whole bool, lines []ListedEngine) (gone []Engine, actions []Action) {
	list := policy.EngineList{Kind: policy.ListDelta}
	if whole {
		list.Kind = policy.ListFull
		for id, e := range c.engines {
			named := slices.ContainsFunc(lines, func(l ListedEngine) bool { return engineID(l.Name) == id })
			if !named && e.Health != policy.Gone {
				e.Health, e.updatedAt = policy.Gone, now
				gone = append(gone, *e)
			}
		}
	}
	for _, l := range lines {
		id := engineID(l.Name)
		e := c.engines[id]
		if e == nil {
			e = &Engine{ID: id, Name: l.Name}
			c.engines[id] = e
		}
		if l.Health == policy.Gone && e.Health != policy.Gone || e.Addr != "" && e.Addr != l.Addr {
			gone = append(gone, *e) // connections to the old process or address are of no more use
		}
		e.Addr, e.Health, e.updatedAt = l.Addr, l.Health, now
		list.Engines = append(list.Engines, policy.EngineInfo{ID: id, Zone: place(c.host.Zones, l.Zone),
			Kind: place(c.host.Models, l.Kind), Cell: l.Cell, Health: l.Health, Scale: l.Weight, Started: l.Started})
	}
	for id, e := range c.engines {
		if e.Health == policy.Gone && now-e.updatedAt > goneFor {
			delete(c.engines, id)
		}
	}
	c.updateShared()
	return gone, c.dispatch(now, list)
}

// place finds a name; one that the settings lack gets a number past their end, which matches nothing.
func place(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// engineID is the same for a name at every gateway, as the module's agreement on turns and homes needs.
func engineID(name string) policy.EngineID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return policy.EngineID(h.Sum64())
}
