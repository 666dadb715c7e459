package policy

import (
	"testing"
	"time"
)

// notIdempotentClass is a class of testSettings that is not idempotent.
const notIdempotentClass = 2

// answerUnsafe ends an attempt of a query that is not idempotent.
func answerUnsafe(g *Gateway, e *engine, tableGroup int, outcome Outcome) {
	a := addInFlight(g, e, tableGroup, g.now+time.Second)
	a.request.class = g.classes[notIdempotentClass]
	g.releaseAttempt(a)
	g.recordOutcome(a, AttemptEnded{Outcome: outcome, Duration: 4 * time.Millisecond, Terminal: true})
}

// Checks that a client whose queries all fail does not eject the engine to which the affinity of its table group sends
// them, while all engines serve other table groups. The engine is not to blame, and ejecting it moves the faulty
// queries to the next one.
func TestFaultyQueriesOfOneTableGroupEjectNoEngine(t *testing.T) {
	const faultyGroup = 77
	g := newTestGateway(t, 4, nil)
	for i := range 200 {
		answerUnsafe(g, g.engines[0], faultyGroup, Error)
		for _, e := range g.engines {
			answerUnsafe(g, e, 1+i%5, OK)
		}
		if g.engines[0].ejected {
			t.Fatalf("ejected after %d faulty queries of one table group", i+1)
		}
		g.now += 20 * time.Millisecond
	}
}

// Checks that no engine is ejected if faulty queries of a table group fail on each engine that gets them, though one
// engine gets most of them.
func TestFaultyQueriesOnSeveralEnginesEjectNone(t *testing.T) {
	const faultyGroup = 77
	g := newTestGateway(t, 4, nil)
	for i := range 200 {
		answerUnsafe(g, g.engines[0], faultyGroup, Error)
		answerUnsafe(g, g.engines[0], 1, OK)
		if i%4 == 0 {
			answerUnsafe(g, g.engines[1+i/4%3], faultyGroup, Error)
		}
		for _, e := range g.engines[1:] {
			answerUnsafe(g, e, 1+i%5, OK)
		}
		for _, e := range g.engines {
			if e.ejected {
				t.Fatalf("engine %d is ejected after %d faulty queries", e.ID, i+1)
			}
		}
		g.now += 20 * time.Millisecond
	}
}

// Checks that an engine is not judged by fewer than minComparedAnswers answers, even if all of them are errors.
func TestEngineWithFewAnswersIsNotJudged(t *testing.T) {
	g := newTestGateway(t, 4, nil)
	for range 50 {
		for _, e := range g.engines[1:] {
			answerUnsafe(g, e, 1, OK)
		}
	}
	for range minComparedAnswers - 1 {
		answerUnsafe(g, g.engines[0], 1, Error)
	}
	if score := g.engines[0].failureScore; score != 0 {
		t.Errorf("failure score %v after %d answers, want 0", score, minComparedAnswers-1)
	}
}

// Checks that an engine that has recovered is not ejected for its old errors, and that single errors do not count then.
func TestOldErrorsAreForgotten(t *testing.T) {
	g := newTestGateway(t, 4, nil)
	serve := func(engines []*engine, outcome Outcome) {
		for _, e := range engines {
			answerUnsafe(g, e, 1, outcome)
		}
	}
	for !g.engines[0].ejected {
		serve(g.engines[:1], Error)
		serve(g.engines[1:], OK)
	}
	g.now += 4 * errorShareDecay
	g.enterHalfOpen(g.engines[0])
	for range 4 * minComparedAnswers {
		serve(g.engines, OK)
	}
	answerUnsafe(g, g.engines[0], 1, Error)
	if e := g.engines[0]; e.ejected || e.failureScore != 0 {
		t.Errorf("ejected: %v, failure score %v; want neither after one error", e.ejected, e.failureScore)
	}
}

// Checks that the counts of a table group stay bounded with more engines than maxGroupAnswerCounts.
func TestAnswerCountsOfTableGroupAreBounded(t *testing.T) {
	g := newTestGateway(t, 1100, nil)
	for _, e := range g.engines {
		answerUnsafe(g, e, 1, OK)
	}
	if n := len(g.tableGroup(1).answers); n != maxGroupAnswerCounts {
		t.Errorf("counts of %d engines, want %d", n, maxGroupAnswerCounts)
	}
}
