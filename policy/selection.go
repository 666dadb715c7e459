package policy

import (
	"cmp"
	"math"
	"slices"
)

// Engine selection follows P-DACA: K. Ohn, S. Lee, H. Cho, "Transaction Routing in Real-Time Shared Disks Clusters",
// section 2.3. Step numbers in comments are those of the paper's algorithm; the design notes add to it, and
// each departure of this code is marked as one. A transaction of the paper is a request here, a node an engine, an
// affinity cluster a table group, and #T counts threads instead of transactions.

const (
	// w1Share is the paper's window w1, as a share of the queries that this gateway may have at the engine.
	w1Share = 1.0

	// w2Share is w2 in the same unit. It is smaller than w1, as the paper advises: an engine outside the affinity set
	// has to read the group's data first, so it must be emptier to be worth it.
	w2Share = 0.25

	// loadTieMargin is the difference of #T, in mean queries, below which two engines count as equally loaded.
	loadTieMargin = 0.5
)

// selectEngine is the algorithm of section 2.3: step 2a selects an affinity engine by rank under w1, step 2b another
// engine by rank under w2, step 3 the engine of least #T. It returns nil if no engine is eligible and has capacity,
// which the paper does not provide for.
func (g *Gateway) selectEngine(r *request) *engine {
	set := g.affinitySet(r.group)
	candidates := g.candidates(r)
	free := filter(candidates, func(e *engine) bool { return !g.exclusivelyOwned(e, r.group) })
	inside := filter(free, func(e *engine) bool { return slices.Contains(set, e) })

	// Step 2a. cmp.Or evaluates both calls. This is intended: they draw random numbers, and the same seed must keep
	// giving the same decisions.
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

	// Step 3. Departure: if no affinity engine has capacity, any other engine is used, those owned exclusively by an
	// overloaded group last.
	return cmp.Or(leastLoaded(inside, g.lessLoaded), leastLoaded(outsideNear, g.lessLoaded),
		leastLoaded(outside, g.lessLoaded), leastLoaded(candidates, g.lessLoaded))
}

// candidates are the ready engines that are eligible and have capacity. If there are none while the gateway has
// nothing in flight, capacity is ignored, because without any attempt it would learn nothing about the engines' load.
func (g *Gateway) candidates(r *request) []*engine {
	found := filter(g.readyEngines, func(e *engine) bool { return g.eligible(r, e) && g.hasCapacity(r, e) })
	if len(found) == 0 && g.ownThreads == 0 {
		found = filter(g.readyEngines, func(e *engine) bool { return g.eligible(r, e) })
	}
	return found
}

// lowestRank is the condition of steps 2a and 2b: of the engines whose rank(P(t), N) is below the window, the one of
// the lowest rank. The rank is the number of own attempts there with an earlier deadline. Departure: the paper leaves
// ties open; they go to the engine of least #T.
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

// rankWindow is the window w1 or w2 at an engine, in queries; at least 1, so that an idle engine is always within it.
func (g *Gateway) rankWindow(e *engine, windowShare float64) float64 {
	return max(1, windowShare*g.concurrencyLimit(e, 1)/g.threadsPerQuery)
}

// lessLoaded compares #T per core, as in step 3. Departure: a gateway that is one of many has less than one query at
// most engines, so its own counts rarely differ. Within loadTieMargin the load reported for all gateways decides
// instead, and without load reports chance.
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

// ownLoadPerCore is #T per core. An engine to which this gateway has not sent yet counts as average (design notes).
func (g *Gateway) ownLoadPerCore(e *engine) float64 {
	if e.used || g.usedCores == 0 {
		return e.ownThreads / e.cores
	}
	return g.ownThreads / g.usedCores
}

// sampleTwo applies the power of two choices (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001): it narrows equal engines down to two, drawn at random. It does so only for a gateway with fewer queries than
// engines. Such a gateway relies on load reports, which its peers receive too, so all of them would otherwise send to
// the one engine last reported as least loaded.
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

// inPreferredZone reports whether sending to the engine costs nothing extra: it is in the zone of this gateway, or
// traffic between zones is free. Departure: each step prefers such engines.
func (g *Gateway) inPreferredZone(e *engine) bool {
	return g.settings.CrossZoneCost <= 0 || e.Zone == g.settings.Zone
}

// preferOwnZone returns the engines in the preferred zone, or all if there are none.
func (g *Gateway) preferOwnZone(engines []*engine) []*engine {
	if near := filter(engines, g.inPreferredZone); len(near) > 0 {
		return near
	}
	return engines
}
