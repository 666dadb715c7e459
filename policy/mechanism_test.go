package policy

import (
	"testing"
	"time"
)

// newTestGateway is a Gateway with engines of 4 cores, ids 1, 2, 3 ...
func newTestGateway(t *testing.T, engines int, change func(*Settings)) *Gateway {
	t.Helper()
	s := testSettings()
	s.Gateways, s.Kinds = 1, []Kind{{4, 8192}}
	if change != nil {
		change(&s)
	}
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g.threadsPerQuery = 1 // the examples count queries of a thread
	var infos []EngineInfo
	for i := range engines {
		infos = append(infos, EngineInfo{ID: EngineID(i + 1), Zone: 1})
	}
	g.Handle(time.Hour, EngineList{Kind: ListFull, Engines: infos})
	return g
}

// addInFlight books a running query at an engine, as a send would.
func addInFlight(g *Gateway, e *engine, tables int, due time.Duration) *attempt {
	r := &request{class: g.classes[0], group: g.tableGroup(tables), objectiveDeadline: due, deadline: due + time.Hour}
	a := &attempt{request: r, engine: e, threads: 1, sentAt: g.now, expectedSeconds: 1}
	g.recordSend(a)
	return a
}

// markUsed marks engines as used before.
func markUsed(g *Gateway, engines ...*engine) {
	for _, e := range engines {
		e.used = true
		g.usedCores += e.cores
	}
}

func newTestRequest(g *Gateway, tables int, due time.Duration) *request {
	return &request{class: g.classes[0], group: g.tableGroup(tables), objectiveDeadline: due, deadline: due + time.Hour}
}

// paperExampleGateway is the situation of the paper's two examples.
func paperExampleGateway(t *testing.T) (*Gateway, *request) {
	g := newTestGateway(t, 2, nil)
	n1, n2 := g.engines[0], g.engines[1]
	g.addToSet(g.tableGroup(1), n1)
	g.addToSet(g.tableGroup(2), n2)
	addInFlight(g, n1, 1, g.now+1*time.Second)          // t1, priority 100
	addInFlight(g, n2, 2, g.now+5*time.Second)          // t2, priority 60
	return g, newTestRequest(g, 1, g.now+3*time.Second) // t3, priority 70
}

// Example 1 of the paper: DACA would keep t3 on its affinity engine behind t1, while at N2 it would rank first.
func TestPaperExample1RankCountsEarlierDeadlines(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	if n1, n2 := g.engines[0].deadlines.countBefore(t3.objectiveDeadline), g.engines[1].deadlines.countBefore(t3.objectiveDeadline); n1 != 1 || n2 != 0 {
		t.Fatalf("ranks %d and %d, want 1 and 0", n1, n2)
	}
}

// Example 2: with both windows at 1 t3 goes to N2; with w1 at 2 it stays with its affinity engine.
func TestPaperExample2Windows(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	one := 1 / (g.concurrencyLimit(g.engines[0], 1) / g.threadsPerQuery)
	all := g.engines
	if e := g.lowestRank(t3, all[:1], one); e != nil {
		t.Fatal("w1 = 1 lets rank 1 pass")
	}
	if e := g.lowestRank(t3, all[1:], one); e != all[1] {
		t.Fatal("w2 = 1 does not let rank 0 pass")
	}
	if e := g.lowestRank(t3, all[:1], 2*one); e != all[0] {
		t.Fatal("w1 = 2 does not let rank 1 pass")
	}
}

func TestAffinityEngineComesBeforeAnEmptierOutsider(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	g.addToSet(g.tableGroup(1), g.engines[1])
	addInFlight(g, g.engines[1], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 2, g.now+9*time.Second)
	if e := g.selectEngine(newTestRequest(g, 1, g.now+3*time.Second)); e != g.engines[1] {
		t.Fatalf("chose %v", e.ID)
	}
}

func TestOutsiderIsChosenBeyondW1(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	g.addToSet(g.tableGroup(1), g.engines[0])
	g.addToSet(g.tableGroup(2), g.engines[1])
	for range 5 {
		addInFlight(g, g.engines[0], 1, g.now+time.Second)
	}
	markUsed(g, g.engines[1])
	r := newTestRequest(g, 1, g.now+3*time.Second)
	if e := g.selectEngine(r); e != g.engines[0] {
		t.Fatal("under w1 the affinity engine is wanted")
	}
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatal("beyond w1 the outsider under w2 is wanted")
	}
}

func TestRankTiesGoToLeastOwnThreads(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	addInFlight(g, g.engines[0], 1, g.now+9*time.Second)
	markUsed(g, g.engines[1])
	if e := g.lowestRank(newTestRequest(g, 1, g.now+time.Second), g.engines, 1); e != g.engines[1] {
		t.Fatal("tie not broken by #T")
	}
}

func TestFallbackIsAffinityEngineWithLeastOwnThreads(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	g.addToSet(gr, g.engines[1])
	for i, n := range []int{8, 7, 7} {
		for range n {
			addInFlight(g, g.engines[i], 2, g.now+time.Second)
		}
	}
	r := newTestRequest(g, 1, g.now+3*time.Second)
	r.class = &class{Class: Class{Weight: 100, LatencyObjective: time.Second}, threads: 1, workCorrection: 1, slowdown: 1} // may go over the limit
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatalf("chose %v", e)
	}
}

func TestUnusedEngineCountsAsMeanLoad(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	addInFlight(g, g.engines[0], 1, g.now)
	addInFlight(g, g.engines[0], 1, g.now)
	markUsed(g, g.engines[1])
	if got := g.ownLoadPerCore(g.engines[2]); got != 0.25 {
		t.Fatalf("unused engine counts %v threads a core, want the mean 0.25", got)
	}
}

func TestSeedIsLeastLoadedAndEqualOnAllGateways(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	other := newTestGateway(t, 3, nil)
	seeded := map[EngineID]int{}
	for id := range 6 {
		g.tableGroup(id)
		other.tableGroup(5 - id)
	}
	for id := range 6 {
		e := g.affinitySet(g.tableGroup(id))[0]
		if seeded[e.ID]++; other.affinitySet(other.tableGroup(id))[0].ID != e.ID {
			t.Fatalf("two gateways seed group %d with different engines", id)
		}
	}
	if len(seeded) != 3 || seeded[1] != 2 || seeded[2] != 2 {
		t.Fatalf("groups at each engine: %v", seeded)
	}
	for range 6 {
		addInFlight(g, g.engines[0], 9, g.now)
		addInFlight(g, g.engines[1], 9, g.now)
	}
	markUsed(g, g.engines[2])
	if e := g.affinitySet(g.tableGroup(6))[0]; e != g.engines[2] {
		t.Fatal("seed is not the least-loaded engine")
	}
}

func TestAffinitySetExpandsWhileGroupIsOverloaded(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	addInFlight(g, g.engines[0], 1, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 1 {
		t.Fatal("a set grew though nothing is short")
	}
	for range 5 {
		addInFlight(g, g.engines[0], 1, g.now)
	}
	markUsed(g, g.engines[1:]...)
	addInFlight(g, g.engines[1], 2, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 2 || gr.affinitySet[1] != g.engines[2] {
		t.Fatal("the least-loaded outsider did not join")
	}
}

func TestOverloadedGroupOwnsItsEnginesExclusively(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	hot := g.tableGroup(1)
	g.addToSet(hot, g.engines[0])
	for range 4 {
		addInFlight(g, g.engines[0], 1, g.now)
	}
	markUsed(g, g.engines[1])
	g.setOverloaded(hot, g.groupOverloaded(hot))
	if !g.exclusivelyOwned(g.engines[0], g.tableGroup(2)) || g.exclusivelyOwned(g.engines[0], hot) {
		t.Fatal("sole use is for the overloaded group only")
	}
	if e := g.selectEngine(newTestRequest(g, 2, g.now+time.Second)); e != g.engines[1] {
		t.Fatal("another group went to an engine in sole use")
	}
}

func TestIdleAffinityEngineIsRemoved(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	g.now += 15 * time.Second
	g.addToSet(gr, g.engines[1])
	g.now += 6 * time.Second
	if set := g.affinitySet(gr); len(set) != 1 || set[0] != g.engines[1] {
		t.Fatal("a member unused for 20 s stays")
	}
}

func TestReportReplacesOwnCountInOverloadTest(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now)
	if g.totalLoadPerCore(e) != 0.25 {
		t.Fatal("own #T until a report arrives")
	}
	e.smoothedInFlight = 1
	g.applyReport(e, Report{Present: true, Values: map[Metric]float64{Inflight: 8}})
	if got := g.totalLoadPerCore(e); got != (7*g.threadsPerQuery+1)/4 {
		t.Fatalf("load %v after a report of 8 queries on 4 cores", got)
	}
}

// Where crossing zones has a price, the own zone comes first in each step, in seeds and in growth.
func TestOwnZoneIsPreferredWhenCrossZoneTrafficCosts(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.CrossZoneCost, s.Zone = 0.04, 1 })
	g.engines[0].Zone, g.engines[1].Zone = 0, 0
	gr := g.tableGroup(0) // its number would seed engine 1, which is far
	if e := g.affinitySet(gr)[0]; e.Zone != 1 {
		t.Fatal("seeded in the far zone")
	}
	far := g.tableGroup(8)
	g.addToSet(far, g.engines[0])
	g.addToSet(far, g.engines[2])
	addInFlight(g, g.engines[2], 8, g.now)
	markUsed(g, g.engines[0])
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[2] {
		t.Fatal("a far set member came before a near one under w1")
	}
	g.settings.CrossZoneCost = 0
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[0] {
		t.Fatal("zones count though crossing has no price")
	}
}
