package soak

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// A seed decides the whole scenario, and the times of each are within what the platform's pages permit.
func TestScenarioIsDrawnBySeed(t *testing.T) {
	for seed := range uint64(200) {
		s := NewScenario(seed, 2)
		if !reflect.DeepEqual(s, NewScenario(seed, 2)) {
			t.Fatalf("seed %d: two scenarios", seed)
		}
		if crowd := s.Clients == crowdClients; crowd != (seed%crowdInterval == 0) {
			t.Errorf("seed %d: %d clients", seed, s.Clients)
		}
		if s.KillDelay() != s.Deadline+KillGrace || s.Deadline > maxStopDeadline {
			t.Errorf("seed %d: killed after %v with a deadline of %v", seed, s.KillDelay(), s.Deadline)
		}
		for _, stop := range s.Stops {
			if stop.ReconnectTime < minReconnectTime || stop.ReconnectTime > maxReconnectTime {
				t.Errorf("seed %d: clients reconnect for %v", seed, stop.ReconnectTime)
			}
			for _, signal := range stop.Signals {
				if signal.Delay > signalSpan {
					t.Errorf("seed %d: a signal after %v", seed, signal.Delay)
				}
			}
		}
	}
}

// What became of a request whose connection ended follows from when it was sent, and from whether an engine got it.
func TestEndOfUnansweredRequest(t *testing.T) {
	const sigterm = 10 * time.Second
	for _, c := range []struct {
		name              string
		sent, ended       time.Duration // after SIGTERM
		killed            bool
		received, partial bool
		crossed           bool
		want              Outcome
	}{
		{"crossed", 3 * time.Second, 3*time.Second + crossingWindow, false, false, false, false, RacedClose},
		{"crossed, read late", 3 * time.Second, 4 * time.Second, false, false, false, true, RacedClose},
		{"too late to have crossed", 3 * time.Second, 3*time.Second + 2*crossingWindow, false, false, false, false, Lost},
		{"an engine got it", 3 * time.Second, 3 * time.Second, false, true, false, true, Lost},
		{"in the middle of its answer", 3 * time.Second, 3 * time.Second, false, false, true, false, Lost},
		{"killed, sent early", KillGrace, 3700 * time.Millisecond, true, false, false, false, LostAtKill},
		{"killed, sent late", KillGrace + time.Millisecond, 3700 * time.Millisecond, true, false, false, false, CutByKill},
		{"killed, sent before SIGTERM", -time.Second, 3700 * time.Millisecond, true, false, false, false, LostAtKill},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &gateway{clock: func() time.Duration { return sigterm + c.ended }, terminatedAt: sigterm}
			if c.killed {
				g.killedAt = sigterm + c.ended
			}
			if got := g.endOfUnanswered(&Request{Sent: sigterm + c.sent, crossed: c.crossed}, c.received, c.partial); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Every end that breaks a rule is a problem, and so are a second answer, a failed exit and an alarm in the log.
func TestProblems(t *testing.T) {
	for end := Open; end < ends; end++ {
		result := Result{Requests: []Request{{Outcome: end}}}
		isLoss := strings.HasPrefix(end.String(), "lost") || end == Open || end == Late || end == Corrupted
		if got := len(result.Problems()) > 0; got != isLoss {
			t.Errorf("%v is a problem: %v", end, got)
		}
	}
	for name, result := range map[string]Result{
		"second answer": {Requests: []Request{{Outcome: Served, Duplicates: 1}}},
		"exit":          {Exits: []Exit{{Err: errTest{}}}},
		"alarm":         {Alarms: []string{"panic"}},
	} {
		if len(result.Problems()) != 1 {
			t.Errorf("%s: %v", name, result.Problems())
		}
	}
}

type errTest struct{}

func (errTest) Error() string { return "exit status 2" }
