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
	acts := g.Handle(g.now, Arrival{ID: 9, Remaining: 3 * time.Millisecond})
	if len(acts) == 0 || acts[0] != (Reject{9, time.Second}) {
		t.Fatalf("actions %v, want a refusal", acts)
	}
}

// Where attempts must not be cancelled, those of clients that are gone ran beside the others at the same priority.
func TestAbandonedRequestGetsLowestPriority(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.MayCancel = false })
	g.Handle(g.now, Arrival{ID: 5, Remaining: 4 * time.Second})
	acts := g.Handle(g.now, ClientGone{5})
	if len(acts) == 0 || acts[0] != (SetTerms{ID: 5}) {
		t.Fatalf("actions %v, want the lowest priority", acts)
	}
}

// Loads of one table group block each other on an engine.
func TestLoadsOfOneGroupAreNotPlacedTogether(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Classes[0].IsLoad = true })
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	r := newTestRequest(g, 1, g.now+time.Second)
	if g.accepts(r, g.engines[0]) || !g.accepts(r, g.engines[1]) || !g.accepts(newTestRequest(g, 2, g.now), g.engines[0]) {
		t.Fatal("a second load of the group is let in beside the first, or another group's is kept out")
	}
}
