package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// Gateways whose views of the fleet are arbitrary, contradict each other, and change at any moment (a split, false
// deaths, late reports, absurd counts) keep together the rule on cold engines, and each the ration of further attempts.
func TestRulesHoldUnderInconsistentFleetViews(t *testing.T) {
	t.Parallel()
	used := 0.0 // of the cold budget, over all runs: nobody sending proves nothing
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Classes = s.Classes[:1]
		s.Gateways = rapid.IntRange(2, 12).Draw(t, "gateways")
		start := time.Hour
		cold := EngineInfo{ID: 77, Started: start}
		all := make([]*viewedGateway, s.Gateways)
		begin := func(i int, now time.Duration) *viewedGateway {
			own := s
			own.Number = i
			g, err := New(own, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			v := &viewedGateway{gateway: g}
			v.apply(now, g.Handle(now, EngineList{Kind: ListFull, Engines: []EngineInfo{cold, {ID: 5}}}))
			return v
		}
		for i := range all {
			all[i] = begin(i, start)
		}
		ru, sends := s.Rules, []warmupSend{}
		budget := ru.WarmupBudgetMultiple * ru.InitialCapacityShare * s.Kinds[0].Cores * ru.WarmupBudgetSpan.Seconds()
		views := rapid.SliceOfN(rapid.SampledFrom([]int{-5, 0, 1, 1, 2, 3, 12, 1 << 40}), 16, 16).Draw(t, "views")
		bad := rapid.IntRange(1, 6).Draw(t, "failing") // of ten attempts
		step := 0
		for now := start; now < start+6*time.Second; now += 40 * time.Millisecond {
			for i, v := range all {
				step++
				if step%97 == 0 {
					v = begin(i, now)
					all[i] = v
				}
				if step%5 == 0 {
					v.apply(now, v.gateway.Handle(now, InService{Count: views[(step/5)%len(views)]}))
				}
				v.next++
				v.accepted = append(v.accepted, now)
				v.apply(now, v.gateway.Handle(now, Arrival{ID: v.next, Class: 0, EstimatedWork: 150 * time.Millisecond, Remaining: 4 * time.Second}))
				v.endAttempts(now, step, bad)
				for _, send := range v.sent {
					if send.engine == cold.ID {
						sends = append(sends, warmupSend{now, 0.15})
					}
					if send.isRetry {
						v.retries = append(v.retries, now)
					}
				}
				v.sent = nil
				if n, ration := countWithin(v.retries, now, ru.RetryBudgetSpan), ru.FreeRetries+ru.RetryShare*float64(countWithin(v.accepted, now, ru.RetryBudgetSpan)); float64(n) > ration {
					t.Fatalf("at %v gateway %d made %d further attempts, %.1f allowed", now-start, i, n, ration)
				}
			}
			sum := 0.0
			for _, c := range sends {
				if c.at > now-ru.WarmupBudgetSpan {
					sum += c.work
				}
			}
			if sum > budget {
				t.Fatalf("at %v a cold engine was sent %.2f s in a span, %.2f allowed", now-start, sum, budget)
			}
			used = max(used, sum/budget)
		}
	})
	if used < 0.1 {
		t.Errorf("no more than %.2f of the cold budget was ever used", used)
	}
}

// viewedGateway is a gateway with what it sent.
type viewedGateway struct {
	gateway  *Gateway
	next     RequestID
	accepted []time.Duration
	retries  []time.Duration
	attempts map[RequestID]int
	open     []sentAttempt
	sent     []sentAttempt
	timers   []pendingTimer
}

type sentAttempt struct {
	id      RequestID
	attempt int
	engine  EngineID
	isRetry bool
	endsAt  time.Duration
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

func (v *viewedGateway) apply(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if v.attempts == nil {
				v.attempts = map[RequestID]int{}
			}
			s := sentAttempt{a.ID, v.attempts[a.ID], a.Engine, v.attempts[a.ID] > 0, now + 200*time.Millisecond}
			v.attempts[a.ID]++
			v.open, v.sent = append(v.open, s), append(v.sent, s)
		case SetTimer:
			v.timers = append(v.timers, pendingTimer{now + a.After, a.Token})
		}
	}
}

// endAttempts lets attempts and timers come due; some attempts fail.
func (v *viewedGateway) endAttempts(now time.Duration, step, bad int) {
	for k := 0; k < len(v.timers); {
		if tm := v.timers[k]; tm.at <= now {
			v.timers = append(v.timers[:k], v.timers[k+1:]...)
			v.apply(now, v.gateway.Handle(now, TimerFired{tm.token}))
			continue
		}
		k++
	}
	for k := 0; k < len(v.open); {
		s := v.open[k]
		if s.endsAt > now {
			k++
			continue
		}
		v.open = append(v.open[:k], v.open[k+1:]...)
		outcome := OK
		if (step*7+k)%10 < bad {
			outcome = Error
		}
		v.apply(now, v.gateway.Handle(now, AttemptEnded{ID: s.id, Attempt: s.attempt, Engine: s.engine, Outcome: outcome,
			Duration: 200 * time.Millisecond, Terminal: outcome == OK}))
	}
}

func countWithin(list []time.Duration, now, span time.Duration) (n int) {
	for _, at := range list {
		if at > now-span {
			n++
		}
	}
	return n
}

// Even parts follow the gateways in service; the count is never over the configured one nor under one.
func TestConcurrencyLimitFollowsGatewaysInService(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Gateways = 10 })
	e := g.engines[0]
	whole := g.concurrencyTarget(e)
	for count, part := range map[int]float64{10: 10, 4: 4, 1: 1, 0: 1, -3: 1, 99: 10} {
		g.Handle(g.now, InService{Count: count})
		if got := g.concurrencyLimit(e, 1); got < whole/part*0.999 || got > whole/part*1.001 {
			t.Errorf("%d in service: a limit of %.2f, want %.2f", count, got, whole/part)
		}
	}
}

// accepts reports whether an engine may get a request now, by room and all else.
func (g *Gateway) accepts(r *request, e *engine) bool { return g.eligible(r, e) && g.hasCapacity(r, e) }

// Guards against the crowded home: a gateway with nothing out sent there though reports told that the engine was full
// and that others had room. 100 gateways did so on a calm day, and one engine held 58 threads while another held 0.7.
func TestIdleGatewayAvoidsALoadedHomeEngine(t *testing.T) {
	g := newTestGateway(t, 6, func(s *Settings) { s.Gateways = 100 })
	r := newTestRequest(g, 1, g.now+time.Second)
	home := g.affinitySet(r.group)[0]
	g.now += time.Second
	for _, e := range g.engines {
		load := 1.0
		if e == home {
			load = 60
		}
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, load, g.now - 200*time.Millisecond}}})
	}
	if g.ownThreads != 0 {
		t.Fatal("the gateway has something out")
	}
	for range 50 {
		if e := g.selectEngine(r); e == nil || e == home {
			t.Fatalf("chose %v, its home is crowded", e)
		}
	}
	for _, e := range g.engines { // where all are crowded it sends all the same, or it would learn nothing
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 60, g.now - 100*time.Millisecond}}})
	}
	if g.selectEngine(r) == nil {
		t.Fatal("with nothing out it sends nothing")
	}
}

// Guards against the bias of answers: crowded engines give few. What gateways tell each other counts each engine once.
func TestMeanPeerLoadIsOverEngines(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	g.now += time.Minute
	for i, e := range g.engines {
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, []float64{40, 40, 0, 0}[i], g.now - time.Second}}})
	}
	for range 200 {
		g.now += 10 * time.Millisecond
		g.applyReport(g.engines[3], Report{Present: true, Values: map[Metric]float64{Inflight: 0}})
	}
	g.handlePeerReports(PeerReports{[]PeerReport{{g.engines[0].ID, 40, g.now - 10*time.Millisecond}}})
	if want := 80 / g.readyCores; g.meanPeerLoad < want*0.9 || g.meanPeerLoad > want*1.1 {
		t.Errorf("a mean of %.2f threads a core, want %.2f", g.meanPeerLoad, want)
	}
}

// Reports of others that are older than the own, of engines that are not listed, or from a time to come change nothing.
func TestOlderOrUnknownPeerReportsAreIgnored(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Gateways = 100 })
	g.now += time.Minute
	e := g.engines[0]
	g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 9, g.now - time.Second}}})
	before := e.reportedPeerThreads
	g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 50, g.now - 2*time.Second}, {e.ID, 50, g.now + time.Second}, {12345, 50, g.now}}})
	if e.reportedPeerThreads != before || e.reportedAt != g.now-time.Second || g.engineByID[12345] != nil {
		t.Errorf("others %v, before %v, of %v", e.reportedPeerThreads, before, g.now-e.reportedAt)
	}
}

// Gateways that all believe the same do not all choose the same engine.
func TestEqualEstimatesDoNotHerd(t *testing.T) {
	chosen := map[EngineID]int{}
	for i := range 200 {
		g, err := New(func() Settings { s := testSettings(); s.Gateways, s.Number = 200, i; return s }(), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		var infos []EngineInfo
		for k := range 20 {
			infos = append(infos, EngineInfo{ID: EngineID(k + 1)})
		}
		g.Handle(time.Hour, EngineList{Kind: ListFull, Engines: infos})
		var told []PeerReport
		for k := range 20 {
			told = append(told, PeerReport{EngineID(k + 1), float64(3 + k%3), time.Hour - time.Second})
		}
		g.Handle(time.Hour, PeerReports{told})
		for _, a := range g.Handle(time.Hour, Arrival{ID: 1, Class: 0, TableGroup: i, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}) {
			if s, ok := a.(Send); ok {
				chosen[s.Engine]++
			}
		}
	}
	for e, n := range chosen {
		if n > 30 {
			t.Errorf("%d of 200 gateways chose engine %d", n, e)
		}
	}
}

// Guards against a belief of half the truth: a gateway that has seen few answers takes a query for more than a thread
// from the start, by its classes' threads and times.
func TestThreadsPerQueryIsWeightedFromTheStart(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[:2]
	s.Classes[1].Threads, s.Classes[1].LatencyObjective = 4, 3*time.Second
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	if want := (1*1.0 + 3*4.0) / (1 + 3); g.threadsPerQuery < want*0.99 || g.threadsPerQuery > want*1.01 {
		t.Errorf("%.2f threads a query, want %.2f", g.threadsPerQuery, want)
	}
	for range 200 { // queries of the first class alone
		g.updateEstimates(&attempt{request: &request{class: g.classes[0], Arrival: Arrival{EstimatedWork: 250 * time.Millisecond}}, expectedSeconds: 1, threads: 1},
			AttemptEnded{Duration: 250 * time.Millisecond})
	}
	if g.threadsPerQuery > 1.1 {
		t.Errorf("%.2f threads a query where one class of one thread runs", g.threadsPerQuery)
	}
}

// Few gateways share one home a group, many have two.
func TestHomesPerGroup(t *testing.T) {
	for siblings, want := range map[int]int{1: 1, 3: 1, 19: 1, 20: 2, 300: 2} {
		homes := map[EngineID]bool{}
		for number := range min(siblings, 4) {
			g := newTestGateway(t, 12, func(s *Settings) { s.Gateways, s.Number = siblings, number })
			homes[g.homeEngine(g.tableGroup(7)).ID] = true
		}
		if len(homes) != want {
			t.Errorf("%d gateways: %d homes, want %d", siblings, len(homes), want)
		}
	}
}

// With subsets a group has one home whatever the gateway's number is, and it is none of the overflow engines while there
// are others.
func TestHomeEngineWithinASubset(t *testing.T) {
	homes := map[EngineID]bool{}
	for number := range 4 {
		g := newTestGateway(t, 12, func(s *Settings) { s.Gateways, s.Number = 300, number })
		g.homeEngine(g.tableGroup(7)) // worked out for the whole fleet's engines first
		g.Handle(g.now, InService{Count: 50, Subset: true})
		home := g.homeEngine(g.tableGroup(7))
		homes[home.ID] = true
		moved := home.EngineInfo
		moved.Overflow = true
		g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{moved}})
		if g.homeEngine(g.tableGroup(7)).ID == home.ID {
			t.Errorf("gateway %d: home at an overflow engine", number)
		}
	}
	if len(homes) != 1 {
		t.Errorf("%d homes", len(homes))
	}
	alone := newTestGateway(t, 1, func(*Settings) {})
	only := alone.engines[0].EngineInfo
	only.Overflow = true
	alone.Handle(alone.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{only}})
	if alone.homeEngine(alone.tableGroup(7)) == nil {
		t.Error("no home where every engine is overflow")
	}
}
