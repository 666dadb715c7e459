package policy

import (
	"slices"
	"time"
)

// Each table group has an affinity set: the engines that are likely to have its data cached. It is the set S(AC) in
// section 2.3 of the paper cited in selection.go. The rules for its first engine, its growth and its shrinkage come
// from DACA (section 2.2 of the paper) and from the design notes.

const (
	// setMemberIdleTimeout is the time without a send from the group after which an engine leaves the group's affinity
	// set. The value comes from the design notes.
	setMemberIdleTimeout = 20 * time.Second

	// seedTieMargin is how much more load, in threads per core, the home engine may have than the least-loaded engine
	// and still become the first engine of a set. It lets gateways with slightly different load estimates choose the
	// same one.
	seedTieMargin = 0.5

	// recentLoadDecay is the time constant (decay to 1/e) of the recent load of a group. It is short because groups are
	// hot for a short time only.
	recentLoadDecay = 5 * time.Second

	// minOverloadLoad is the mean load of the fleet, in threads per core, up to which no group counts as overloaded.
	minOverloadLoad = 0.3

	// twoHomesMinGateways is the smallest number of gateways for which a group has two home engines.
	twoHomesMinGateways = 20
)

// affinitySet returns the affinity set of a group. It first removes the engines that are not ready or that the group
// has not used for setMemberIdleTimeout, and adds a first engine if the set is empty.
func (g *Gateway) affinitySet(gr *group) []*engine {
	for i := len(gr.affinitySet) - 1; i >= 0; i-- {
		e := gr.affinitySet[i]
		if e.Health != Ready || g.now-gr.lastUsed[e.ID] > setMemberIdleTimeout {
			g.removeFromSet(gr, e)
		}
	}
	if len(gr.affinitySet) == 0 {
		if seed := g.seedEngine(gr); seed != nil {
			g.addToSet(gr, seed)
		}
	}
	return gr.affinitySet
}

// seedEngine selects the first engine of a group's affinity set: the home engine if its load is close to that of the
// least-loaded engine, otherwise the least-loaded engine (design notes). It returns nil if no engine is available.
func (g *Gateway) seedEngine(gr *group) *engine {
	free := filter(g.readyEngines, func(e *engine) bool { return !g.unavailable(e) && !g.exclusivelyOwned(e, gr) })
	free = g.preferOwnZone(free)
	seed := minBy(g.sampleTwo(free), g.totalLoadPerCore)
	home := g.homeEngine(gr)
	if slices.Contains(free, home) && g.totalLoadPerCore(home) <= g.totalLoadPerCore(seed)+seedTieMargin {
		return home
	}
	return seed
}

// expandSet is step 4 of the algorithm, node expansion: it adds the least-loaded other engine to the affinity set of an
// overloaded group.
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

// groupOverloaded is the AC overload test of section 2.2: it reports whether the load of the group per core of its
// affinity set exceeds the mean load per core of the fleet. Unlike in the paper, a group's load is its share of the
// threads that this gateway sent recently: one gateway of many has too few queries in flight to measure a group.
func (g *Gateway) groupOverloaded(gr *group) bool {
	load := (g.meanPeerLoad*g.readyCores + g.ownThreads) / max(1, g.readyCores)
	if load <= minOverloadLoad {
		return false // without calling valueAt, which would update the group's time of last use
	}
	groupThreads, allThreads := gr.recentThreads.valueAt(g.now), g.recentThreads.valueAt(g.now)
	return groupThreads*g.readyCores > allThreads*gr.setCores
}

// setOverloaded records the result of the overload test in the group and in the engines of its affinity set.
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

// exclusivelyOwned reports whether an overloaded group other than gr has the engine in its affinity set. Section 2.2 of
// the paper forbids other groups to use such an engine.
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

// homeEngine returns the home engine of a group, which is the same on all gateways that have the same engine list and
// home number. Gateways prefer it as the first engine of the group's affinity set, so that only a few engines need to
// cache the group's data. It returns nil if no engine is ready.
func (g *Gateway) homeEngine(gr *group) *engine {
	if !g.homesAssigned {
		homeNumber := g.settings.GatewayIndex % g.homesPerGroup()
		assignHomes(g.groupsByID, g.homeCandidates(), homeNumber)
		g.homesAssigned = true
	}
	if known := g.groups[gr.id]; known != nil {
		return known.home
	}
	return nil
}

// homesPerGroup returns the number of home engines that a group has across all gateways. With many gateways it is two,
// so that a group that becomes hot does not overload a single engine. It is one for a small number of gateways, where a
// second engine would only read the group's data again, and for gateways with different subsets of the engines, whose
// home engines differ anyway.
func (g *Gateway) homesPerGroup() int {
	if g.settings.Gateways < twoHomesMinGateways || g.usesSubset {
		return 1
	}
	return 2
}

// homeCandidates returns the ready engines that may be home engines: all except overflow engines, or all ready engines
// if there are no others; and of these the ones in the preferred zone if there are any.
func (g *Gateway) homeCandidates() []*engine {
	if shared := filter(g.readyEngines, func(e *engine) bool { return !e.Overflow }); len(shared) > 0 {
		return g.preferOwnZone(shared)
	}
	return g.preferOwnZone(g.readyEngines)
}

// assignHomes assigns a home engine to each group by rendezvous hashing, but assigns no engine more than an even share
// of the groups. Different values of homeNumber give different assignments. The groups must be sorted by ID.
func assignHomes(groups []*group, engines []*engine, homeNumber int) {
	assigned := make([]int, len(engines))
	evenShare := (len(groups) + len(engines) - 1) / max(1, len(engines))
	for _, gr := range groups {
		key := gr.id + homeNumber<<32
		best, bestHash := -1, uint64(0)
		for i, e := range engines {
			if hash := hashPair(key, e.ID); assigned[i] < evenShare && (best < 0 || hash > bestHash) {
				best, bestHash = i, hash
			}
		}
		gr.home = nil
		if best >= 0 {
			gr.home = engines[best]
			assigned[best]++
		}
	}
}
