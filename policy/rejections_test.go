package policy

import (
	"testing"
	"time"
)

// Three engines of five had capacity but admitted one class at only 11 queries per second. Each rejection stopped all
// sends to the engine, and 391 failures in 5 s met a retry budget of 190. Now only that class is sent at an adaptive
// rate; a full engine gets nothing for a backoff, as before.
func TestRejectingEngineWithCapacityIsRateLimitedPerClass(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.loadReported = true
	e, answered, away := g.engines[0], 0, 0
	a0, other := newTestRequest(g, 1, g.now+time.Second), newTestRequest(g, 2, g.now+time.Second)
	other.class, other.Class = g.classes[1], 1
	from, token, last := g.now, 1.0, g.now
	for ; g.now < from+20*time.Second; g.now += 10 * time.Millisecond {
		token, last = min(2, token+8*(g.now-last).Seconds()), g.now // the engine lets 8 a second in
		if e.reportedAt, e.reportedPeerThreads = g.now, 0; !g.accepts(a0, e) {
			continue
		}
		r := newTestRequest(g, 1, g.now+time.Second)
		g.send(r, e)
		a, o := r.attempts[0], OK
		if token < 1 {
			o = Rejected
			away++
		} else {
			token--
			answered++
		}
		g.releaseAttempt(a)
		g.recordOutcome(a, AttemptEnded{Outcome: o, Duration: 10 * time.Millisecond})
		if !g.accepts(other, e) {
			t.Fatal("another class has no room where only one is turned away")
		}
	}
	if answered < 80 || away > answered/4 {
		t.Errorf("%d of 160 let in, %d turned away", answered, away)
	}
	for g.now += rateLimitExpiry + time.Second; answered > 0; answered -= 40 { // it is over: the rate is forgotten
		r := newTestRequest(g, 1, g.now+time.Second)
		g.send(r, e)
		g.releaseAttempt(r.attempts[0])
		g.recordOutcome(r.attempts[0], AttemptEnded{Outcome: OK, Duration: 10 * time.Millisecond})
	}
	if e.classRates[0].perSecond != 0 || !g.accepts(a0, e) {
		t.Errorf("still sent at %v a second", e.classRates[0].perSecond)
	}
	g.setPeerThreads(e, 10*g.concurrencyTarget(e))
	a := addInFlight(g, e, 1, g.now)
	g.releaseAttempt(a)
	if g.recordOutcome(a, AttemptEnded{Outcome: Rejected}); g.now >= e.rejectingUntil || g.accepts(other, e) {
		t.Error("a full engine does not rest")
	}
}
