package policy

import (
	"testing"
	"time"
)

// Checks that the first engine of an affinity set is the group's home engine, which is the same on all gateways, unless
// another engine has a clearly lower load.
func TestSeedEngineIsSameOnAllGatewaysUnlessLoaded(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	other := newTestGateway(t, 3, nil)
	groupsByEngine := map[EngineID]int{}
	for id := range 6 {
		g.tableGroup(id)
		other.tableGroup(5 - id)
	}
	for id := range 6 {
		e := g.affinitySet(g.tableGroup(id))[0]
		if groupsByEngine[e.ID]++; other.affinitySet(other.tableGroup(id))[0].ID != e.ID {
			t.Fatalf("two gateways start the affinity set of group %d with different engines", id)
		}
	}
	if len(groupsByEngine) != 3 || groupsByEngine[1] != 2 || groupsByEngine[2] != 2 {
		t.Fatalf("groups by engine: %v, want two for each", groupsByEngine)
	}
	for range 6 {
		addInFlight(g, g.engines[0], 9, g.now)
		addInFlight(g, g.engines[1], 9, g.now)
	}
	markUsed(g, g.engines[2])
	if e := g.affinitySet(g.tableGroup(6))[0]; e != g.engines[2] {
		t.Fatal("the first engine is not the least-loaded one")
	}
}

// Checks node expansion: the least-loaded other engine is added to the affinity set of an overloaded group.
func TestExpandSetAddsLeastLoadedEngineToOverloadedGroup(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	gr := g.tableGroup(1)
	g.addToSet(gr, g.engines[0])
	addInFlight(g, g.engines[0], 1, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 1 {
		t.Fatal("the set was expanded although the fleet is not loaded")
	}
	for range 5 {
		addInFlight(g, g.engines[0], 1, g.now)
	}
	markUsed(g, g.engines[1:]...)
	addInFlight(g, g.engines[1], 2, g.now)
	g.expandSet(gr)
	if len(gr.affinitySet) != 2 || gr.affinitySet[1] != g.engines[2] {
		t.Fatal("the least-loaded other engine was not added to the set")
	}
}

// Checks that no other group uses the engines in the affinity set of an overloaded group.
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

// Checks that an engine that the group has not used for 20 s is removed from the affinity set.
func TestAffinitySetRemovesIdleEngine(t *testing.T) {
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

// Checks that a group has one home engine with fewer than 20 gateways and two from 20 gateways on.
func TestHomesPerGroupByGatewayCount(t *testing.T) {
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

// Checks that a group has the same home engine on all gateways that share a subset of the engines, and that this is an
// overflow engine only if there is no other engine.
func TestHomeEngineInSubsetAvoidsOverflowEngines(t *testing.T) {
	homes := map[EngineID]bool{}
	for number := range 4 {
		g := newTestGateway(t, 12, func(s *Settings) { s.Gateways, s.GatewayIndex = 300, number })
		g.homeEngine(g.tableGroup(7)) // caches the home engine for the complete fleet
		g.Handle(g.now, GatewaysInService{Count: 50, UsesSubset: true})
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
		t.Error("no home engine although an overflow engine is ready")
	}
}
