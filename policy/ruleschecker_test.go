package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// rulesChecker passes random valid events to a Gateway and checks its actions against the seven operators' rules. It
// does not model the behavior of engines.
type rulesChecker struct {
	t           *testing.T
	settings    Settings
	gateway     *Gateway
	random      *rand.Rand
	now         time.Duration
	engines     map[EngineID]*listedEngine
	ids         []EngineID
	requests    map[RequestID]*trackedRequest
	inOrder     []*trackedRequest
	nextID      RequestID
	timers      []testTimer
	pending     []pendingOutcome
	retries     []time.Duration
	acceptedAt  []time.Duration
	sends       int
	warmupSends map[EngineID][]warmupSend
	finals      int
}

// warmupSend is a send to an engine in its warm-up.
type warmupSend struct {
	at   time.Duration
	work float64
}

// listedEngine is the latest entry of an engine in the engine list.
type listedEngine struct {
	info             EngineInfo
	unavailableSince time.Duration // time at which it was listed as draining or gone; 0 = ready
}

// testTimer is a timer set by the Gateway.
type testTimer struct {
	at    time.Duration
	token uint64
}

// pendingOutcome is an outcome to deliver later. For a probe, attempt is -1 and request is nil.
type pendingOutcome struct {
	at      time.Duration
	request *trackedRequest
	attempt int
	engine  EngineID
	sent    time.Duration
	outcome Outcome
}

// trackedRequest is a request with all its attempts. The slices are indexed by attempt.
type trackedRequest struct {
	arrival  Arrival
	deadline time.Duration
	done     bool
	sentAt   []time.Duration
	engines  []EngineID
	ended    []bool
	outcomes []Outcome
}

// inFlight returns the number of attempts that have not ended.
func (tracked *trackedRequest) inFlight() int {
	n := 0
	for _, ended := range tracked.ended {
		if !ended {
			n++
		}
	}
	return n
}

func newRulesChecker(t *testing.T, s Settings, seed int64) *rulesChecker {
	g, err := New(s, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return &rulesChecker{t: t, settings: s, gateway: g, random: rand.New(rand.NewSource(seed)),
		now: time.Hour, nextID: 1, engines: map[EngineID]*listedEngine{},
		requests: map[RequestID]*trackedRequest{}, warmupSends: map[EngineID][]warmupSend{}}
}

func (c *rulesChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("at %v: %s", c.now-time.Hour, fmt.Sprintf(format, args...))
}

func (c *rulesChecker) handle(e Event) {
	for _, a := range c.gateway.Handle(c.now, e) {
		c.apply(a)
	}
}

func (c *rulesChecker) applyEngineList(kind ListKind, infos ...EngineInfo) {
	for _, info := range infos {
		listed := c.engines[info.ID]
		if listed == nil {
			listed = &listedEngine{}
			c.engines[info.ID] = listed
			c.ids = append(c.ids, info.ID)
		}
		if info.Health == Ready {
			listed.unavailableSince = 0
		} else if listed.unavailableSince == 0 {
			listed.unavailableSince = c.now
		}
		listed.info = info
	}
	c.handle(EngineList{Kind: kind, Engines: infos})
}

func (c *rulesChecker) arrive(a Arrival) *trackedRequest {
	a.ID = c.nextID
	c.nextID++
	tracked := &trackedRequest{arrival: a, deadline: c.now + a.Remaining}
	c.requests[a.ID] = tracked
	c.inOrder = append(c.inOrder, tracked)
	c.acceptedAt = append(c.acceptedAt, c.now)
	c.handle(a)
	return tracked
}

// apply checks an action and executes it.
func (c *rulesChecker) apply(action Action) {
	switch a := action.(type) {
	case SetTimer:
		c.timers = append(c.timers, testTimer{c.now + max(a.After, 1), a.Token})
	case Send:
		c.recordSend(a)
	case Reject:
		c.checkReject(c.recordFinal(a.ID))
	case Fail:
		c.recordFinal(a.ID)
	case Cancel:
		c.cancel(a)
	case Probe:
		outcome := OK
		if c.random.Intn(3) == 0 {
			outcome = Timeout
		}
		c.pending = append(c.pending, pendingOutcome{at: c.now + 10*time.Millisecond, engine: a.Engine, attempt: -1,
			outcome: outcome})
	}
}

// cancel makes a pending attempt end as cancelled.
func (c *rulesChecker) cancel(a Cancel) {
	for i := range c.pending {
		p := &c.pending[i]
		if p.attempt >= 0 && p.request.arrival.ID == a.ID && p.attempt == a.Attempt {
			p.at, p.outcome = c.now+5*time.Millisecond, Cancelled
		}
	}
}

// checkReject checks rule 2: a request that may have run is rejected only if repeating it is harmless.
func (c *rulesChecker) checkReject(tracked *trackedRequest) {
	class := c.settings.Classes[tracked.arrival.Class]
	harmful := class.Idempotency == NotIdempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope != DedupAll
	for i, outcome := range tracked.outcomes {
		mayHaveRun := !tracked.ended[i] || !outcome.NeverRan()
		if mayHaveRun && harmful {
			c.fail("rule 2: request %d rejected although it may have run", tracked.arrival.ID)
		}
	}
}

// recordFinal records a final answer and checks rule 1: a request gets only one.
func (c *rulesChecker) recordFinal(id RequestID) *trackedRequest {
	tracked := c.requests[id]
	if tracked == nil || tracked.done {
		c.fail("rule 1: second final answer to request %d", id)
	}
	tracked.done = true
	c.finals++
	return tracked
}

// recordSend checks a send against the rules and chooses a random outcome.
func (c *rulesChecker) recordSend(a Send) {
	tracked, listed := c.requests[a.ID], c.engines[a.Engine]
	if tracked == nil || tracked.done {
		c.fail("rule 1: request %d sent although it is done", a.ID)
	}
	if listed == nil {
		c.fail("send to an engine that was never listed")
	}
	if a.Timeout <= 0 || c.now+a.Timeout > tracked.deadline {
		c.fail("rule 1: timeout %v exceeds the deadline", a.Timeout)
	}
	class := c.settings.Classes[tracked.arrival.Class]
	if listed.unavailableSince != 0 && c.now-listed.unavailableSince > c.settings.Rules.DrainGrace {
		c.fail("rule 3: send to an engine that is draining or gone")
	}
	if class.RestrictZones && !slices.Contains(class.Zones, listed.info.Zone) {
		c.fail("rule 6: request sent to zone %d, which its class must not use", listed.info.Zone)
	}
	if class.RestrictMachineTypes && !slices.Contains(class.MachineTypes, listed.info.MachineType) {
		c.fail("rule 6: request sent to machine type %d, which its class must not use", listed.info.MachineType)
	}
	if !c.settings.MayHedge && tracked.inFlight() > 0 {
		c.fail("rule 2: two attempts in flight")
	}
	if c.settings.MaxAttempts > 0 && len(tracked.sentAt) >= c.settings.MaxAttempts {
		c.fail("attempt %d, want at most %d", len(tracked.sentAt)+1, c.settings.MaxAttempts)
	}
	c.checkRepeat(tracked, listed, class)
	c.checkKeyOrder(tracked, class)
	if len(tracked.sentAt) > 0 {
		c.checkRetryBudget()
	}
	c.checkWarmupBudget(tracked, listed)
	tracked.sentAt, tracked.engines = append(tracked.sentAt, c.now), append(tracked.engines, a.Engine)
	tracked.ended, tracked.outcomes = append(tracked.ended, false), append(tracked.outcomes, OK)
	c.sends++
	outcome, duration := c.drawOutcome(), time.Duration(1+c.random.Intn(1500))*time.Millisecond
	if duration >= a.Timeout {
		outcome, duration = Timeout, a.Timeout
	}
	c.pending = append(c.pending, pendingOutcome{at: c.now + duration, request: tracked,
		attempt: len(tracked.sentAt) - 1, engine: a.Engine, sent: c.now, outcome: outcome})
}

func (c *rulesChecker) drawOutcome() Outcome {
	if c.random.Intn(20) < 17 {
		return OK
	}
	return []Outcome{Error, Rejected, Timeout, NoConnection, Reset, NotSent}[c.random.Intn(6)]
}

// checkRepeat checks rule 2: a request that may have run is sent again only if that is harmless.
func (c *rulesChecker) checkRepeat(tracked *trackedRequest, listed *listedEngine, class Class) {
	for i := range tracked.sentAt {
		if tracked.ended[i] && tracked.outcomes[i].NeverRan() {
			continue
		}
		if class.Idempotency == NotIdempotent {
			c.fail("rule 2: non-idempotent request sent again")
		}
		if class.Idempotency != IdempotentWithKey {
			continue
		}
		first := c.engines[tracked.engines[i]].info
		if c.now-tracked.sentAt[i] > class.DedupWindow {
			c.fail("rule 2: request with a key sent again after its deduplication window")
		}
		otherCell := class.DedupScope == DedupCell && first.Cell != listed.info.Cell
		otherZone := class.DedupScope == DedupZone && first.Zone != listed.info.Zone
		if otherCell || otherZone {
			c.fail("rule 2: request with a key sent again outside its deduplication scope")
		}
	}
}

// checkKeyOrder checks rule 5: requests with the same ordering key run one at a time, in order, with a pause after an
// attempt that may still be running.
func (c *rulesChecker) checkKeyOrder(tracked *trackedRequest, class Class) {
	if !class.Ordered || tracked.arrival.OrderingKey == 0 {
		return
	}
	for _, earlier := range c.inOrder {
		if earlier == tracked {
			return
		}
		if earlier.arrival.OrderingKey != tracked.arrival.OrderingKey || !c.settings.Classes[earlier.arrival.Class].Ordered {
			continue
		}
		if !earlier.done || earlier.inFlight() > 0 {
			c.fail("rule 5: request %d sent before request %d with the same key was done",
				tracked.arrival.ID, earlier.arrival.ID)
		}
		for i, outcome := range earlier.outcomes {
			mayStillRun := outcome == Timeout || outcome == Reset || outcome == Cancelled
			if mayStillRun && c.now < earlier.sentAt[i]+c.settings.Rules.OrderedKeyPause {
				c.fail("rule 5: request sent during the pause of its key")
			}
		}
	}
}

// checkRetryBudget checks rule 7: retries stay within the retry budget.
func (c *rulesChecker) checkRetryBudget() {
	if !c.settings.Rules.RetryBudget {
		return
	}
	from, retries, accepted := c.now-c.settings.Rules.RetryBudgetSpan, 1, 0
	for _, at := range c.retries {
		if at >= from {
			retries++
		}
	}
	for _, at := range c.acceptedAt {
		if at >= from {
			accepted++
		}
	}
	c.retries = append(c.retries, c.now)
	if float64(retries) > c.settings.Rules.MinRetries+c.settings.Rules.RetryShare*float64(accepted) {
		c.fail("rule 7: %d retries for %d accepted requests", retries, accepted)
	}
}

// checkWarmupBudget checks rule 4: sends to an engine in its warm-up stay within this gateway's even share of the
// budget.
func (c *rulesChecker) checkWarmupBudget(tracked *trackedRequest, listed *listedEngine) {
	rules := c.settings.Rules
	if listed.info.Started == 0 || c.now-listed.info.Started >= rules.WarmupTime {
		return
	}
	work := tracked.arrival.EstimatedWork.Seconds()
	if c.now-c.gateway.startedAt < rules.WarmupBudgetSpan && listed.info.Started < c.gateway.startedAt {
		c.fail("rule 4: gateway that has just started sent to an engine in its warm-up")
	}
	id := listed.info.ID
	c.warmupSends[id] = append(c.warmupSends[id], warmupSend{c.now, work})
	sum := 0.0
	for _, s := range c.warmupSends[id] {
		if s.at >= c.now-rules.WarmupBudgetSpan {
			sum += s.work
		}
	}
	cores := c.settings.MachineTypes[listed.info.MachineType].Cores
	budget := rules.WarmupBudgetMultiple * rules.InitialCapacityShare * cores * rules.WarmupBudgetSpan.Seconds()
	limit := budget / float64(c.settings.Gateways)
	if sum > limit {
		c.fail("rule 4: %.2f s of work sent to an engine in its warm-up, want at most %.2f", sum, limit)
	}
}

// step advances the clock, fires the timers and delivers the outcomes that are due, and checks rule 1 for late answers.
func (c *rulesChecker) step(d time.Duration) {
	c.now += d
	for _, tm := range c.removeDueTimers() {
		c.handle(TimerFired{tm.token})
	}
	for i := 0; i < len(c.pending); {
		p := c.pending[i]
		if p.at > c.now {
			i++
			continue
		}
		c.pending = slices.Delete(c.pending, i, i+1)
		c.deliver(p)
		i = 0
	}
	for _, tracked := range c.inOrder {
		if !tracked.done && c.now > tracked.deadline+c.settings.Rules.ResponseSlack {
			c.fail("rule 1: request %d got no final answer in time", tracked.arrival.ID)
		}
	}
}

// removeDueTimers removes and returns the timers that are due.
func (c *rulesChecker) removeDueTimers() []testTimer {
	var fired []testTimer
	c.timers = slices.DeleteFunc(c.timers, func(t testTimer) bool {
		if t.at <= c.now {
			fired = append(fired, t)
			return true
		}
		return false
	})
	return fired
}

func (c *rulesChecker) deliver(p pendingOutcome) {
	report := LoadReport{Present: c.random.Intn(2) == 0,
		Values: map[Metric]float64{RunningQueries: float64(c.random.Intn(30))}}
	if p.attempt < 0 {
		c.handle(ProbeEnded{Engine: p.engine, Outcome: p.outcome, Report: report})
		return
	}
	p.request.ended[p.attempt], p.request.outcomes[p.attempt] = true, p.outcome
	terminal := p.request.done
	if p.outcome == OK && !p.request.done {
		p.request.done, terminal = true, true
		c.finals++
	}
	c.handle(AttemptEnded{ID: p.request.arrival.ID, Attempt: p.attempt, Engine: p.engine, Outcome: p.outcome,
		Duration: c.now - p.sent, Terminal: terminal, Work: p.request.arrival.EstimatedWork, UsedMB: 100, Report: report})
}

func (c *rulesChecker) randomArrival() {
	class := c.random.Intn(len(c.settings.Classes))
	a := Arrival{Class: class, TableGroup: c.random.Intn(5),
		EstimatedWork:     time.Duration(20+c.random.Intn(300)) * time.Millisecond,
		EstimatedMemoryMB: float64(50 + c.random.Intn(200)),
		Remaining:         time.Duration(20+c.random.Intn(5000)) * time.Millisecond}
	if c.settings.Classes[class].Ordered {
		a.OrderingKey = uint64(1 + c.random.Intn(3))
	}
	tracked := c.arrive(a)
	if c.random.Intn(40) == 0 && !tracked.done {
		tracked.done = true
		c.handle(ClientGone{tracked.arrival.ID})
	}
}

func (c *rulesChecker) randomList() {
	id := c.ids[c.random.Intn(len(c.ids))]
	info := c.engines[id].info
	switch c.random.Intn(5) {
	case 0:
		info.Health = Draining
	case 1:
		info.Health = Gone
	default:
		if info.Health != Ready || c.random.Intn(3) == 0 {
			info.Started = c.now
			c.warmupSends[id] = nil
		}
		info.Health = Ready
	}
	c.applyEngineList(ListDelta, info)
}
