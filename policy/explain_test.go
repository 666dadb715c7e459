package policy

import (
	"testing"
	"time"
)

// Each guard that keeps a request in line is named, and looking changes nothing.
func TestExplainNamesTheGuard(t *testing.T) {
	for want, change := range map[Guard]func(g *Gateway, e *engine){
		GuardHealth:      func(_ *Gateway, e *engine) { e.shut = true },
		GuardRejected:    func(g *Gateway, e *engine) { e.fullUntil = g.now + time.Second },
		GuardRate:        func(g *Gateway, e *engine) { e.rates[0].next = g.now + time.Second },
		GuardConcurrency: func(g *Gateway, e *engine) { g.told, g.threads, e.threads = true, 100, 100 },
		GuardMemory:      func(g *Gateway, e *engine) { g.told, g.threads, e.threads, e.granted = true, 0.5, 0.5, 1e9 },
		GuardNone:        func(*Gateway, *engine) {},
	} {
		g := handMade(t, 3, func(s *Settings) { s.Gateways = 10 })
		r := &request{Arrival: Arrival{ID: 1, Class: 0, EstimatedWork: 100 * time.Millisecond, EstimatedMemoryMB: 1000, Remaining: 4 * time.Second},
			class: g.classes[0], group: g.groupOf(1), end: g.now + 4*time.Second, due: g.now + time.Second, held: true}
		g.requests[1], g.line = r, []*request{r}
		change(g, g.engines[0])
		before := len(g.acts)
		held, _, looks := g.Explain(g.now, 1)
		if !held || len(looks) != 3 || looks[0].Guard != want || len(g.acts) != before || !r.held {
			t.Errorf("%s: held %v, %+v", want, held, looks)
		}
	}
	g := handMade(t, 1, nil)
	if held, _, looks := g.Explain(g.now, 99); held || looks != nil {
		t.Error("a request that nobody knows is held")
	}
	if look := g.Estimate(g.now, 12345); look.ReportAge != -1 {
		t.Errorf("%+v of an engine that nobody knows", look)
	}
}

func TestExplainNamesTheWindow(t *testing.T) {
	g := handMade(t, 3, nil)
	r := &request{Arrival: Arrival{ID: 1, EstimatedWork: 100 * time.Millisecond, Remaining: 4 * time.Second}, class: g.classes[0],
		group: g.groupOf(1), end: g.now + 4*time.Second, due: g.now + time.Second, held: true}
	g.requests[1], g.line, g.threads, g.window = r, []*request{r}, 500, 0.1
	if _, by, _ := g.Explain(g.now, 1); by != GuardWindow {
		t.Errorf("held by %s", by)
	}
}
