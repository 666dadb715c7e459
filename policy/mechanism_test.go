package policy

import (
	"testing"
	"time"
)

// handMade is a Gateway with engines of 4 cores, ids 1, 2, 3 ...
func handMade(t *testing.T, engines int, change func(*Settings)) *Gateway {
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
	g.wave = 1 // the examples count queries of a thread
	var infos []EngineInfo
	for i := range engines {
		infos = append(infos, EngineInfo{ID: EngineID(i + 1), Zone: 1})
	}
	g.Handle(time.Hour, EngineList{Kind: ListFull, Engines: infos})
	return g
}

// put books a running query at an engine, as a send would.
func put(g *Gateway, e *engine, tables int, due time.Duration) *attempt {
	r := &request{class: g.classes[0], group: g.groupOf(tables), due: due, end: due + time.Hour}
	a := &attempt{req: r, engine: e, threads: 1, sent: g.now, wants: 1}
	g.book(a)
	return a
}

// use marks engines as used before.
func use(g *Gateway, engines ...*engine) {
	for _, e := range engines {
		e.used = true
		g.usedCores += e.cores
	}
}

func fresh(g *Gateway, tables int, due time.Duration) *request {
	return &request{class: g.classes[0], group: g.groupOf(tables), due: due, end: due + time.Hour}
}

// examples is the situation of the paper's two examples.
func examples(t *testing.T) (*Gateway, *request) {
	g := handMade(t, 2, nil)
	n1, n2 := g.engines[0], g.engines[1]
	g.join(g.groupOf(1), n1)
	g.join(g.groupOf(2), n2)
	put(g, n1, 1, g.now+1*time.Second)         // t1, priority 100
	put(g, n2, 2, g.now+5*time.Second)         // t2, priority 60
	return g, fresh(g, 1, g.now+3*time.Second) // t3, priority 70
}

// Example 1 of the paper: DACA would keep t3 on its affinity engine behind t1, while at N2 it would rank first.
func TestPaperExample1RankSeesTheQueryAhead(t *testing.T) {
	g, t3 := examples(t)
	if n1, n2 := g.engines[0].due.before(t3.due), g.engines[1].due.before(t3.due); n1 != 1 || n2 != 0 {
		t.Fatalf("ranks %d and %d, want 1 and 0", n1, n2)
	}
}

// Example 2: with both windows at 1 t3 goes to N2; with w1 at 2 it stays with its affinity engine.
func TestPaperExample2Windows(t *testing.T) {
	g, t3 := examples(t)
	one := 1 / (g.limit(g.engines[0], 1) / g.wave)
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
	g := handMade(t, 2, nil)
	g.join(g.groupOf(1), g.engines[1])
	put(g, g.engines[1], 1, g.now+time.Second)
	put(g, g.engines[0], 2, g.now+9*time.Second)
	if e := g.choose(fresh(g, 1, g.now+3*time.Second)); e != g.engines[1] {
		t.Fatalf("chose %v", e.ID)
	}
}

func TestOutsiderTakesOverBeyondW1(t *testing.T) {
	g := handMade(t, 2, nil)
	g.join(g.groupOf(1), g.engines[0])
	g.join(g.groupOf(2), g.engines[1])
	for range 5 {
		put(g, g.engines[0], 1, g.now+time.Second)
	}
	use(g, g.engines[1])
	r := fresh(g, 1, g.now+3*time.Second)
	if e := g.choose(r); e != g.engines[0] {
		t.Fatal("under w1 the affinity engine is wanted")
	}
	put(g, g.engines[0], 1, g.now+time.Second)
	put(g, g.engines[0], 1, g.now+time.Second)
	if e := g.choose(r); e != g.engines[1] {
		t.Fatal("beyond w1 the outsider under w2 is wanted")
	}
}

func TestTiesGoToLeastThreads(t *testing.T) {
	g := handMade(t, 2, nil)
	put(g, g.engines[0], 1, g.now+9*time.Second)
	use(g, g.engines[1])
	if e := g.lowestRank(fresh(g, 1, g.now+time.Second), g.engines, 1); e != g.engines[1] {
		t.Fatal("tie not broken by #T")
	}
}

func TestFallbackIsAffinityEngineWithLeastThreads(t *testing.T) {
	g := handMade(t, 3, nil)
	gr := g.groupOf(1)
	g.join(gr, g.engines[0])
	g.join(gr, g.engines[1])
	for i, n := range []int{8, 7, 7} {
		for range n {
			put(g, g.engines[i], 2, g.now+time.Second)
		}
	}
	r := fresh(g, 1, g.now+3*time.Second)
	r.class = &class{Class: Class{Weight: 100, LatencyObjective: time.Second}, threads: 1, bias: 1, stretch: 1} // may go over the limit
	if e := g.choose(r); e != g.engines[1] {
		t.Fatalf("chose %v", e)
	}
}

func TestUnusedEngineCountsAsAverage(t *testing.T) {
	g := handMade(t, 3, nil)
	put(g, g.engines[0], 1, g.now)
	put(g, g.engines[0], 1, g.now)
	use(g, g.engines[1])
	if got := g.ownLoad(g.engines[2]); got != 0.25 {
		t.Fatalf("unused engine counts %v threads a core, want the mean 0.25", got)
	}
}

func TestSeedIsTheLeastLoadedAndGatewaysAgree(t *testing.T) {
	g := handMade(t, 3, nil)
	other := handMade(t, 3, nil)
	seeded := map[EngineID]int{}
	for id := range 6 {
		g.groupOf(id)
		other.groupOf(5 - id)
	}
	for id := range 6 {
		e := g.affinitySet(g.groupOf(id))[0]
		if seeded[e.ID]++; other.affinitySet(other.groupOf(id))[0].ID != e.ID {
			t.Fatalf("two gateways seed group %d with different engines", id)
		}
	}
	if len(seeded) != 3 || seeded[1] != 2 || seeded[2] != 2 {
		t.Fatalf("groups at each engine: %v", seeded)
	}
	for range 6 {
		put(g, g.engines[0], 9, g.now)
		put(g, g.engines[1], 9, g.now)
	}
	use(g, g.engines[2])
	if e := g.affinitySet(g.groupOf(6))[0]; e != g.engines[2] {
		t.Fatal("seed is not the least-loaded engine")
	}
}

func TestSetGrowsWhileItsGroupIsOverloaded(t *testing.T) {
	g := handMade(t, 3, nil)
	gr := g.groupOf(1)
	g.join(gr, g.engines[0])
	put(g, g.engines[0], 1, g.now)
	g.grow(gr)
	if len(gr.set) != 1 {
		t.Fatal("a set grew though nothing is short")
	}
	for range 5 {
		put(g, g.engines[0], 1, g.now)
	}
	use(g, g.engines[1:]...)
	put(g, g.engines[1], 2, g.now)
	g.grow(gr)
	if len(gr.set) != 2 || gr.set[1] != g.engines[2] {
		t.Fatal("the least-loaded outsider did not join")
	}
}

func TestOverloadedGroupHasItsEnginesAlone(t *testing.T) {
	g := handMade(t, 2, nil)
	hot := g.groupOf(1)
	g.join(hot, g.engines[0])
	for range 4 {
		put(g, g.engines[0], 1, g.now)
	}
	use(g, g.engines[1])
	g.mark(hot, g.overloaded(hot))
	if !g.takenAlone(g.engines[0], g.groupOf(2)) || g.takenAlone(g.engines[0], hot) {
		t.Fatal("sole use is for the overloaded group only")
	}
	if e := g.choose(fresh(g, 2, g.now+time.Second)); e != g.engines[1] {
		t.Fatal("another group went to an engine in sole use")
	}
}

func TestUnusedSetMemberDropsOut(t *testing.T) {
	g := handMade(t, 2, nil)
	gr := g.groupOf(1)
	g.join(gr, g.engines[0])
	g.now += 15 * time.Second
	g.join(gr, g.engines[1])
	g.now += 6 * time.Second
	if set := g.affinitySet(gr); len(set) != 1 || set[0] != g.engines[1] {
		t.Fatal("a member unused for 20 s stays")
	}
}

func TestReportStandsInForOwnCount(t *testing.T) {
	g := handMade(t, 1, nil)
	e := g.engines[0]
	put(g, e, 1, g.now)
	if g.sharedLoad(e) != 0.25 {
		t.Fatal("own #T until a report arrives")
	}
	e.ownThen = 1
	g.takeReport(e, Report{Present: true, Values: map[Metric]float64{Inflight: 8}})
	if got := g.sharedLoad(e); got != (7*g.wave+1)/4 {
		t.Fatalf("load %v after a report of 8 queries on 4 cores", got)
	}
}

// Where crossing zones has a price, the own zone comes first in each step, in seeds and in growth.
func TestOwnZoneComesFirstWhereCrossingCosts(t *testing.T) {
	g := handMade(t, 4, func(s *Settings) { s.CrossZoneCost, s.Zone = 0.04, 1 })
	g.engines[0].Zone, g.engines[1].Zone = 0, 0
	gr := g.groupOf(0) // its number would seed engine 1, which is far
	if e := g.affinitySet(gr)[0]; e.Zone != 1 {
		t.Fatal("seeded in the far zone")
	}
	far := g.groupOf(8)
	g.join(far, g.engines[0])
	g.join(far, g.engines[2])
	put(g, g.engines[2], 8, g.now)
	use(g, g.engines[0])
	if e := g.choose(fresh(g, 8, g.now+time.Second)); e != g.engines[2] {
		t.Fatal("a far set member came before a near one under w1")
	}
	g.s.CrossZoneCost = 0
	if e := g.choose(fresh(g, 8, g.now+time.Second)); e != g.engines[0] {
		t.Fatal("zones count though crossing has no price")
	}
}
