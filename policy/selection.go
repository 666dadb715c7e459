package policy

import (
	"cmp"
	"math"
	"slices"
)

// Engine selection implements the P-DACA algorithm of K. Ohn, S. Lee, H. Cho, "Transaction Routing in Real-Time Shared
// Disks Clusters", section 2.3, with the additions of the design notes. Comments use the step numbers of the paper and
// say where the code differs from it. A transaction of the paper is a request here, a node is an engine, an affinity
// cluster is a table group, and #T counts threads instead of transactions.

const (
	// w1Share is the paper's window w1, as a share of the queries that this gateway may have in flight at the engine.
	w1Share = 1.0

	// w2Share is the paper's window w2 in the same unit. As the paper advises, it is smaller than w1: an engine outside
	// the affinity set must read the group's data first, so it is only worth using at a lower load.
	w2Share = 0.25

	// loadTieMargin is the difference of #T, in mean queries, up to which two engines count as equally loaded.
	loadTieMargin = 0.5
)

// selectEngine implements the algorithm of section 2.3. Step 2a selects an engine of the affinity set whose rank is
// below w1, step 2b another engine whose rank is below w2, and step 3 the engine with the lowest #T. It returns nil if
// no engine is eligible and has capacity, a case that the paper does not cover.
func (g *Gateway) selectEngine(r *request) *engine {
	set := g.affinitySet(r.group)
	candidates := g.candidates(r)
	free := filter(candidates, func(e *engine) bool { return !g.exclusivelyOwned(e, r.group) })
	inside := filter(free, func(e *engine) bool { return slices.Contains(set, e) })

	// Step 2a. cmp.Or evaluates both calls. Do not change this: the calls draw random numbers, so decisions for a given
	// seed would change.
	insideNear := filter(inside, g.inPreferredZone)
	if e := cmp.Or(g.lowestRank(r, insideNear, w1Share), g.lowestRank(r, inside, w1Share)); e != nil {
		return e
	}

	// Step 2b.
	outside := filter(free, func(e *engine) bool { return !slices.Contains(set, e) })
	outsideNear := filter(outside, g.inPreferredZone)
	if e := cmp.Or(g.lowestRank(r, outsideNear, w2Share), g.lowestRank(r, outside, w2Share)); e != nil {
		return e
	}

	// Step 3. Unlike in the paper, any other engine is used if no engine of the affinity set has capacity. Engines owned
	// by an overloaded group come last.
	return cmp.Or(leastLoaded(inside, g.lessLoaded), leastLoaded(outsideNear, g.lessLoaded),
		leastLoaded(outside, g.lessLoaded), leastLoaded(candidates, g.lessLoaded))
}

// candidates returns the ready engines that are eligible and have capacity. If there are none and this gateway has
// nothing in flight, it ignores capacity, because without any attempt this gateway learns nothing about the load of the
// engines.
func (g *Gateway) candidates(r *request) []*engine {
	found := filter(g.readyEngines, func(e *engine) bool { return g.eligible(r, e) && g.hasCapacity(r, e) })
	if len(found) == 0 && g.ownThreads == 0 {
		found = filter(g.readyEngines, func(e *engine) bool { return g.eligible(r, e) })
	}
	return found
}

// lowestRank implements steps 2a and 2b: it returns the engine with the lowest rank(P(t), N) among those whose rank is
// below the window, or nil. The rank is the number of own attempts at the engine with an earlier deadline. The paper
// leaves ties open; here the engine with the lowest #T wins.
func (g *Gateway) lowestRank(r *request, engines []*engine, windowShare float64) *engine {
	var best []*engine
	bestRank := math.MaxInt
	for _, e := range engines {
		rank := e.deadlines.countBefore(r.objectiveDeadline)
		if rank > bestRank || float64(rank) >= g.rankWindow(e, windowShare) {
			continue
		}
		if rank < bestRank {
			best, bestRank = nil, rank
		}
		best = append(best, e)
	}
	return leastLoaded(g.sampleTwo(best), g.lessLoaded)
}

// rankWindow returns the window w1 or w2 of an engine, in queries. It is at least 1, so an idle engine is always below
// it.
func (g *Gateway) rankWindow(e *engine, windowShare float64) float64 {
	return max(1, windowShare*g.concurrencyLimit(e, 1)/g.threadsPerQuery)
}

// lessLoaded compares engines by #T per core, as in step 3. Unlike in the paper, the estimated load of the peers
// decides if the own counts differ by no more than loadTieMargin: one gateway of many has less than one query at most
// engines, so its own counts rarely differ. If the estimates are equal too, as they are without load reports, the
// choice is random.
func (g *Gateway) lessLoaded(a, b *engine) bool {
	ownA, ownB := g.ownLoadPerCore(a), g.ownLoadPerCore(b)
	if math.Abs(ownA-ownB) > loadTieMargin*g.threadsPerQuery/min(a.cores, b.cores) {
		return ownA < ownB
	}
	if peersA, peersB := g.peerThreads(a)/a.cores, g.peerThreads(b)/b.cores; peersA != peersB {
		return peersA < peersB
	}
	return g.random.Uint64()&1 == 0
}

// ownLoadPerCore returns #T per core of an engine. An engine that this gateway has not used yet counts with the mean of
// the used ones (design notes).
func (g *Gateway) ownLoadPerCore(e *engine) float64 {
	if e.used || g.usedCores == 0 {
		return e.ownThreads / e.cores
	}
	return g.ownThreads / g.usedCores
}

// sampleTwo returns two random engines of a list, for the power of two choices (M. Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001). It returns the whole list if this gateway is the only one in service,
// or has at least as many queries in flight as there are ready engines. A gateway with fewer queries relies on load
// reports. As its peers receive the same reports, all of them would otherwise send to the engine that was last reported
// as least loaded.
func (g *Gateway) sampleTwo(engines []*engine) []*engine {
	sparse := g.ownThreads < g.threadsPerQuery*float64(len(g.readyEngines))
	if len(engines) <= 2 || g.gatewaysInService < 2 || !sparse {
		return engines
	}
	i, j := g.random.IntN(len(engines)), g.random.IntN(len(engines)-1)
	if j >= i {
		j++
	}
	return []*engine{engines[i], engines[j]}
}

// inPreferredZone reports whether the engine is in the zone of this gateway, or traffic between zones is free.
// Unlike in the paper, each step prefers such engines.
func (g *Gateway) inPreferredZone(e *engine) bool {
	return g.settings.CrossZoneCost <= 0 || e.Zone == g.settings.Zone
}

// preferOwnZone returns the engines in the preferred zone, or all engines if there are none.
func (g *Gateway) preferOwnZone(engines []*engine) []*engine {
	if near := filter(engines, g.inPreferredZone); len(near) > 0 {
		return near
	}
	return engines
}
