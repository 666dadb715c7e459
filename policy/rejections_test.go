package policy

import (
	"testing"
	"time"
)

// Checks that an engine that rejects one class although it has capacity is rate-limited only for this class, while a
// full engine gets a backoff for all classes. Three of five engines admitted one class at only 11 queries per second;
// when each rejection caused a backoff, there were 391 failures in 5 s for a retry budget of 190.
func TestRejectionWithCapacityLimitsOnlyItsClass(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.loadReported = true
	e, admitted, rejected := g.engines[0], 0, 0
	limited, other := newTestRequest(g, 1, g.now+time.Second), newTestRequest(g, 2, g.now+time.Second)
	other.class, other.Class = g.classes[1], 1
	from, tokens, refilledAt := g.now, 1.0, g.now
	for ; g.now < from+20*time.Second; g.now += 10 * time.Millisecond {
		// The engine admits 8 queries per second (token bucket).
		tokens, refilledAt = min(2, tokens+8*(g.now-refilledAt).Seconds()), g.now
		if e.reportedAt, e.reportedPeerThreads = g.now, 0; !g.accepts(limited, e) {
			continue
		}
		r := newTestRequest(g, 1, g.now+time.Second)
		g.send(r, e)
		a, outcome := r.attempts[0], OK
		if tokens < 1 {
			outcome = Rejected
			rejected++
		} else {
			tokens--
			admitted++
		}
		g.releaseAttempt(a)
		g.recordOutcome(a, AttemptEnded{Outcome: outcome, Duration: 10 * time.Millisecond})
		if !g.accepts(other, e) {
			t.Fatal("another class is limited, too")
		}
	}
	if admitted < 80 || rejected > admitted/4 {
		t.Errorf("%d of 160 queries admitted, want at least 80; %d rejected, want at most a quarter of the admitted",
			admitted, rejected)
	}
	// Queries that the engine admits after the limit has expired remove the limit.
	for g.now += rateLimitExpiry + time.Second; admitted > 0; admitted -= 40 {
		r := newTestRequest(g, 1, g.now+time.Second)
		g.send(r, e)
		g.releaseAttempt(r.attempts[0])
		g.recordOutcome(r.attempts[0], AttemptEnded{Outcome: OK, Duration: 10 * time.Millisecond})
	}
	if e.classRateLimits[0].perSecond != 0 || !g.accepts(limited, e) {
		t.Errorf("still limited to %v queries per second", e.classRateLimits[0].perSecond)
	}
	g.setPeerThreads(e, 10*g.concurrencyTarget(e))
	a := addInFlight(g, e, 1, g.now)
	g.releaseAttempt(a)
	if g.recordOutcome(a, AttemptEnded{Outcome: Rejected}); g.now >= e.rejectingUntil || g.accepts(other, e) {
		t.Error("no backoff after a rejection by a full engine")
	}
}
