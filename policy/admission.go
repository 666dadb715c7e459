package policy

import (
	"slices"
	"time"
)

const (
	// objectiveMargin is the time that must remain until a request's latency objective, in multiples of its expected
	// duration. A request with less is likely to finish late and would take capacity from requests that can finish in
	// time.
	objectiveMargin = 1.4

	// maxBacklog is the queued work per ready core above which requests that would miss their objective are shed.
	maxBacklog = time.Second

	// highWeightOvercommit multiplies the concurrency limits for queries whose weight per unit of work is above the mean.
	highWeightOvercommit = 1.4
)

// handleArrival queues a new request and dispatches the queue.
func (g *Gateway) handleArrival(a Arrival) {
	if g.requests[a.ID] != nil {
		return
	}
	g.countForRetryBudget(&g.acceptedRequests)
	if a.Class < 0 || a.Class >= len(g.classes) {
		g.emit(Fail{a.ID})
		return
	}
	r := g.openRequest(a)
	if a.Remaining <= g.maxReviewDelay() {
		// The client's deadline may pass before the next review. Client retries often have this little time left.
		g.rejectOrFail(r)
		return
	}
	g.enqueue(r)
	g.dispatch()
}

// openRequest creates the state of a new request and appends it to the queue of its ordering key, if it has one.
func (g *Gateway) openRequest(a Arrival) *request {
	c := g.classes[a.Class]
	r := &request{Arrival: a, class: c, group: g.useGroup(a.TableGroup), deadline: g.now + a.Remaining}
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

// handleClientGone finishes a request whose client stopped waiting, and takes the request out of the retry budget.
// Otherwise clients that cancel requests by the hundred would increase the number of retries that other requests may
// use.
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

// handleDeadlinePassed gives a request that has run out of time its final answer.
func (g *Gateway) handleDeadlinePassed(event DeadlinePassed) {
	r := g.requests[event.ID]
	if r != nil && !r.done && !r.streaming {
		g.rejectOrFail(r)
	}
}

// handleResponseStarted marks a request as streaming. This gateway neither cancels nor finishes a streaming request.
func (g *Gateway) handleResponseStarted(event ResponseStarted) {
	if r := g.requests[event.ID]; r != nil {
		r.streaming = true
	}
}

// rejectOrFail cancels the attempts of a request and gives it a final answer without a response from an engine: Reject
// if the client may safely repeat the request, otherwise Fail.
func (g *Gateway) rejectOrFail(r *request) {
	g.cancelAttempts(r.attempts...)
	if g.mayReject(r) {
		g.emit(Reject{r.ID, g.settings.MaxRetryAfter})
	} else {
		g.emit(Fail{r.ID})
	}
	g.finishRequest(r)
}

// shouldShed reports whether to shed a queued request: because it can no longer finish before the client's deadline, or
// because it will miss its latency objective and either a late answer has no value or the queue is too long. queuedWork
// is in seconds.
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

// willMissObjective reports whether a request sent now is likely to miss its latency objective.
func (g *Gateway) willMissObjective(r *request) bool {
	return g.now+toDuration(objectiveMargin*g.expectedSeconds(r)) > r.objectiveDeadline
}

// eligible reports whether the request may be sent to the engine now, without regard to capacity: the guards allow it,
// the engine is neither ejected nor rejecting, and the request has not been sent to it before. Two data loads of one
// table group never share an engine, because the second would block there while holding its memory grant.
func (g *Gateway) eligible(r *request, e *engine) bool {
	loadsSameGroup := func(a *attempt) bool { return a.request.class.IsDataLoad && a.request.group == r.group }
	return g.engineAllowed(r, e) && !g.unavailable(e) && !g.alreadyAttempted(r, e) &&
		g.now >= max(e.rejectingUntil, e.classRateLimits[r.Class].nextSendAt) &&
		!(r.class.IsDataLoad && slices.ContainsFunc(e.inFlight, loadsSameGroup))
}

// alreadyAttempted reports whether the request was sent to the engine before. It is not sent there again, so that a
// faulty engine cannot use up all its attempts. With only one engine alreadyAttempted always returns false.
func (g *Gateway) alreadyAttempted(r *request, e *engine) bool {
	return len(g.engines) > 1 && slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.engine == e })
}

// hasCapacity reports whether the request's threads and memory grant fit into this gateway's remaining share of the
// engine. Before the first load report, an engine without attempts of this gateway always has capacity: until then the
// limits are only guesses, and this gateway learns nothing about the engine unless it sends a query.
func (g *Gateway) hasCapacity(r *request, e *engine) bool {
	return e.ownThreads == 0 && !g.loadReported ||
		g.fitsInMemory(r, e) && e.ownThreads+r.class.threads <= g.concurrencyLimit(e, 1+g.overcommitShare(r))
}

// overcommitShare returns the share by which the request may exceed concurrency limits: above 0 if its weight per unit
// of work is above the mean over all requests, otherwise 0.
func (g *Gateway) overcommitShare(r *request) float64 {
	if r.class.Weight*g.totalThreadSeconds() > g.expectedWork(r)*g.totalWeight() {
		return highWeightOvercommit - 1
	}
	return 0
}
