package policy

import (
	"fmt"
	"time"
)

// Outlier detection. An engine is ejected for failed attempts (like Envoy's consecutive failures, but with a decaying
// score) or because it does not respond. If probes are permitted, an ejected engine is probed until a probe succeeds.
// Then, or without probes after its ejection time, it becomes half-open: it gets one query at a time until
// halfOpenSuccesses queries have succeeded.
const (
	// failureStep is the weight of one outcome in the failure score of an engine.
	failureStep = 0.2

	// unreachableStep is the weight of an attempt that did not reach its engine.
	unreachableStep = 2 * failureStep

	// ejectionThreshold is the failure score at which an engine is ejected. Two consecutive attempts that did not reach
	// the engine, or four consecutive other failures, exceed it.
	ejectionThreshold = 0.5

	// baseEjectionTime is the duration of the first ejection. It doubles with each further ejection up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second

	// halfOpenSuccesses is the number of consecutive successes that end the half-open state.
	halfOpenSuccesses = 3

	// panicThreshold is the share of ejected engines among the ready ones above which ejections are ignored.
	panicThreshold = 0.5

	// responseTimeoutMultiple is the response timeout of an attempt, in multiples of the 99th percentile of its duration.
	// An engine that sends no response to any request for longer than this probably hangs. minResponseTimeout is the
	// lower bound of the response timeout.
	responseTimeoutMultiple = 1.5
	minResponseTimeout      = time.Second

	// hangEjectionScore is the value of Gateway.hangScore at which an engine is ejected.
	hangEjectionScore = 3.0

	// probeThreshold is the share of the response timeout after which an engine without a response is probed.
	probeThreshold = 0.4

	// probeInterval is the minimum time between two probes of an engine that is not ejected.
	probeInterval = time.Second
)

// recordSuccess lowers the failure score of an engine. In the half-open state it also counts the success.
func (g *Gateway) recordSuccess(e *engine) {
	e.failureScore *= 1 - failureStep
	if e.halfOpenRemaining == 0 {
		return
	}
	e.halfOpenRemaining--
	if e.halfOpenRemaining == 0 {
		e.ejectionTime = 0
		g.emit(Log{fmt.Sprintf("engine %x recovered and is no longer half-open", uint64(e.ID))})
	}
}

// recordFailure raises the failure score of an engine and ejects the engine at the threshold, or immediately if it is
// half-open. Occasional failures do not eject an engine: while the other engines are full, one that fails some of its
// queries is still useful.
func (g *Gateway) recordFailure(e *engine, step float64) {
	e.failureScore += step * (1 - e.failureScore)
	if e.failureScore >= ejectionThreshold || e.halfOpenRemaining > 0 {
		g.eject(e)
	}
}

// recordConfirmedErrors counts the errors of earlier attempts against their engines once a request has succeeded.
// Before that, an error may be caused by the query itself. If such errors counted, clients with invalid queries would
// cause the ejection of one engine after another.
func (g *Gateway) recordConfirmedErrors(r *request) {
	for _, a := range r.attempts {
		if a.unconfirmedError {
			a.unconfirmedError = false
			g.recordFailure(a.engine, failureStep)
		}
	}
}

// eject ejects an engine. If probes are permitted, the engine is probed after the duration of its previous ejection, or
// at the next review if this is its first one. Otherwise it becomes half-open after its ejection time.
func (g *Gateway) eject(e *engine) {
	if e.ejected {
		return
	}
	e.ejected = true
	e.ejectedUntil = g.now + e.ejectionTime // previous ejection time, 0 for the first ejection
	e.ejectionTime = min(max(baseEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	if !g.settings.MayProbe {
		e.ejectedUntil = g.now + e.ejectionTime
	}
	g.emit(Log{fmt.Sprintf("engine %x ejected, next probe or trial in %v", uint64(e.ID), e.ejectedUntil-g.now)})
}

// ejectAndCancel ejects an engine that does not respond and cancels its attempts that can be retried on another engine.
func (g *Gateway) ejectAndCancel(e *engine) {
	g.eject(e)
	for _, a := range e.inFlight {
		if g.retryAllowed(a.request) {
			g.cancelAttempts(a)
		}
	}
}

// enterHalfOpen moves an ejected engine to the half-open state. Hang detection ignores attempts sent before this,
// because one long query among them would cause the engine to be ejected again and again while it runs.
func (g *Gateway) enterHalfOpen(e *engine) {
	e.ejected, e.halfOpenRemaining, e.failureScore, e.halfOpenSince = false, halfOpenSuccesses, 0, g.now
}

// checkHealth checks whether an ejection is over, and probes or ejects an engine that does not respond.
func (g *Gateway) checkHealth(e *engine) {
	g.checkEjection(e)
	score, probeDue := g.hangScore(e)
	if e.ejected || !probeDue {
		return
	}
	if g.settings.MayProbe && !e.probeInFlight && g.now >= e.nextProbeAt {
		g.sendProbe(e)
	}
	if score >= hangEjectionScore {
		g.ejectAndCancel(e)
	}
}

// checkEjection probes an ejected engine whose ejection time is over. If probes are not permitted, the engine becomes
// half-open instead.
func (g *Gateway) checkEjection(e *engine) {
	switch {
	case !e.ejected || g.now < e.ejectedUntil:
	case !g.settings.MayProbe:
		g.enterHalfOpen(e)
	case !e.probeInFlight && e.Health == Ready:
		g.sendProbe(e)
	}
}

func (g *Gateway) sendProbe(e *engine) {
	e.probeInFlight, e.nextProbeAt = true, g.now+probeInterval
	g.emit(Probe{e.ID})
}

// handleProbeEnded ejects an engine whose probe failed. An ejected engine whose probe succeeded becomes half-open.
func (g *Gateway) handleProbeEnded(event ProbeEnded) {
	e := g.engineByID[event.Engine]
	if e == nil || !e.probeInFlight {
		return
	}
	wasEjected := e.ejected
	e.probeInFlight, e.ejected = false, false
	if event.Outcome != OK {
		g.ejectAndCancel(e)
		return
	}
	g.applyReport(e, event.Report)
	if wasEjected {
		g.enterHalfOpen(e)
	}
}

// hangScore estimates from the attempts in flight whether an engine hangs. An attempt's ratio is the time since the
// later of its start and the engine's last response, divided by its response timeout. The score is the sum of the
// ratios above 1. probeDue reports whether any ratio exceeds probeThreshold.
//
// One attempt alone reaches hangEjectionScore only after several response timeouts, so a gateway with one long query at
// an engine does not eject it at once. If hundreds of gateways did, their load would move to the other engines. As a
// consequence, queries at an engine that does hang are cancelled later.
func (g *Gateway) hangScore(e *engine) (score float64, probeDue bool) {
	for _, a := range e.inFlight {
		if a.sentAt < e.halfOpenSince {
			continue
		}
		waited := g.now - max(a.sentAt, e.lastResponseAt)
		ratio := waited.Seconds() / responseTimeout(a)
		if ratio > 1 {
			score += ratio
		}
		probeDue = probeDue || ratio > probeThreshold
	}
	return score, probeDue
}

// responseTimeout returns the response timeout of an attempt in seconds.
func responseTimeout(a *attempt) float64 {
	return max(minResponseTimeout.Seconds(), responseTimeoutMultiple*a.request.class.tailRatio*a.expectedSeconds)
}

// unavailable reports whether an engine must not be used because of its health: it is ejected, or it is half-open and
// has a query in flight. Above the panic threshold it always returns false, because then a fault of the network or of
// this gateway is more likely than faults of most engines.
func (g *Gateway) unavailable(e *engine) bool {
	if !e.ejected && (e.halfOpenRemaining == 0 || !busySinceHalfOpen(e)) {
		return false
	}
	ejected := filter(g.readyEngines, func(other *engine) bool { return other.ejected })
	return float64(len(ejected)) <= panicThreshold*float64(len(g.readyEngines))
}

// busySinceHalfOpen reports whether an attempt is in flight that was sent after the engine became half-open.
func busySinceHalfOpen(e *engine) bool {
	last := len(e.inFlight) - 1
	return last >= 0 && e.inFlight[last].sentAt >= e.halfOpenSince
}
