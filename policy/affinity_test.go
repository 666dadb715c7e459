package policy

import (
	"testing"
	"time"
)

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

// A few gateways share one home engine per group, many have two.
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

// With subsets a group has one home engine whatever the gateway's number, and it is no overflow engine while there are
// others.
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
