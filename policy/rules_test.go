package policy

import (
	"fmt"
	"testing"
	"time"
)

// Checks that Gateway.send sends nothing if any guard forbids it, regardless of how the engine was selected.
func TestSendChecksEveryGuard(t *testing.T) {
	for name, breakRule := range map[string]func(*Gateway, *request, *engine){
		"rule 1: done":              func(g *Gateway, r *request, e *engine) { r.done = true },
		"rule 1: past its deadline": func(g *Gateway, r *request, e *engine) { r.deadline = g.now },
		"rule 1: out of attempts": func(g *Gateway, r *request, e *engine) {
			g.settings.MaxAttempts, r.attempts = 1, []*attempt{{}}
		},
		"rule 2: attempt in flight": func(g *Gateway, r *request, e *engine) { r.inFlight = 1 },
		"rule 2: not idempotent and may have run": func(g *Gateway, r *request, e *engine) {
			r.class, r.firstPossibleRun = g.classes[2], &attempt{}
		},
		"rule 3: draining": func(g *Gateway, r *request, e *engine) { e.Health = Draining },
		"rule 3: gone":     func(g *Gateway, r *request, e *engine) { e.Health = Gone },
		"rule 4: warming up": func(g *Gateway, r *request, e *engine) {
			e.Started, r.EstimatedWork = g.now, time.Minute
		},
		"rule 6: placement": func(g *Gateway, r *request, e *engine) { r.class, e.Zone = g.classes[3], 0 },
		"rule 7: out of budget": func(g *Gateway, r *request, e *engine) {
			g.settings.Rules.MinRetries, r.attempts = 0, []*attempt{{}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, 2, nil)
			g.actions = nil
			r, e := newTestRequest(g, 1, g.now+time.Second), g.engines[0]
			breakRule(g, r, e)
			g.send(r, e)
			if len(g.actions) != 0 {
				t.Errorf("actions %v, want none", g.actions)
			}
		})
	}
	g := newTestGateway(t, 2, nil)
	r := newTestRequest(g, 1, g.now+time.Second)
	g.actions = nil
	if g.send(r, g.engines[0]); len(g.actions) != 2 {
		t.Fatalf("actions %v, want SetResources and Send", g.actions)
	}
}

// Checks that the seven operators' rules hold under random valid sequences of events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := testSettings()
			s.MayCancel, s.MayProbe = seed%2 == 0, seed%3 == 0
			c := newRulesChecker(t, s, seed)
			var infos []EngineInfo
			for i := range 6 {
				info := EngineInfo{ID: EngineID(i + 10), Zone: i % 2, MachineType: i % 4 / 2, Cell: i % 2, Scale: 1}
				if i == 5 {
					info.Started = c.now - time.Second
				}
				infos = append(infos, info)
			}
			c.applyEngineList(ListCached, infos...)
			for range 4000 {
				if c.random.Intn(3) == 0 {
					c.randomArrival()
				}
				if c.random.Intn(500) == 0 {
					c.randomList()
				}
				c.step(5 * time.Millisecond)
			}
			for range 1200 {
				c.step(5 * time.Millisecond)
			}
			g := c.gateway
			if c.sends < 200 || len(g.requests) > 0 || len(g.openRequests) > 0 || len(g.queue) > 0 {
				t.Fatalf("%d sends, want at least 200; %d requests left at the end, want 0", c.sends, len(g.requests))
			}
		})
	}
}

// Checks that the same seed and events produce the same actions, independently of the iteration order of maps.
func TestHandleIsDeterministic(t *testing.T) {
	t.Parallel()
	run := func() string {
		c := newRulesChecker(t, testSettings(), 7)
		var infos []EngineInfo
		for i := range 6 {
			infos = append(infos, EngineInfo{ID: EngineID(i + 10), Zone: i % 2, Cell: i % 2})
		}
		c.applyEngineList(ListCached, infos...)
		log := ""
		for range 300 {
			c.randomArrival()
			c.step(5 * time.Millisecond)
			for _, p := range c.pending {
				log += fmt.Sprint(p.at, p.attempt, p.engine, p.outcome, ";")
			}
		}
		return log
	}
	first := run()
	for range 3 {
		if run() != first {
			t.Fatal("two runs with the same seed and events differ")
		}
	}
}
