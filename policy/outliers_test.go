package policy

import (
	"testing"
	"time"
)

// One attempt in six was reset at random on most engines, and every engine was ejected for it.
func TestOccasionalFailuresDoNotEject(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	e := g.engines[0]
	for i := range 60 {
		if i%6 == 0 {
			g.recordFailure(e, failureStep)
		} else {
			g.recordSuccess(e)
		}
		if e.ejected {
			t.Fatalf("shut after %d outcomes", i+1)
		}
	}
}

// An engine that cannot be reached is ejected after two attempts, one that fails all its queries after four.
func TestUnreachableAndFailingEnginesAreEjected(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	dead, failing := g.engines[0], g.engines[1]
	g.recordFailure(dead, 2*failureStep)
	g.recordFailure(dead, 2*failureStep)
	for range 4 {
		g.recordFailure(failing, failureStep)
	}
	if !dead.ejected || !failing.ejected {
		t.Fatal("an engine that only fails is still trusted")
	}
}

// Queries that no engine can execute ended with errors and got one engine after another ejected. An error counts
// against its engine only once another engine has served the query.
func TestErrorsCountOnlyAfterAnotherEngineSucceeds(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	bad, good := g.engines[0], g.engines[1]
	for i := range RequestID(12) {
		a := addInFlight(g, bad, 1, g.now+time.Second)
		a.request.ID = i + 1
		g.releaseAttempt(a)
		g.recordOutcome(a, AttemptEnded{Outcome: Error})
	}
	if bad.ejected || bad.failureScore > 0 {
		t.Fatal("shut out for queries that nobody served")
	}
	for i := range RequestID(4) {
		a := addInFlight(g, bad, 1, g.now+time.Second)
		a.request.ID = i + 21
		g.releaseAttempt(a)
		g.recordOutcome(a, AttemptEnded{Outcome: Error})
		again := &attempt{request: a.request, number: 1, engine: good, threads: 1, sentAt: g.now, expectedSeconds: 1}
		g.recordSend(again)
		g.releaseAttempt(again)
		g.recordOutcome(again, AttemptEnded{Outcome: OK, Duration: time.Second})
	}
	if !bad.ejected || good.ejected {
		t.Fatal("an engine that fails what another serves is still trusted")
	}
}

// A long query was taken for a hang of its engine. The response timeout follows the 99th percentile of its class, and
// one attempt beyond it is not enough.
func TestOneLongQueryDoesNotEject(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.MayProbe = false })
	e := g.engines[0]
	addInFlight(g, e, 1, g.now+time.Second)
	g.now += 4500 * time.Millisecond
	if g.checkHealth(e); e.ejected {
		t.Fatal("four expected times without an answer are taken for a hang")
	}
	g.now += 3 * time.Second
	if g.checkHealth(e); e.ejected {
		t.Fatal("one query beyond the longest usual time is proof enough")
	}
	addInFlight(g, e, 1, g.now+time.Second)
	g.now += 7 * time.Second
	if g.checkHealth(e); !e.ejected {
		t.Fatal("an engine that answers nothing to two queries is not shut out")
	}
}

// A gateway with little traffic takes seconds to detect a hanging engine. Where probes are permitted, one is sent well
// before that, and the engine is ejected if it fails.
func TestSilentEngineIsProbedBeforeEjection(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now+time.Second)
	g.now += 3 * time.Second
	g.actions = nil
	if g.checkHealth(e); len(g.actions) != 1 || g.actions[0] != (Probe{e.ID}) || e.ejected {
		t.Fatalf("actions %v, shut %v; one probe wanted", g.actions, e.ejected)
	}
	g.checkHealth(e)
	if len(g.actions) != 1 {
		t.Fatal("a second probe while the first is out")
	}
	if g.handleProbeEnded(ProbeEnded{Engine: e.ID, Outcome: OK}); e.ejected || e.halfOpenRemaining > 0 {
		t.Fatal("an engine that answers its probe lost its trust")
	}
	g.now += time.Second
	g.checkHealth(e)
	if g.handleProbeEnded(ProbeEnded{Engine: e.ID, Outcome: Timeout}); !e.ejected {
		t.Fatal("a suspect that fails its probe is still used")
	}
}

// A zone was cut off while its engines held one attempt of each of 80 gateways. Each attempt was cancelled at its
// request's deadline, which taught nothing, and one gateway sent seven queries in 15 s to an engine that never
// responded. A cancellation after a second of silence counts as a failure to reach the engine.
func TestCancelAtASilentEngineCountsAsUnreachable(t *testing.T) {
	for _, heard := range []bool{false, true} {
		g := newTestGateway(t, 2, func(s *Settings) { s.MayProbe = false })
		var first *engine
		for id := RequestID(1); id <= 2; id++ {
			g.Handle(g.now, Arrival{ID: id, EstimatedWork: 100 * time.Millisecond, Remaining: 1500 * time.Millisecond})
			r := g.requests[id]
			if r == nil || r.inFlight != 1 {
				t.Fatalf("request %d is not out", id)
			}
			if first == nil {
				first = r.attempts[0].engine
			} else if r.attempts[0].engine != first && !heard {
				t.Fatalf("the second query went elsewhere before anything was learned")
			}
			if heard { // another query there was answered meanwhile
				first.lastResponseAt = g.now + 300*time.Millisecond
			}
			g.Handle(g.now+1500*time.Millisecond, TimerFired{Token: reviewTimerToken})
			if !r.done {
				t.Fatalf("request %d is not answered at its end", id)
			}
			g.Handle(g.now+time.Second, AttemptEnded{ID: id, Engine: first.ID, Outcome: Cancelled})
		}
		if first.ejected == heard {
			t.Fatalf("engine heard from: %v, shut: %v", heard, first.ejected)
		}
	}
}

// A half-open engine was ejected again at once, for 15 s, for an attempt that it still had from before its ejection.
func TestAttemptsFromBeforeHalfOpenDoNotEjectAgain(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.MayProbe = false })
	e := g.engines[0]
	addInFlight(g, e, 1, g.now+time.Second)
	g.now += 20 * time.Second
	g.checkHealth(e)
	g.now = e.ejectedUntil
	if g.checkHealth(e); e.ejected || e.halfOpenRemaining == 0 {
		t.Fatal("not on trial after the pause")
	}
	g.now += 100 * time.Millisecond
	if g.checkHealth(e); e.ejected {
		t.Fatal("shut again for what it left unanswered before")
	}
	if g.unavailable(e) {
		t.Fatal("the old query takes the place of the one on trial")
	}
}

// A half-open engine gets one query at a time until it has answered halfOpenSuccesses of them.
func TestHalfOpenEngineGetsOneQueryAtATime(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	e := g.engines[0]
	g.enterHalfOpen(e)
	addInFlight(g, e, 1, g.now+time.Second)
	if !g.unavailable(e) {
		t.Fatal("a second query went to an engine on trial")
	}
	e.inFlight = nil
	for range halfOpenSuccesses {
		g.recordSuccess(e)
	}
	if e.halfOpenRemaining != 0 || g.unavailable(e) {
		t.Fatal("not trusted after its trial")
	}
}

// Once most of the fleet is ejected, ejections are ignored.
func TestPanicThresholdIgnoresEjections(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	g.eject(g.engines[0])
	if !g.unavailable(g.engines[0]) {
		t.Fatal("one shut engine of three is used")
	}
	g.eject(g.engines[1])
	if g.unavailable(g.engines[0]) || g.unavailable(g.engines[1]) {
		t.Fatal("two shut engines of three are still left out")
	}
}
