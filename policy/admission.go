package policy

import (
	"slices"
	"time"
)

const (
	// objectiveMargin is how many expected durations must be left until the latency objective. Requests with less are
	// likely to end late and would take capacity from those that do not.
	objectiveMargin = 1.4

	// maxBacklog is how much work per core of the fleet may be queued before late requests are shed.
	maxBacklog = time.Second

	// valuableOvercommit is the factor on concurrency limits for queries whose weight per work exceeds the mean.
	valuableOvercommit = 1.4
)

// handleArrival queues a request and dispatches the queue.
func (g *Gateway) handleArrival(a Arrival) {
	if g.requests[a.ID] != nil {
		return
	}
	g.countForBudget(&g.acceptedRequests)
	if a.Class < 0 || a.Class >= len(g.classes) {
		g.emit(Fail{a.ID})
		return
	}
	r := g.openRequest(a)
	if a.Remaining <= g.maxReviewDelay() {
		// The next review may come after the client's deadline. Client retries arrive with so little time left.
		g.finishUnserved(r)
		return
	}
	g.enqueue(r)
	g.dispatch()
}

// openRequest creates the state of a request.
func (g *Gateway) openRequest(a Arrival) *request {
	c := g.classes[a.Class]
	r := &request{Arrival: a, class: c, group: g.tableGroup(a.TableGroup), deadline: g.now + a.Remaining}
	objective := c.LatencyObjective + toDuration(c.ObjectivePerWork*g.expectedWork(r)/c.threads)
	r.objectiveDeadline = min(g.now+objective, r.deadline)
	g.requests[a.ID] = r
	g.openRequests = append(g.openRequests, r)
	if c.Ordered && a.OrderingKey != 0 {
		if g.keyQueues[a.OrderingKey] == nil {
			g.keyQueues[a.OrderingKey] = &keyQueue{}
		}
		g.keyQueues[a.OrderingKey].requests = append(g.keyQueues[a.OrderingKey].requests, r)
	}
	return r
}

// handleClientGone finishes a request whose client stopped waiting. Such a request adds nothing to the retry budget:
// clients that send and cancel requests by the hundred would otherwise enlarge it for everybody else.
func (g *Gateway) handleClientGone(event ClientGone) {
	r := g.requests[event.ID]
	if r == nil {
		return
	}
	if !r.done {
		g.acceptedRequests.subtractAt(r.deadline-r.Remaining, 1)
	}
	g.cancelAttempts(r.attempts...)
	g.lowerPriority(r)
	g.finishRequest(r)
}

// handleResponseStarted notes that a request is streaming: it is neither cancelled nor finished by this gateway.
func (g *Gateway) handleResponseStarted(event ResponseStarted) {
	if r := g.requests[event.ID]; r != nil {
		r.streaming = true
	}
}

// finishUnserved is the only place where a request gets its final answer from this gateway: Reject where that promise
// is true, otherwise Fail.
func (g *Gateway) finishUnserved(r *request) {
	g.cancelAttempts(r.attempts...)
	if g.mayReject(r) {
		g.emit(Reject{r.ID, g.settings.MaxRetryAfter})
	} else {
		g.emit(Fail{r.ID})
	}
	g.finishRequest(r)
}

// shouldShed reports whether a queued request is to be shed: it can no longer end before the client's deadline, or it
// will miss its latency objective while late answers have no weight or the queue is long. queuedWork is in seconds.
func (g *Gateway) shouldShed(r *request, queuedWork float64) bool {
	if !r.queued {
		return false
	}
	if g.now+toDuration(g.expectedSeconds(r)) > r.deadline {
		return true
	}
	overloaded := queuedWork > maxBacklog.Seconds()*g.readyCores
	return g.willMissObjective(r) && (r.class.LateWeightShare == 0 || overloaded)
}

// willMissObjective reports whether a request sent now is likely to end after its latency objective.
func (g *Gateway) willMissObjective(r *request) bool {
	return g.now+toDuration(objectiveMargin*g.expectedSeconds(r)) > r.objectiveDeadline
}

// eligible reports whether the request may be sent to the engine now, capacity aside: the guards allow it, the engine
// is neither ejected nor rejecting, and the request has not been there before. Two loads of one table group are never
// sent to the same engine, because the second would block there and keep its memory.
func (g *Gateway) eligible(r *request, e *engine) bool {
	sameLoad := func(a *attempt) bool { return a.request.class.IsDataLoad && a.request.group == r.group }
	return g.engineAllowed(r, e) && !g.unavailable(e) && !g.alreadyAttempted(r, e) &&
		g.now >= max(e.rejectingUntil, e.classRates[r.Class].nextSendAt) &&
		!(r.class.IsDataLoad && slices.ContainsFunc(e.inFlight, sameLoad))
}

// alreadyAttempted reports whether the request was sent to the engine before. A faulty engine must not consume all
// attempts of a request; the check does not apply if there is only one engine.
func (g *Gateway) alreadyAttempted(r *request, e *engine) bool {
	return len(g.engines) > 1 && slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.engine == e })
}

// hasCapacity reports whether the request's threads and memory grant fit into what the engine has left for this
// gateway. Until the first load report, an engine without own attempts counts as free: limits are only guesses then,
// and nothing would be learned without sending.
func (g *Gateway) hasCapacity(r *request, e *engine) bool {
	return e.ownThreads == 0 && !g.loadReported ||
		g.fitsInMemory(r, e) && e.ownThreads+r.class.threads <= g.concurrencyLimit(e, 1+g.overcommitShare(r))
}

// overcommitShare is the share by which the request may exceed concurrency limits: above 0 if its weight per work
// exceeds the mean over all requests.
func (g *Gateway) overcommitShare(r *request) float64 {
	if r.class.Weight*g.totalThreadSeconds() > g.expectedWork(r)*g.totalWeight() {
		return valuableOvercommit - 1
	}
	return 0
}
