package core

import (
	"time"

	"frostpier/policy"
)

// ID identifies a request; Submit assigns it.
type ID = policy.RequestID

// Verdict is the kind of a final reply.
type Verdict uint8

// The verdicts.
const (
	Served            Verdict = iota // an engine's complete response
	Rejected                         // not executed; the client may retry after a delay
	Failed                           // no result, and none of the response went out
	FailedMidResponse                // failed after a part of the response went out
)

// deadlineSlackTicks is how many ticks before the client's deadline a reply still counts as caused by the deadline: the
// module checks deadlines only every few ticks.
const deadlineSlackTicks = 10

// Query describes a query that a client submits.
type Query struct {
	Name              string // name by which engines know the query; empty = none. Unique among active requests.
	Class             int
	TableGroup        int           // 0 = none
	IdempotencyKey    uint64        // idempotency key; 0 = none
	EstimatedWork     time.Duration // 0 = unknown
	EstimatedMemoryMB float64       // 0 = unknown
	Remaining         time.Duration // until the client's deadline
	IsClientRetry     bool          // the client itself retries an earlier request
}

// request is a request that is pending or has an attempt in flight.
type request struct {
	name            string
	class           int
	submittedAt     time.Duration
	deadline        time.Duration // the client's
	objective       time.Duration // latency objective, measured from submittedAt
	attempts        []*attempt
	inFlight        int // attempts that have not ended
	replied         bool
	responseStarted bool         // a part of the response went out: no further attempt is allowed
	waitingFor      policy.Guard // the guard that kept it queued when that was last logged
}

// Submit accepts a query and assigns its ID. It fails a query that has the name of an active request: engines could not
// tell the two apart, and updates or the end of one would be taken for the other's.
func (c *Core) Submit(now time.Duration, q Query) (ID, []Action) {
	c.lastID++
	id := c.lastID
	r := &request{class: q.Class, submittedAt: now, deadline: now + q.Remaining, objective: c.latencyObjective(q)}
	c.requests[id] = r
	c.classCounts(r).Requests++
	c.pending++
	c.counts.Taken++
	duplicate := q.Name != "" && c.activeNames[q.Name]
	if duplicate {
		return id, c.replyOnly(now, id, Failed, 0)
	}
	if q.Name != "" {
		r.name = q.Name
		c.activeNames[q.Name] = true
	}
	if c.shuttingDown || c.overCapacity() {
		return id, c.replyOnly(now, id, Rejected, c.host.MaxRetryAfter)
	}
	return id, c.dispatch(now, policy.Arrival{
		ID: id, Class: q.Class, OrderingKey: q.IdempotencyKey, TableGroup: q.TableGroup, EstimatedWork: q.EstimatedWork,
		EstimatedMemoryMB: q.EstimatedMemoryMB, Remaining: q.Remaining, IsClientRetry: q.IsClientRetry,
	})
}

// overCapacity reports whether more requests are pending than the settings allow for one gateway.
func (c *Core) overCapacity() bool {
	return c.host.MaxPending > 0 && c.pending > c.host.MaxPending
}

// latencyObjective returns the time after which a reply is late. The query's work is known only as an estimate.
func (c *Core) latencyObjective(q Query) time.Duration {
	if q.Class < 0 || q.Class >= len(c.countsByClass) {
		return 0
	}
	class := c.host.Module.Classes[q.Class]
	forWork := class.ObjectivePerWork * float64(q.EstimatedWork) / float64(max(1, class.Threads))
	return class.LatencyObjective + time.Duration(forWork)
}

// Cancel reports that the client no longer wants a reply. Attempts in flight are stopped.
func (c *Core) Cancel(now time.Duration, id ID) []Action {
	r := c.requests[id]
	if r == nil || r.replied {
		return nil
	}
	r.replied = true
	c.pending--
	c.counts.Left++
	actions := c.dispatch(now, policy.ClientGone{ID: id})
	if r.responseStarted { // the module never cancels a started response, but here nobody reads it any more
		actions = append(actions, r.stopAll(id)...)
	}
	c.forgetIfDone(id, r)
	return actions
}

// stopAll returns a Stop for each attempt in flight.
func (r *request) stopAll(id ID) (stops []Action) {
	for n, a := range r.attempts {
		if !a.ended {
			stops = append(stops, CancelAttempt{ID: id, Attempt: n})
		}
	}
	return stops
}

// reject gives the final reply to a request that the module rejects.
func (c *Core) reject(now time.Duration, action policy.Reject) {
	retryAfter := action.RetryAfter
	if retryAfter == 0 {
		retryAfter = c.host.MaxRetryAfter
	}
	c.reply(now, action.ID, Rejected, retryAfter)
}

// replyOnly gives the final reply to a request that the module does not know, and returns it as the only action.
func (c *Core) replyOnly(now time.Duration, id ID, v Verdict, retryAfter time.Duration) []Action {
	c.actions = nil
	c.reply(now, id, v, retryAfter)
	return c.actions
}

// reply gives a request its one final reply.
func (c *Core) reply(now time.Duration, id ID, v Verdict, retryAfter time.Duration) {
	r := c.requests[id]
	if !c.invariants.Check(r != nil && !r.replied, "a request is answered once", "request", id) {
		return
	}
	r.replied = true
	c.pending--
	c.logReply(now, id, r, v)
	c.countReply(r, v, now-r.submittedAt)
	c.actions = append(c.actions, Reply{
		ID: id, Verdict: v,
		RetryAfter:       min(retryAfter, c.host.MaxRetryAfter),
		DeadlineExceeded: r.deadline-now <= deadlineSlackTicks*c.host.Module.Tick,
	})
	c.forgetIfDone(id, r)
}

// forgetIfDone removes a request that has its reply and no attempt in flight.
func (c *Core) forgetIfDone(id ID, r *request) {
	if r.replied && r.inFlight == 0 {
		delete(c.requests, id)
		delete(c.activeNames, r.name)
	}
}
