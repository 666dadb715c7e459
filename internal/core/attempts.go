package core

import (
	"time"

	"frostpier/internal/settings"
	"frostpier/policy"
)

// attempt is one execution of a request at one engine.
type attempt struct {
	engine    policy.EngineID
	addr      string // the engine's address when the module selected it
	startedAt time.Duration
	timeout   time.Duration
	sent      bool // MaySend allowed the first byte
	ended     bool
}

// MaySend reports whether the host may send the first byte of an attempt now, and how much time the attempt has left.
// The host must call it after the connection is established. In the meantime the engine may have started to drain, the
// engine list may have moved it and given its former address to another engine, the client's deadline may have passed,
// or the attempt may have been cancelled. resend is set if the query was sent before and the engine does not seem to
// have read it.
func (c *Core) MaySend(now time.Duration, id RequestID, n int, resend bool) (left time.Duration, ok bool) {
	r := c.requests[id]
	if r == nil || n >= len(r.attempts) {
		return 0, false
	}
	a := r.attempts[n]
	left = min(r.deadline, a.startedAt+a.timeout) - now
	if a.ended || r.replied || left <= 0 || !c.engineStillReady(a) {
		return 0, false
	}
	if !c.onlyAttemptInFlight(id, r, n) || !c.moduleAllows(now, id, n, resend) {
		return 0, false
	}
	a.sent = true
	return left, true
}

// engineStillReady reports whether an attempt's engine is still ready and has the address that it had when it was selected.
func (c *Core) engineStillReady(a *attempt) bool {
	e := c.engines[a.engine]
	return e != nil && e.Health == policy.Ready && e.Addr == a.addr
}

// onlyAttemptInFlight checks the invariant that every other attempt of the request has ended.
func (c *Core) onlyAttemptInFlight(id RequestID, r *request, n int) bool {
	for i, other := range r.attempts {
		if !c.invariants.Check(i == n || other.ended, "a request has at most one attempt in flight", "request", id) {
			return false
		}
	}
	return true
}

// moduleAllows reports whether the module still allows the attempt. The retry budget may have been used up, or the
// deduplication window may have ended, since the module requested the attempt.
func (c *Core) moduleAllows(now time.Duration, id RequestID, n int, resend bool) bool {
	if resend {
		return c.module.ReserveResend(now, id, n)
	}
	return c.module.AttemptAllowed(now, id, n)
}

// AttemptEnded reports the end of an attempt. The host must be certain that the engine no longer executes it. fields is
// the load report in the response; nil = none.
func (c *Core) AttemptEnded(now time.Duration, id RequestID, n int, outcome policy.Outcome, fields []ReportField) []Action {
	r := c.requests[id]
	known := r != nil && n < len(r.attempts) && !r.attempts[n].ended
	if !c.invariants.Check(known, "an attempt ends only once", "request", id, "attempt", n) {
		return nil
	}
	a := r.attempts[n]
	a.ended = true
	r.inFlight--
	c.inFlight--
	plausible := a.sent || outcome.NeverRan() || outcome == policy.Cancelled
	if c.invariants.Check(plausible, "an attempt that was not sent has no result", "outcome", outcome) {
		c.logAttemptEnd(now, id, n, outcome)
	}
	c.recordLoad(now, a.engine, fields)
	event := policy.AttemptEnded{
		ID: id, Attempt: n, Engine: a.engine, Outcome: outcome, Duration: now - a.startedAt,
		Terminal: r.replied || r.responseStarted || outcome == policy.OK,
		Report:   loadReport(fields),
	}
	actions := c.replyForOutcome(now, id, r, outcome)
	actions = append(actions, c.dispatch(now, event)...)
	actions = append(actions, c.releaseEngine(now, a.engine)...)
	c.removeIfDone(id, r)
	return actions
}

// replyForOutcome returns the final reply if the outcome of an attempt determines it; otherwise the module decides.
func (c *Core) replyForOutcome(now time.Duration, id RequestID, r *request, outcome policy.Outcome) []Action {
	switch {
	case r.replied:
		return nil
	case outcome == policy.OK:
		return c.replyDirectly(now, id, Served, 0)
	case r.responseStarted:
		return c.replyDirectly(now, id, FailedMidResponse, 0)
	}
	return nil
}

// ResponseStarted reports that the host is about to send the first part of an attempt's response to the client. From then
// on the request is not retried and does not time out. wanted is false if the client no longer wants the response.
func (c *Core) ResponseStarted(now time.Duration, id RequestID, n int) (wanted bool, actions []Action) {
	r := c.requests[id]
	if r == nil || r.replied || n >= len(r.attempts) || r.attempts[n].ended {
		return false, nil
	}
	if r.responseStarted {
		return true, nil
	}
	r.responseStarted = true
	return true, c.dispatch(now, policy.ResponseStarted{ID: id, Attempt: n})
}

// Progress reports an attempt's progress according to its engine: done is the completed share of the work, 0 to 1.
func (c *Core) Progress(now time.Duration, id RequestID, n int, done float64) []Action {
	return c.dispatch(now, policy.Progress{ID: id, Attempt: n, Done: done})
}

// ResponseOverdue reports that an engine has not sent an attempt's response in the expected time.
func (c *Core) ResponseOverdue(now time.Duration, id RequestID, n int) []Action {
	return c.dispatch(now, policy.ResponseOverdue{ID: id, Attempt: n})
}

// startAttempt starts an attempt that the module requested.
func (c *Core) startAttempt(now time.Duration, s policy.Send) {
	r, e := c.requests[s.ID], c.engines[s.Engine]
	valid := r != nil && !r.replied && r.inFlight == 0 && e != nil
	if !c.invariants.Check(valid, "an attempt starts only for a pending request without another one in flight", "request", s.ID) {
		return
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, &attempt{engine: s.Engine, addr: e.Addr, startedAt: now, timeout: s.Timeout})
	r.inFlight++
	c.inFlight++
	c.inFlightByEngine[s.Engine]++
	c.counts.Attempts++
	if n > 0 {
		c.counts.Further++
		c.classCounts(r).Retries++
	}
	c.logAttemptDecision(now, s.ID, n)
	c.actions = append(c.actions, StartAttempt{ID: s.ID, Attempt: n, Engine: *e, Timeout: s.Timeout})
}

// loadReport converts the fields of a load report to the module's metrics.
func loadReport(fields []ReportField) policy.LoadReport {
	if len(fields) == 0 {
		return policy.LoadReport{}
	}
	report := policy.LoadReport{Present: true, Values: make(map[policy.Metric]float64, len(fields))}
	for _, f := range fields {
		report.Values[settings.MetricOf(f.Name)] = f.Value
	}
	return report
}
