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
	if n1, n2 := g.engines[0].deadlines.countBefore(t3.objectiveDeadline), g.engines[1].deadlines.countBefore(t3.objectiveDeadline); n1 != 1 || n2 != 0 {
		t.Fatalf("ranks %d and %d, want 1 and 0", n1, n2)
	}
}

// Example 2 of the paper: with w1 and w2 of 1, t3 is sent to N2; with w1 of 2, to its affinity engine N1.
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

// Where traffic between zones has a price, the own zone comes first in each step of the selection and in seeds.
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

// Gateways with equal estimates do not all select the same engine.
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
