package policy

import "slices"

// Guards enforce the operators' rules. Each guard is a function that reports whether its rule permits a send, and
// Gateway.send checks all of them. The guard of rule 4 is in slowstart.go, that of rule 7 in retries.go.

// engineAllowed reports whether all guards that depend on the engine permit a send.
func (g *Gateway) engineAllowed(r *request, e *engine) bool {
	return g.engineReady(e) && g.placementAllowed(r, e) && g.withinDedupScope(r, e) && g.withinWarmupBudget(r, e)
}

// requestAllowed reports whether all guards that do not depend on the engine permit a send.
func (g *Gateway) requestAllowed(r *request) bool {
	return g.stillOpen(r) && g.nothingInFlight(r) && g.safeToRepeat(r) && g.withinDedupWindow(r) &&
		g.keyInOrder(r) && g.withinRetryBudget(r)
}

// stillOpen reports whether a request is not done, has time left until its deadline, and has attempts left (rule 1).
func (g *Gateway) stillOpen(r *request) bool {
	attemptsLeft := g.settings.MaxAttempts <= 0 || len(r.attempts)+r.resends < g.settings.MaxAttempts
	return !r.done && r.deadline > g.now && attemptsLeft
}

// nothingInFlight reports whether a request has no attempt in flight. This module sends no hedged requests.
func (g *Gateway) nothingInFlight(r *request) bool { return r.inFlight == 0 }

// safeToRepeat reports whether a request is idempotent, with or without a key, or cannot have run yet (rule 2).
func (g *Gateway) safeToRepeat(r *request) bool {
	return r.class.Idempotency != NotIdempotent || r.firstPossibleRun == nil
}

// withinDedupWindow reports whether the engines still deduplicate a request with an idempotency key that may have run
// (rule 2). Two ticks are reserved for the transmission to the engine.
func (g *Gateway) withinDedupWindow(r *request) bool {
	return r.class.Idempotency != IdempotentWithKey || r.firstPossibleRun == nil ||
		g.now-r.firstPossibleRun.sentAt < r.class.DedupWindow-g.settings.Tick*2
}

// withinDedupScope reports whether an engine deduplicates a request with an idempotency key together with the first
// engine that may have run it (rule 2).
func (g *Gateway) withinDedupScope(r *request, e *engine) bool {
	if r.class.Idempotency != IdempotentWithKey || r.firstPossibleRun == nil || r.class.DedupScope == DedupAll {
		return true
	}
	first := r.firstPossibleRun.engine
	return first.Zone == e.Zone && (r.class.DedupScope == DedupZone || first.Cell == e.Cell)
}

// mayReject reports whether a request may be rejected, which tells the client that it is safe to repeat it (rule 2).
// That holds for idempotent requests, for requests that cannot have run, and for requests with an idempotency key that
// all engines deduplicate.
func (g *Gateway) mayReject(r *request) bool {
	return r.class.Idempotency == Idempotent || r.firstPossibleRun == nil ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
}

// engineReady reports whether an engine is neither draining nor gone (rule 3).
func (g *Gateway) engineReady(e *engine) bool { return e.Health == Ready }

// keyInOrder reports whether it is a request's turn within its ordering key (rule 5). Requests with the same key run
// one at a time, in order of arrival, with a pause after an attempt that may still be running. The request that caused
// the pause is exempt from it.
func (g *Gateway) keyInOrder(r *request) bool {
	if !r.class.Ordered || r.OrderingKey == 0 {
		return true
	}
	queue := g.keyQueues[r.OrderingKey]
	return queue.requests[0] == r && (g.now >= queue.pausedUntil || queue.pausedBy == r)
}

// pauseKey starts the pause of an ordering key if the engine may still be running an attempt that has ended for this
// gateway (rule 5).
func (g *Gateway) pauseKey(r *request, outcome Outcome) {
	mayStillRun := outcome == Timeout || outcome == Reset || outcome == Cancelled
	if queue := g.keyQueues[r.OrderingKey]; queue != nil && mayStillRun {
		queue.pausedUntil, queue.pausedBy = g.now+g.settings.Rules.OrderedKeyPause, r
	}
}

// placementAllowed reports whether an engine is in a zone and of a machine type that the class may use (rule 6).
func (g *Gateway) placementAllowed(r *request, e *engine) bool {
	c := &r.class.Class
	return (!c.RestrictZones || slices.Contains(c.Zones, e.Zone)) &&
		(!c.RestrictMachineTypes || slices.Contains(c.MachineTypes, e.MachineType))
}
