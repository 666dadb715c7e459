package policy

import (
	"slices"
)

// The guards enforce the operators' rules, one small function for each. Every send passes all of them in Gateway.send.
// The guard of rule 4 is in slowstart.go, that of rule 7 in retries.go.

// engineAllowed checks the guards that depend on the engine.
func (g *Gateway) engineAllowed(r *request, e *engine) bool {
	return g.engineReady(e) && g.placementAllowed(r, e) && g.withinDedupScope(r, e) && g.withinWarmupBudget(r, e)
}

// requestAllowed checks the guards that do not.
func (g *Gateway) requestAllowed(r *request) bool {
	return g.stillOpen(r) && g.nothingInFlight(r) && g.safeToRepeat(r) && g.withinDedupWindow(r) &&
		g.keyInOrder(r) && g.withinRetryBudget(r)
}

// stillOpen: nothing is sent for a request that is done, past its deadline, or out of attempts (rule 1).
func (g *Gateway) stillOpen(r *request) bool {
	attemptsLeft := g.settings.MaxAttempts <= 0 || len(r.attempts)+r.resends < g.settings.MaxAttempts
	return !r.done && r.deadline > g.now && attemptsLeft
}

// nothingInFlight: a request never has two attempts in flight, as this module sends no hedged requests.
func (g *Gateway) nothingInFlight(r *request) bool { return r.inFlight == 0 }

// safeToRepeat: a query that must not run twice is not sent again if it may have run (rule 2).
func (g *Gateway) safeToRepeat(r *request) bool {
	return r.class.Idempotency != NotIdempotent || r.firstPossibleRun == nil
}

// withinDedupWindow: a keyed query that may have run is sent again only while engines deduplicate it (rule 2). Two
// ticks are left for the way to the engine.
func (g *Gateway) withinDedupWindow(r *request) bool {
	return r.class.Idempotency != IdempotentWithKey || r.firstPossibleRun == nil ||
		g.now-r.firstPossibleRun.sentAt < r.class.DedupWindow-g.settings.Tick*2
}

// withinDedupScope: a keyed query that may have run is sent again only to engines that deduplicate it together with the
// first engine (rule 2).
func (g *Gateway) withinDedupScope(r *request, e *engine) bool {
	if r.class.Idempotency != IdempotentWithKey || r.firstPossibleRun == nil || r.class.DedupScope == DedupAll {
		return true
	}
	first := r.firstPossibleRun.engine
	return first.Zone == e.Zone && (r.class.DedupScope == DedupZone || first.Cell == e.Cell)
}

// mayReject: a rejection promises that a repetition is harmless (rule 2). That holds for idempotent queries, for those
// that have not run, and for keyed ones that all engines deduplicate.
func (g *Gateway) mayReject(r *request) bool {
	return r.class.Idempotency == Idempotent || r.firstPossibleRun == nil ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
}

// engineReady: nothing new is sent to an engine that is draining or gone (rule 3).
func (g *Gateway) engineReady(e *engine) bool { return e.Health == Ready }

// keyInOrder: queries of one key of an ordered class run one at a time, in order of arrival, and pause after an attempt
// that may still be running (rule 5). The request that caused the pause need not observe it.
func (g *Gateway) keyInOrder(r *request) bool {
	if !r.class.Ordered || r.OrderingKey == 0 {
		return true
	}
	queue := g.keyQueues[r.OrderingKey]
	return queue.requests[0] == r && (g.now >= queue.pausedUntil || queue.pausedFor == r)
}

// pauseKey starts the pause of an ordered key if an attempt ended in a way that leaves open whether it still runs
// (rule 5).
func (g *Gateway) pauseKey(r *request, outcome Outcome) {
	mayStillRun := outcome == Timeout || outcome == Reset || outcome == Cancelled
	if queue := g.keyQueues[r.OrderingKey]; queue != nil && mayStillRun {
		queue.pausedUntil, queue.pausedFor = g.now+g.settings.Rules.OrderedKeyPause, r
	}
}

// placementAllowed: a class restricted to zones or machine kinds is sent nowhere else (rule 6).
func (g *Gateway) placementAllowed(r *request, e *engine) bool {
	c := &r.class.Class
	return (!c.RestrictZones || slices.Contains(c.Zones, e.Zone)) &&
		(!c.RestrictMachineTypes || slices.Contains(c.MachineTypes, e.MachineType))
}
