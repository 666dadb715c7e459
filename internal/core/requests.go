package core

import (
	"time"

	"frostpier/policy"
)

// RequestID identifies a request; Submit assigns it.
type RequestID = policy.RequestID

// Verdict is the kind of a final reply.
type Verdict uint8

// Values of Verdict.
const (
	Served            Verdict = iota // an engine returned a complete response
	Rejected                         // not executed; the client may retry after a delay
	Failed                           // no result, and no part of a response was sent
	FailedMidResponse                // failed after a part of the response was sent
)

// deadlineToleranceTicks is how many ticks before the client's deadline a reply already sets Reply.DeadlineExceeded, since
// the module checks deadlines only every few ticks.
const deadlineToleranceTicks = 10

// Limits of the memory of queries. Large queries together may use a part of what all queries may use.
const (
	largeQueryBytes   = 16 << 10
	largeQueryDivisor = 2
)

// Query describes a query that a client submits.
type Query struct {
	Name              string // identifies the query at engines; empty = none. Must be unique among active requests.
	Class             int
	TableGroup        int           // 0 = none
	EstimatedWork     time.Duration // 0 = unknown
	EstimatedMemoryMB float64       // 0 = unknown
	Remaining         time.Duration // time until the client's deadline
	IsClientRetry     bool          // the client marked the query as a retry of an earlier one
	Bytes             int           // memory that the frontend holds for the query until it and its attempts have ended
}

// request is a request that is pending or has an attempt in flight.
type request struct {
	name            string
	class           int
	submittedAt     time.Duration
	deadline        time.Duration // the client's deadline
	objective       time.Duration // latency objective, counted from submittedAt
	attempts        []*attempt
	inFlight        int // attempts that have not ended
	bytes           int // Query.Bytes of an accepted query
	replied         bool
	responseStarted bool         // a part of the response was sent, so no further attempt is allowed
	queueGuard      policy.Guard // the reason for queueing in the last debug record
}

// Submit accepts a query and assigns an ID to it. A query with the name of an active request fails, since engines could
// not distinguish the two: progress updates or the end of one would be attributed to the other.
func (c *Core) Submit(now time.Duration, q Query) (RequestID, []Action) {
	c.lastID++
	id := c.lastID
	r := &request{class: q.Class, submittedAt: now, deadline: now + q.Remaining, objective: c.latencyObjective(q)}
	c.requests[id] = r
	c.classCounts(r).Requests++
	c.pending++
	c.counts.Taken++
	duplicate := q.Name != "" && c.activeNames[q.Name]
	if duplicate {
		return id, c.replyDirectly(now, id, Failed, 0)
	}
	if q.Name != "" {
		r.name = q.Name
		c.activeNames[q.Name] = true
	}
	if c.shuttingDown || c.overCapacity(q) {
		return id, c.replyDirectly(now, id, Rejected, c.host.MaxRetryAfter)
	}
	r.bytes = q.Bytes
	c.queryBytes += q.Bytes
	return id, c.dispatch(now, policy.Arrival{
		ID: id, Class: q.Class, TableGroup: q.TableGroup, EstimatedWork: q.EstimatedWork,
		EstimatedMemoryMB: q.EstimatedMemoryMB, Remaining: q.Remaining, IsClientRetry: q.IsClientRetry,
	})
}

// overCapacity reports whether more requests are pending, or more of their bytes held, than the settings allow.
func (c *Core) overCapacity(q Query) bool {
	if c.host.MaxPending > 0 && c.pending > c.host.MaxPending {
		return true
	}
	limit := c.host.MaxQueryBytes
	if q.Bytes > largeQueryBytes { // large queries must leave room for the others
		limit /= largeQueryDivisor
	}
	return c.host.MaxQueryBytes > 0 && c.queryBytes+q.Bytes > limit
}

// latencyObjective returns the time after which a reply is late. The part that depends on the query's work is based on an
// estimate.
func (c *Core) latencyObjective(q Query) time.Duration {
	if q.Class < 0 || q.Class >= len(c.countsByClass) {
		return 0
	}
	class := c.host.Policy.Classes[q.Class]
	forWork := class.ObjectivePerWork * float64(q.EstimatedWork) / float64(max(1, class.Threads))
	return class.LatencyObjective + time.Duration(forWork)
}

// DeadlinePassed reports that the deadline of a request has passed. The request gets its final reply, unless it has one or its
// response has started.
func (c *Core) DeadlinePassed(now time.Duration, id RequestID) []Action {
	r := c.requests[id]
	if r == nil || r.replied {
		return nil
	}
	return c.dispatch(now, policy.DeadlinePassed{ID: id})
}

// Cancel reports that the client no longer wants a reply. Attempts in flight are cancelled.
func (c *Core) Cancel(now time.Duration, id RequestID) []Action {
	r := c.requests[id]
	if r == nil || r.replied {
		return nil
	}
	r.replied = true
	c.pending--
	c.counts.Left++
	actions := c.dispatch(now, policy.ClientGone{ID: id})
	if r.responseStarted { // the module never cancels an attempt with a started response, but nobody reads this one
		actions = append(actions, r.cancelAttempts(id)...)
	}
	c.removeIfDone(id, r)
	return actions
}

// cancelAttempts returns a CancelAttempt for each attempt in flight.
func (r *request) cancelAttempts(id RequestID) (cancels []Action) {
	for n, a := range r.attempts {
		if !a.ended {
			cancels = append(cancels, CancelAttempt{ID: id, Attempt: n})
		}
	}
	return cancels
}

// reject gives the final reply to a request that the module rejects. If the module sets no retry delay, the reply has the
// maximum.
func (c *Core) reject(now time.Duration, action policy.Reject) {
	retryAfter := action.RetryAfter
	if retryAfter == 0 {
		retryAfter = c.host.MaxRetryAfter
	}
	c.reply(now, action.ID, Rejected, retryAfter)
}

// replyDirectly gives a request its final reply without an event to the module, and returns the reply as the only action.
func (c *Core) replyDirectly(now time.Duration, id RequestID, v Verdict, retryAfter time.Duration) []Action {
	c.actions = nil
	c.reply(now, id, v, retryAfter)
	return c.actions
}

// reply adds the one final reply to a request to the actions.
func (c *Core) reply(now time.Duration, id RequestID, v Verdict, retryAfter time.Duration) {
	r := c.requests[id]
	if !c.invariants.Check(r != nil && !r.replied, "a request gets only one final reply", "request", id) {
		return
	}
	r.replied = true
	c.pending--
	c.logReply(now, id, r, v)
	c.countReply(r, v, now-r.submittedAt)
	c.actions = append(c.actions, Reply{
		ID: id, Verdict: v,
		RetryAfter:       min(retryAfter, c.host.MaxRetryAfter),
		DeadlineExceeded: r.deadline-now <= deadlineToleranceTicks*c.host.Policy.Tick,
	})
	c.removeIfDone(id, r)
}

// removeIfDone removes a request that has its final reply and no attempt in flight.
func (c *Core) removeIfDone(id RequestID, r *request) {
	if r.replied && r.inFlight == 0 {
		delete(c.requests, id)
		delete(c.activeNames, r.name)
		c.queryBytes -= r.bytes
		r.bytes = 0 // the end of an attempt may remove its request twice
	}
}
