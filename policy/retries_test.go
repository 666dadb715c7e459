package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// setRetryBudget sets a retry budget with a span of 5 s.
func setRetryBudget(s *Settings, minRetries, share float64) {
	s.Rules.RetryBudget, s.Rules.RetryBudgetSpan = true, 5*time.Second
	s.Rules.MinRetries, s.Rules.RetryShare = minRetries, share
}

// Checks that a share of the retry budget is reserved for queries of high weight, that a query of low weight is
// rejected immediately if there is no budget for it, and that resends are charged to the budget. With many connection
// resets, short queries used up the budget, and queries of higher weight waited for it until they missed their
// objective.
func TestRetryBudgetReservesShareForHighWeight(t *testing.T) {
	g := newTestGateway(t, 3, func(s *Settings) {
		s.Classes[0].Weight, s.Classes[0].Idempotency = 1, Idempotent
		s.Classes[1].Weight, s.Classes[1].Idempotency = 10, Idempotent
		setRetryBudget(s, 5, 0)
	})
	id := RequestID(0)
	// failFirstAttempt submits a request and fails its first attempt.
	failFirstAttempt := func(class int) []Action {
		id++
		g.Handle(g.now, Arrival{ID: id, Class: class, TableGroup: int(id), EstimatedWork: time.Millisecond,
			Remaining: 10 * time.Second})
		a := g.requests[id].attempts[0]
		return g.Handle(g.now, AttemptEnded{ID: id, Engine: a.engine.ID, Outcome: Error})
	}
	for range 2 {
		if actions := failFirstAttempt(0); len(g.requests[id].attempts) != 2 {
			t.Fatalf("not retried within the retry budget: actions %v", actions)
		}
	}
	a := g.requests[id].attempts[1]
	for range 2 {
		if !g.ReserveResend(g.now, id, 1) {
			t.Fatal("not resent within the retry budget")
		}
	}
	if g.ReserveResend(g.now, id, 1) || a.request.resends != 2 {
		t.Fatal("resent beyond the share of the retry budget for its weight")
	}
	if actions := failFirstAttempt(0); len(actions) != 1 || actions[0] != (Reject{id, budgetRetryAfter}) {
		t.Fatalf("actions %v, want an immediate rejection", actions)
	}
	if actions := failFirstAttempt(1); len(g.requests[id].attempts) != 2 {
		t.Fatalf("no retry for a request of higher weight: actions %v", actions)
	}
	failFirstAttempt(1)
	if r := g.requests[id]; len(r.attempts) != 1 || !r.queued {
		t.Fatal("retried beyond the retry budget")
	}
}

// Checks that requests cancelled by their clients do not increase the retry budget. Clients that cancelled requests by
// the hundred caused 9 retries within 5 s, although the 41 requests of other clients allowed only 8.
func TestCancelledRequestsDoNotGrowRetryBudget(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) {
		setRetryBudget(s, 0, 0.1)
	})
	arrive := func(id RequestID) {
		g.Handle(g.now, Arrival{ID: id, EstimatedWork: time.Second, Remaining: time.Minute})
	}
	// attemptsAfterFailure submits a request, fails its first attempt, and returns the number of its attempts.
	attemptsAfterFailure := func(id RequestID) int {
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
	for _, e := range g.engines { // the cancelled attempts end as well
		for _, a := range slices.Clone(e.inFlight) {
			g.Handle(g.now, AttemptEnded{ID: a.request.ID, Attempt: a.number, Engine: e.ID, Outcome: Cancelled})
		}
	}
	if n := attemptsAfterFailure(1000); n != 1 || len(g.requests) != 0 {
		t.Fatalf("%d attempts after only cancelled requests, want 1; %d requests in the state, want 0", n, len(g.requests))
	}
	for id := range RequestID(20) {
		arrive(2000 + id)
		e := g.requests[2000+id].attempts[0].engine.ID
		g.Handle(g.now, AttemptEnded{ID: 2000 + id, Engine: e, Outcome: OK, Duration: time.Second, Terminal: true})
	}
	if n := attemptsAfterFailure(3000); n != 2 {
		t.Fatalf("%d attempts after 20 completed requests, want 2", n)
	}
}

// Checks that an attempt with an overdue response is cancelled if there is time and retry budget for a retry. Otherwise
// the request would wait until the attempt exceeds the limit for runaway queries.
func TestResponseOverdueCancelsWithinRetryBudget(t *testing.T) {
	for _, minRetries := range []float64{5, 0} {
		t.Run(fmt.Sprintf("min retries=%v", minRetries), func(t *testing.T) {
			g := newTestGateway(t, 2, func(s *Settings) {
				setRetryBudget(s, minRetries, 0)
			})
			g.Handle(g.now, Arrival{ID: 1, EstimatedWork: time.Second, Remaining: time.Minute})
			actions := g.Handle(g.now, ResponseOverdue{ID: 1})
			cancelled := len(actions) > 0 && actions[0] == (Cancel{ID: 1})
			if cancelled != (minRetries > 0) {
				t.Errorf("cancelled: %v, want %v; actions %v", cancelled, minRetries > 0, actions)
			}
			g.Handle(g.now, ResponseOverdue{ID: 1, Attempt: 3})
			g.Handle(g.now, ResponseOverdue{ID: 7})
		})
	}
}
