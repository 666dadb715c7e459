package policy

import (
	"testing"
	"time"
)

// addQueuedRequest puts a request with the ID 1 into the queue.
func addQueuedRequest(g *Gateway) *request {
	r := newTestRequest(g, 1, g.now+time.Second)
	r.Arrival = Arrival{ID: 1, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}
	r.deadline, r.queued = g.now+r.Remaining, true
	g.requests[r.ID], g.queue = r, []*request{r}
	return r
}

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
		t.Run(string(want), func(t *testing.T) {
			g := newTestGateway(t, 3, func(s *Settings) { s.Gateways = 10 })
			r := addQueuedRequest(g)
			r.EstimatedMemoryMB = 1000
			change(g, g.engines[0])
			before := len(g.actions)
			queued, _, engines := g.Explain(g.now, 1)
			if !queued || len(engines) != 3 || engines[0].Guard != want {
				t.Errorf("queued %v, engines %+v", queued, engines)
			}
			if len(g.actions) != before || !r.queued {
				t.Error("Explain has influenced the Gateway")
			}
		})
	}
	g := newTestGateway(t, 1, nil)
	if queued, _, engines := g.Explain(g.now, 99); queued || engines != nil {
		t.Error("an unknown request is queued")
	}
	if estimate := g.Estimate(g.now, 12345); estimate.ReportAge != -1 {
		t.Errorf("%+v for an unknown engine", estimate)
	}
}

// A request that exceeds the concurrency window is kept in the queue by that guard.
func TestExplainNamesTheConcurrencyWindow(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	addQueuedRequest(g)
	g.ownThreads, g.windowPerCore = 500, 0.1
	if _, guard, _ := g.Explain(g.now, 1); guard != GuardWindow {
		t.Errorf("guard %s, want %s", guard, GuardWindow)
	}
}
