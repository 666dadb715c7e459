package policy

import (
	"fmt"
	"time"
)

// Outlier detection. An engine is ejected by failures (as Envoy's consecutive failures, with a decaying score) or by
// silence. An ejected engine is probed, or after its ejection time becomes half-open: one query at a time until it has
// succeeded halfOpenSuccesses times.
const (
	// failureStep is the weight of one outcome in an engine's failure score.
	failureStep = 0.2

	// unreachableStep is the weight of an attempt that did not reach its engine.
	unreachableStep = 2 * failureStep

	// ejectionThreshold is the failure score that ejects: two attempts in a row that did not reach the engine, or four
	// other failures.
	ejectionThreshold = 0.5

	// baseEjectionTime is the duration of the first ejection. It doubles with each further one, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second

	// halfOpenSuccesses is how many answers in a row end the half-open state.
	halfOpenSuccesses = 3

	// panicThreshold is the share of ready engines ejected above which ejections are ignored.
	panicThreshold = 0.5

	// responseTimeoutMultiple is after how many times the 99th percentile of its duration an attempt without any
	// response from its engine counts as evidence of a hang, and minResponseTimeout the least such time.
	responseTimeoutMultiple = 1.5
	minResponseTimeout      = time.Second

	// silenceEjectionScore is the sum of such evidence, in response timeouts over all attempts, that ejects.
	silenceEjectionScore = 3.0

	// probeThreshold is the share of the response timeout after which a silent engine is probed.
	probeThreshold = 0.4

	// probeInterval is the least time between two such probes of an engine.
	probeInterval = time.Second
)

// recordSuccess lowers the failure score of an engine and counts a success in the half-open state.
func (g *Gateway) recordSuccess(e *engine) {
	e.failureScore *= 1 - failureStep
	if e.halfOpenRemaining == 0 {
		return
	}
	e.halfOpenRemaining--
	if e.halfOpenRemaining == 0 {
		e.ejectionTime = 0
		g.emit(Log{fmt.Sprintf("engine %x is trusted again", uint64(e.ID))})
	}
}

// recordFailure raises the failure score of an engine and ejects it at the threshold, or at once if it is half-open. A
// few failures among successes do not eject: while other engines are full, an engine that fails some of its queries is
// better than none.
func (g *Gateway) recordFailure(e *engine, step float64) {
	e.failureScore += step * (1 - e.failureScore)
	if e.failureScore >= ejectionThreshold || e.halfOpenRemaining > 0 {
		g.eject(e)
	}
}

// recordConfirmedErrors is called when a request has succeeded. The errors of its earlier attempts then count against
// their engines. Until another engine has served the query, an error may be the query's own fault; otherwise clients
// with invalid queries would get one engine after another ejected.
func (g *Gateway) recordConfirmedErrors(r *request) {
	for _, a := range r.attempts {
		if a.unconfirmedError {
			a.unconfirmedError = false
			g.recordFailure(a.engine, failureStep)
		}
	}
}

// eject takes an engine out of service. If probes are permitted, the first is sent at the next review; otherwise the
// engine becomes half-open after its ejection time.
func (g *Gateway) eject(e *engine) {
	if e.ejected {
		return
	}
	e.ejected = true
	e.ejectedUntil = g.now + e.ejectionTime // the previous time, 0 at first: the first probe is not delayed
	e.ejectionTime = min(max(baseEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	if !g.settings.MayProbe {
		e.ejectedUntil = g.now + e.ejectionTime
	}
	g.emit(Log{fmt.Sprintf("engine %x is shut out for %v", uint64(e.ID), e.ejectedUntil-g.now)})
}

// ejectAndCancel ejects an engine that does not respond and cancels the attempts there that can be retried elsewhere.
func (g *Gateway) ejectAndCancel(e *engine) {
	g.eject(e)
	for _, a := range e.inFlight {
		if g.retryAllowed(a.request) {
			g.cancelAttempts(a)
		}
	}
}

// enterHalfOpen ends an ejection on trial. Attempts from before are ignored from now on, for one long query among them
// would keep the engine ejected for as long as it runs.
func (g *Gateway) enterHalfOpen(e *engine) {
	e.ejected, e.halfOpenRemaining, e.failureScore, e.halfOpenSince = false, halfOpenSuccesses, 0, g.now
}

// checkHealth ends an ejection whose time is over, and probes or ejects an engine that does not respond.
func (g *Gateway) checkHealth(e *engine) {
	g.checkEjection(e)
	score, suspect := g.silenceScore(e)
	if e.ejected || !suspect {
		return
	}
	if g.settings.MayProbe && !e.probeInFlight && g.now >= e.nextProbeAt {
		g.sendProbe(e)
	}
	if score >= silenceEjectionScore {
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

// handleProbeEnded ejects an engine whose probe failed. If the probe of an ejected engine succeeded, the engine becomes
// half-open.
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

// silenceScore measures how long the attempts at an engine have been waiting since its last response. The score is the
// sum, over the attempts that exceed their response timeout, of waiting time over that timeout; suspect reports whether
// one of them exceeds probeThreshold. The sum keeps a gateway with one attempt there from taking a long query for a
// hang at once; hundreds of gateways that do so would move the load to the other engines. The price is that a query at
// an engine that does hang is cancelled later.
func (g *Gateway) silenceScore(e *engine) (score float64, suspect bool) {
	for _, a := range e.inFlight {
		if a.sentAt < e.halfOpenSince {
			continue
		}
		waited := g.now - max(a.sentAt, e.lastResponseAt)
		ratio := waited.Seconds() / responseTimeout(a)
		if ratio > 1 {
			score += ratio
		}
		suspect = suspect || ratio > probeThreshold
	}
	return score, suspect
}

// responseTimeout is the number of seconds after which an attempt without any response from its engine is taken for
// evidence of a hang.
func responseTimeout(a *attempt) float64 {
	return max(minResponseTimeout.Seconds(), responseTimeoutMultiple*a.request.class.tailRatio*a.expectedSeconds)
}

// unavailable reports whether an engine must not be used for its health: it is ejected, or half-open and busy with its
// one query. Above the panic threshold ejections are ignored, as a fault of the network or of this gateway is more
// likely than one of most engines.
func (g *Gateway) unavailable(e *engine) bool {
	if !e.ejected && (e.halfOpenRemaining == 0 || !busySinceHalfOpen(e)) {
		return false
	}
	ejected := filter(g.readyEngines, func(other *engine) bool { return other.ejected })
	return float64(len(ejected)) <= panicThreshold*float64(len(g.readyEngines))
}

// busySinceHalfOpen reports whether an attempt sent since the engine became half-open is in flight.
func busySinceHalfOpen(e *engine) bool {
	last := len(e.inFlight) - 1
	return last >= 0 && e.inFlight[last].sentAt >= e.halfOpenSince
}
