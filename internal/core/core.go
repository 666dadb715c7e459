// Package core owns the decision module, the requests, their attempts and the list of engines. It is handed
// events with the time and returns actions; it knows no wire, socket or clock. All calls come from one goroutine.
package core

import (
	"fmt"
	"log/slog"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

// ID names a request; the core hands them out.
type ID = policy.RequestID

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Rejected
	Failed
	Broken // failed after a part of the answer went out
)

// lateTicks before its client's end a request counts as answered at its deadline: the module looks every few ticks.
const lateTicks = 10

// Query is a query as the core sees it.
type Query struct {
	Name              string // by which engines know it, where they do; no two that are open or out may share one
	Class             int
	TableGroup        int
	Key               uint64
	EstimatedWork     time.Duration // 0 = not told
	EstimatedMemoryMB float64
	Remaining         time.Duration // until the client gives up
	IsClientRetry     bool          // a client's own retry
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

// decisions is the part of the decision module that a Core uses.
type decisions interface {
	Handle(now time.Duration, event policy.Event) []policy.Action
	MayResend(now time.Duration, id policy.RequestID, attempt int) bool
	AttemptAllowed(now time.Duration, id policy.RequestID, attempt int) bool
	Estimate(now time.Duration, id policy.EngineID) policy.EngineEstimate
	Explain(now time.Duration, id policy.RequestID) (held bool, by policy.Guard, looks []policy.EngineEstimate)
	Utilization() policy.Utilization
}

// Core is the heart of one gateway.
type Core struct {
	gateway  decisions
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
	digest   *loadreport.Digest // what gateways tell each other of engines; nil where they do not
	sampled  time.Duration      // when it was last recorded what keeps requests in line

	subset          *engineSubset           // nil = every engine is used
	outAt           map[policy.EngineID]int // attempts that are out, by engine
	inService       int                     // gateways, by the host's last count
	reportedService policy.InService        // as the module was last sent it
}

// New makes a Core; all chance comes from seed.
func New(host settings.Host, seed uint64, log *slog.Logger, keep *invariant.Keeper) (*Core, error) {
	gateway, err := policy.New(host.Module, seed)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{gateway: gateway, host: host, log: log, keep: keep, requests: map[ID]*request{},
		engines: map[policy.EngineID]*Engine{}, classes: map[string]int{}, names: map[string]bool{},
		byClass: make([]ClassCounts, len(host.Module.Classes)), outAt: map[policy.EngineID]int{},
		inService: host.Module.Gateways, reportedService: policy.InService{Count: host.Module.Gateways}}
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

// NeedsIdempotencyKey reports whether queries of a class need a replay key.
func (c *Core) NeedsIdempotencyKey(class int) bool {
	return c.host.Module.Classes[class].Idempotency == policy.IdempotentWithKey
}

// PendingRequests is how many requests have no answer yet, and Out how many attempts are out.
func (c *Core) PendingRequests() int { return c.open }

// AttemptsInFlight is how many attempts have not ended.
func (c *Core) AttemptsInFlight() int { return c.out }

// aim is the time in which an answer is wanted; the work is known by its estimate only.
func (c *Core) aim(a Query) time.Duration {
	if a.Class < 0 || a.Class >= len(c.byClass) {
		return 0
	}
	k := c.host.Module.Classes[a.Class]
	return k.LatencyObjective + time.Duration(k.ObjectivePerWork*float64(a.EstimatedWork)/float64(max(1, k.Threads)))
}

// Submit takes a request in and gives it its number. One whose name another bears that is not over fails: the engines
// could not tell them apart, and news or the end of the one would be taken for the other's.
func (c *Core) Submit(now time.Duration, a Query) (ID, []Action) {
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
		c.reply(now, id, Rejected, c.host.ComeBack)
		return id, c.actions
	}
	return id, c.dispatch(now, policy.Arrival{ID: id, Class: a.Class, Key: a.Key, TableGroup: a.TableGroup, EstimatedWork: a.EstimatedWork,
		EstimatedMemoryMB: a.EstimatedMemoryMB, Remaining: a.Remaining, IsClientRetry: a.IsClientRetry})
}

// Cancel says that the client wants no answer any more. What is out is called off.
func (c *Core) Cancel(now time.Duration, id ID) []Action {
	r := c.requests[id]
	if r == nil || r.replied {
		return nil
	}
	r.replied = true
	c.open--
	c.counts.Left++
	actions := c.dispatch(now, policy.ClientGone{ID: id})
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

// TimerFired passes on a timer that the module asked for.
func (c *Core) TimerFired(now time.Duration, token uint64) []Action {
	c.recordHeld(now)
	return c.dispatch(now, policy.TimerFired{Token: token})
}

// InService passes on how many gateways are held to be in service, this one included.
func (c *Core) InService(now time.Duration, gateways int) []Action {
	c.inService = gateways
	if c.Narrowed() { // the next count of sharers takes it into account
		return nil
	}
	c.reportedService = policy.InService{Count: gateways}
	return c.dispatch(now, policy.InService{Count: gateways})
}

// Close has all that is open answered now, and all that comes after it refused at once.
func (c *Core) Close(now time.Duration) []Action {
	c.closing = true
	return c.dispatch(now, policy.ShuttingDown{})
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
	case policy.Reject:
		back := a.RetryAfter
		if back == 0 {
			back = c.host.ComeBack
		}
		c.reply(now, a.ID, Rejected, back)
	case policy.Fail:
		c.reply(now, a.ID, Failed, 0)
	case policy.SetTimer:
		c.actions = append(c.actions, Timer{After: a.After, Token: a.Token})
	case policy.Log:
		c.log.Info("decision module", "says", a.Text)
	case policy.Subscribe, policy.Probe, policy.SetTerms: // discovery pushes; probes and terms are ignored here
	}
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
	case v == Rejected:
		c.counts.Refused++
		k.Refused++
	default:
		c.counts.Failed++
		k.Failed++
	}
	c.actions = append(c.actions, Reply{ID: id, Verdict: v, RetryAfter: min(back, c.host.ComeBack),
		DeadlineExceeded: r.end-now <= lateTicks*c.host.Module.Tick})
	c.forget(id, r)
}

// forget drops a request that is answered and has nothing out.
func (c *Core) forget(id ID, r *request) {
	if r.replied && r.out == 0 {
		delete(c.requests, id)
		delete(c.names, r.name)
	}
}

// ClassName is the name of a class.
func (c *Core) ClassName(class int) string { return c.host.Module.Classes[class].Name }
