package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Checks rule 4: all gateways together stay within the warm-up budget of an engine in any time span, at any load and
// while some of them restart, and they use at least a fifth of it.
func TestWarmupBudgetHoldsAcrossGateways(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 7, 40, 243} {
		t.Run(fmt.Sprintf("gateways=%d", gateways), func(t *testing.T) {
			s := testSettings()
			s.Gateways, s.Rules.WarmupTime = gateways, 15*time.Second
			start := time.Hour
			info := EngineInfo{ID: 77, Zone: 1, Started: start}
			newGateway := func(i int, now time.Duration) *Gateway {
				s.GatewayIndex = i
				g, err := New(s, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				g.Handle(now, EngineList{Kind: ListFull, Engines: []EngineInfo{info}})
				return g
			}
			var all []*Gateway
			for i := range gateways {
				all = append(all, newGateway(i, start))
			}
			rules, sent, total := s.Rules, []warmupSend{}, 0.0
			budget := rules.WarmupBudgetMultiple * rules.InitialCapacityShare * s.MachineTypes[0].Cores *
				rules.WarmupBudgetSpan.Seconds()
			for now := start; now < start+rules.WarmupTime; now += 50 * time.Millisecond {
				for i, g := range all {
					if now == start+5*time.Second && i%3 == 0 {
						g = newGateway(i, now)
						all[i] = g
					}
					g.now = now
					e := g.engines[0]
					for class := len(g.classes) - 1; class >= 0; class-- {
						r := &request{class: g.classes[class], Arrival: Arrival{EstimatedWork: 200 * time.Millisecond}}
						for g.withinWarmupBudget(r, e) {
							e.warmupWork.add(now, g.warmupCharge(r))
							sent = append(sent, warmupSend{now, g.warmupCharge(r)})
						}
					}
				}
				sum := 0.0
				for _, c := range sent {
					if c.at > now-rules.WarmupBudgetSpan {
						sum += c.work
					}
				}
				if sum > budget {
					t.Fatalf("%.2f s of work sent to an engine in its warm-up within a span, want at most %.2f", sum, budget)
				}
			}
			for _, c := range sent {
				total += c.work
			}
			if share := total / budget / float64(rules.WarmupTime/rules.WarmupBudgetSpan); share < 0.2 {
				t.Fatalf("%.2f of the warm-up budget used, want at least 0.2", share)
			}
		})
	}
}

// Checks that an engine whose start lies in the future, since clocks differ, counts as one that starts now. A gateway panicked at the first
// request after such an event, as did all others.
func TestStartInTheFutureCountsAsNow(t *testing.T) {
	for _, ahead := range []time.Duration{time.Second, 5 * time.Second, 24 * time.Hour, math.MaxInt64 - 2*time.Hour} {
		g := newTestGateway(t, 1, nil)
		g.Handle(g.now, EngineList{Kind: ListDelta, Engines: []EngineInfo{{ID: 1, Zone: 1, Started: g.now + ahead}}})
		g.Handle(g.now+5*time.Second, Arrival{ID: 1, EstimatedWork: time.Millisecond, Remaining: 4 * time.Second})
		if share, initial := g.warmupFactor(g.engines[0]), g.settings.Rules.InitialCapacityShare; ahead > 5*time.Second && share != initial {
			t.Errorf("start %v ahead: share of capacity %v, want %v", ahead, share, initial)
		}
	}
}
