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
		t.Fatal("the window decreased while the fleet was idle")
	}
	g.meanPeerLoad = 3
	if g.adjustWindow(a, AttemptEnded{Outcome: Rejected}); g.windowPerCore >= first {
		t.Fatal("the window did not decrease under overload")
	}
	decreased := g.windowPerCore
	g.meanPeerLoad, g.ownThreads = 0.1, g.windowPerCore*g.availableCores
	if g.adjustWindow(a, AttemptEnded{Outcome: OK}); g.windowPerCore <= decreased {
		t.Fatal("the window did not increase while it is in use and the fleet has capacity")
	}
	single := newTestGateway(t, 4, nil)
	before := single.windowPerCore
	single.meanPeerLoad, single.loadReported = 3, true
	a = addInFlight(single, single.engines[0], 1, single.now)
	if single.adjustWindow(a, AttemptEnded{Outcome: Rejected}); single.windowPerCore != before {
		t.Fatal("the window of a single gateway decreased")
	}
}

// Short queries waited until their deadline behind one long query, although the fleet had capacity.
func TestWindowExpandsWhileTheFleetHasCapacity(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	g.ownThreads, g.loadReported = 1.2*g.windowPerCore*g.availableCores, true
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedWork = 10 * time.Second // low weight per work
	if g.meanPeerLoad = 3; g.withinWindow(r) {
		t.Fatal("sends beyond its window under overload")
	}
	g.meanPeerLoad = 0
	g.ownThreads = 1.2 * g.windowPerCore * g.availableCores
	if !g.withinWindow(r) {
		t.Fatal("does not send beyond its window while the fleet is idle")
	}
}
