package core

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"syscall"
	"testing"
	"time"

	"frostpier/internal/control/subset"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

// Size of the fleet in the benchmarks, and load of the gateway.
const (
	benchGateways      = 800
	benchZones         = 7
	benchTableGroups   = 200
	benchInFlight      = 40                     // attempts in flight
	benchDuration      = 100 * time.Millisecond // duration of an attempt
	benchTimerInterval = 20 * time.Millisecond  // time between two timer events of the module
	benchSubset        = 80
)

// benchCore returns the Core of a gateway in a fleet with the given number of engines, with or without a subset.
func benchCore(b *testing.B, engines int, withSubset bool) *Core {
	b.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	host := settings.Host{MaxRetryAfter: 500 * time.Millisecond, MachineTypes: []string{"m"}, MaxPending: 1000,
		Policy: policy.Settings{Classes: []policy.Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second,
			Weight: 1, Threads: 1}}, Gateways: benchGateways, GatewayIndex: 3, Zone: 3, Zones: benchZones, Tick: 5 * time.Millisecond,
			MayCancel: true, MaxAttempts: 4, MachineTypes: []policy.MachineType{{Cores: 32}}}}
	for zone := range benchZones {
		host.Zones = append(host.Zones, fmt.Sprintf("z%d", zone))
	}
	c, err := New(host, 1, log, invariant.New(log))
	if err != nil {
		b.Fatal(err)
	}
	if withSubset {
		chooser, err := subset.New(subset.DefaultConfig(), 3, 3, benchGateways)
		if err != nil {
			b.Fatal(err)
		}
		c.UseSubset(startTime, chooser)
		var gateways []subset.Gateway
		for i := range benchGateways {
			gateways = append(gateways, subset.Gateway{Zone: i % benchZones, InService: true})
		}
		c.SetGateways(startTime, gateways)
	}
	var entries []ListedEngine
	for i := range engines {
		entry := listedEngine(fmt.Sprintf("e%04d", i), policy.Ready)
		entry.Zone = host.Zones[i%benchZones]
		entries = append(entries, entry)
	}
	c.UpdateEngines(startTime, true, entries)
	return c
}

// BenchmarkDecision measures submitting a request, sending its attempt and ending another, by number of engines, with and
// without a subset.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		for _, withSubset := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/subset=%t", engines, withSubset), func(b *testing.B) {
				c := benchCore(b, engines, withSubset)
				load := &benchLoad{core: c, now: startTime}
				for range 4000 {
					load.step()
				}
				b.ResetTimer()
				cpuBefore := cpuTime(b)
				for range b.N {
					load.step()
				}
				b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
				b.ReportMetric(float64(load.queued)/float64(load.submitted), "held/op")
				_, used := c.SubsetSize()
				b.ReportMetric(float64(used), "engines")
			})
		}
	}
}

// benchLoad submits requests at a constant rate, with about benchInFlight attempts in flight.
type benchLoad struct {
	core              *Core
	now, timerFiredAt time.Duration
	inFlight          []StartAttempt
	endsAt            []time.Duration // end of each attempt of inFlight
	submitted, queued int             // number of requests submitted, and of those that were not sent at once
}

// step submits a request and ends the attempts that have taken benchDuration.
func (l *benchLoad) step() {
	l.now += benchDuration / benchInFlight
	l.submitted++
	_, actions := l.core.Submit(l.now, Query{Remaining: 4 * time.Second, TableGroup: l.submitted * 7919 % benchTableGroups, EstimatedWork: benchDuration})
	if len(startedAttempts(actions)) == 0 {
		l.queued++
	}
	l.execute(actions)
	for len(l.endsAt) > 0 && l.endsAt[0] <= l.now {
		s := l.inFlight[0]
		l.inFlight, l.endsAt = l.inFlight[1:], l.endsAt[1:]
		l.execute(l.core.AttemptEnded(l.now, s.ID, s.Attempt, policy.OK, []ReportField{{Name: "inflight", Value: 20}}))
	}
	if l.now-l.timerFiredAt >= benchTimerInterval {
		l.timerFiredAt = l.now
		l.execute(l.core.TimerFired(l.now, 1<<63))
	}
}

func (l *benchLoad) execute(actions []Action) {
	for _, s := range startedAttempts(actions) {
		l.core.MaySend(l.now, s.ID, s.Attempt, false)
		l.inFlight, l.endsAt = append(l.inFlight, s), append(l.endsAt, l.now+benchDuration)
	}
}

// BenchmarkSubsetChange measures the CPU time of a gateway for a change of the fleet: another gateway leaves or returns,
// and an engine starts to drain or becomes ready again.
func BenchmarkSubsetChange(b *testing.B) {
	c := benchCore(b, 1100, true)
	gateways := slices.Clone(c.subset.gateways)
	health := []policy.Health{policy.Ready, policy.Draining}
	now := startTime
	b.ResetTimer()
	cpuBefore := cpuTime(b)
	for i := range b.N {
		now += time.Second
		gateways = slices.Clone(gateways)
		gateways[17].InService = i%2 == 1
		c.SetGateways(now, gateways)
		entry := listedEngine("e0007", health[i%2])
		entry.Zone = "z0"
		c.UpdateEngines(now, false, []ListedEngine{entry})
		c.TickSubset(now)
		for number := range gateways {
			if i%5 == 0 { // subsetdriver compares subsets every 5 s
				c.SubsetOverlap(number)
			}
		}
	}
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the CPU time that this process has used, which, unlike elapsed time, is comparable between runs on a
// shared machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
