// Package core owns the decision module, the requests, their attempts and the list of engines. It is handed
// events with the time and returns actions; it knows no wire, socket or clock. All calls come from one goroutine.
package core

import (
	"fmt"
	"log/slog"
	"time"

	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/spread"
	"frostpier/policy"
)

// ID names a request; the core hands them out.
type ID = policy.RequestID

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
	Broken // failed after a part of the answer went out
)

// lateTicks before its client's end a request counts as answered at its deadline: the module looks every few ticks.
const lateTicks = 10

// Action is something that the host is to do.
type Action interface{ action() }

// Start asks for an attempt; before its first byte the host asks MaySend.
type Start struct {
	ID      ID
	Attempt int
	Engine  Engine
	Timeout time.Duration
}

// Stop calls an attempt off; the host reports Ended once it is not out any more.
type Stop struct {
	ID      ID
	Attempt int
}

// Reply is the one final answer of a request. Served comes in answer to the Ended that brought the result.
type Reply struct {
	ID       ID
	Verdict  Verdict
	ComeBack time.Duration // of a refusal
	Late     bool          // the client's time is over
}

// Timer asks for a Due with this token.
type Timer struct {
	After time.Duration
	Token uint64
}

func (Start) action() {}
func (Stop) action()  {}
func (Reply) action() {}
func (Timer) action() {}

// Ask is a query as the core sees it.
type Ask struct {
	Name       string // by which engines know it, where they do; no two that are open or out may share one
	Class      int
	TableGroup int
	Key        uint64
	Cost       time.Duration // 0 = not told
	NeedMB     float64
	Remaining  time.Duration // until the client gives up
	Repeat     bool          // a client's own retry
}

// Field is one value of a load report, by the name that the settings give it.
type Field struct {
	Name  string
	Value float64
}

type request struct {
	name     string
	end      time.Duration
	attempts []*attempt
	out      int
	replied  bool
	begun    bool // a part of the answer went out: there is no other attempt
	taken    time.Duration
	aim      time.Duration // in which an answer is wanted, as far as the estimate tells
	class    int
	why      policy.Guard // that kept it in line when that was last recorded
}

type attempt struct {
	engine  policy.EngineID
	addr    string // of the engine when it was chosen
	started time.Duration
	timeout time.Duration
	sent    bool // its first byte was allowed out
	over    bool
}

// Core is the heart of one gateway.
type Core struct {
	gateway  *policy.Gateway
	host     settings.Host
	log      *slog.Logger
	keep     *invariant.Keeper
	requests map[ID]*request
	engines  map[policy.EngineID]*Engine
	classes  map[string]int
	names    map[string]bool // of the requests
	next     ID
	open     int // requests without an answer
	closing  bool
	out      int // attempts
	counts   Counts
	byClass  []ClassCounts
	actions  []Action
	digest   *spread.Digest // what gateways tell each other of engines; nil where they do not
	sampled  time.Duration  // when it was last recorded what keeps requests in line
}

// ClassCounts is what happened to one class so far: how a version of the program does.
type ClassCounts struct {
	Taken   uint64
	InTime  uint64 // served within the aim
	Late    uint64 // served after it
	Refused uint64
	Failed  uint64
	Fast    uint64 // served within a quarter of the aim
	Further uint64 // attempts beyond a request's first
}

// fastShare is the share of the aim within which an answer counts as fast: a version that is slower shows there first.
const fastShare = 4

// Counts is what happened so far, for the log.
type Counts struct {
	Taken, Served, Refused, Failed, Left, Attempts, Further int
}

// New makes a Core; all chance comes from seed.
func New(host settings.Host, seed uint64, log *slog.Logger, keep *invariant.Keeper) (*Core, error) {
	gateway, err := policy.New(host.Module, seed)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{gateway: gateway, host: host, log: log, keep: keep, requests: map[ID]*request{},
		engines: map[policy.EngineID]*Engine{}, classes: map[string]int{}, names: map[string]bool{},
		byClass: make([]ClassCounts, len(host.Module.Classes))}
	for i, class := range host.Module.Classes {
		c.classes[class.Name] = i
	}
	return c, nil
}

// Class finds a class by its name.
func (c *Core) Class(name string) (int, bool) {
	i, known := c.classes[name]
	return i, known
}

// Keyed tells whether queries of a class need a replay key.
func (c *Core) Keyed(class int) bool { return c.host.Module.Classes[class].Effect == policy.Keyed }

// Open is how many requests have no answer yet, and Out how many attempts are out.
func (c *Core) Open() int { return c.open }

// Out is how many attempts have not ended.
func (c *Core) Out() int { return c.out }

// Counts tells what happened so far.
func (c *Core) Counts() Counts { return c.counts }

// ByClass tells what happened to each class so far; the list is the Core's own.
func (c *Core) ByClass() []ClassCounts { return c.byClass }

// aim is the time in which an answer is wanted; the work is known by its estimate only.
func (c *Core) aim(a Ask) time.Duration {
	if a.Class < 0 || a.Class >= len(c.byClass) {
		return 0
	}
	k := c.host.Module.Classes[a.Class]
	return k.Aim + time.Duration(k.AimStretch*float64(a.Cost)/float64(max(1, k.Threads)))
}

// classOf is what is counted of a request's class; one of no class counts nowhere.
func (c *Core) classOf(r *request) *ClassCounts {
	if r.class < 0 || r.class >= len(c.byClass) {
		return &ClassCounts{}
	}
	return &c.byClass[r.class]
}

// Take takes a request in and gives it its number. One whose name another bears that is not over fails: the engines
// could not tell them apart, and news or the end of the one would be taken for the other's.
func (c *Core) Take(now time.Duration, a Ask) (ID, []Action) {
	c.next++
	id := c.next
	twin := a.Name != "" && c.names[a.Name]
	c.requests[id] = &request{end: now + a.Remaining, taken: now, aim: c.aim(a), class: a.Class}
	c.classOf(c.requests[id]).Taken++
	c.open++
	c.counts.Taken++
	if twin {
		c.actions = nil
		c.reply(now, id, Failed, 0)
		return id, c.actions
	}
	if a.Name != "" {
		c.requests[id].name = a.Name
		c.names[a.Name] = true
	}
	// Nobody would see it through, or it is more than the settings let one gateway hold.
	if c.closing || c.host.MaxOpen > 0 && c.open > c.host.MaxOpen {
		c.actions = nil
		c.reply(now, id, Refused, c.host.ComeBack)
		return id, c.actions
	}
	return id, c.dispatch(now, policy.Arrival{ID: id, Class: a.Class, Key: a.Key, TableGroup: a.TableGroup, Cost: a.Cost,
		NeedMB: a.NeedMB, Remaining: a.Remaining, Repeat: a.Repeat})
}

// Leave says that the client wants no answer any more. What is out is called off.
func (c *Core) Leave(now time.Duration, id ID) []Action {
	r := c.requests[id]
	if r == nil || r.replied {
		return nil
	}
	r.replied = true
	c.open--
	c.counts.Left++
	actions := c.dispatch(now, policy.ClientLeft{ID: id})
	if r.begun { // the module calls off no answer that has begun, but here nobody reads it any more
		for n, a := range r.attempts {
			if !a.over {
				actions = append(actions, Stop{ID: id, Attempt: n})
			}
		}
	}
	c.forget(id, r)
	return actions
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
	if again && !c.gateway.SendAgain(now, id, n) || !again && !c.gateway.StillMay(now, id, n) {
		return 0, false
	}
	a.sent = true
	return left, true
}

// Ended reports the one end of an attempt. It must come only once the attempt is certainly not out any more.
func (c *Core) Ended(now time.Duration, id ID, n int, outcome policy.Outcome, fields []Field) []Action {
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
	end := policy.AttemptEnded{ID: id, Attempt: n, Engine: a.engine, Outcome: outcome, Took: now - a.started,
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
	c.forget(id, r)
	return actions
}

// Began says that a part of an attempt's answer goes out to the client. From then on there is no other attempt, and
// no time-out of the request; it tells whether the client still wants it.
func (c *Core) Began(now time.Duration, id ID, n int) (bool, []Action) {
	r := c.requests[id]
	if r == nil || r.replied || n >= len(r.attempts) || r.attempts[n].over {
		return false, nil
	}
	if r.begun {
		return true, nil
	}
	r.begun = true
	return true, c.dispatch(now, policy.AnswerStarted{ID: id, Attempt: n})
}

// Progress passes on an engine's word of how far an attempt is.
func (c *Core) Progress(now time.Duration, id ID, n int, done float64) []Action {
	return c.dispatch(now, policy.Progress{ID: id, Attempt: n, Done: done})
}

// Overdue passes on that an engine withholds an attempt's answer.
func (c *Core) Overdue(now time.Duration, id ID, n int) []Action {
	return c.dispatch(now, policy.AnswerOverdue{ID: id, Attempt: n})
}

// Due passes on a timer that the module asked for.
func (c *Core) Due(now time.Duration, token uint64) []Action {
	c.recordHeld(now)
	return c.dispatch(now, policy.TimerFired{Token: token})
}

// InService passes on how many gateways are held to be in service, this one included.
func (c *Core) InService(now time.Duration, gateways int) []Action {
	return c.dispatch(now, policy.InService{Count: gateways})
}

// Close has all that is open answered now, and all that comes after it refused at once.
func (c *Core) Close(now time.Duration) []Action {
	c.closing = true
	return c.dispatch(now, policy.Closing{})
}

// dispatch hands the module an event and turns its actions into the host's.
func (c *Core) dispatch(now time.Duration, ev policy.Event) []Action {
	c.actions = nil
	for _, a := range c.gateway.Handle(now, ev) {
		c.take(now, a)
	}
	return c.actions
}

func (c *Core) take(now time.Duration, action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		c.start(now, a)
	case policy.Cancel:
		c.actions = append(c.actions, Stop{ID: a.ID, Attempt: a.Attempt})
	case policy.Refuse:
		back := a.ComeBack
		if back == 0 {
			back = c.host.ComeBack
		}
		c.reply(now, a.ID, Refused, back)
	case policy.Fail:
		c.reply(now, a.ID, Failed, 0)
	case policy.SetTimer:
		c.actions = append(c.actions, Timer{After: a.After, Token: a.Token})
	case policy.Log:
		c.log.Info("decision module", "says", a.Text)
	case policy.Subscribe, policy.Probe, policy.Terms: // discovery pushes; probes and terms are ignored here
	}
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
	c.counts.Attempts++
	if n > 0 {
		c.counts.Further++
		c.classOf(r).Further++
	}
	c.recordSend(now, s.ID, n)
	c.actions = append(c.actions, Start{ID: s.ID, Attempt: n, Engine: *e, Timeout: s.Timeout})
}

// reply gives the final answer, once.
func (c *Core) reply(now time.Duration, id ID, v Verdict, back time.Duration) {
	r := c.requests[id]
	if !c.keep.Holds(r != nil && !r.replied, "a request is answered once", "request", id) {
		return
	}
	r.replied = true
	c.open--
	if c.recording() {
		c.log.Debug("request answered", "at", int64(now/time.Millisecond), "request", id, "class", r.class, "verdict", v,
			"attempts", len(r.attempts), "took_ms", int64((now-r.taken)/time.Millisecond),
			"left_ms", int64((r.end-now)/time.Millisecond), "why", r.why)
	}
	k, took := c.classOf(r), now-r.taken
	switch {
	case v == Served && took <= r.aim:
		c.counts.Served++
		k.InTime++
		if took <= r.aim/fastShare {
			k.Fast++
		}
	case v == Served:
		c.counts.Served++
		k.Late++
	case v == Refused:
		c.counts.Refused++
		k.Refused++
	default:
		c.counts.Failed++
		k.Failed++
	}
	c.actions = append(c.actions, Reply{ID: id, Verdict: v, ComeBack: min(back, c.host.ComeBack),
		Late: r.end-now <= lateTicks*c.host.Module.Tick})
	c.forget(id, r)
}

// forget drops a request that is answered and has nothing out.
func (c *Core) forget(id ID, r *request) {
	if r.replied && r.out == 0 {
		delete(c.requests, id)
		delete(c.names, r.name)
	}
}

func (c *Core) report(fields []Field) policy.Report {
	if len(fields) == 0 {
		return policy.Report{}
	}
	out := policy.Report{Present: true, Values: make(map[policy.Figure]float64, len(fields))}
	for _, f := range fields {
		out.Values[settings.FigureOf(f.Name)] = f.Value
	}
	return out
}

// ClassName is the name of a class.
func (c *Core) ClassName(class int) string { return c.host.Module.Classes[class].Name }
