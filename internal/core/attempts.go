package core

import (
	"time"

	"frostpier/internal/settings"
	"frostpier/policy"
)

type attempt struct {
	engine  policy.EngineID
	addr    string // of the engine when it was chosen
	started time.Duration
	timeout time.Duration
	sent    bool // its first byte was allowed out
	over    bool
}

// MaySend is asked when an attempt's first byte could go out, after any dial: the engine may have been listed as
// draining or elsewhere meanwhile (another may have its address), the client's time may be over, the attempt called off. It returns the time that is left. Again
// is set where the attempt went out and its engine seems not to have read it: then the module has the last word.
func (c *Core) MaySend(now time.Duration, id ID, n int, again bool) (time.Duration, bool) {
	r := c.requests[id]
	if r == nil || n >= len(r.attempts) {
		return 0, false
	}
	a := r.attempts[n]
	left := min(r.end, a.started+a.timeout) - now
	e := c.engines[a.engine]
	if a.over || r.replied || left <= 0 || e == nil || e.Health != policy.Ready || e.Addr != a.addr {
		return 0, false
	}
	for i, other := range r.attempts {
		if !c.keep.Holds(i == n || other.over, "one attempt out at a time", "request", id) {
			return 0, false
		}
	}
	if again && !c.gateway.MayResend(now, id, n) || !again && !c.gateway.AttemptAllowed(now, id, n) {
		return 0, false
	}
	a.sent = true
	return left, true
}

// AttemptEnded reports the one end of an attempt. It must come only once the attempt is certainly not out any more.
func (c *Core) AttemptEnded(now time.Duration, id ID, n int, outcome policy.Outcome, fields []Field) []Action {
	r := c.requests[id]
	known := r != nil && n < len(r.attempts) && !r.attempts[n].over
	if !c.keep.Holds(known, "an attempt ends once", "request", id, "attempt", n) {
		return nil
	}
	a := r.attempts[n]
	a.over = true
	r.out--
	c.out--
	ran := c.keep.Holds(a.sent || outcome.NeverRan() || outcome == policy.Cancelled, "nothing ran unsent", "outcome", outcome)
	if ran && c.recording() {
		c.log.Debug("attempt ended", "at", int64(now/time.Millisecond), "request", id, "attempt", n, "class", r.class,
			"engine", engineName(a.engine), "outcome", outcome, "took_ms", int64((now-a.started)/time.Millisecond))
	}
	c.recordLoad(now, a.engine, fields)
	end := policy.AttemptEnded{ID: id, Attempt: n, Engine: a.engine, Outcome: outcome, Duration: now - a.started,
		Terminal: r.replied || r.begun || outcome == policy.OK, Report: c.report(fields)}
	c.actions = nil
	switch {
	case outcome == policy.OK && !r.replied:
		c.reply(now, id, Served, 0)
	case r.begun && !r.replied:
		c.reply(now, id, Broken, 0)
	}
	answered := c.actions
	actions := append(answered, c.dispatch(now, end)...)
	actions = append(actions, c.attemptEnded(now, a.engine)...)
	c.forget(id, r)
	return actions
}

// ResponseStarted says that a part of an attempt's answer goes out to the client. From then on there is no other attempt, and
// no time-out of the request; it reports whether the client still wants it.
func (c *Core) ResponseStarted(now time.Duration, id ID, n int) (bool, []Action) {
	r := c.requests[id]
	if r == nil || r.replied || n >= len(r.attempts) || r.attempts[n].over {
		return false, nil
	}
	if r.begun {
		return true, nil
	}
	r.begun = true
	return true, c.dispatch(now, policy.ResponseStarted{ID: id, Attempt: n})
}

// Progress passes on an engine's word of how far an attempt is.
func (c *Core) Progress(now time.Duration, id ID, n int, done float64) []Action {
	return c.dispatch(now, policy.Progress{ID: id, Attempt: n, Done: done})
}

// ResponseOverdue passes on that an engine withholds an attempt's answer.
func (c *Core) ResponseOverdue(now time.Duration, id ID, n int) []Action {
	return c.dispatch(now, policy.ResponseOverdue{ID: id, Attempt: n})
}

func (c *Core) start(now time.Duration, s policy.Send) {
	r, e := c.requests[s.ID], c.engines[s.Engine]
	if !c.keep.Holds(r != nil && !r.replied && r.out == 0 && e != nil, "an attempt is for an open request", "request", s.ID) {
		return
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, &attempt{engine: s.Engine, addr: e.Addr, started: now, timeout: s.Timeout})
	r.out++
	c.out++
	c.outAt[s.Engine]++
	c.counts.Attempts++
	if n > 0 {
		c.counts.Further++
		c.classOf(r).Further++
	}
	c.recordSend(now, s.ID, n)
	c.actions = append(c.actions, Start{ID: s.ID, Attempt: n, Engine: *e, Timeout: s.Timeout})
}

func (c *Core) report(fields []Field) policy.Report {
	if len(fields) == 0 {
		return policy.Report{}
	}
	out := policy.Report{Present: true, Values: make(map[policy.Metric]float64, len(fields))}
	for _, f := range fields {
		out.Values[settings.FigureOf(f.Name)] = f.Value
	}
	return out
}
