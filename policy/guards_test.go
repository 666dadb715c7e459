package policy

import (
	"testing"
	"time"
)

// send is the last place before an attempt goes out: whatever chose the engine, its guards hold.
func TestSendChecksEveryGuard(t *testing.T) {
	for name, spoil := range map[string]func(*Gateway, *request, *engine){
		"rule 1: over":          func(g *Gateway, r *request, e *engine) { r.done = true },
		"rule 1: out of time":   func(g *Gateway, r *request, e *engine) { r.deadline = g.now },
		"rule 1: attempts":      func(g *Gateway, r *request, e *engine) { g.settings.MaxAttempts, r.attempts = 1, []*attempt{{}} },
		"rule 2: two together":  func(g *Gateway, r *request, e *engine) { r.inFlight = 1 },
		"rule 2: unsafe ran":    func(g *Gateway, r *request, e *engine) { r.class, r.firstPossibleRun = g.classes[2], &attempt{} },
		"rule 3: drains":        func(g *Gateway, r *request, e *engine) { e.Health = Draining },
		"rule 3: gone":          func(g *Gateway, r *request, e *engine) { e.Health = Gone },
		"rule 4: cold":          func(g *Gateway, r *request, e *engine) { e.Started, r.EstimatedWork = g.now, time.Minute },
		"rule 6: placement":     func(g *Gateway, r *request, e *engine) { r.class, e.Zone = g.classes[3], 0 },
		"rule 7: budget is out": func(g *Gateway, r *request, e *engine) { g.settings.Rules.FreeRetries, r.attempts = 0, []*attempt{{}} },
	} {
		g := newTestGateway(t, 2, nil)
		g.actions = nil
		r, e := newTestRequest(g, 1, g.now+time.Second), g.engines[0]
		spoil(g, r, e)
		g.send(r, e)
		if len(g.actions) != 0 {
			t.Errorf("%s: %v", name, g.actions)
		}
	}
	g := newTestGateway(t, 2, nil)
	r := newTestRequest(g, 1, g.now+time.Second)
	g.actions = nil
	if g.send(r, g.engines[0]); len(g.actions) != 2 {
		t.Fatalf("an honest send gave %v", g.actions)
	}
}
