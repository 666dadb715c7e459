package policy

import "time"

// Guard names what keeps a request from being sent, for the operators' records.
type Guard string

// The guards that depend on the engine, then those that do not. None = nothing does.
const (
	None      Guard = "none"
	ByPlace   Guard = "place"  // its class may not go there
	ByCold    Guard = "cold"   // the cold budget, or another gateway's turn
	ByHealth  Guard = "shut"   // shut out, or on trial and busy
	ByTried   Guard = "tried"  // the request was there before
	ByFull    Guard = "full"   // it turned work away and rests
	ByRate    Guard = "rate"   // the class is let in at a rate
	ByLoad    Guard = "load"   // a load of the same group is out there
	ByLimit   Guard = "limit"  // this gateway's threads there
	ByMemory  Guard = "memory" // the grants there
	ByWindow  Guard = "window" // this gateway's threads everywhere
	ByRation  Guard = "ration" // of further attempts
	ByRequest Guard = "rules"  // another rule on the request itself
	ByLine    Guard = "line"   // others of its class are looked at first
)

// Look is what a gateway believes of an engine.
type Look struct {
	Engine        EngineID
	Own, Others   float64       // threads out there: own, and those that others are believed to have
	Limit, Target float64       // threads: for this gateway, for all together
	ReportAge     time.Duration // of the latest report; -1 = none
	Guard         Guard         // that keeps the request away
}

// Fill is how much a gateway has out against what it lets out, and how full it believes the fleet to be.
type Fill struct {
	Threads float64 // out, everywhere
	Window  float64 // threads that may be out
	Mean    float64 // threads a core that others are believed to have out, over the fleet
	Strain  float64 // the fleet's load over that at which the window may fall
}

// Filled reports how full this gateway and the fleet are held to be.
func (g *Gateway) Filled() Fill {
	return Fill{Threads: g.threads, Window: g.window * g.able / max(1/windowWiden, min(1, g.strain())), Mean: g.mean,
		Strain: g.strain()}
}

// Explain reports which guard keeps an open request in line, what is believed of each listed engine, and how many
// threads this gateway has out against its window. It changes nothing that decides.
func (g *Gateway) Explain(now time.Duration, id RequestID) (held bool, by Guard, looks []Look) {
	r := g.requests[id]
	if r == nil || !r.held {
		return false, None, nil
	}
	g.now = max(now, g.now)
	by = ByLine
	switch {
	case !g.inWidth(r):
		by = ByWindow
	case !g.inBudget(r):
		by = ByRation
	case !g.mayGo(r):
		by = ByRequest
	}
	for _, e := range g.ready {
		look := g.Believed(g.now, e.ID)
		look.Guard = g.guardAt(r, e)
		looks = append(looks, look)
	}
	return true, by, looks
}

// Believed is what is believed of an engine.
func (g *Gateway) Believed(now time.Duration, id EngineID) Look {
	e := g.byID[id]
	if e == nil {
		return Look{Engine: id, ReportAge: -1}
	}
	g.now = max(now, g.now)
	look := Look{Engine: id, Own: e.threads, Others: g.others(e), Limit: g.limit(e, 1), Target: g.target(e), ReportAge: -1}
	if e.reportAt > 0 {
		look.ReportAge = g.now - e.reportAt
	}
	return look
}

// guardAt is the first guard that keeps a request from an engine.
func (g *Gateway) guardAt(r *request, e *engine) Guard {
	switch {
	case !g.placed(r, e) || !g.sameGroup(r, e):
		return ByPlace
	case !g.coldBudget(r, e):
		return ByCold
	case g.ill(e):
		return ByHealth
	case g.tried(r, e):
		return ByTried
	case g.now < e.fullUntil:
		return ByFull
	case g.now < e.rates[r.Class].next:
		return ByRate
	case !g.usable(r, e):
		return ByLoad
	case g.room(r, e):
		return None
	case !g.fits(r, e):
		return ByMemory
	}
	return ByLimit
}
