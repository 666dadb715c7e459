package policy

import (
	"testing"
	"time"
)

// Load reports arrived seconds late, and load increased until 95% of the attempts were rejected. Outcomes adjust the
// window, but only under overload, and not for a gateway that sees the whole load itself.
func TestWindowDecreasesOnlyUnderOverload(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	a := addInFlight(g, g.engines[0], 1, g.now+time.Second)
	first := g.windowPerCore
	g.loadReported, g.meanPeerLoad = true, 0.1
	if g.adjustWindow(a, AttemptEnded{Outcome: Rejected}); g.windowPerCore != first {
		t.Fatal("the window fell on an idle fleet")
	}
	g.meanPeerLoad = 3
	if g.adjustWindow(a, AttemptEnded{Outcome: Rejected}); g.windowPerCore >= first {
		t.Fatal("the window did not fall under strain")
	}
	fell := g.windowPerCore
	g.meanPeerLoad, g.ownThreads = 0.1, g.windowPerCore*g.availableCores
	if g.adjustWindow(a, AttemptEnded{Outcome: OK}); g.windowPerCore <= fell {
		t.Fatal("the window does not grow while it is in use and the fleet has room")
	}
	alone := newTestGateway(t, 4, nil)
	before := alone.windowPerCore
	alone.meanPeerLoad, alone.loadReported = 3, true
	if alone.adjustWindow(addInFlight(alone, alone.engines[0], 1, alone.now), AttemptEnded{Outcome: Rejected}); alone.windowPerCore != before {
		t.Fatal("a gateway that sees the whole fleet narrowed its window")
	}
}

// Short queries waited until their deadline behind one long query, although the fleet had capacity.
func TestWindowExpandsWhileTheFleetHasCapacity(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	g.ownThreads, g.loadReported = 1.2*g.windowPerCore*g.availableCores, true
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedWork = 10 * time.Second // worth little for its work
	if g.meanPeerLoad = 3; g.withinWindow(r) {
		t.Fatal("beyond its window under strain")
	}
	g.meanPeerLoad = 0
	g.ownThreads = 1.2 * g.windowPerCore * g.availableCores
	if !g.withinWindow(r) {
		t.Fatal("held beside an empty fleet")
	}
}
