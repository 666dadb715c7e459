package policy_test

import (
	"fmt"
	"testing"
	"time"

	"frostpier/policy"
)

const (
	benchAnswerTime  = 100 * time.Millisecond
	benchInterval    = 615 * time.Microsecond // between two requests: about 1,625 per second
	benchTableGroups = 200
	benchWarmUp      = 5000 // requests before the measurement, in which the module learns durations
)

// benchHost drives a Gateway on a virtual clock. All answers take the same time.
type benchHost struct {
	gateway *policy.Gateway
	now     time.Duration
	ends    []policy.AttemptEnded
	endAt   []time.Duration
	timers  map[uint64]time.Duration
}

func newBenchHost(b *testing.B, engines int) *benchHost {
	gateway, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second,
			Weight: 1, Threads: 1}},
		MachineTypes: []policy.MachineType{{Cores: 32, MemoryMB: 65536}},
		Gateways:     800, Tick: 5 * time.Millisecond, Metrics: []policy.Metric{policy.RunningQueries},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	host := &benchHost{gateway: gateway, now: time.Hour, timers: map[uint64]time.Duration{}}
	list := policy.EngineList{}
	for i := range engines {
		list.Engines = append(list.Engines, policy.EngineInfo{ID: policy.EngineID(i + 1), Scale: 1})
	}
	host.handle(list)
	return host
}

func (h *benchHost) handle(event policy.Event) {
	for _, action := range h.gateway.Handle(h.now, event) {
		switch a := action.(type) {
		case policy.Send:
			h.endAt = append(h.endAt, h.now+benchAnswerTime)
			report := policy.LoadReport{Present: true, Values: map[policy.Metric]float64{policy.RunningQueries: 1}}
			h.ends = append(h.ends, policy.AttemptEnded{ID: a.ID, Engine: a.Engine, Outcome: policy.OK,
				Duration: benchAnswerTime, Terminal: true, Report: report})
		case policy.SetTimer:
			h.timers[a.Token] = h.now + a.After
		}
	}
}

// submit advances the clock, fires the timers and ends the attempts that are due, and passes a new request.
func (h *benchHost) submit(number int) {
	h.now += benchInterval
	for token, at := range h.timers {
		if at <= h.now {
			delete(h.timers, token)
			h.handle(policy.TimerFired{Token: token})
		}
	}
	for len(h.ends) > 0 && h.endAt[0] <= h.now {
		end := h.ends[0]
		h.ends, h.endAt = h.ends[1:], h.endAt[1:]
		h.handle(end)
	}
	h.handle(policy.Arrival{ID: policy.RequestID(number), TableGroup: number * 7919 % benchTableGroups,
		Remaining: 5 * time.Second})
}

// BenchmarkDecision measures the handling of a request from its arrival to its end, at 1,625 requests per second.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			host := newBenchHost(b, engines)
			for number := range benchWarmUp {
				host.submit(number + 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				host.submit(benchWarmUp + number + 1)
			}
		})
	}
}
