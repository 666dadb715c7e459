package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// setRetryBudget sets a retry budget over 5 s.
func setRetryBudget(s *Settings, freeRetries, share float64) {
	s.Rules.RetryBudget, s.Rules.RetryBudgetSpan = true, 5*time.Second
	s.Rules.MinRetries, s.Rules.RetryShare = freeRetries, share
}

// On a day with many resets, short queries used up the retry budget, and queries of higher weight waited for it until
// they were late. A share of it is reserved for them, a query of low weight is rejected at once if there is none for
// it, and a resend counts.
func TestRetryBudgetKeepsAShareForHigherWeights(t *testing.T) {
	g := newTestGateway(t, 3, func(s *Settings) {
		s.Classes[0].Weight, s.Classes[0].Idempotency = 1, Idempotent
		s.Classes[1].Weight, s.Classes[1].Idempotency = 10, Idempotent
		setRetryBudget(s, 5, 0)
	})
	id := RequestID(0)
	failFirstAttempt := func(class int) []Action { // of a new request
		id++
		g.Handle(g.now, Arrival{ID: id, Class: class, TableGroup: int(id), EstimatedWork: time.Millisecond,
			Remaining: 10 * time.Second})
		a := g.requests[id].attempts[0]
		return g.Handle(g.now, AttemptEnded{ID: id, Engine: a.engine.ID, Outcome: Error})
	}
	for range 2 {
		if actions := failFirstAttempt(0); len(g.requests[id].attempts) != 2 {
			t.Fatalf("not retried within the budget: %v", actions)
		}
	}
	a := g.requests[id].attempts[1]
	for range 2 {
		if !g.ReserveResend(g.now, id, 1) {
			t.Fatal("not resent within the budget")
		}
	}
	if g.ReserveResend(g.now, id, 1) || a.request.resends != 2 {
		t.Fatal("resent beyond the budget for its weight")
	}
	if actions := failFirstAttempt(0); len(actions) != 1 || actions[0] != (Reject{id, budgetRetryAfter}) {
		t.Fatalf("actions %v, want an immediate rejection", actions)
	}
	if actions := failFirstAttempt(1); len(g.requests[id].attempts) != 2 {
		t.Fatalf("no retry for a higher weight: %v", actions)
	}
	failFirstAttempt(1)
	if r := g.requests[id]; len(r.attempts) != 1 || !r.queued {
		t.Fatal("retried beyond the budget")
	}
}

// Clients that cancelled their requests at once, by the hundred, enlarged the retry budget: 9 retries within 5 s, where
// the 41 requests of others allowed 8. A cancelled request adds nothing.
func TestCancelledRequestsAddNothingToTheRetryBudget(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) {
		setRetryBudget(s, 0, 0.1)
	})
	arrive := func(id RequestID) {
		g.Handle(g.now, Arrival{ID: id, EstimatedWork: time.Second, Remaining: time.Minute})
	}
	attemptsAfterFailure := func(id RequestID) int { // of a new request whose first attempt fails
		arrive(id)
		r := g.requests[id]
		g.Handle(g.now, AttemptEnded{ID: id, Engine: r.attempts[0].engine.ID, Outcome: Error})
		return len(r.attempts)
	}
	for id := range RequestID(200) {
		g.now += time.Millisecond
		arrive(id + 1)
		g.Handle(g.now+time.Millisecond, ClientGone{ID: id + 1})
		g.Handle(g.now+time.Millisecond, ClientGone{ID: id + 1})
	}
	for _, e := range g.engines { // the cancelled attempts end at their engines too
		for _, a := range slices.Clone(e.inFlight) {
			g.Handle(g.now, AttemptEnded{ID: a.request.ID, Attempt: a.number, Engine: e.ID, Outcome: Cancelled})
		}
	}
	if n := attemptsAfterFailure(1000); n != 1 || len(g.requests) != 0 {
		t.Fatalf("%d attempts beside cancelled requests only, want 1; %d requests known, want 0", n, len(g.requests))
	}
	for id := range RequestID(20) {
		arrive(2000 + id)
		e := g.requests[2000+id].attempts[0].engine.ID
		g.Handle(g.now, AttemptEnded{ID: 2000 + id, Engine: e, Outcome: OK, Duration: time.Second, Terminal: true})
	}
	if n := attemptsAfterFailure(3000); n != 2 {
		t.Fatalf("%d attempts beside 20 completed requests, want 2", n)
	}
}

// Responses withheld by engines were waited for until the kill threshold. The attempt is cancelled as soon as the
// response is known to be overdue, if time and budget for a retry are left.
func TestOverdueResponseIsRetriedElsewhere(t *testing.T) {
	for _, freeRetries := range []float64{5, 0} {
		t.Run(fmt.Sprintf("free retries=%v", freeRetries), func(t *testing.T) {
			g := newTestGateway(t, 2, func(s *Settings) {
				setRetryBudget(s, freeRetries, 0)
			})
			g.Handle(g.now, Arrival{ID: 1, EstimatedWork: time.Second, Remaining: time.Minute})
			actions := g.Handle(g.now, ResponseOverdue{ID: 1})
			cancelled := len(actions) > 0 && actions[0] == (Cancel{ID: 1})
			if cancelled != (freeRetries > 0) {
				t.Errorf("actions %v", actions)
			}
			g.Handle(g.now, ResponseOverdue{ID: 1, Attempt: 3})
			g.Handle(g.now, ResponseOverdue{ID: 7})
		})
	}
}
