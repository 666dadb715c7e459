package policy

import (
	"fmt"
	"testing"
	"time"
)

// A gateway runs for months: with ever new engines, groups and keys its state levels off.
func TestStateStaysBounded(t *testing.T) {
	t.Parallel()
	for _, budgeted := range []bool{true, false} {
		t.Run(fmt.Sprintf("retry budget=%v", budgeted), func(t *testing.T) {
			g := newTestGateway(t, 2, func(s *Settings) { s.Rules.RetryBudget = budgeted })
			id := RequestID(0)
			for day := range 400 {
				e := EngineInfo{ID: EngineID(1000 + day), Zone: 1}
				g.Handle(g.now+time.Minute, EngineList{Kind: ListDelta, Engines: []EngineInfo{e}})
				for i := range 20 {
					id++
					a := Arrival{ID: id, Class: i % 2, OrderingKey: uint64(id), TableGroup: day, EstimatedWork: time.Millisecond,
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
						day, len(g.engines), len(g.groups), len(g.keyQueues), len(g.requests), counted)
				}
			}
		})
	}
}

// Where engines are replaced all day, affinity sets kept those that had left for good.
func TestGoneEnginesLeaveAffinitySets(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	gr, e := g.tableGroup(1), g.engines[0]
	g.addToSet(gr, e)
	gr.recentThreads.add(g.now, 1)
	g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{{ID: e.ID, Zone: 1, Health: Gone}}})
	g.now += stateExpiry
	gr.recentThreads.add(g.now, 1) // the group itself stays in use
	g.Handle(g.now+time.Second, EngineList{Kind: ListDelta})
	if len(gr.affinitySet) != 0 || len(gr.lastUsed) != 0 || len(g.engines) != 1 {
		t.Fatalf("%d engines in the set, %d in its index, %d known", len(gr.affinitySet), len(gr.lastUsed), len(g.engines))
	}
}
