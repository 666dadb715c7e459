package policy

import (
	"testing"
	"time"
)

// Each guard that keeps a request from an engine is named, and asking has no influence on decisions.
func TestExplainNamesTheBlockingGuard(t *testing.T) {
	for want, change := range map[Guard]func(g *Gateway, e *engine){
		GuardHealth:      func(_ *Gateway, e *engine) { e.ejected = true },
		GuardRejected:    func(g *Gateway, e *engine) { e.rejectingUntil = g.now + time.Second },
		GuardRate:        func(g *Gateway, e *engine) { e.classRates[0].nextSendAt = g.now + time.Second },
		GuardConcurrency: func(g *Gateway, e *engine) { g.loadReported, g.ownThreads, e.ownThreads = true, 100, 100 },
		GuardMemory: func(g *Gateway, e *engine) {
			g.loadReported, g.ownThreads, e.ownThreads, e.grantedMB = true, 0.5, 0.5, 1e9
		},
		GuardNone: func(*Gateway, *engine) {},
	} {
		g := newTestGateway(t, 3, func(s *Settings) { s.Gateways = 10 })
		r := &request{Arrival: Arrival{ID: 1, Class: 0, EstimatedWork: 100 * time.Millisecond, EstimatedMemoryMB: 1000, Remaining: 4 * time.Second},
			class: g.classes[0], group: g.tableGroup(1), deadline: g.now + 4*time.Second, objectiveDeadline: g.now + time.Second, queued: true}
		g.requests[1], g.queue = r, []*request{r}
		change(g, g.engines[0])
		before := len(g.actions)
		held, _, looks := g.Explain(g.now, 1)
		if !held || len(looks) != 3 || looks[0].Guard != want || len(g.actions) != before || !r.queued {
			t.Errorf("%s: held %v, %+v", want, held, looks)
		}
	}
	g := newTestGateway(t, 1, nil)
	if held, _, looks := g.Explain(g.now, 99); held || looks != nil {
		t.Error("a request that nobody knows is held")
	}
	if look := g.Estimate(g.now, 12345); look.ReportAge != -1 {
		t.Errorf("%+v of an engine that nobody knows", look)
	}
}

func TestExplainNamesTheConcurrencyWindow(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	r := &request{Arrival: Arrival{ID: 1, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}, class: g.classes[0],
		group: g.tableGroup(1), deadline: g.now + 4*time.Second, objectiveDeadline: g.now + time.Second, queued: true}
	g.requests[1], g.queue, g.ownThreads, g.windowPerCore = r, []*request{r}, 500, 0.1
	if _, by, _ := g.Explain(g.now, 1); by != GuardWindow {
		t.Errorf("held by %s", by)
	}
}
