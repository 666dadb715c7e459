package policy

import (
	"slices"
	"testing"
	"time"
)

// Checks that a request whose deadline is before the next review is rejected on arrival. Otherwise it would be queued
// and get its answer only after its deadline, as happened to client retries.
func TestArrivalRejectsRequestTooCloseToDeadline(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Classes[0].Weight = 0.001 })
	for range 40 {
		addInFlight(g, g.engines[0], 1, g.now+time.Second)
	}
	actions := g.Handle(g.now, Arrival{ID: 9, Remaining: 3 * time.Millisecond})
	if len(actions) == 0 || actions[0] != (Reject{9, time.Second}) {
		t.Fatalf("actions %v, want a rejection", actions)
	}
}

// Checks that the attempt of a request whose client is gone gets the lowest priority if attempts must not be cancelled.
// Otherwise it would compete at equal priority with queries that clients still wait for.
func TestClientGoneLowersPriorityWithoutCancellation(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.MayCancel = false })
	g.Handle(g.now, Arrival{ID: 5, Remaining: 4 * time.Second})
	actions := g.Handle(g.now, ClientGone{5})
	if len(actions) == 0 || actions[0] != (SetResources{ID: 5}) {
		t.Fatalf("actions %v, want SetResources with the lowest priority", actions)
	}
}

// Checks that DeadlinePassed finishes a queued request exactly once, and leaves one that is streaming alone. Without the
// event, a request would stay open for as long as the review is late.
func TestDeadlinePassedFinishesOpenRequest(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.Handle(g.now, Arrival{ID: 5, Remaining: 4 * time.Second})
	g.Handle(g.now, Arrival{ID: 6, Remaining: 4 * time.Second})
	g.Handle(g.now, ResponseStarted{ID: 6})
	later := g.now + 4*time.Second
	if actions := g.Handle(later, DeadlinePassed{5}); !slices.Contains(actions, Action(Reject{5, time.Second})) {
		t.Errorf("actions %v, want a rejection", actions)
	}
	for _, id := range []RequestID{5, 6, 99} {
		if actions := g.Handle(later, DeadlinePassed{id}); len(actions) != 0 {
			t.Errorf("request %d: actions %v, want none", id, actions)
		}
	}
}

// Checks that two data loads of one table group are never sent to the same engine, where the second would block.
func TestEligibleSeparatesDataLoadsOfOneTableGroup(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Classes[0].IsDataLoad = true })
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	sameGroup, otherGroup := newTestRequest(g, 1, g.now+time.Second), newTestRequest(g, 2, g.now)
	if g.accepts(sameGroup, g.engines[0]) {
		t.Error("a second data load of a group is accepted at the engine of the first")
	}
	if !g.accepts(sameGroup, g.engines[1]) {
		t.Error("a second data load of a group is not accepted at another engine")
	}
	if !g.accepts(otherGroup, g.engines[0]) {
		t.Error("a data load of another group is not accepted")
	}
}
