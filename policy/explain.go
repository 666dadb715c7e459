package policy

import "time"

// Guard names what keeps a request from being sent, for the operators' records. The values are part of those records
// and keep their spelling.
type Guard string

// Values of Guard: first those that concern an engine, then those that concern the request.
const (
	GuardNone        Guard = "none"   // nothing does
	GuardPlacement   Guard = "place"  // the class may not be sent there
	GuardWarmup      Guard = "cold"   // the warm-up budget, or another gateway's turn
	GuardHealth      Guard = "shut"   // ejected, or half-open and busy
	GuardAttempted   Guard = "tried"  // the request was sent there before
	GuardRejected    Guard = "full"   // the engine rejected a query and gets none for a backoff
	GuardRate        Guard = "rate"   // the class is rate-limited there
	GuardDataLoad    Guard = "load"   // a load of the same table group runs there
	GuardConcurrency Guard = "limit"  // this gateway's concurrency limit there
	GuardMemory      Guard = "memory" // the memory grants there
	GuardWindow      Guard = "window" // this gateway's concurrency window
	GuardRetryBudget Guard = "ration" // the retry budget
	GuardRequest     Guard = "rules"  // another rule on the request itself
	GuardQueue       Guard = "line"   // other requests of its class come first
)

// EngineEstimate is what a gateway estimates about an engine.
type EngineEstimate struct {
	Engine      EngineID
	OwnThreads  float64       // threads of this gateway's attempts in flight there
	PeerThreads float64       // estimated threads of other gateways there
	Limit       float64       // threads that this gateway may have there
	Target      float64       // threads that all gateways together should have there
	ReportAge   time.Duration // age of the latest load report; -1 = none
	Guard       Guard         // what keeps the request from being sent there; only set by Explain
}

// Utilization is the load of a gateway and of the fleet.
type Utilization struct {
	Threads       float64 // threads of this gateway's attempts in flight
	Window        float64 // threads that it may have in flight
	MeanPeerLoad  float64 // estimated threads of other gateways per core, over the fleet
	OverloadRatio float64 // the fleet's load over the load from which the window decreases
}

// Utilization reports the load of this gateway and the estimated load of the fleet.
func (g *Gateway) Utilization() Utilization {
	return Utilization{
		Threads:       g.ownThreads,
		Window:        g.windowThreads(1),
		MeanPeerLoad:  g.meanPeerLoad,
		OverloadRatio: g.overloadRatio(),
	}
}

// Explain reports whether a request is queued, which guard keeps it in the queue, and what is estimated about each
// ready engine. For a request that is not queued it returns false, GuardNone and nil. It has no influence on decisions.
func (g *Gateway) Explain(now time.Duration, id RequestID) (queued bool, guard Guard, engines []EngineEstimate) {
	r := g.requests[id]
	if r == nil || !r.queued {
		return false, GuardNone, nil
	}
	g.now = max(now, g.now)
	guard = g.requestGuard(r)
	for _, e := range g.readyEngines {
		estimate := g.Estimate(g.now, e.ID)
		estimate.Guard = g.engineGuard(r, e)
		engines = append(engines, estimate)
	}
	return true, guard, engines
}

// Estimate reports what is estimated about an engine. For an unknown engine only Engine and ReportAge (-1) are set.
func (g *Gateway) Estimate(now time.Duration, id EngineID) EngineEstimate {
	e := g.engineByID[id]
	if e == nil {
		return EngineEstimate{Engine: id, ReportAge: -1}
	}
	g.now = max(now, g.now)
	estimate := EngineEstimate{
		Engine:      id,
		OwnThreads:  e.ownThreads,
		PeerThreads: g.peerThreads(e),
		Limit:       g.concurrencyLimit(e, 1),
		Target:      g.concurrencyTarget(e),
		ReportAge:   -1,
	}
	if e.reportedAt > 0 {
		estimate.ReportAge = g.now - e.reportedAt
	}
	return estimate
}

// requestGuard is the first guard that keeps a request in the queue, whatever the engine.
func (g *Gateway) requestGuard(r *request) Guard {
	switch {
	case !g.withinWindow(r):
		return GuardWindow
	case !g.withinRetryBudget(r):
		return GuardRetryBudget
	case !g.requestAllowed(r):
		return GuardRequest
	}
	return GuardQueue
}

// engineGuard is the first guard that keeps a request from an engine.
func (g *Gateway) engineGuard(r *request, e *engine) Guard {
	switch {
	case !g.placementAllowed(r, e) || !g.withinDedupScope(r, e):
		return GuardPlacement
	case !g.withinWarmupBudget(r, e):
		return GuardWarmup
	case g.unavailable(e):
		return GuardHealth
	case g.alreadyAttempted(r, e):
		return GuardAttempted
	case g.now < e.rejectingUntil:
		return GuardRejected
	case g.now < e.classRates[r.Class].nextSendAt:
		return GuardRate
	case !g.eligible(r, e):
		return GuardDataLoad
	case g.hasCapacity(r, e):
		return GuardNone
	case !g.fitsInMemory(r, e):
		return GuardMemory
	}
	return GuardConcurrency
}
