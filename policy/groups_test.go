package policy

import (
	"testing"
	"time"
)

const (
	stateTestRequests = 5000
	stateTestInterval = 5 * time.Millisecond
)

// newNames passes requests to a Gateway, each with a table group and an ordering key that no other has had. It answers what the
// Gateway sends with outcome.
func newNames(g *Gateway, class int, remaining time.Duration, outcome Outcome) {
	for id := RequestID(1); id <= stateTestRequests; id++ {
		a := Arrival{ID: id, Class: class, TableGroup: int(id), OrderingKey: uint64(id), EstimatedWork: time.Millisecond, Remaining: remaining}
		for _, action := range g.Handle(g.now+stateTestInterval, a) {
			if s, ok := action.(Send); ok {
				g.Handle(g.now, AttemptEnded{ID: s.ID, Engine: s.Engine, Outcome: outcome, Terminal: true})
			}
		}
		g.Handle(g.now, ClientGone{ID: id})
		g.Handle(g.now, TimerFired{Token: reviewTimerToken})
	}
}

// Checks that table groups and ordering keys that only one request each has named do not accumulate while the engine list stays
// the same. A gateway passed its memory limit after some 380,000 requests that each named a new table group.
func TestNewTableGroupsAndKeysDoNotAccumulate(t *testing.T) {
	t.Parallel()
	const keyed = 1 // an ordered class
	for name, play := range map[string]func(*Gateway){
		"rejected on arrival": func(g *Gateway) { newNames(g, keyed, time.Millisecond, OK) },
		"served":              func(g *Gateway) { newNames(g, keyed, 4*time.Second, OK) },
		"connection lost":     func(g *Gateway) { newNames(g, keyed, 4*time.Second, Reset) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, 2, nil)
			play(g)
			const maxKeys = int(2 * keyExpiryInterval / stateTestInterval)
			if len(g.requests) != 0 || len(g.groups) > maxIdleGroups || len(g.keyQueues) > maxKeys {
				t.Errorf("%d requests, want 0; %d table groups, want at most %d; %d ordering keys, want at most %d",
					len(g.requests), len(g.groups), maxIdleGroups, len(g.keyQueues), maxKeys)
			}
		})
	}
}

// Checks which table groups are evicted: those that were never sent, then those that were sent least recently, but none with a
// request. Groups that clients only name must not displace those in use.
func TestUnsentTableGroupsAreEvictedFirst(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	const sent, open = 1 << 30, 1<<30 + 1
	g.tableGroup(sent).recentThreads.add(g.now, 1)
	g.useGroup(open)
	newNames(g, 0, time.Millisecond, OK)
	if g.groups[sent] == nil || g.groups[open] == nil {
		t.Errorf("sent group kept: %t, group with a request kept: %t, want both", g.groups[sent] != nil, g.groups[open] != nil)
	}
}
