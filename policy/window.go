package policy

// The concurrency window limits the threads that this gateway has in flight over all engines. Like TCP's congestion
// window it is an AIMD controller: answers in time increase it, late and lost answers decrease it. It complements load
// reports, which may be missing or late, while every gateway sees the outcomes of its own attempts; all gateways reduce
// their load in proportion.
const (
	// initialWindowFactor is the initial window, in multiples of an even share of the fleet's target.
	initialWindowFactor = 1.5

	// minWindowThreads is the minimum initial window, in threads. It is enough for one query of the class with the most
	// threads.
	minWindowThreads = 4.0

	// windowIncrease is the increase after an answer in time, as a share of the attempt's threads.
	windowIncrease = 0.1

	// windowDecrease is the decrease after a late or lost answer, as a share of the attempt's threads.
	// maxWindowDecrease bounds the decrease, as a share of the window.
	windowDecrease    = 0.5
	maxWindowDecrease = 0.3

	// windowFloorDivisor determines the minimum of the window: the initial window divided by it.
	windowFloorDivisor = 2.0

	// windowGrowthUtilization is the share of the window that must be in use for it to increase.
	windowGrowthUtilization = 0.5

	// maxWindowExpansion is the maximum factor by which the window is expanded while the fleet has capacity.
	maxWindowExpansion = 2.0

	// overloadTargetShare is the load of the fleet, as a share of its target, above which the fleet counts as
	// overloaded and the window may decrease.
	overloadTargetShare = 0.85
)

// updateAvailableCores recomputes the number of cores from which the window is derived.
func (g *Gateway) updateAvailableCores() {
	g.availableCores = max(1, sumOf(g.readyEngines, g.availableCoresOf))
}

// availableCoresOf returns the number of an engine's cores, reduced by slow start; 0 while the engine is unavailable.
func (g *Gateway) availableCoresOf(e *engine) float64 {
	if g.unavailable(e) {
		return 0
	}
	return e.cores * g.warmupFactor(e)
}

// overloadRatio returns the ratio of the fleet's estimated load to the load above which it counts as overloaded.
func (g *Gateway) overloadRatio() float64 {
	return (g.meanPeerLoad + g.ownThreads/g.availableCores) / (overloadTargetShare * targetThreadsPerCore)
}

// initialWindow returns the initial window per core.
func (g *Gateway) initialWindow() float64 {
	return max(minWindowThreads/g.availableCores, initialWindowFactor*targetThreadsPerCore/g.gatewaysInService)
}

// windowThreads returns the window in threads, scaled by multiple. While the fleet has capacity, the window is expanded
// in inverse proportion to the overload ratio.
func (g *Gateway) windowThreads(multiple float64) float64 {
	return multiple * g.windowPerCore * g.availableCores / max(1/maxWindowExpansion, min(1, g.overloadRatio()))
}

// withinWindow reports whether the request's threads fit into the window. A gateway with nothing in flight may always
// send, because it learns the state of the fleet only from outcomes.
func (g *Gateway) withinWindow(r *request) bool {
	window := g.windowThreads(1 + g.overcommitShare(r))
	return g.ownThreads == 0 || g.ownThreads+r.class.threads <= window
}

// adjustWindow adjusts the window after an attempt. An answer in time increases it if the window is in use and the
// fleet is not overloaded. A late answer, a timeout or a rejection decreases it, unless load reports show no overload:
// then the cause is another one, such as a costly query. The decrease is scaled by loadUncertainty, because a single
// gateway knows the whole load of the fleet and needs no window.
func (g *Gateway) adjustWindow(a *attempt, event AttemptEnded) {
	overloaded := g.overloadRatio() > 1
	switch {
	case event.Outcome == OK && g.now <= a.request.objectiveDeadline:
		inUse := g.ownThreads+a.threads > windowGrowthUtilization*g.windowPerCore*g.availableCores
		if inUse && !overloaded {
			g.windowPerCore += windowIncrease * a.threads / g.availableCores
		}
	case g.loadReported && !overloaded:
		// The fleet is not overloaded.
	case event.Outcome == OK, event.Outcome == Rejected, event.Outcome == Timeout:
		decrease := min(windowDecrease*a.threads/g.availableCores, maxWindowDecrease*g.windowPerCore)
		g.windowPerCore = max(g.windowPerCore-g.loadUncertainty*decrease, g.initialWindow()/windowFloorDivisor)
	}
}
