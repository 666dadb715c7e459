package policy

import "time"

// keyExpiryInterval is the time between two searches for ordering keys that are not needed any more. Clients choose the
// keys, so that they could otherwise fill the memory.
const keyExpiryInterval = time.Second

// request is the state of a request that has no final answer yet or still has attempts in flight.
type request struct {
	Arrival
	class             *class
	group             *group
	deadline          time.Duration // time at which the client stops waiting
	objectiveDeadline time.Duration // end of the latency objective: the deadline in the paper's algorithm
	attempts          []*attempt
	resends           int      // number of attempts that were sent a second time
	inFlight          int      // number of attempts in flight
	firstPossibleRun  *attempt // first attempt that may have run; nil = none
	done              bool     // the request has its final answer, or its client is gone
	queued            bool     // the request is in Gateway.queue
	streaming         bool     // the response is being streamed to the client
}

// attempt is the state of one attempt to run a request on an engine.
type attempt struct {
	request          *request
	number           int // index within the request's attempts
	engine           *engine
	sentAt           time.Duration
	threads          float64
	grantMB          float64
	expectedSeconds  float64
	ended            bool
	cancelled        bool
	unconfirmedError bool // the attempt ended with an error that the query may have caused
	deprioritized    bool // the priority was lowered because the request missed its latency objective
}

// keyQueue holds the requests with the same ordering key, in order of arrival.
type keyQueue struct {
	requests    []*request
	pausedUntil time.Duration
	pausedBy    *request // the request that caused the pause and may be sent during it
}

// unneeded reports whether the key has no requests and its pause has ended.
func (q *keyQueue) unneeded(now time.Duration) bool {
	return len(q.requests) == 0 && now >= q.pausedUntil
}

// findAttempt returns an attempt of a known request, or nil.
func (g *Gateway) findAttempt(id RequestID, number int) *attempt {
	r := g.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return r.attempts[number]
}

// recordSend adds an attempt to the state of its request, engine and group. It is step 6 of the paper's algorithm.
func (g *Gateway) recordSend(a *attempt) {
	if a.number > 0 {
		g.countForRetryBudget(&g.retries)
	}
	if g.grantPerThread == 0 {
		g.grantPerThread = a.grantMB / a.threads
	}
	g.recordRequestSend(a)
	g.recordEngineSend(a)
	group := a.request.group
	group.ownThreads += a.threads
	group.recentThreads.add(g.now, a.threads)
	g.ownThreads += a.threads
	g.recentThreads.add(g.now, a.threads)
}

func (g *Gateway) recordRequestSend(a *attempt) {
	r := a.request
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.firstPossibleRun == nil {
		r.firstPossibleRun = a
	}
}

func (g *Gateway) recordEngineSend(a *attempt) {
	e := a.engine
	if len(e.inFlight) == 0 {
		e.lastResponseAt = g.now // hang detection starts now: an idle engine has nothing to respond to
	}
	if !e.used {
		e.used = true
		g.usedCores += e.cores
	}
	e.ownThreads += a.threads
	e.grantedMB += a.grantMB
	e.inFlight = append(e.inFlight, a)
	e.deadlines.add(a.request.objectiveDeadline)
}

// releaseAttempt reverts recordSend for an attempt that ended. The sums are bounded by 0 because rounding errors could
// make them negative.
func (g *Gateway) releaseAttempt(a *attempt) {
	r, e := a.request, a.engine
	a.ended = true
	r.inFlight--
	e.ownThreads = max(0, e.ownThreads-a.threads)
	g.ownThreads = max(0, g.ownThreads-a.threads)
	e.grantedMB = max(0, e.grantedMB-a.grantMB)
	e.inFlight = remove(e.inFlight, a)
	e.deadlines.remove(r.objectiveDeadline)
	r.group.ownThreads = max(0, r.group.ownThreads-a.threads)
}

// finishRequest marks a request as done. It deletes the request's state, and its entry in the queue of its ordering
// key, only when no attempts are in flight. Otherwise it is called again when the last attempt ends.
func (g *Gateway) finishRequest(r *request) {
	if !r.done {
		r.done = true
		g.openRequests = remove(g.openRequests, r)
	}
	if r.queued {
		r.queued = false
		g.queue = remove(g.queue, r)
	}
	if r.inFlight > 0 {
		return
	}
	g.deleteRequest(r)
	if queue := g.keyQueues[r.OrderingKey]; queue != nil {
		queue.requests = remove(queue.requests, r)
		if queue.unneeded(g.now) {
			delete(g.keyQueues, r.OrderingKey)
		}
	}
}

// deleteRequest deletes the state of a request, and releases its table group.
func (g *Gateway) deleteRequest(r *request) {
	if g.requests[r.ID] != r {
		return
	}
	delete(g.requests, r.ID)
	g.releaseGroup(r.group)
}

// expireKeyQueues removes the ordering keys that are not needed any more.
func (g *Gateway) expireKeyQueues() {
	g.nextKeyExpiry = g.now + keyExpiryInterval
	for key, queue := range g.keyQueues {
		if queue.unneeded(g.now) {
			delete(g.keyQueues, key)
		}
	}
}
