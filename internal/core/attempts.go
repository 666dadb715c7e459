package core

import (
	"time"

	"frostpier/internal/settings"
	"frostpier/policy"
)

// attempt is one attempt of a request at one engine.
type attempt struct {
	engine    policy.EngineID
	addr      string // the engine's when it was selected
	startedAt time.Duration
	timeout   time.Duration
	sent      bool // MaySend allowed its first byte
	ended     bool
}

// MaySend decides whether an attempt's first byte may go out now, and returns the time that is left for the attempt.
// The host must ask after the connection is established: meanwhile the engine may have been listed as draining or at
// another address, which another engine may have by now, the client's deadline may have passed, or the attempt may have
// been stopped. resend is set where the attempt was sent before and its engine seems not to have read it.
func (c *Core) MaySend(now time.Duration, id ID, n int, resend bool) (left time.Duration, ok bool) {
	r := c.requests[id]
	if r == nil || n >= len(r.attempts) {
		return 0, false
	}
	a := r.attempts[n]
	left = min(r.deadline, a.startedAt+a.timeout) - now
	if a.ended || r.replied || left <= 0 || !c.reachable(a) {
		return 0, false
	}
	if !c.onlyAttemptInFlight(id, r, n) || !c.moduleAllows(now, id, n, resend) {
		return 0, false
	}
	a.sent = true
	return left, true
}

// reachable reports whether an attempt's engine is still ready at the address where it was selected.
func (c *Core) reachable(a *attempt) bool {
	e := c.engines[a.engine]
	return e != nil && e.Health == policy.Ready && e.Addr == a.addr
}

// onlyAttemptInFlight checks that every other attempt of the request has ended.
func (c *Core) onlyAttemptInFlight(id ID, r *request, n int) bool {
	for i, other := range r.attempts {
		if !c.invariants.Check(i == n || other.ended, "one attempt out at a time", "request", id) {
			return false
		}
	}
	return true
}

// moduleAllows asks the module whether it still allows the attempt: retry budgets and deduplication windows may have
// run out since it asked for it.
func (c *Core) moduleAllows(now time.Duration, id ID, n int, resend bool) bool {
	if resend {
		return c.module.ReserveResend(now, id, n)
	}
	return c.module.AttemptAllowed(now, id, n)
}

// AttemptEnded reports the end of an attempt, which must be certain: the engine no longer executes it. fields is the
// load report that came with the response; nil = none.
func (c *Core) AttemptEnded(now time.Duration, id ID, n int, outcome policy.Outcome, fields []ReportField) []Action {
	r := c.requests[id]
	known := r != nil && n < len(r.attempts) && !r.attempts[n].ended
	if !c.invariants.Check(known, "an attempt ends once", "request", id, "attempt", n) {
		return nil
	}
	a := r.attempts[n]
	a.ended = true
	r.inFlight--
	c.inFlight--
	plausible := a.sent || outcome.NeverRan() || outcome == policy.Cancelled
	if c.invariants.Check(plausible, "nothing ran unsent", "outcome", outcome) {
		c.logAttemptEnd(now, id, n, outcome)
	}
	c.recordLoad(now, a.engine, fields)
	event := policy.AttemptEnded{
		ID: id, Attempt: n, Engine: a.engine, Outcome: outcome, Duration: now - a.startedAt,
		Terminal: r.replied || r.responseStarted || outcome == policy.OK,
		Report:   loadReport(fields),
	}
	actions := c.replyAfter(now, id, r, outcome)
	actions = append(actions, c.dispatch(now, event)...)
	actions = append(actions, c.releaseEngine(now, a.engine)...)
	c.forgetIfDone(id, r)
	return actions
}

// replyAfter returns the final reply if an attempt with this outcome decides it.
func (c *Core) replyAfter(now time.Duration, id ID, r *request, outcome policy.Outcome) []Action {
	switch {
	case r.replied:
		return nil
	case outcome == policy.OK:
		return c.replyOnly(now, id, Served, 0)
	case r.responseStarted:
		return c.replyOnly(now, id, FailedMidResponse, 0)
	}
	return nil
}

// ResponseStarted reports that the first part of an attempt's response is about to go out to the client. From then on
// there is no further attempt and no timeout of the request. wanted is false if the client no longer wants the response.
func (c *Core) ResponseStarted(now time.Duration, id ID, n int) (wanted bool, actions []Action) {
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

// Progress reports the share of its work, 0 to 1, that an engine says an attempt has done.
func (c *Core) Progress(now time.Duration, id ID, n int, done float64) []Action {
	return c.dispatch(now, policy.Progress{ID: id, Attempt: n, Done: done})
}

// ResponseOverdue reports that an engine withholds an attempt's response.
func (c *Core) ResponseOverdue(now time.Duration, id ID, n int) []Action {
	return c.dispatch(now, policy.ResponseOverdue{ID: id, Attempt: n})
}

// startAttempt starts an attempt that the module asks for.
func (c *Core) startAttempt(now time.Duration, s policy.Send) {
	r, e := c.requests[s.ID], c.engines[s.Engine]
	valid := r != nil && !r.replied && r.inFlight == 0 && e != nil
	if !c.invariants.Check(valid, "an attempt is for an open request", "request", s.ID) {
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

// loadReport translates the fields of a load report to the module's metrics.
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
