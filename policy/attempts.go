package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// killMultiple is after how many expected durations an attempt is assumed to run a bad query plan and is cancelled,
	// if a retry can still help.
	killMultiple = 4.0

	// minKillTime is the least such time: durations of short queries scatter more.
	minKillTime = 800 * time.Millisecond

	// memoryGrantDeviations is how many standard deviations of the logarithm a memory grant lies above the mean need.
	// Six of seven needs are covered if they are normally distributed.
	memoryGrantDeviations = 1.05
)

// Priorities of SetResources, from lowest to highest.
const (
	priorityLate = iota // past the latency objective, or without a client
	priorityNormal
	priorityLoad     // loads, which block other queries of their table group
	priorityValuable // weight per work above the mean: short queries, mostly
)

// send is the only place from which an attempt is sent. It checks all guards once more, whatever selected the engine.
func (g *Gateway) send(r *request, e *engine) {
	if !g.engineAllowed(r, e) || !g.requestAllowed(r) {
		g.enqueue(r)
		return
	}
	terms := SetResources{ID: r.ID, GrantMB: g.memoryGrant(r, e), Priority: g.priority(r)}
	if g.settings.HonorsGrants || g.settings.HonorsPriority {
		g.emit(terms)
	}
	a := &attempt{request: r, number: len(r.attempts), engine: e, sentAt: g.now, threads: r.class.threads,
		grantMB: terms.GrantMB, expectedSeconds: g.expectedSeconds(r)}
	g.emit(Send{ID: r.ID, Engine: e.ID, Timeout: r.deadline - g.now})
	g.recordSend(a)
	g.delayNextOfClass(a)
	if g.warmingUp(e) {
		e.warmupWork.add(g.now, g.warmupCharge(r))
	}
	if slices.Contains(r.group.affinitySet, e) {
		r.group.lastUsed[e.ID] = g.now
		g.expandSet(r.group)
	}
}

// memoryGrant is the memory in MB to request for a query: its estimate, corrected by what queries of its class were
// measured to use. 0 leaves the choice to the engine.
func (g *Gateway) memoryGrant(r *request, e *engine) float64 {
	if !g.settings.HonorsGrants || r.EstimatedMemoryMB <= 0 {
		return 0
	}
	c := r.class
	mb := r.EstimatedMemoryMB * math.Exp(c.memoryLogRatio+memoryGrantDeviations*math.Sqrt(c.memoryLogVariance))
	if g.settings.MaxGrantShare > 0 && e.memoryMB > 0 {
		mb = min(mb, g.settings.MaxGrantShare*e.memoryMB)
	}
	return mb
}

// priority is the priority at which the request is sent.
func (g *Gateway) priority(r *request) int {
	switch {
	case g.now > r.objectiveDeadline:
		return priorityLate
	case g.overcommitShare(r) > 0:
		return priorityValuable
	case r.class.IsDataLoad:
		return priorityLoad
	}
	return priorityNormal
}

// lowerPriority gives the attempts in flight of a request the lowest priority: it missed its objective, or its client
// is gone.
func (g *Gateway) lowerPriority(r *request) {
	if g.settings.HonorsPriority && r.inFlight > 0 {
		g.emit(SetResources{ID: r.ID, GrantMB: r.attempts[len(r.attempts)-1].grantMB, Priority: priorityLate})
	}
}

// handleAttemptEnded records an outcome, updates the estimates, and finishes or retries the request.
func (g *Gateway) handleAttemptEnded(event AttemptEnded) {
	a := g.findAttempt(event.ID, event.Attempt)
	if a == nil || a.ended {
		return
	}
	r := a.request
	g.releaseAttempt(a)
	g.recordOutcome(a, event)
	if event.Outcome.NeverRan() && r.firstPossibleRun == a {
		r.firstPossibleRun = nil
	}
	g.pauseKey(r, event.Outcome)
	if event.Terminal || r.done {
		g.finishRequest(r)
	} else if r.inFlight == 0 {
		g.retryOrFinish(r)
	}
	g.dispatch()
}

// recordOutcome updates window, estimates, health and rates by the outcome of an attempt.
func (g *Gateway) recordOutcome(a *attempt, event AttemptEnded) {
	e := a.engine
	g.applyReport(e, event.Report)
	g.adjustWindow(a, event)
	switch event.Outcome {
	case OK:
		e.rejectionBackoff = 0
		g.recordAdmission(a)
		g.updateEstimates(a, event)
		g.recordSuccess(e)
		g.recordConfirmedErrors(a.request)
	case NoConnection:
		g.recordFailure(e, unreachableStep)
	case Error:
		a.unconfirmedError = true
	case Reset:
		g.recordFailure(e, failureStep)
	case Rejected:
		g.recordRejection(a)
	case Timeout, Cancelled:
		if e.lastResponseAt <= a.sentAt && !a.request.done {
			g.recordFailure(e, failureStep)
		}
	}
	if event.Outcome <= Rejected {
		e.lastResponseAt = g.now
	}
}

// handleResponseOverdue cancels an attempt whose response the engine withholds, if a retry can still help. That helps
// where an engine loses some of its responses; where it only paused, the work done so far is lost.
func (g *Gateway) handleResponseOverdue(event ResponseOverdue) {
	a := g.findAttempt(event.ID, event.Attempt)
	if a != nil && !a.request.done && g.retryAllowed(a.request) {
		g.cancelAttempts(a)
	}
}

// reviewAttempts checks the attempts in flight of a request. Past the latency objective their priority is lowered. An
// attempt far beyond its expected duration probably runs a bad query plan and is cancelled, if a retry can still help.
func (g *Gateway) reviewAttempts(r *request) {
	for _, a := range r.attempts {
		if a.ended || a.cancelled {
			continue
		}
		if g.now > r.objectiveDeadline && !a.deprioritized {
			a.deprioritized = true
			g.lowerPriority(r)
		}
		elapsed := (g.now - a.sentAt).Seconds()
		if elapsed > max(killMultiple*a.expectedSeconds, minKillTime.Seconds()) && g.retryAllowed(r) {
			g.cancelAttempts(a)
		}
	}
}

// cancelAttempts cancels attempts where that is permitted. If the engine has not responded at all for over
// minResponseTimeout, the attempt also counts as a failure to reach it: one of hundreds of gateways has a single
// attempt at a time at an engine that is cut off, and would never learn of it otherwise.
func (g *Gateway) cancelAttempts(attempts ...*attempt) {
	for _, a := range attempts {
		if !g.settings.MayCancel || a.ended || a.cancelled || a.request.streaming {
			continue
		}
		if a.engine.lastResponseAt <= a.sentAt && g.now-a.sentAt > minResponseTimeout {
			g.recordFailure(a.engine, unreachableStep)
		}
		a.cancelled = true
		g.emit(Cancel{a.request.ID, a.number})
	}
}
