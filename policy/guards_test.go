package policy

import (
	"testing"
	"time"
)

// send is the last place before an attempt goes out: whatever chose the engine, its guards hold.
func TestSendPassesEveryGuard(t *testing.T) {
	for name, spoil := range map[string]func(*Gateway, *request, *engine){
		"rule 1: over":          func(g *Gateway, r *request, e *engine) { r.over = true },
		"rule 1: out of time":   func(g *Gateway, r *request, e *engine) { r.end = g.now },
		"rule 1: attempts":      func(g *Gateway, r *request, e *engine) { g.s.MaxAttempts, r.attempts = 1, []*attempt{{}} },
		"rule 2: two together":  func(g *Gateway, r *request, e *engine) { r.out = 1 },
		"rule 2: unsafe ran":    func(g *Gateway, r *request, e *engine) { r.class, r.mayRun = g.classes[2], &attempt{} },
		"rule 3: drains":        func(g *Gateway, r *request, e *engine) { e.Health = Draining },
		"rule 3: gone":          func(g *Gateway, r *request, e *engine) { e.Health = Gone },
		"rule 4: cold":          func(g *Gateway, r *request, e *engine) { e.Started, r.EstimatedWork = g.now, time.Minute },
		"rule 6: placement":     func(g *Gateway, r *request, e *engine) { r.class, e.Zone = g.classes[3], 0 },
		"rule 7: budget is out": func(g *Gateway, r *request, e *engine) { g.s.Rules.FreeRetries, r.attempts = 0, []*attempt{{}} },
	} {
		g := handMade(t, 2, nil)
		g.acts = nil
		r, e := fresh(g, 1, g.now+time.Second), g.engines[0]
		spoil(g, r, e)
		g.send(r, e)
		if len(g.acts) != 0 {
			t.Errorf("%s: %v", name, g.acts)
		}
	}
	g := handMade(t, 2, nil)
	r := fresh(g, 1, g.now+time.Second)
	g.acts = nil
	if g.send(r, g.engines[0]); len(g.acts) != 2 {
		t.Fatalf("an honest send gave %v", g.acts)
	}
}
