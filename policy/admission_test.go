package policy

import (
	"testing"
	"time"
)

// A client retry arrived with less time left than the next review was away, and got no answer in time.
func TestArrivalWithTooLittleTimeIsRejectedAtOnce(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Classes[0].Weight = 0.001 })
	for range 40 {
		addInFlight(g, g.engines[0], 1, g.now+time.Second)
	}
	actions := g.Handle(g.now, Arrival{ID: 9, Remaining: 3 * time.Millisecond})
	if len(actions) == 0 || actions[0] != (Reject{9, time.Second}) {
		t.Fatalf("actions %v, want a rejection", actions)
	}
}

// Where attempts must not be cancelled, those of clients that are gone ran beside the others at the same priority.
func TestAbandonedRequestGetsLowestPriority(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.MayCancel = false })
	g.Handle(g.now, Arrival{ID: 5, Remaining: 4 * time.Second})
	actions := g.Handle(g.now, ClientGone{5})
	if len(actions) == 0 || actions[0] != (SetResources{ID: 5}) {
		t.Fatalf("actions %v, want the lowest priority", actions)
	}
}

// Loads of one table group block each other on an engine.
func TestLoadsOfOneGroupAreNotPlacedTogether(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Classes[0].IsDataLoad = true })
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	sameGroup, otherGroup := newTestRequest(g, 1, g.now+time.Second), newTestRequest(g, 2, g.now)
	if g.accepts(sameGroup, g.engines[0]) {
		t.Error("a second load of a group is admitted beside the first")
	}
	if !g.accepts(sameGroup, g.engines[1]) {
		t.Error("a second load of a group is not admitted at another engine")
	}
	if !g.accepts(otherGroup, g.engines[0]) {
		t.Error("a load of another group is not admitted")
	}
}
