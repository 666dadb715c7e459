package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// runawayMultiple is the running time, in multiples of the expected duration, above which an attempt probably has a
	// bad query plan and is cancelled if a retry can still succeed.
	runawayMultiple = 4.0

	// minRunawayTime is the running time up to which no attempt is cancelled for a bad query plan, because durations of
	// short queries vary more.
	minRunawayTime = 800 * time.Millisecond

	// memoryGrantDeviations is the number of standard deviations, on a logarithmic scale, by which a memory grant
	// exceeds the mean memory use. If that logarithm is normally distributed, the grant suffices for six of seven
	// queries.
	memoryGrantDeviations = 1.05
)

// Priorities of SetResources, from lowest to highest.
const (
	priorityLate = iota // past the latency objective, or abandoned by the client
	priorityNormal
	priorityDataLoad   // data loads, which block other queries of their table group
	priorityHighWeight // weight per unit of work above the mean: mostly short queries
)

// send sends a request to an engine. All attempts are sent from here, so it checks all guards again; if one forbids the
// send, it puts the request back into the queue.
func (g *Gateway) send(r *request, e *engine) {
	if !g.engineAllowed(r, e) || !g.requestAllowed(r) {
		g.enqueue(r)
		return
	}
	resources := SetResources{ID: r.ID, GrantMB: g.memoryGrant(r, e), Priority: g.priority(r)}
	if g.settings.HonorsGrants || g.settings.HonorsPriority {
		g.emit(resources)
	}
	a := &attempt{request: r, number: len(r.attempts), engine: e, sentAt: g.now, threads: r.class.threads,
		grantMB: resources.GrantMB, expectedSeconds: g.expectedSeconds(r)}
	g.emit(Send{ID: r.ID, Engine: e.ID, Timeout: r.deadline - g.now})
	g.recordSend(a)
	g.delayNextSendOfClass(a)
	if g.warmingUp(e) {
		e.warmupWork.add(g.now, g.warmupCharge(r))
	}
	if slices.Contains(r.group.affinitySet, e) {
		r.group.lastUsed[e.ID] = g.now
		g.expandSet(r.group)
	}
}

// memoryGrant returns the memory in MB to request for a query: its estimate, corrected by the measured memory use of
// its class. 0 leaves the choice to the engine.
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

// priority returns the priority at which to send the request.
func (g *Gateway) priority(r *request) int {
	switch {
	case g.now > r.objectiveDeadline:
		return priorityLate
	case g.overcommitShare(r) > 0:
		return priorityHighWeight
	case r.class.IsDataLoad:
		return priorityDataLoad
	}
	return priorityNormal
}

// lowerPriority sets the lowest priority for the attempts in flight of a request that missed its objective or whose
// client is gone.
func (g *Gateway) lowerPriority(r *request) {
	if g.settings.HonorsPriority && r.inFlight > 0 {
		g.emit(SetResources{ID: r.ID, GrantMB: r.attempts[len(r.attempts)-1].grantMB, Priority: priorityLate})
	}
}

// handleAttemptEnded records the outcome of an attempt and finishes or retries its request.
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

// recordOutcome updates the concurrency window, the estimates, the engine's health and its rate limits with the outcome
// of an attempt.
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
		g.compareAnswer(a, false)
	case NoConnection:
		g.recordFailure(e, unreachableStep)
	case Error:
		a.unconfirmedError = true
		g.compareAnswer(a, true)
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

// handleResponseOverdue cancels an attempt whose response is overdue, if a retry can still succeed. This helps if the
// engine lost the response. If the engine only paused, the work done so far is lost.
func (g *Gateway) handleResponseOverdue(event ResponseOverdue) {
	a := g.findAttempt(event.ID, event.Attempt)
	if a != nil && !a.request.done && g.retryAllowed(a.request) {
		g.cancelAttempts(a)
	}
}

// reviewAttempts checks the attempts in flight of a request. It lowers their priority once the request has missed its
// latency objective, and cancels an attempt that exceeds its expected duration by far, which probably has a bad query
// plan, if a retry can still succeed.
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
		if elapsed > max(runawayMultiple*a.expectedSeconds, minRunawayTime.Seconds()) && g.retryAllowed(r) {
			g.cancelAttempts(a)
		}
	}
}

// cancelAttempts cancels attempts as far as the settings permit. If the engine has sent no response since the attempt
// started, more than minResponseTimeout ago, the attempt also counts as a failure to reach the engine. In a fleet of
// hundreds of gateways, each has only one attempt at a time at an engine and could not detect a network partition
// otherwise.
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
