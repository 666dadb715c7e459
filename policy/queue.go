package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxBlockedPerClass is the number of failed engine selections per class after which a dispatch skips the class.
	maxBlockedPerClass = 4

	// lateQueuePenalty is added to the queue rank of a request that will miss its latency objective. It exceeds all
	// differences between the ranks of other requests, so late requests are dispatched last.
	lateQueuePenalty = 100

	// minRankedWeight and minRankedWork (in seconds) keep the queue rank finite.
	minRankedWeight = 1e-6
	minRankedWork   = 1e-3
)

// enqueue inserts a request into the queue, in queue order.
func (g *Gateway) enqueue(r *request) {
	r.queued = true
	i, _ := slices.BinarySearchFunc(g.queue, r, g.compareQueueOrder)
	g.queue = slices.Insert(g.queue, i, r)
}

// compareQueueOrder defines the queue order: requests that can still meet their latency objective come first, then
// requests with the higher weight per unit of work (rounded to powers of two), then those with the earlier objective
// deadline.
func (g *Gateway) compareQueueOrder(a, b *request) int {
	byRank := cmp.Compare(g.queueRank(a), g.queueRank(b))
	return cmp.Or(byRank, cmp.Compare(a.objectiveDeadline, b.objectiveDeadline), cmp.Compare(a.ID, b.ID))
}

// queueRank returns the first sort key of the queue order. Requests with a lower rank are dispatched first.
func (g *Gateway) queueRank(r *request) float64 {
	rank := -math.Floor(math.Log2((r.class.Weight + minRankedWeight) / max(minRankedWork, g.expectedWork(r))))
	if g.willMissObjective(r) {
		rank += lateQueuePenalty
	}
	return rank
}

// dispatch sends queued requests in queue order, as far as the window, the guards and the capacity of the engines
// permit.
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

// engineForQueued selects an engine for a queued request, or returns nil. blocked counts the failed selections of each
// class. Once a class reaches maxBlockedPerClass, its other requests are skipped to bound the cost of a dispatch.
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
