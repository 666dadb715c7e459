package policy

import (
	"testing"
	"time"
)

// paperExampleGateway is the situation of the paper's two examples, and their request t3.
func paperExampleGateway(t *testing.T) (*Gateway, *request) {
	g := newTestGateway(t, 2, nil)
	n1, n2 := g.engines[0], g.engines[1]
	g.addToSet(g.tableGroup(1), n1)
	g.addToSet(g.tableGroup(2), n2)
	addInFlight(g, n1, 1, g.now+1*time.Second)          // t1, priority 100
	addInFlight(g, n2, 2, g.now+5*time.Second)          // t2, priority 60
	return g, newTestRequest(g, 1, g.now+3*time.Second) // t3, priority 70
}

// Example 1 of the paper: DACA would send t3 to its affinity engine N1 behind t1, although at N2 it would come first.
func TestPaperExample1RankCountsEarlierDeadlines(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	rank1 := g.engines[0].deadlines.countBefore(t3.objectiveDeadline)
	rank2 := g.engines[1].deadlines.countBefore(t3.objectiveDeadline)
	if rank1 != 1 || rank2 != 0 {
		t.Fatalf("ranks %d and %d, want 1 and 0", rank1, rank2)
	}
}

// Example 2 of the paper: with w1 and w2 of 1, t3 is sent to N2; with w1 of 2, to its affinity engine N1.
func TestPaperExample2Windows(t *testing.T) {
	g, t3 := paperExampleGateway(t)
	one := 1 / (g.concurrencyLimit(g.engines[0], 1) / g.threadsPerQuery) // the share at which a window is 1
	n1, n2 := g.engines[:1], g.engines[1:]
	if e := g.lowestRank(t3, n1, one); e != nil {
		t.Fatal("w1 = 1 lets rank 1 pass")
	}
	if e := g.lowestRank(t3, n2, one); e != n2[0] {
		t.Fatal("w2 = 1 does not let rank 0 pass")
	}
	if e := g.lowestRank(t3, n1, 2*one); e != n1[0] {
		t.Fatal("w1 = 2 does not let rank 1 pass")
	}
}

// Step 2a precedes step 2b: under w1 an affinity engine is selected although another engine is emptier.
func TestAffinityEngineComesBeforeAnEmptierOutsider(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	g.addToSet(g.tableGroup(1), g.engines[1])
	addInFlight(g, g.engines[1], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 2, g.now+9*time.Second)
	if e := g.selectEngine(newTestRequest(g, 1, g.now+3*time.Second)); e != g.engines[1] {
		t.Fatalf("selected engine %v, want the affinity engine", e.ID)
	}
}

// Step 2b: once the rank at the affinity engine reaches w1, an engine outside the set is selected.
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
		t.Fatal("the affinity engine is not selected under w1")
	}
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatal("the engine under w2 is not selected beyond w1")
	}
}

// Engines of equal rank are compared by #T.
func TestRankTiesGoToLeastOwnThreads(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	addInFlight(g, g.engines[0], 1, g.now+9*time.Second)
	markUsed(g, g.engines[1])
	if e := g.lowestRank(newTestRequest(g, 1, g.now+time.Second), g.engines, 1); e != g.engines[1] {
		t.Fatal("the tie is not decided by #T")
	}
}

// Step 3: if no rank is below its window, the affinity engine of least #T is selected.
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
	valuable := Class{Weight: 100, LatencyObjective: time.Second} // may exceed the concurrency limit
	r.class = &class{Class: valuable, threads: 1, workCorrection: 1, slowdown: 1}
	if e := g.selectEngine(r); e != g.engines[1] {
		t.Fatalf("selected %v, want the affinity engine of least #T", e)
	}
}

// An engine without own attempts so far counts as average.
func TestUnusedEngineCountsAsMeanLoad(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	addInFlight(g, g.engines[0], 1, g.now)
	addInFlight(g, g.engines[0], 1, g.now)
	markUsed(g, g.engines[1])
	if got := g.ownLoadPerCore(g.engines[2]); got != 0.25 {
		t.Fatalf("an unused engine counts as %v threads per core, want the mean 0.25", got)
	}
}

// Where traffic between zones has a price, the own zone comes first in each step of the selection and in seeds.
func TestOwnZoneIsPreferredWhenCrossZoneTrafficCosts(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.CrossZoneCost, s.Zone = 0.04, 1 })
	g.engines[0].Zone, g.engines[1].Zone = 0, 0
	gr := g.tableGroup(0) // its home engine would be engine 1, in the other zone
	if e := g.affinitySet(gr)[0]; e.Zone != 1 {
		t.Fatal("seeded in the other zone")
	}
	mixed := g.tableGroup(8)
	g.addToSet(mixed, g.engines[0])
	g.addToSet(mixed, g.engines[2])
	addInFlight(g, g.engines[2], 8, g.now)
	markUsed(g, g.engines[0])
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[2] {
		t.Fatal("an affinity engine of the other zone precedes one of the own zone under w1")
	}
	g.settings.CrossZoneCost = 0
	if e := g.selectEngine(newTestRequest(g, 8, g.now+time.Second)); e != g.engines[0] {
		t.Fatal("the zone matters although traffic between zones is free")
	}
}

// Gateways with equal estimates do not all select the same engine.
func TestEqualEstimatesDoNotHerd(t *testing.T) {
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
