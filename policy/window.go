package policy

// The concurrency window limits the threads that this gateway has in flight over all engines. It increases additively
// with answers in time and decreases with late or lost ones (AIMD, as TCP's congestion window). Unlike load reports,
// the outcomes of attempts are always seen, and all gateways reduce their load in proportion.
const (
	// initialWindowFactor is the initial window in even shares of the fleet's target.
	initialWindowFactor = 1.5

	// minWindowThreads is the least initial window, in threads: one query of the class with the most threads.
	minWindowThreads = 4.0

	// windowIncrease is the increase after an answer in time, as a share of its threads.
	windowIncrease = 0.1

	// windowDecrease is the decrease after a late or lost attempt, as a share of its threads, and maxWindowDecrease its
	// bound as a share of the window.
	windowDecrease    = 0.5
	maxWindowDecrease = 0.3

	// windowFloorDivisor sets the floor of the window: the initial window divided by it.
	windowFloorDivisor = 2.0

	// windowGrowthUtilization is the share of the window in use from which it increases.
	windowGrowthUtilization = 0.5

	// maxWindowExpansion is the largest factor by which the window is expanded while the fleet has capacity.
	maxWindowExpansion = 2.0

	// overloadTargetShare is the load of the fleet, as a share of its target, from which the overload ratio is above 1
	// and the window decreases.
	overloadTargetShare = 0.85
)

// updateAvailableCores recomputes the cores to which the window refers.
func (g *Gateway) updateAvailableCores() {
	g.availableCores = max(1, sumOf(g.readyEngines, g.availableCoresOf))
}

// availableCoresOf is the number of an engine's cores, reduced by slow start; 0 while the engine is unavailable.
func (g *Gateway) availableCoresOf(e *engine) float64 {
	if g.unavailable(e) {
		return 0
	}
	return e.cores * g.warmupFactor(e)
}

// overloadRatio is the fleet's estimated load over the load from which the window decreases.
func (g *Gateway) overloadRatio() float64 {
	return (g.meanPeerLoad + g.ownThreads/g.availableCores) / (overloadTargetShare * targetThreadsPerCore)
}

// initialWindow is the window per core before any outcome.
func (g *Gateway) initialWindow() float64 {
	return max(minWindowThreads/g.availableCores, initialWindowFactor*targetThreadsPerCore/g.gatewaysInService)
}

// windowThreads is the window in threads, times multiple. While the fleet has capacity it is expanded in inverse
// proportion to the overload ratio.
func (g *Gateway) windowThreads(multiple float64) float64 {
	return multiple * g.windowPerCore * g.availableCores / max(1/maxWindowExpansion, min(1, g.overloadRatio()))
}

// withinWindow reports whether the request's threads fit into the window. A gateway with nothing in flight may always
// send, because it would learn nothing otherwise.
func (g *Gateway) withinWindow(r *request) bool {
	window := g.windowThreads(1 + g.overcommitShare(r))
	return g.ownThreads == 0 || g.ownThreads+r.class.threads <= window
}

// adjustWindow adjusts the window by an outcome: up with an answer in time while the window is in use, down with a late
// answer, a timeout or a rejection. If load reports show no overload, lateness has another cause, such as costly
// queries, and the window stays. unseenPeerShare scales the decrease: a single gateway sees the whole load itself and
// needs no window.
func (g *Gateway) adjustWindow(a *attempt, event AttemptEnded) {
	overloaded := g.overloadRatio() > 1
	switch {
	case event.Outcome == OK && g.now <= a.request.objectiveDeadline:
		inUse := g.ownThreads+a.threads > windowGrowthUtilization*g.windowPerCore*g.availableCores
		if inUse && !overloaded {
			g.windowPerCore += windowIncrease * a.threads / g.availableCores
		}
	case g.loadReported && !overloaded:
		// The cause is not load.
	case event.Outcome == OK, event.Outcome == Rejected, event.Outcome == Timeout:
		decrease := min(windowDecrease*a.threads/g.availableCores, maxWindowDecrease*g.windowPerCore)
		g.windowPerCore = max(g.windowPerCore-g.unseenPeerShare*decrease, g.initialWindow()/windowFloorDivisor)
	}
}
