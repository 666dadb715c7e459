package policy

import (
	"testing"
	"time"
)

// paperExampleGateway returns a Gateway in the initial state of the paper's two examples, and their request t3.
func paperExampleGateway(t *testing.T) (*Gateway, *request) {
	g := newTestGateway(t, 2, nil)
	n1, n2 := g.engines[0], g.engines[1]
	g.addToSet(g.tableGroup(1), n1)
	g.addToSet(g.tableGroup(2), n2)
	addInFlight(g, n1, 1, g.now+1*time.Second)          // t1, priority 100
	addInFlight(g, n2, 2, g.now+5*time.Second)          // t2, priority 60
	return g, newTestRequest(g, 1, g.now+3*time.Second) // t3, priority 70
}

// Checks the ranks in example 1 of the paper: t3 would be second after t1 at its affinity engine N1, where DACA sends
// it, but first at N2.
func TestPaperExample1RankCountsEarlierDeadlines(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	rank1 := g.engines[0].deadlines.countBefore(t3.objectiveDeadline)
	rank2 := g.engines[1].deadlines.countBefore(t3.objectiveDeadline)
	if rank1 != 1 || rank2 != 0 {
		t.Fatalf("ranks %d and %d, want 1 and 0", rank1, rank2)
	}
}

// Checks the windows in example 2 of the paper: t3 is sent to N2 if w1 and w2 are 1, and to its affinity engine N1 if
// w1 is 2.
func TestPaperExample2Windows(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	one := 1 / (g.concurrencyLimit(g.engines[0], 1) / g.threadsPerQuery) // share for a window of 1
	n1, n2 := g.engines[:1], g.engines[1:]
	if e := g.lowestRank(t3, n1, one); e != nil {
		t.Fatal("rank 1 is within w1 = 1")
	}
	if e := g.lowestRank(t3, n2, one); e != n2[0] {
		t.Fatal("rank 0 is not within w2 = 1")
	}
	if e := g.lowestRank(t3, n1, 2*one); e != n1[0] {
		t.Fatal("rank 1 is not within w1 = 2")
	}
}

// Checks that step 2a precedes step 2b: an engine of the affinity set is selected while its rank is below w1, although
// another engine has a lower load.
func TestSelectEnginePrefersAffinitySetWithinW1(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	g.addToSet(g.tableGroup(1), g.engines[1])
	addInFlight(g, g.engines[1], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 2, g.now+9*time.Second)
	if e := g.selectEngine(newTestRequest(g, 1, g.now+3*time.Second)); e != g.engines[1] {
		t.Fatalf("selected engine %v, want the affinity engine", e.ID)
	}
}

// Checks step 2b: an engine outside the affinity set is selected once the rank at the affinity engine reaches w1.
func TestSelectEngineLeavesAffinitySetBeyondW1(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	g.addToSet(g.tableGroup(1), g.engines[0])
	g.addToSet(g.tableGroup(2), g.engines[1])
	for range 5 {
		addInFlight(g, g.engines[0], 1, g.now+time.Second)
	}
	markUsed(g, g.engines[1])
	r := newTestRequest(g, 1, g.now+3*time.Second)
	if e := g.selectEngine(r); e != g.engines[0] {
		t.Fatal("the affinity engine is not selected although its rank is below w1")
	}
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatal("the other engine is not selected although the rank at the affinity engine has reached w1")
	}
}

// Checks that the engine with the lowest #T is selected among engines of equal rank.
func TestLowestRankBreaksTiesByOwnThreads(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	addInFlight(g, g.engines[0], 1, g.now+9*time.Second)
	markUsed(g, g.engines[1])
	if e := g.lowestRank(newTestRequest(g, 1, g.now+time.Second), g.engines, 1); e != g.engines[1] {
		t.Fatal("the engine with the lower #T is not selected")
	}
}

// Checks step 3: if no rank is below its window, the engine with the lowest #T in the affinity set is selected.
func TestSelectEngineFallsBackToLeastLoadedAffinityEngine(t *testing.T) {
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
	highWeight := Class{Weight: 100, LatencyObjective: time.Second} // may exceed the concurrency limit
	r.class = &class{Class: highWeight, threads: 1, workCorrection: 1, slowdown: 1}
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatalf("selected %v, want the affinity engine with the lowest #T", e)
	}
}

// Checks that an engine that this gateway has not used yet counts with the mean load of the used ones.
func TestUnusedEngineCountsAsMeanLoad(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	addInFlight(g, g.engines[0], 1, g.now)
	addInFlight(g, g.engines[0], 1, g.now)
	markUsed(g, g.engines[1])
	if got := g.ownLoadPerCore(g.engines[2]); got != 0.25 {
		t.Fatalf("an unused engine counts with %v threads per core, want the mean of the used ones, 0.25", got)
	}
}

// Checks that engines in the gateway's own zone are preferred if traffic between zones has a cost, both for the first
// engine of an affinity set and in each step of the selection.
func TestOwnZoneIsPreferredWhenCrossZoneTrafficCosts(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.CrossZoneCost, s.Zone = 0.04, 1 })
	g.engines[0].Zone, g.engines[1].Zone = 0, 0
	gr := g.tableGroup(0) // without the cost, its home engine would be engine 1, in the other zone
	if e := g.affinitySet(gr)[0]; e.Zone != 1 {
		t.Fatal("the first engine of the set is in the other zone")
	}
	mixed := g.tableGroup(8)
	g.addToSet(mixed, g.engines[0])
	g.addToSet(mixed, g.engines[2])
	addInFlight(g, g.engines[2], 8, g.now)
	markUsed(g, g.engines[0])
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[2] {
		t.Fatal("the affinity engine in the own zone is not preferred")
	}
	g.settings.CrossZoneCost = 0
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[0] {
		t.Fatal("the own zone is preferred although traffic between zones is free")
	}
}

// Checks that gateways with equal load estimates do not all select the same engine (no herding).
func TestEqualEstimatesSpreadAcrossEngines(t *testing.T) {
	const gateways, engines = 200, 20
	selected := map[EngineID]int{}
	for number := range gateways {
		s := testSettings()
		s.Gateways, s.GatewayIndex = gateways, number
		g, err := New(s, uint64(number))
		if err != nil {
			t.Fatal(err)
		}
		var infos []EngineInfo
		var reports []PeerReport
		for i := range engines {
			id := EngineID(i + 1)
			infos = append(infos, EngineInfo{ID: id})
			reports = append(reports, PeerReport{id, float64(3 + i%3), time.Hour - time.Second})
		}
		g.Handle(time.Hour, EngineList{Kind: ListFull, Engines: infos})
		g.Handle(time.Hour, PeerReports{reports})
		a := Arrival{ID: 1, Class: 0, TableGroup: number, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}
		for _, action := range g.Handle(time.Hour, a) {
			if send, ok := action.(Send); ok {
				selected[send.Engine]++
			}
		}
	}
	for id, n := range selected {
		if n > 30 {
			t.Errorf("%d of %d gateways selected engine %d, want at most 30", n, gateways, id)
		}
	}
}
