package policy

import (
	"slices"
	"testing"
	"time"
)

// On a day with many resets, short queries used up the retry budget, and queries of higher weight waited for it until
// they were late. A share of it is reserved for them, a query of low weight is rejected at once if there is none for
// it, and a resend counts.
func TestRetryBudgetKeepsAShareForHigherWeights(t *testing.T) {
	g := newTestGateway(t, 3, func(s *Settings) {
		s.Classes[0].Weight, s.Classes[0].Idempotency, s.Classes[1].Weight, s.Classes[1].Idempotency = 1, Idempotent, 10, Idempotent
		s.Rules.RetryBudget, s.Rules.FreeRetries, s.Rules.RetryShare, s.Rules.RetryBudgetSpan = true, 5, 0, 5*time.Second
	})
	id := RequestID(0)
	lost := func(class int) ([]Action, *attempt) {
		id++
		g.Handle(g.now, Arrival{ID: id, Class: class, TableGroup: int(id), EstimatedWork: time.Millisecond, Remaining: 10 * time.Second})
		a := g.requests[id].attempts[0]
		return g.Handle(g.now, AttemptEnded{ID: id, Engine: a.engine.ID, Outcome: Error}), a
	}
	for range 2 {
		if acts, _ := lost(0); len(g.requests[id].attempts) != 2 {
			t.Fatalf("not sent elsewhere while there is a ration: %v", acts)
		}
	}
	a := g.requests[id].attempts[1]
	for range 2 {
		if !g.MayResend(g.now, id, 1) {
			t.Fatal("not sent again while there is a ration")
		}
	}
	if g.MayResend(g.now, id, 1) || a.request.resends != 2 {
		t.Fatal("sent again beyond its part of the ration")
	}
	if acts, _ := lost(0); len(acts) != 1 || acts[0] != (Reject{id, budgetRetryAfter}) {
		t.Fatalf("%v, want a refusal at once", acts)
	}
	if acts, _ := lost(1); len(g.requests[id].attempts) != 2 {
		t.Fatalf("what is worth more got no further attempt: %v", acts)
	}
	lost(1)
	if r := g.requests[id]; len(r.attempts) != 1 || !r.queued {
		t.Fatal("beyond the ration")
	}
}

// Clients that cancelled their requests at once, by the hundred, enlarged the retry budget: 9 retries within 5 s, where
// the 41 requests of others allowed 8. A cancelled request adds nothing.
func TestCancelledRequestsAddNothingToTheRetryBudget(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) {
		s.Rules.RetryBudget, s.Rules.FreeRetries, s.Rules.RetryShare, s.Rules.RetryBudgetSpan = true, 0, 0.1, 5*time.Second
	})
	ask := func(id RequestID) {
		g.Handle(g.now, Arrival{ID: id, EstimatedWork: time.Second, Remaining: time.Minute})
	}
	again := func(id RequestID) int { // how many attempts it has had once its first has failed
		ask(id)
		r := g.requests[id]
		g.Handle(g.now, AttemptEnded{ID: id, Engine: r.attempts[0].engine.ID, Outcome: Error})
		return len(r.attempts)
	}
	for id := range RequestID(200) {
		g.now += time.Millisecond
		ask(id + 1)
		g.Handle(g.now+time.Millisecond, ClientGone{ID: id + 1})
		g.Handle(g.now+time.Millisecond, ClientGone{ID: id + 1})
	}
	for _, a := range g.engines { // what was withdrawn is over there too
		for _, out := range slices.Clone(a.inFlight) {
			g.Handle(g.now, AttemptEnded{ID: out.request.ID, Attempt: out.number, Engine: a.ID, Outcome: Cancelled})
		}
	}
	if n := again(1000); n != 1 || len(g.requests) != 0 {
		t.Fatalf("%d attempts where nobody waits for anything else, %d requests known", n, len(g.requests))
	}
	for id := range RequestID(20) {
		ask(2000 + id)
		e := g.requests[2000+id].attempts[0].engine.ID
		g.Handle(g.now, AttemptEnded{ID: 2000 + id, Engine: e, Outcome: OK, Duration: time.Second, Terminal: true})
	}
	if n := again(3000); n != 2 {
		t.Fatalf("%d attempts beside 20 requests that are waited for", n)
	}
}

// Responses withheld by engines were waited for until the kill threshold. The attempt is cancelled as soon as the
// response is known to be overdue, if time and budget for a retry are left.
func TestOverdueResponseIsRetriedElsewhere(t *testing.T) {
	for _, ration := range []float64{5, 0} {
		g := newTestGateway(t, 2, func(s *Settings) {
			s.Rules.RetryBudget, s.Rules.FreeRetries, s.Rules.RetryShare, s.Rules.RetryBudgetSpan = true, ration, 0, 5*time.Second
		})
		g.Handle(g.now, Arrival{ID: 1, EstimatedWork: time.Second, Remaining: time.Minute})
		acts := g.Handle(g.now, ResponseOverdue{ID: 1})
		if called := len(acts) > 0 && acts[0] == (Cancel{ID: 1}); called != (ration > 0) {
			t.Errorf("ration %v: %v", ration, acts)
		}
		g.Handle(g.now, ResponseOverdue{ID: 1, Attempt: 3})
		g.Handle(g.now, ResponseOverdue{ID: 7})
	}
}
