package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxBlockedPerClass is how many requests of a class are tried per dispatch when none of them finds an engine.
	maxBlockedPerClass = 4

	// lateQueuePenalty is added to the queue rank of a request that will miss its latency objective. It exceeds any
	// difference of ranks by weight, so such requests come after all others.
	lateQueuePenalty = 100

	// minRankedWeight and minRankedWork (seconds) keep the queue rank finite.
	minRankedWeight = 1e-6
	minRankedWork   = 1e-3
)

// enqueue inserts a request into the queue.
func (g *Gateway) enqueue(r *request) {
	r.queued = true
	i, _ := slices.BinarySearchFunc(g.queue, r, g.compareQueueOrder)
	g.queue = slices.Insert(g.queue, i, r)
}

// compareQueueOrder orders the queue: first the requests that can still meet their objective, then those of the higher
// weight per work, compared in steps of a factor of two, then those of the earlier objective deadline.
func (g *Gateway) compareQueueOrder(a, b *request) int {
	byRank := cmp.Compare(g.queueRank(a), g.queueRank(b))
	return cmp.Or(byRank, cmp.Compare(a.objectiveDeadline, b.objectiveDeadline), cmp.Compare(a.ID, b.ID))
}

// queueRank is the leading key of the queue order; requests of the lower rank are dispatched first.
func (g *Gateway) queueRank(r *request) float64 {
	rank := -math.Floor(math.Log2((r.class.Weight + minRankedWeight) / max(minRankedWork, g.expectedWork(r))))
	if g.willMissObjective(r) {
		rank += lateQueuePenalty
	}
	return rank
}

// dispatch sends queued requests in queue order, as far as the window, the guards and the engines' capacity permit.
func (g *Gateway) dispatch() {
	if len(g.queue) == 0 {
		return
	}
	blocked := make([]int, len(g.classes))
	for i := 0; i < len(g.queue); {
		r := g.queue[i]
		e := g.engineForQueued(r, blocked)
		if e == nil {
			i++
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		r.queued = false
		g.send(r, e)
	}
}

// engineForQueued selects an engine for a queued request, or returns nil. blocked counts by class the requests for
// which selection failed; once a class reaches maxBlockedPerClass its other requests are skipped, to bound the cost of
// a dispatch.
func (g *Gateway) engineForQueued(r *request, blocked []int) *engine {
	if blocked[r.Class] >= maxBlockedPerClass || !g.withinWindow(r) || !g.requestAllowed(r) {
		return nil
	}
	e := g.selectEngine(r)
	if e == nil {
		blocked[r.Class]++
	}
	return e
}
