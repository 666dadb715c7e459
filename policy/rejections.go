package policy

import "time"

// Reactions to engines that reject queries.
const (
	// baseRejectionBackoff is how long an engine that rejected a query for lack of capacity gets no more. It doubles
	// with each further rejection up to maxRejectionBackoff, which is as long as a load report counts.
	baseRejectionBackoff = 100 * time.Millisecond
	maxRejectionBackoff  = 3 * time.Second

	// rejectedLoadFactor is the load, in multiples of its target, that an engine is assumed to have if it rejects.
	rejectedLoadFactor = 2.0
)

// Adaptive rate limit of one class at an engine that rejects the class although it has capacity. It increases and
// decreases multiplicatively; with these factors it settles where about seven of eight queries are admitted.
const (
	initialRate  = 16.0  // queries per second, before the first decrease
	minRate      = 1.0   // queries per second; above 0, so that the end of the rejections is noticed
	maxRate      = 100.0 // queries per second above which the limit is removed
	rateIncrease = 1.1   // factor after an admitted query
	rateDecrease = 0.5   // factor after a rejected query

	// rateLimitExpiry is after how long without a rejection the limit is removed.
	rateLimitExpiry = 10 * time.Second
)

// recordRejection reacts to an engine that rejected an attempt. An engine that is probably full gets nothing for a
// backoff. An engine that has capacity limits only this class, which is then sent at an adaptive rate: a backoff for
// all classes would use up the retry budget with the attempts that the engine rejects.
func (g *Gateway) recordRejection(a *attempt) {
	e := a.engine
	if !g.loadReported || g.peerThreads(e)+e.ownThreads >= rejectedLoadFactor*g.concurrencyTarget(e) {
		e.rejectionBackoff = min(max(baseRejectionBackoff, 2*e.rejectionBackoff), maxRejectionBackoff)
		e.rejectingUntil = g.now + e.rejectionBackoff
		g.setPeerThreads(e, rejectedLoadFactor*g.concurrencyTarget(e))
		return
	}
	e.classRates[a.request.Class].decrease(g.now, a.sentAt)
}

// recordAdmission reacts to an engine that admitted an attempt.
func (g *Gateway) recordAdmission(a *attempt) {
	a.engine.classRates[a.request.Class].increase(g.now, a.sentAt)
}

// delayNextOfClass delays the next attempt of the same class at the engine, if the class is limited there.
func (g *Gateway) delayNextOfClass(a *attempt) {
	if limit := &a.engine.classRates[a.request.Class]; limit.perSecond > 0 {
		limit.nextSendAt = g.now + toDuration(1/limit.perSecond)
	}
}

// decrease lowers the rate after the rejection of an attempt, unless the attempt was sent before the last decrease.
func (l *rateLimit) decrease(now, sentAt time.Duration) {
	if sentAt < l.decreasedAt {
		return
	}
	if l.perSecond == 0 || now-l.decreasedAt > rateLimitExpiry {
		l.perSecond = initialRate
	}
	l.perSecond, l.decreasedAt = max(minRate, l.perSecond*rateDecrease), now
	l.nextSendAt = now + toDuration(1/l.perSecond)
}

// increase raises the rate after the admission of an attempt, unless the attempt was sent before the last decrease. It
// removes a limit that is high or old enough.
func (l *rateLimit) increase(now, sentAt time.Duration) {
	if sentAt >= l.decreasedAt {
		l.perSecond *= rateIncrease
	}
	if l.perSecond > maxRate || now-l.decreasedAt > rateLimitExpiry {
		*l = rateLimit{}
	}
}
