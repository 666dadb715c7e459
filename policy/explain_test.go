package policy

import (
	"testing"
	"time"
)

// addQueuedRequest adds a request with the ID 1 to the queue.
func addQueuedRequest(g *Gateway) *request {
	r := newTestRequest(g, 1, g.now+time.Second)
	r.Arrival = Arrival{ID: 1, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}
	r.deadline, r.queued = g.now+r.Remaining, true
	g.requests[r.ID], g.queue = r, []*request{r}
	return r
}

// Checks that Explain names the guard that forbids sending a request to an engine, and that it does not change the
// state.
func TestExplainReportsEngineGuard(t *testing.T) {
	for want, change := range map[Guard]func(g *Gateway, e *engine){
		GuardHealth:      func(_ *Gateway, e *engine) { e.ejected = true },
		GuardRejected:    func(g *Gateway, e *engine) { e.rejectingUntil = g.now + time.Second },
		GuardRate:        func(g *Gateway, e *engine) { e.classRateLimits[0].nextSendAt = g.now + time.Second },
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
				t.Errorf("queued: %v, engines %+v, want guard %s at the first of 3", queued, engines, want)
			}
			if len(g.actions) != before || !r.queued {
				t.Error("Explain changed the state of the Gateway")
			}
		})
	}
	g := newTestGateway(t, 1, nil)
	if queued, _, engines := g.Explain(g.now, 99); queued || engines != nil {
		t.Error("Explain reports an unknown request as queued")
	}
	if estimate := g.Estimate(g.now, 12345); estimate.ReportAge != -1 {
		t.Errorf("estimate %+v of an unknown engine, want a report age of -1", estimate)
	}
}

// Checks that Explain names the concurrency window as the guard of a request that exceeds it.
func TestExplainReportsConcurrencyWindow(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	addQueuedRequest(g)
	g.ownThreads, g.windowPerCore = 500, 0.1
	if _, guard, _ := g.Explain(g.now, 1); guard != GuardWindow {
		t.Errorf("guard %s, want %s", guard, GuardWindow)
	}
}
