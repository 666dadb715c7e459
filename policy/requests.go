package policy

import "time"

// request is a request that has no final answer yet, or still has attempts in flight.
type request struct {
	Arrival
	class             *class
	group             *group
	deadline          time.Duration // the client stops waiting
	objectiveDeadline time.Duration // end of the latency objective; the deadline of the paper's algorithm
	attempts          []*attempt
	resends           int      // attempts that were sent a second time
	inFlight          int      // attempts in flight
	firstPossibleRun  *attempt // the first attempt that may have run; nil = none
	done              bool     // it has its final answer, or nobody waits for it
	queued            bool     // it is in Gateway.queue
	streaming         bool     // its response has begun to stream to the client
}

// attempt is one send of a request to an engine.
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
	unconfirmedError bool // it ended with an error of which it is not known whether the engine caused it
	deprioritized    bool // its priority was lowered after the latency objective
}

// keyQueue holds the requests of one key of an ordered class, in order of arrival.
type keyQueue struct {
	requests    []*request
	pausedUntil time.Duration
	pausedFor   *request // the request that may be sent during the pause, as it caused it
}

// findAttempt returns an attempt of a known request, or nil.
func (g *Gateway) findAttempt(id RequestID, number int) *attempt {
	r := g.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return r.attempts[number]
}

// recordSend adds an attempt to the counters of its request, engine and group: step 6 of the paper's algorithm.
func (g *Gateway) recordSend(a *attempt) {
	if a.number > 0 {
		g.countForBudget(&g.retries)
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
		e.lastResponseAt = g.now // an idle engine has nothing to respond to, so its silence starts now
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

// releaseAttempt removes an attempt that ended from the counters that recordSend increased. The sums are kept from
// falling below zero by rounding errors.
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

// finishRequest marks a request as done. While attempts are in flight it stays known, and keeps its place in the queue
// of its key; finishRequest is called again when the last of them ends.
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
	delete(g.requests, r.ID)
	if queue := g.keyQueues[r.OrderingKey]; queue != nil {
		queue.requests = remove(queue.requests, r)
		if len(queue.requests) == 0 && g.now >= queue.pausedUntil {
			delete(g.keyQueues, r.OrderingKey)
		}
	}
}
