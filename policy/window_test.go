package policy

import (
	"testing"
	"time"
)

// Checks that rejections decrease the window under overload, but neither while the fleet is idle nor on a single
// gateway, which knows the whole load itself. Without the window, when load reports arrived seconds late, load
// increased until 95% of the attempts were rejected.
func TestWindowDecreasesOnlyUnderOverload(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	a := addInFlight(g, g.engines[0], 1, g.now+time.Second)
	first := g.windowPerCore
	g.loadReported, g.meanPeerLoad = true, 0.1
	if g.adjustWindow(a, AttemptEnded{Outcome: Rejected}); g.windowPerCore != first {
		t.Fatal("the window decreased although the fleet is idle")
	}
	g.meanPeerLoad = 3
	if g.adjustWindow(a, AttemptEnded{Outcome: Rejected}); g.windowPerCore >= first {
		t.Fatal("the window did not decrease under overload")
	}
	decreased := g.windowPerCore
	g.meanPeerLoad, g.ownThreads = 0.1, g.windowPerCore*g.availableCores
	if g.adjustWindow(a, AttemptEnded{Outcome: OK}); g.windowPerCore <= decreased {
		t.Fatal("the window did not increase although it is in use and the fleet has capacity")
	}
	single := newTestGateway(t, 4, nil)
	before := single.windowPerCore
	single.meanPeerLoad, single.loadReported = 3, true
	a = addInFlight(single, single.engines[0], 1, single.now)
	if single.adjustWindow(a, AttemptEnded{Outcome: Rejected}); single.windowPerCore != before {
		t.Fatal("the window of a single gateway decreased")
	}
}

// Checks that the window is expanded while the fleet has capacity. Otherwise short queries would wait for one long
// query until their deadline.
func TestWindowExpandsWhileFleetHasCapacity(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	g.ownThreads, g.loadReported = 1.2*g.windowPerCore*g.availableCores, true
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedWork = 10 * time.Second // low weight per unit of work
	if g.meanPeerLoad = 3; g.withinWindow(r) {
		t.Fatal("the gateway may send beyond its window under overload")
	}
	g.meanPeerLoad = 0
	g.ownThreads = 1.2 * g.windowPerCore * g.availableCores
	if !g.withinWindow(r) {
		t.Fatal("the gateway may not send beyond its window while the fleet is idle")
	}
}
