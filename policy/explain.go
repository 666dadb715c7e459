package policy

import "time"

// Guard names the condition that blocks the sending of a request. The values appear in operators' logs, so their
// spelling must not change.
type Guard string

// Values of Guard. The values up to GuardMemory concern an engine, the later ones a request.
const (
	GuardNone        Guard = "none"   // nothing blocks the request
	GuardPlacement   Guard = "place"  // the class must not run on the engine
	GuardWarmup      Guard = "cold"   // warm-up budget of the engine, or another gateway's turn to use it
	GuardHealth      Guard = "shut"   // the engine is ejected, or half-open and busy
	GuardAttempted   Guard = "tried"  // the request was sent to the engine before
	GuardRejected    Guard = "full"   // backoff after the engine rejected a query
	GuardRate        Guard = "rate"   // rate limit of the class at the engine
	GuardDataLoad    Guard = "load"   // the engine runs a data load of the same table group
	GuardConcurrency Guard = "limit"  // this gateway's concurrency limit at the engine
	GuardMemory      Guard = "memory" // the memory grant does not fit
	GuardWindow      Guard = "window" // this gateway's concurrency window
	GuardRetryBudget Guard = "ration" // the retry budget
	GuardRequest     Guard = "rules"  // another rule about the request
	GuardQueue       Guard = "line"   // no guard blocks the request itself; it waits for its turn or for an engine
)

// EngineEstimate is a gateway's estimate of the load and the limits of an engine.
type EngineEstimate struct {
	Engine      EngineID
	OwnThreads  float64       // threads of this gateway's attempts in flight
	PeerThreads float64       // estimated threads of other gateways
	Limit       float64       // threads that this gateway may use on the engine
	Target      float64       // threads that all gateways together should use on the engine
	ReportAge   time.Duration // age of the latest load report; -1 = none
	Guard       Guard         // condition that blocks the request; set only by Explain
}

// Utilization is the load of a gateway and the estimated load of the fleet.
type Utilization struct {
	Threads       float64 // threads of this gateway's attempts in flight
	Window        float64 // threads that this gateway may have in flight
	MeanPeerLoad  float64 // estimated threads of other gateways per core, over the fleet
	OverloadRatio float64 // ratio of the fleet's load to the load above which the window decreases
}

// Utilization returns the load of this gateway and the estimated load of the fleet.
func (g *Gateway) Utilization() Utilization {
	return Utilization{
		Threads:       g.ownThreads,
		Window:        g.windowThreads(1),
		MeanPeerLoad:  g.meanPeerLoad,
		OverloadRatio: g.overloadRatio(),
	}
}

// Explain reports whether a request is queued, which guard keeps it in the queue, and the estimate of each ready
// engine. For a request that is not queued it returns false, GuardNone and nil. It does not influence decisions.
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

// Estimate returns the estimate of an engine. For an unknown engine only Engine and ReportAge (-1) are set.
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

// requestGuard returns the first guard that blocks a request independently of the engine, or GuardQueue.
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

// engineGuard returns the first guard that forbids sending a request to an engine, or GuardNone.
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
	case g.now < e.classRateLimits[r.Class].nextSendAt:
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
