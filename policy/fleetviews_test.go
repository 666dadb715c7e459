package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// Checks with random inputs that the gateways together stay within the warm-up budget, and each of them within its
// retry budget, although their views of the number of gateways in service are inconsistent and change at any time.
// Partitions, false failure detections and late or invalid counts cause such views.
func TestBudgetsHoldUnderInconsistentFleetViews(t *testing.T) {
	t.Parallel()
	used := 0.0 // maximum share of the warm-up budget used in any run, to check that there were sends
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Classes = s.Classes[:1]
		s.Gateways = rapid.IntRange(2, 12).Draw(t, "gateways")
		start := time.Hour
		warming := EngineInfo{ID: 77, Started: start}
		all := make([]*trackedGateway, s.Gateways)
		startGateway := func(i int, now time.Duration) *trackedGateway {
			own := s
			own.GatewayIndex = i
			g, err := New(own, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			v := &trackedGateway{gateway: g}
			v.apply(now, g.Handle(now, EngineList{Kind: ListFull, Engines: []EngineInfo{warming, {ID: 5}}}))
			return v
		}
		for i := range all {
			all[i] = startGateway(i, start)
		}
		rules, sends := s.Rules, []warmupSend{}
		budget := rules.WarmupBudgetMultiple * rules.InitialCapacityShare * s.MachineTypes[0].Cores *
			rules.WarmupBudgetSpan.Seconds()
		views := rapid.SliceOfN(rapid.SampledFrom([]int{-5, 0, 1, 1, 2, 3, 12, 1 << 40}), 16, 16).Draw(t, "views")
		failing := rapid.IntRange(1, 6).Draw(t, "failing") // failing attempts out of ten
		step := 0
		for now := start; now < start+6*time.Second; now += 40 * time.Millisecond {
			for i, v := range all {
				step++
				if step%97 == 0 {
					v = startGateway(i, now)
					all[i] = v
				}
				if step%5 == 0 {
					v.apply(now, v.gateway.Handle(now, GatewaysInService{Count: views[(step/5)%len(views)]}))
				}
				v.lastID++
				v.accepted = append(v.accepted, now)
				v.apply(now, v.gateway.Handle(now, Arrival{ID: v.lastID, Class: 0, EstimatedWork: 150 * time.Millisecond,
					Remaining: 4 * time.Second}))
				v.endAttempts(now, step, failing)
				for _, send := range v.sent {
					if send.engine == warming.ID {
						sends = append(sends, warmupSend{now, 0.15})
					}
					if send.isRetry {
						v.retries = append(v.retries, now)
					}
				}
				v.sent = nil
				retries := countWithin(v.retries, now, rules.RetryBudgetSpan)
				accepted := countWithin(v.accepted, now, rules.RetryBudgetSpan)
				budget := rules.MinRetries + rules.RetryShare*float64(accepted)
				if float64(retries) > budget {
					t.Fatalf("at %v: gateway %d sent %d retries, want at most %.1f", now-start, i, retries, budget)
				}
			}
			sum := 0.0
			for _, c := range sends {
				if c.at > now-rules.WarmupBudgetSpan {
					sum += c.work
				}
			}
			if sum > budget {
				t.Fatalf("at %v: %.2f s of work sent to an engine in warm-up within a span, want at most %.2f",
					now-start, sum, budget)
			}
			used = max(used, sum/budget)
		}
	})
	if used < 0.1 {
		t.Errorf("only %.2f of the warm-up budget was used, want at least 0.1", used)
	}
}

// trackedGateway is a gateway with its accepted requests, attempts and timers.
type trackedGateway struct {
	gateway  *Gateway
	lastID   RequestID
	accepted []time.Duration
	retries  []time.Duration
	attempts map[RequestID]int
	open     []sentAttempt
	sent     []sentAttempt
	timers   []pendingTimer
}

// sentAttempt is an attempt and the time at which it ends.
type sentAttempt struct {
	id      RequestID
	attempt int
	engine  EngineID
	isRetry bool
	endsAt  time.Duration
}

// pendingTimer is a timer that has not fired yet.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

// apply records the attempts and timers among the actions.
func (v *trackedGateway) apply(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if v.attempts == nil {
				v.attempts = map[RequestID]int{}
			}
			s := sentAttempt{a.ID, v.attempts[a.ID], a.Engine, v.attempts[a.ID] > 0, now + 200*time.Millisecond}
			v.attempts[a.ID]++
			v.open, v.sent = append(v.open, s), append(v.sent, s)
		case SetTimer:
			v.timers = append(v.timers, pendingTimer{now + a.After, a.Token})
		}
	}
}

// endAttempts fires the timers and ends the attempts that are due. Of ten attempts, failing ones end with an error.
func (v *trackedGateway) endAttempts(now time.Duration, step, failing int) {
	for k := 0; k < len(v.timers); {
		if tm := v.timers[k]; tm.at <= now {
			v.timers = append(v.timers[:k], v.timers[k+1:]...)
			v.apply(now, v.gateway.Handle(now, TimerFired{tm.token}))
			continue
		}
		k++
	}
	for k := 0; k < len(v.open); {
		s := v.open[k]
		if s.endsAt > now {
			k++
			continue
		}
		v.open = append(v.open[:k], v.open[k+1:]...)
		outcome := OK
		if (step*7+k)%10 < failing {
			outcome = Error
		}
		v.apply(now, v.gateway.Handle(now, AttemptEnded{ID: s.id, Attempt: s.attempt, Engine: s.engine, Outcome: outcome,
			Duration: 200 * time.Millisecond, Terminal: outcome == OK}))
	}
}

// countWithin returns how many of the times lie within the span before now.
func countWithin(times []time.Duration, now, span time.Duration) (n int) {
	for _, at := range times {
		if at > now-span {
			n++
		}
	}
	return n
}
