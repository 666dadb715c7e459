package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// rulesChecker drives a Gateway with legal events and checks the seven rules on its actions. It models no engine and
// measures nothing.
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

// warmupSend is a send to a warming engine.
type warmupSend struct {
	at   time.Duration
	work float64
}

// listedEngine is an engine as it was last listed.
type listedEngine struct {
	info             EngineInfo
	unavailableSince time.Duration // when it was told to drain or go; 0 = ready
}

// testTimer is a timer that the Gateway set.
type testTimer struct {
	at    time.Duration
	token uint64
}

// pendingOutcome is an outcome to be delivered later. For a probe, attempt is -1 and request nil.
type pendingOutcome struct {
	at      time.Duration
	request *trackedRequest
	attempt int
	engine  EngineID
	sent    time.Duration
	outcome Outcome
}

// trackedRequest is a request with all its attempts.
type trackedRequest struct {
	arrival  Arrival
	deadline time.Duration
	done     bool
	sentAt   []time.Duration
	engines  []EngineID
	ended    []bool
	outcomes []Outcome
}

// inFlight is how many attempts have not ended.
func (q *trackedRequest) inFlight() int {
	n := 0
	for _, e := range q.ended {
		if !e {
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
	return &rulesChecker{t: t, settings: s, gateway: g, random: rand.New(rand.NewSource(seed)), now: time.Hour, nextID: 1,
		engines: map[EngineID]*listedEngine{}, requests: map[RequestID]*trackedRequest{}, warmupSends: map[EngineID][]warmupSend{}}
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
	for _, in := range infos {
		l := c.engines[in.ID]
		if l == nil {
			l = &listedEngine{}
			c.engines[in.ID] = l
			c.ids = append(c.ids, in.ID)
		}
		if in.Health == Ready {
			l.unavailableSince = 0
		} else if l.unavailableSince == 0 {
			l.unavailableSince = c.now
		}
		l.info = in
	}
	c.handle(EngineList{Kind: kind, Engines: infos})
}

func (c *rulesChecker) arrive(a Arrival) *trackedRequest {
	a.ID = c.nextID
	c.nextID++
	q := &trackedRequest{arrival: a, deadline: c.now + a.Remaining}
	c.requests[a.ID] = q
	c.inOrder = append(c.inOrder, q)
	c.acceptedAt = append(c.acceptedAt, c.now)
	c.handle(a)
	return q
}

// apply executes an action and checks it.
func (c *rulesChecker) apply(act Action) {
	switch a := act.(type) {
	case SetTimer:
		c.timers = append(c.timers, testTimer{c.now + max(a.After, 1), a.Token})
	case Send:
		c.recordSend(a)
	case Reject:
		q := c.recordFinal(a.ID)
		for i, o := range q.outcomes {
			mayHaveRun := !q.ended[i] || !o.NeverRan()
			cl := c.settings.Classes[q.arrival.Class]
			if mayHaveRun && (cl.Idempotency == NotIdempotent || cl.Idempotency == IdempotentWithKey && cl.DedupScope != DedupAll) {
				c.fail("rule 2: request %d refused though it may have run", a.ID)
			}
		}
	case Fail:
		c.recordFinal(a.ID)
	case Cancel:
		for i := range c.pending {
			if f := &c.pending[i]; f.attempt >= 0 && f.request.arrival.ID == a.ID && f.attempt == a.Attempt {
				f.at, f.outcome = c.now+5*time.Millisecond, Cancelled
			}
		}
	case Probe:
		o := OK
		if c.random.Intn(3) == 0 {
			o = Timeout
		}
		c.pending = append(c.pending, pendingOutcome{at: c.now + 10*time.Millisecond, engine: a.Engine, attempt: -1, outcome: o})
	}
}

// recordFinal checks that a request gets one final answer only.
func (c *rulesChecker) recordFinal(id RequestID) *trackedRequest {
	q := c.requests[id]
	if q == nil || q.done {
		c.fail("rule 1: second final answer of request %d", id)
	}
	q.done = true
	c.finals++
	return q
}

// recordSend checks a send against the rules and draws its outcome.
func (c *rulesChecker) recordSend(a Send) {
	q, l := c.requests[a.ID], c.engines[a.Engine]
	if q == nil || q.done {
		c.fail("rule 1: send for request %d, which is over", a.ID)
	}
	if l == nil {
		c.fail("send to an engine that was never listed")
	}
	if a.Timeout <= 0 || c.now+a.Timeout > q.deadline {
		c.fail("rule 1: time-out %v outlives the request", a.Timeout)
	}
	cl := c.settings.Classes[q.arrival.Class]
	if l.unavailableSince != 0 && c.now-l.unavailableSince > c.settings.Rules.DrainGrace {
		c.fail("rule 3: send to an engine that drains or is gone")
	}
	if cl.RestrictZones && !slices.Contains(cl.Zones, l.info.Zone) || cl.RestrictKinds && !slices.Contains(cl.Kinds, l.info.Kind) {
		c.fail("rule 6: bound class sent elsewhere")
	}
	if !c.settings.MayHedge && q.inFlight() > 0 {
		c.fail("rule 2: two attempts together")
	}
	if c.settings.MaxAttempts > 0 && len(q.sentAt) >= c.settings.MaxAttempts {
		c.fail("attempt %d of %d", len(q.sentAt)+1, c.settings.MaxAttempts)
	}
	c.checkRepeat(q, l, cl)
	c.checkKeyOrder(q, cl)
	if len(q.sentAt) > 0 {
		c.checkRetryBudget()
	}
	c.checkWarmupBudget(q, l)
	q.sentAt, q.engines = append(q.sentAt, c.now), append(q.engines, a.Engine)
	q.ended, q.outcomes = append(q.ended, false), append(q.outcomes, OK)
	c.sends++
	outcome, took := c.drawOutcome(), time.Duration(1+c.random.Intn(1500))*time.Millisecond
	if took >= a.Timeout {
		outcome, took = Timeout, a.Timeout
	}
	c.pending = append(c.pending, pendingOutcome{at: c.now + took, request: q, attempt: len(q.sentAt) - 1, engine: a.Engine,
		sent: c.now, outcome: outcome})
}

func (c *rulesChecker) drawOutcome() Outcome {
	if c.random.Intn(20) < 17 {
		return OK
	}
	return []Outcome{Error, Rejected, Timeout, NoConnection, Reset, NotSent}[c.random.Intn(6)]
}

// checkRepeat checks rule 2: what may have run is repeated only where that is harmless.
func (c *rulesChecker) checkRepeat(q *trackedRequest, l *listedEngine, cl Class) {
	for i := range q.sentAt {
		if q.ended[i] && q.outcomes[i].NeverRan() {
			continue
		}
		if cl.Idempotency == NotIdempotent {
			c.fail("rule 2: unsafe request sent again")
		}
		if cl.Idempotency != IdempotentWithKey {
			continue
		}
		first := c.engines[q.engines[i]].info
		if c.now-q.sentAt[i] > cl.DedupWindow {
			c.fail("rule 2: keyed request sent again after its window")
		}
		if cl.DedupScope == DedupCell && first.Cell != l.info.Cell || cl.DedupScope == DedupZone && first.Zone != l.info.Zone {
			c.fail("rule 2: keyed request sent out of its group")
		}
	}
}

// checkKeyOrder checks rule 5: requests of a key run one at a time, in order, with a pause after doubtful outcomes.
func (c *rulesChecker) checkKeyOrder(q *trackedRequest, cl Class) {
	if !cl.Ordered || q.arrival.Key == 0 {
		return
	}
	for _, o := range c.inOrder {
		if o == q {
			return
		}
		if o.arrival.Key != q.arrival.Key || !c.settings.Classes[o.arrival.Class].Ordered {
			continue
		}
		if !o.done || o.inFlight() > 0 {
			c.fail("rule 5: request %d sent before %d of its key was over", q.arrival.ID, o.arrival.ID)
		}
		for i, outcome := range o.outcomes {
			rest := outcome == Timeout || outcome == Reset || outcome == Cancelled
			if rest && c.now < o.sentAt[i]+c.settings.Rules.OrderedKeyPause {
				c.fail("rule 5: key did not rest")
			}
		}
	}
}

// checkRetryBudget checks rule 7.
func (c *rulesChecker) checkRetryBudget() {
	if !c.settings.Rules.RetryBudget {
		return
	}
	from, extra, took := c.now-c.settings.Rules.RetryBudgetSpan, 1, 0
	for _, at := range c.retries {
		if at >= from {
			extra++
		}
	}
	for _, at := range c.acceptedAt {
		if at >= from {
			took++
		}
	}
	c.retries = append(c.retries, c.now)
	if float64(extra) > c.settings.Rules.FreeRetries+c.settings.Rules.RetryShare*float64(took) {
		c.fail("rule 7: %d further attempts with %d requests taken", extra, took)
	}
}

// checkWarmupBudget checks rule 4, for this gateway's even share.
func (c *rulesChecker) checkWarmupBudget(q *trackedRequest, l *listedEngine) {
	ru := c.settings.Rules
	if l.info.Started == 0 || c.now-l.info.Started >= ru.WarmupTime {
		return
	}
	work := q.arrival.EstimatedWork.Seconds()
	if c.now-c.gateway.startedAt < ru.WarmupBudgetSpan && l.info.Started < c.gateway.startedAt {
		c.fail("rule 4: a gateway just started sends to a cold engine")
	}
	id := l.info.ID
	c.warmupSends[id] = append(c.warmupSends[id], warmupSend{c.now, work})
	sum := 0.0
	for _, s := range c.warmupSends[id] {
		if s.at >= c.now-ru.WarmupBudgetSpan {
			sum += s.work
		}
	}
	limit := ru.WarmupBudgetMultiple * ru.InitialCapacityShare * c.settings.Kinds[l.info.Kind].Cores * ru.WarmupBudgetSpan.Seconds() / float64(c.settings.Gateways)
	if sum > limit {
		c.fail("rule 4: %.2f s of work sent to a cold engine, %.2f allowed", sum, limit)
	}
}

// step advances the time and delivers what is due.
func (c *rulesChecker) step(d time.Duration) {
	c.now += d
	for _, tm := range c.removeDueTimers() {
		c.handle(TimerFired{tm.token})
	}
	for i := 0; i < len(c.pending); {
		f := c.pending[i]
		if f.at > c.now {
			i++
			continue
		}
		c.pending = slices.Delete(c.pending, i, i+1)
		c.deliver(f)
		i = 0
	}
	for _, q := range c.inOrder {
		if !q.done && c.now > q.deadline+c.settings.Rules.ResponseSlack {
			c.fail("rule 1: request %d has no final answer in time", q.arrival.ID)
		}
	}
}

// removeDueTimers removes and returns the timers that are due.
func (c *rulesChecker) removeDueTimers() []testTimer {
	var ripe []testTimer
	c.timers = slices.DeleteFunc(c.timers, func(d testTimer) bool {
		if d.at <= c.now {
			ripe = append(ripe, d)
			return true
		}
		return false
	})
	return ripe
}

func (c *rulesChecker) deliver(f pendingOutcome) {
	rep := Report{Present: c.random.Intn(2) == 0, Values: map[Metric]float64{Inflight: float64(c.random.Intn(30))}}
	if f.attempt < 0 {
		c.handle(ProbeEnded{Engine: f.engine, Outcome: f.outcome, Report: rep})
		return
	}
	f.request.ended[f.attempt], f.request.outcomes[f.attempt] = true, f.outcome
	terminal := f.request.done
	if f.outcome == OK && !f.request.done {
		f.request.done, terminal = true, true
		c.finals++
	}
	c.handle(AttemptEnded{ID: f.request.arrival.ID, Attempt: f.attempt, Engine: f.engine, Outcome: f.outcome,
		Duration: c.now - f.sent, Terminal: terminal, Work: f.request.arrival.EstimatedWork, UsedMB: 100, Report: rep})
}

func (c *rulesChecker) randomArrival() {
	class := c.random.Intn(len(c.settings.Classes))
	a := Arrival{Class: class, TableGroup: c.random.Intn(5), EstimatedWork: time.Duration(20+c.random.Intn(300)) * time.Millisecond,
		EstimatedMemoryMB: float64(50 + c.random.Intn(200)), Remaining: time.Duration(20+c.random.Intn(5000)) * time.Millisecond}
	if c.settings.Classes[class].Ordered {
		a.Key = uint64(1 + c.random.Intn(3))
	}
	q := c.arrive(a)
	if c.random.Intn(40) == 0 && !q.done {
		q.done = true
		c.handle(ClientGone{q.arrival.ID})
	}
}

func (c *rulesChecker) randomList() {
	id := c.ids[c.random.Intn(len(c.ids))]
	in := c.engines[id].info
	switch c.random.Intn(5) {
	case 0:
		in.Health = Draining
	case 1:
		in.Health = Gone
	default:
		if in.Health != Ready || c.random.Intn(3) == 0 {
			in.Started = c.now
			c.warmupSends[id] = nil
		}
		in.Health = Ready
	}
	c.applyEngineList(ListDelta, in)
}
