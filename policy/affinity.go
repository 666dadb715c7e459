package policy

import (
	"maps"
	"slices"
	"time"
)

// Affinity sets are the sets S(AC) of section 2.3 of the paper, one for each table group. How they are seeded and when
// they grow and shrink is taken from DACA (section 2.2) and from the design notes.

const (
	// setMemberIdleTimeout is after how long without a send from its group an engine leaves the affinity set (the
	// design's figure).
	setMemberIdleTimeout = 20 * time.Second

	// seedTieMargin is the difference of load, in threads per core, up to which the home engine is preferred to the
	// least-loaded one as a seed. It lets gateways with slightly different views seed a group with the same engine.
	seedTieMargin = 0.5

	// recentLoadDecay is the time in which the recent load of a group decays to 1/e. Hot groups come and go.
	recentLoadDecay = 5 * time.Second

	// minOverloadLoad is the fleet's load, in threads per core, below which no group counts as overloaded.
	minOverloadLoad = 0.3

	// twoHomesMinGateways is the number of gateways from which a group has two home engines.
	twoHomesMinGateways = 20
)

// group is a table group, the paper's affinity cluster.
type group struct {
	id            int
	ownThreads    float64 // group #T: threads of own attempts in flight
	affinitySet   []*engine
	lastUsed      map[EngineID]time.Duration // last send of the group, by engine of the set
	setCores      float64                    // cores of the set
	overloaded    bool                       // result of the latest overload test
	recentThreads decayingSum                // threads sent recently
}

// tableGroup returns the state of a table group and creates it if necessary.
func (g *Gateway) tableGroup(id int) *group {
	if g.groups[id] == nil {
		g.groups[id] = &group{id: id, lastUsed: map[EngineID]time.Duration{}}
		g.homeByGroup = nil
	}
	return g.groups[id]
}

// affinitySet returns the affinity set of a group, after removing engines that are not ready or that the group has not
// used for setMemberIdleTimeout. An empty set gets a seed.
func (g *Gateway) affinitySet(gr *group) []*engine {
	for i := len(gr.affinitySet) - 1; i >= 0; i-- {
		e := gr.affinitySet[i]
		if e.Health != Ready || g.now-gr.lastUsed[e.ID] > setMemberIdleTimeout {
			g.removeFromSet(gr, e)
		}
	}
	if len(gr.affinitySet) == 0 {
		if seed := g.seed(gr); seed != nil {
			g.addToSet(gr, seed)
		}
	}
	return gr.affinitySet
}

// seed selects the first engine of a group's affinity set: the least-loaded one (design notes), or the home engine if
// that is about as lightly loaded. It returns nil if no engine is available.
func (g *Gateway) seed(gr *group) *engine {
	free := filter(g.readyEngines, func(e *engine) bool { return !g.unavailable(e) && !g.exclusivelyOwned(e, gr) })
	free = g.preferOwnZone(free)
	seed := minBy(g.sampleTwo(free), g.totalLoadPerCore)
	home := g.homeEngine(gr)
	if slices.Contains(free, home) && g.totalLoadPerCore(home) <= g.totalLoadPerCore(seed)+seedTieMargin {
		return home
	}
	return seed
}

// expandSet is step 4 of the algorithm, node expansion: the least-loaded engine outside the affinity set of an
// overloaded group joins it.
func (g *Gateway) expandSet(gr *group) {
	g.setOverloaded(gr, g.groupOverloaded(gr))
	if !gr.overloaded {
		return
	}
	outside := filter(g.readyEngines, func(e *engine) bool {
		return !g.unavailable(e) && !slices.Contains(gr.affinitySet, e) && !g.exclusivelyOwned(e, gr)
	})
	if e := minBy(g.sampleTwo(g.preferOwnZone(outside)), g.totalLoadPerCore); e != nil {
		g.addToSet(gr, e)
		g.setOverloaded(gr, g.groupOverloaded(gr))
	}
}

// groupOverloaded is the test for the AC overload of section 2.2: the load of the group per core of its affinity set
// exceeds the mean load per core of the fleet. Departure: the group's load is measured by its share of what this
// gateway sent recently, because the few queries that one gateway of many has in flight say nothing about a group.
func (g *Gateway) groupOverloaded(gr *group) bool {
	load := (g.meanPeerLoad*g.readyCores + g.ownThreads) / max(1, g.readyCores)
	if load <= minOverloadLoad {
		return false // without reading the recent loads: a read decays them, and marks the group as recently used
	}
	groupThreads, allThreads := gr.recentThreads.valueAt(g.now), g.recentThreads.valueAt(g.now)
	return groupThreads*g.readyCores > allThreads*gr.setCores
}

// setOverloaded records the result of the overload test for the group and its engines.
func (g *Gateway) setOverloaded(gr *group, overloaded bool) {
	for _, e := range gr.affinitySet {
		switch {
		case overloaded && !gr.overloaded:
			e.overloadedGroups++
		case !overloaded && gr.overloaded:
			e.overloadedGroups--
		}
	}
	gr.overloaded = overloaded
}

// exclusivelyOwned reports whether an overloaded group other than gr has the engine in its affinity set. Section 2.2
// prohibits allocating such an engine to other groups.
func (g *Gateway) exclusivelyOwned(e *engine, gr *group) bool {
	return e.overloadedGroups > 1 ||
		e.overloadedGroups == 1 && !(gr.overloaded && slices.Contains(gr.affinitySet, e))
}

func (g *Gateway) addToSet(gr *group, e *engine) {
	gr.affinitySet = append(gr.affinitySet, e)
	gr.setCores += e.cores
	gr.lastUsed[e.ID] = g.now
	if gr.overloaded {
		e.overloadedGroups++
	}
}

func (g *Gateway) removeFromSet(gr *group, e *engine) {
	gr.affinitySet = remove(gr.affinitySet, e)
	gr.setCores -= e.cores
	delete(gr.lastUsed, e.ID)
	if gr.overloaded {
		e.overloadedGroups--
	}
}

// homeEngine is the engine with which all gateways of the same list and the same home number seed a group, so that few
// engines keep its data cached. It is nil if no engine is ready.
func (g *Gateway) homeEngine(gr *group) *engine {
	if g.homeByGroup == nil {
		ids := slices.Sorted(maps.Keys(g.groups))
		homeNumber := g.settings.GatewayIndex % g.homesPerGroup()
		g.homeByGroup = assignHomes(ids, g.homeCandidates(), homeNumber)
	}
	return g.homeByGroup[gr.id]
}

// homesPerGroup is how many home engines a group has over all gateways. Two keep many gateways from overloading one
// engine when a group becomes hot. A few gateways would only read the group's data twice, and gateways that use
// different subsets of the engines have different homes anyway.
func (g *Gateway) homesPerGroup() int {
	if g.settings.Gateways < twoHomesMinGateways || g.usesSubset {
		return 1
	}
	return 2
}

// homeCandidates are the ready engines that may be home engines: those that are not overflow engines, or all if there
// are no others, in the preferred zone if possible.
func (g *Gateway) homeCandidates() []*engine {
	if shared := filter(g.readyEngines, func(e *engine) bool { return !e.Overflow }); len(shared) > 0 {
		return g.preferOwnZone(shared)
	}
	return g.preferOwnZone(g.readyEngines)
}

// assignHomes gives each group the engine of the highest hash with it (rendezvous hashing), among the engines that have
// less than an even share of the groups. Each homeNumber gives another assignment.
func assignHomes(groups []int, engines []*engine, homeNumber int) map[int]*engine {
	homes, assigned := map[int]*engine{}, map[EngineID]int{}
	evenShare := (len(groups) + len(engines) - 1) / max(1, len(engines))
	for _, id := range groups {
		key := id + homeNumber<<32
		var best *engine
		for _, e := range engines {
			if assigned[e.ID] < evenShare && (best == nil || hashPair(key, e.ID) > hashPair(key, best.ID)) {
				best = e
			}
		}
		if best != nil {
			assigned[best.ID]++
		}
		homes[id] = best
	}
	return homes
}
