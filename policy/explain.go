package policy

import "time"

// Guard names what keeps a request from being sent, for the operators' records.
type Guard string

// The guards that depend on the engine, then those that do not. None = nothing does.
const (
	GuardNone        Guard = "none"
	GuardPlacement   Guard = "place"  // its class may not go there
	GuardWarmup      Guard = "cold"   // the cold budget, or another gateway's turn
	GuardHealth      Guard = "shut"   // shut out, or on trial and busy
	GuardAttempted   Guard = "tried"  // the request was there before
	GuardRejected    Guard = "full"   // it turned work away and rests
	GuardRate        Guard = "rate"   // the class is let in at a rate
	GuardLoad        Guard = "load"   // a load of the same group is out there
	GuardConcurrency Guard = "limit"  // this gateway's threads there
	GuardMemory      Guard = "memory" // the grants there
	GuardWindow      Guard = "window" // this gateway's threads everywhere
	GuardRetryBudget Guard = "ration" // of further attempts
	GuardRequest     Guard = "rules"  // another rule on the request itself
	GuardQueue       Guard = "line"   // others of its class are looked at first
)

// EngineEstimate is what a gateway believes of an engine.
type EngineEstimate struct {
	Engine                  EngineID
	OwnThreads, PeerThreads float64       // threads out there: own, and those that others are believed to have
	Limit, Target           float64       // threads: for this gateway, for all together
	ReportAge               time.Duration // of the latest report; -1 = none
	Guard                   Guard         // that keeps the request away
}

// Utilization is how much a gateway has out against what it lets out, and how full it believes the fleet to be.
type Utilization struct {
	Threads       float64 // out, everywhere
	Window        float64 // threads that may be out
	MeanPeerLoad  float64 // threads a core that others are believed to have out, over the fleet
	OverloadRatio float64 // the fleet's load over that at which the window may fall
}

// Utilization reports how full this gateway and the fleet are held to be.
func (g *Gateway) Utilization() Utilization {
	return Utilization{Threads: g.threads, Window: g.window * g.able / max(1/windowWiden, min(1, g.strain())), MeanPeerLoad: g.mean,
		OverloadRatio: g.strain()}
}

// Explain reports which guard keeps an open request in line, what is believed of each listed engine, and how many
// threads this gateway has out against its window. It changes nothing that decides.
func (g *Gateway) Explain(now time.Duration, id RequestID) (held bool, by Guard, looks []EngineEstimate) {
	r := g.requests[id]
	if r == nil || !r.held {
		return false, GuardNone, nil
	}
	g.now = max(now, g.now)
	by = GuardQueue
	switch {
	case !g.inWidth(r):
		by = GuardWindow
	case !g.inBudget(r):
		by = GuardRetryBudget
	case !g.mayGo(r):
		by = GuardRequest
	}
	for _, e := range g.ready {
		look := g.Estimate(g.now, e.ID)
		look.Guard = g.guardAt(r, e)
		looks = append(looks, look)
	}
	return true, by, looks
}

// Estimate is what is believed of an engine.
func (g *Gateway) Estimate(now time.Duration, id EngineID) EngineEstimate {
	e := g.byID[id]
	if e == nil {
		return EngineEstimate{Engine: id, ReportAge: -1}
	}
	g.now = max(now, g.now)
	look := EngineEstimate{Engine: id, OwnThreads: e.threads, PeerThreads: g.others(e), Limit: g.limit(e, 1), Target: g.target(e), ReportAge: -1}
	if e.reportAt > 0 {
		look.ReportAge = g.now - e.reportAt
	}
	return look
}

// guardAt is the first guard that keeps a request from an engine.
func (g *Gateway) guardAt(r *request, e *engine) Guard {
	switch {
	case !g.placed(r, e) || !g.sameGroup(r, e):
		return GuardPlacement
	case !g.coldBudget(r, e):
		return GuardWarmup
	case g.ill(e):
		return GuardHealth
	case g.tried(r, e):
		return GuardAttempted
	case g.now < e.fullUntil:
		return GuardRejected
	case g.now < e.rates[r.Class].next:
		return GuardRate
	case !g.usable(r, e):
		return GuardLoad
	case g.room(r, e):
		return GuardNone
	case !g.fits(r, e):
		return GuardMemory
	}
	return GuardConcurrency
}
