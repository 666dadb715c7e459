package soak

import (
	"testing"
	"time"
)

// Checks that WithStress is deterministic, changes nothing else of the scenario, always takes processor time away, and stays within its
// bounds.
func TestStressIsDeterministicAndWithinLimits(t *testing.T) {
	for seed := range uint64(200) {
		s := NewScenario(seed, 1)
		stressed := s.WithStress()
		stress := stressed.Stress
		if stress != s.WithStress().Stress || stress == (Stress{}) {
			t.Fatalf("seed %d: stress %v, want the same at each call, and some", seed, stress)
		}
		if stressed.Clients != s.Clients || stressed.Deadline != s.Deadline || stressed.Disturbance != s.Disturbance {
			t.Errorf("seed %d: the stress changed the scenario to %v, want %v", seed, stressed, s)
		}
		if stress.BusyPerCore < 0 || stress.BusyPerCore > maxBusyPerCore {
			t.Errorf("seed %d: %d busy processes for each core, limit %d", seed, stress.BusyPerCore, maxBusyPerCore)
		}
		d := stress.Suspension.Duration
		if d != 0 && (d < minSuspension || d > maxSuspension) {
			t.Errorf("seed %d: suspended for %v, want %v to %v", seed, d, minSuspension, maxSuspension)
		}
	}
}

// Checks that an answer may be late only by the time in which the gateway was suspended before the deadline, and that an unanswered request
// counts as lost at the kill unless the gateway was resumed just before it.
func TestOutcomesWithSuspension(t *testing.T) {
	const sigterm, budget = 10 * time.Second, 2 * time.Second
	for _, c := range []struct {
		name                 string
		suspended, resumed   time.Duration // since SIGTERM
		now                  time.Duration // since SIGTERM
		wantLate             bool
		wantUnansweredAtKill Outcome // of a request that is sent at SIGTERM, if the gateway is killed now
	}{
		{"resumed before the deadline, in time", 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, false, LostAtKill},
		{"resumed before the deadline, late", 500 * time.Millisecond, time.Second, 2501 * time.Millisecond, true, LostAtKill},
		{"resumed after the deadline, soon", time.Second, 2800 * time.Millisecond, 3300 * time.Millisecond, false, LostAtKill},
		{"resumed after the deadline, late", time.Second, 2800 * time.Millisecond, 3301 * time.Millisecond, true, LostAtKill},
		{"suspended after the deadline", 2100 * time.Millisecond, 3 * time.Second, 3 * time.Second, true, CutByKill},
		{"resumed just before the kill", time.Second, 2800 * time.Millisecond, 3200 * time.Millisecond, false, CutByKill},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &gateway{clock: func() time.Duration { return sigterm + c.now }, terminatedAt: sigterm, suspendedAt: sigterm + c.suspended,
				resumedAt: sigterm + c.resumed}
			r := &Request{Sent: sigterm, Budget: budget}
			if got := g.isLate(r); got != c.wantLate {
				t.Errorf("late: %v, want %v", got, c.wantLate)
			}
			g.killedAt = sigterm + c.now
			if got := g.unansweredOutcome(r, false, false); got != c.wantUnansweredAtKill {
				t.Errorf("outcome at the kill %q, want %q", got, c.wantUnansweredAtKill)
			}
		})
	}
}
