package policy

import (
	"testing"
	"time"
)

// A group is seeded with its home engine, the same at every gateway, unless another engine is clearly less loaded.
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
		t.Fatalf("groups by engine %v, want two at each", seeded)
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

// Node expansion: the affinity set of an overloaded group gets the least-loaded other engine.
func TestAffinitySetExpandsWhileGroupIsOverloaded(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	addInFlight(g, g.engines[0], 1, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 1 {
		t.Fatal("the set expanded although the fleet is not loaded")
	}
	for range 5 {
		addInFlight(g, g.engines[0], 1, g.now)
	}
	markUsed(g, g.engines[1:]...)
	addInFlight(g, g.engines[1], 2, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 2 || gr.affinitySet[1] != g.engines[2] {
		t.Fatal("the least-loaded other engine did not join the set")
	}
}

// No other group uses the engines of an overloaded group.
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
		t.Fatal("an engine of the overloaded group is not exclusively owned by it")
	}
	if e := g.selectEngine(newTestRequest(g, 2, g.now+time.Second)); e != g.engines[1] {
		t.Fatal("another group uses an exclusively owned engine")
	}
}

// An engine that its group did not use for 20 s leaves the affinity set.
func TestIdleAffinityEngineIsRemoved(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	g.now += 15 * time.Second
	g.addToSet(gr, g.engines[1])
	g.now += 6 * time.Second
	if set := g.affinitySet(gr); len(set) != 1 || set[0] != g.engines[1] {
		t.Fatal("an engine unused for 21 s is still in the set")
	}
}

// A few gateways share one home engine per group, many have two.
func TestHomesPerGroup(t *testing.T) {
	for gateways, want := range map[int]int{1: 1, 3: 1, 19: 1, 20: 2, 300: 2} {
		homes := map[EngineID]bool{}
		for number := range min(gateways, 4) {
			g := newTestGateway(t, 12, func(s *Settings) { s.Gateways, s.GatewayIndex = gateways, number })
			homes[g.homeEngine(g.tableGroup(7)).ID] = true
		}
		if len(homes) != want {
			t.Errorf("%d gateways: %d home engines, want %d", gateways, len(homes), want)
		}
	}
}

// With subsets a group has one home engine whatever the gateway's number, and it is no overflow engine while there are
// others.
func TestHomeEngineWithinASubset(t *testing.T) {
	homes := map[EngineID]bool{}
	for number := range 4 {
		g := newTestGateway(t, 12, func(s *Settings) { s.Gateways, s.GatewayIndex = 300, number })
		g.homeEngine(g.tableGroup(7)) // computed for the complete fleet first
		g.Handle(g.now, GatewaysInService{Count: 50, Subset: true})
		home := g.homeEngine(g.tableGroup(7))
		homes[home.ID] = true
		overflow := home.EngineInfo
		overflow.Overflow = true
		g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{overflow}})
		if g.homeEngine(g.tableGroup(7)).ID == home.ID {
			t.Errorf("gateway %d: the home engine is an overflow engine", number)
		}
	}
	if len(homes) != 1 {
		t.Errorf("%d home engines, want 1", len(homes))
	}
	g := newTestGateway(t, 1, nil)
	only := g.engines[0].EngineInfo
	only.Overflow = true
	g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{only}})
	if g.homeEngine(g.tableGroup(7)) == nil {
		t.Error("no home engine where every engine is an overflow engine")
	}
}
