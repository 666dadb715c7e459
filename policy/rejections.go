package policy

import "time"

// Backoff after rejections by an engine that is probably full.
const (
	// baseRejectionBackoff is the time for which nothing is sent to an engine that rejected a query for lack of
	// capacity. It doubles with each further rejection up to maxRejectionBackoff, which equals the decay time of a load
	// report.
	baseRejectionBackoff = 100 * time.Millisecond
	maxRejectionBackoff  = 3 * time.Second

	// rejectedLoadFactor is the load that is assumed for an engine that rejects for lack of capacity, in multiples of
	// its target.
	rejectedLoadFactor = 2.0
)

// Adaptive rate limit of one class at an engine that rejects the class although it has capacity. It increases and
// decreases multiplicatively. With these factors, the engine admits about seven of eight queries in equilibrium.
const (
	initialRate  = 16.0  // queries per second before the first decrease
	minRate      = 1.0   // queries per second; above 0 to detect when the engine stops rejecting
	maxRate      = 100.0 // queries per second; above it the limit is removed
	rateIncrease = 1.1   // factor after an admitted query
	rateDecrease = 0.5   // factor after a rejected query

	// rateLimitExpiry is the time without a decrease after which the limit is removed.
	rateLimitExpiry = 10 * time.Second
)

// recordRejection handles the rejection of an attempt. If the engine is probably full, nothing is sent to it for a
// backoff time. If it has capacity, it limits only this class, so only the rate of this class is reduced there. If
// each rejection caused a backoff for all classes instead, the rejected attempts would use up the retry budget.
func (g *Gateway) recordRejection(a *attempt) {
	e := a.engine
	if !g.loadReported || g.peerThreads(e)+e.ownThreads >= rejectedLoadFactor*g.concurrencyTarget(e) {
		e.rejectionBackoff = min(max(baseRejectionBackoff, 2*e.rejectionBackoff), maxRejectionBackoff)
		e.rejectingUntil = g.now + e.rejectionBackoff
		g.setPeerThreads(e, rejectedLoadFactor*g.concurrencyTarget(e))
		return
	}
	e.classRateLimits[a.request.Class].decrease(g.now, a.sentAt)
}

// recordAdmission raises the rate limit of a class at an engine that admitted an attempt.
func (g *Gateway) recordAdmission(a *attempt) {
	a.engine.classRateLimits[a.request.Class].increase(g.now, a.sentAt)
}

// delayNextSendOfClass sets the earliest time of the next attempt of the same class at the engine, if the class is
// rate-limited there.
func (g *Gateway) delayNextSendOfClass(a *attempt) {
	if limit := &a.engine.classRateLimits[a.request.Class]; limit.perSecond > 0 {
		limit.nextSendAt = g.now + toDuration(1/limit.perSecond)
	}
}

// decrease lowers the rate after a rejected attempt, unless the attempt was sent before the latest decrease.
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

// increase raises the rate after an admitted attempt, unless the attempt was sent before the latest decrease. It
// removes the limit above maxRate or after rateLimitExpiry without a decrease.
func (l *rateLimit) increase(now, sentAt time.Duration) {
	if sentAt >= l.decreasedAt {
		l.perSecond *= rateIncrease
	}
	if l.perSecond > maxRate || now-l.decreasedAt > rateLimitExpiry {
		*l = rateLimit{}
	}
}
