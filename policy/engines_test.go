package policy

import (
	"fmt"
	"testing"
	"time"
)

// Checks that the state does not grow without bound while engines, table groups and ordering keys are replaced, because
// a gateway runs for months.
func TestExpireStateBoundsMemory(t *testing.T) {
	t.Parallel()
	for _, retryBudget := range []bool{true, false} {
		t.Run(fmt.Sprintf("retry budget=%v", retryBudget), func(t *testing.T) {
			g := newTestGateway(t, 2, func(s *Settings) { s.Rules.RetryBudget = retryBudget })
			id := RequestID(0)
			for round := range 400 {
				e := EngineInfo{ID: EngineID(1000 + round), Zone: 1}
				g.Handle(g.now+time.Minute, EngineList{Kind: ListDelta, Engines: []EngineInfo{e}})
				for i := range 20 {
					id++
					a := Arrival{ID: id, Class: i % 2, OrderingKey: uint64(id), TableGroup: round, EstimatedWork: time.Millisecond,
						Remaining: 4 * time.Second}
					for _, action := range g.Handle(g.now+100*time.Millisecond, a) {
						if s, ok := action.(Send); ok {
							g.Handle(g.now, AttemptEnded{ID: s.ID, Engine: s.Engine, Outcome: Error})
							g.Handle(g.now, AttemptEnded{ID: s.ID, Attempt: 1, Engine: s.Engine, Outcome: Reset})
						}
					}
				}
				for range 1000 {
					g.Handle(g.now+5*time.Millisecond, TimerFired{Token: reviewTimerToken})
				}
				e.Health = Gone
				g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{e}})
				counted := len(g.acceptedRequests.times) + len(g.retries.times)
				if n := len(g.engines) + len(g.groups) + len(g.keyQueues) + len(g.requests) + counted; n > 150 {
					t.Fatalf("round %d: %d engines, %d groups, %d keys, %d requests, %d counted for the retry budget",
						round, len(g.engines), len(g.groups), len(g.keyQueues), len(g.requests), counted)
				}
			}
		})
	}
}

// Checks that engines that left the fleet are removed from affinity sets. Otherwise the sets would grow where engines
// are replaced all the time.
func TestExpiredEnginesLeaveAffinitySets(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	gr, e := g.tableGroup(1), g.engines[0]
	g.addToSet(gr, e)
	gr.recentThreads.add(g.now, 1)
	g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{{ID: e.ID, Zone: 1, Health: Gone}}})
	g.now += stateExpiry
	gr.recentThreads.add(g.now, 1) // the group itself stays in use
	g.Handle(g.now+time.Second, EngineList{Kind: ListDelta})
	if len(gr.affinitySet) != 0 || len(gr.lastUsed) != 0 || len(g.engines) != 1 {
		t.Fatalf("%d engines in the set and %d in its index, want 0; %d known, want 1",
			len(gr.affinitySet), len(gr.lastUsed), len(g.engines))
	}
}
