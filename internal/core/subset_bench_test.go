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

// The fleet that the benchmark's gateway belongs to, and what it has to do.
const (
	benchGateways      = 800
	benchZones         = 7
	benchGroups        = 200
	benchInFlight      = 40                     // attempts out at a time
	benchDuration      = 100 * time.Millisecond // each
	benchTimerInterval = 20 * time.Millisecond  // the module's timer
	benchSubset        = 80
)

// benchCore makes a gateway before so many engines, in zones, with a subset if wanted.
func benchCore(b *testing.B, engines int, narrowed bool) *Core {
	b.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	host := settings.Host{ComeBack: 500 * time.Millisecond, Models: []string{"m"}, MaxOpen: 1000,
		Module: policy.Settings{Classes: []policy.Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second,
			Weight: 1, Threads: 1}}, Gateways: benchGateways, Number: 3, Zone: 3, Zones: benchZones, Tick: 5 * time.Millisecond,
			MayCancel: true, MaxAttempts: 4, Kinds: []policy.Kind{{Cores: 32}}}}
	for zone := range benchZones {
		host.Zones = append(host.Zones, fmt.Sprintf("z%d", zone))
	}
	c, err := New(host, 1, log, invariant.New(log))
	if err != nil {
		b.Fatal(err)
	}
	if narrowed {
		chooser, err := subset.New(subset.DefaultConfig(), 3, 3, benchGateways)
		if err != nil {
			b.Fatal(err)
		}
		c.UseSubset(start, chooser)
		var gateways []subset.Gateway
		for i := range benchGateways {
			gateways = append(gateways, subset.Gateway{Zone: i % benchZones, InService: true})
		}
		c.SetGateways(start, gateways)
	}
	var lines []ListedEngine
	for i := range engines {
		line := listedEngine(fmt.Sprintf("e%04d", i), policy.Ready)
		line.Zone = host.Zones[i%benchZones]
		lines = append(lines, line)
	}
	c.UpdateEngines(start, true, lines)
	return c
}

// BenchmarkDecision takes a request, sends its attempt and ends one, at the size of the list and with a subset or without.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 80, 300, 1100} {
		for _, narrowed := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/subset=%t", engines, narrowed), func(b *testing.B) {
				c := benchCore(b, engines, narrowed)
				p := &benchLoad{core: c, now: start}
				for range 4000 {
					p.step()
				}
				b.ResetTimer()
				began := processorTime(b)
				for range b.N {
					p.step()
				}
				b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
				b.ReportMetric(float64(p.waiting)/float64(p.submitted), "held/op")
				_, used := c.SubsetSize()
				b.ReportMetric(float64(used), "engines")
			})
		}
	}
}

// benchLoad keeps attempts out, each for its time.
type benchLoad struct {
	core               *Core
	now, timerFiredAt  time.Duration
	inFlight           []Start
	endsAt             []time.Duration // when each ends
	submitted, waiting int
}

// step takes a request and ends the attempts whose time has come.
func (p *benchLoad) step() {
	p.now += benchDuration / benchInFlight
	p.submitted++
	_, actions := p.core.Submit(p.now, Query{Remaining: 4 * time.Second, TableGroup: p.submitted * 7919 % benchGroups, EstimatedWork: benchDuration})
	if len(starts(actions)) == 0 {
		p.waiting++
	}
	p.execute(actions)
	for len(p.endsAt) > 0 && p.endsAt[0] <= p.now {
		s := p.inFlight[0]
		p.inFlight, p.endsAt = p.inFlight[1:], p.endsAt[1:]
		p.execute(p.core.AttemptEnded(p.now, s.ID, s.Attempt, policy.OK, []Field{{Name: "inflight", Value: 20}}))
	}
	if p.now-p.timerFiredAt >= benchTimerInterval {
		p.timerFiredAt = p.now
		p.execute(p.core.TimerFired(p.now, 1<<63))
	}
}

func (p *benchLoad) execute(actions []Action) {
	for _, s := range starts(actions) {
		p.core.MaySend(p.now, s.ID, s.Attempt, false)
		p.inFlight, p.endsAt = append(p.inFlight, s), append(p.endsAt, p.now+benchDuration)
	}
}

// BenchmarkSubsetChange has a member leave or come back and an engine drain or return, and works out what that means: what a
// gateway has to do when something in the fleet changes.
func BenchmarkSubsetChange(b *testing.B) {
	c := benchCore(b, 1100, true)
	gateways := slices.Clone(c.subset.gateways)
	health := []policy.Health{policy.Ready, policy.Draining}
	now := start
	b.ResetTimer()
	began := processorTime(b)
	for i := range b.N {
		now += time.Second
		gateways = slices.Clone(gateways)
		gateways[17].InService = i%2 == 1
		c.SetGateways(now, gateways)
		line := listedEngine("e0007", health[i%2])
		line.Zone = "z0"
		c.UpdateEngines(now, false, []ListedEngine{line})
		c.TickSubset(now)
		for number := range gateways {
			if i%5 == 0 { // as often as the program asks
				c.Overlap(number)
			}
		}
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
}

// processorTime is what this process has used: the figure to compare on a machine that others use too.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
