package soak

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// Checks that NewScenario is deterministic for a seed, and that its times are within the limits that the platform specifies.
func TestNewScenarioIsDeterministicAndWithinLimits(t *testing.T) {
	for seed := range uint64(200) {
		s := NewScenario(seed, 2)
		if !reflect.DeepEqual(s, NewScenario(seed, 2)) {
			t.Fatalf("seed %d: two calls returned different scenarios", seed)
		}
		if many := s.Clients == manyClients; many != (seed%manyClientsInterval == 0) {
			t.Errorf("seed %d: %d clients, want %d for every fifth seed only", seed, s.Clients, manyClients)
		}
		if s.KillDelay() != s.Deadline+KillGrace || s.Deadline > maxStopDeadline {
			t.Errorf("seed %d: kill delay %v with deadline %v, want KillGrace more than a deadline of at most %v", seed, s.KillDelay(), s.Deadline,
				maxStopDeadline)
		}
		for _, stop := range s.Stops {
			if stop.ReconnectTime < minReconnectTime || stop.ReconnectTime > maxReconnectTime {
				t.Errorf("seed %d: ReconnectTime %v is out of range", seed, stop.ReconnectTime)
			}
			for _, signal := range stop.Signals {
				if signal.Delay > maxSignalDelay {
					t.Errorf("seed %d: signal delay %v, limit %v", seed, signal.Delay, maxSignalDelay)
				}
			}
		}
	}
}

// Checks that the outcome of a request whose connection was closed without an answer depends on when the request was sent, whether an
// engine received it, and whether the gateway was killed.
func TestOutcomeOfUnansweredRequest(t *testing.T) {
	const sigterm = 10 * time.Second
	for _, c := range []struct {
		name              string
		sent, closed      time.Duration // since SIGTERM
		killed            bool
		received, partial bool
		racedClose        bool
		want              Outcome
	}{
		{"sent just before the close", 3 * time.Second, 3*time.Second + closeRaceWindow, false, false, false, false, RacedClose},
		{"sent just before the close, which was read late", 3 * time.Second, 4 * time.Second, false, false, false, true, RacedClose},
		{"sent too long before the close", 3 * time.Second, 3*time.Second + 2*closeRaceWindow, false, false, false, false, Lost},
		{"received by an engine", 3 * time.Second, 3 * time.Second, false, true, false, true, Lost},
		{"answered in part", 3 * time.Second, 3 * time.Second, false, false, true, false, Lost},
		{"killed, sent early", KillGrace, 3700 * time.Millisecond, true, false, false, false, LostAtKill},
		{"killed, sent late", KillGrace + time.Millisecond, 3700 * time.Millisecond, true, false, false, false, CutByKill},
		{"killed, sent before SIGTERM", -time.Second, 3700 * time.Millisecond, true, false, false, false, LostAtKill},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &gateway{clock: func() time.Duration { return sigterm + c.closed }, terminatedAt: sigterm}
			if c.killed {
				g.killedAt = sigterm + c.closed
			}
			if got := g.unansweredOutcome(&Request{Sent: sigterm + c.sent, racedClose: c.racedClose}, c.received, c.partial); got != c.want {
				t.Errorf("outcome %q, want %q", got, c.want)
			}
		})
	}
}

// Checks that Problems reports each outcome that violates the requirements, duplicate answers, failed exits and alarms in the log.
func TestProblemsReportsEachViolation(t *testing.T) {
	for outcome := Open; outcome < numOutcomes; outcome++ {
		result := Result{Requests: []Request{{Outcome: outcome}}}
		isViolation := strings.HasPrefix(outcome.String(), "lost") || outcome == Open || outcome == Late || outcome == Corrupted
		if got := len(result.Problems()) > 0; got != isViolation {
			t.Errorf("outcome %q is reported as a problem: %v, want %v", outcome, got, isViolation)
		}
	}
	for name, result := range map[string]Result{
		"duplicate answer": {Requests: []Request{{Outcome: Served, Duplicates: 1}}},
		"failed exit":      {Exits: []Exit{{Err: exitError{}}}},
		"alarm":            {Alarms: []string{"panic"}},
	} {
		if len(result.Problems()) != 1 {
			t.Errorf("%s: problems %q, want one", name, result.Problems())
		}
	}
}

type exitError struct{}

func (exitError) Error() string { return "exit status 2" }
