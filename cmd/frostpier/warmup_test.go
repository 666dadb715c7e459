//go:build !debug

package main

import (
	"math"
	"testing"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

const (
	warmupGateways = 30
	warmupDuration = 6 * time.Second // three times as long as a new engine can be overloaded
)

// check reports an error without ending the test, as is needed on goroutines other than the test's.
func (s *loadedFleet) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// TestFleetStaysWithinWarmUpBudgets checks that 30 gateways together send an engine that is warming up at most its budget of N queries of
// mean work, plus a margin of 2*sqrt(N)+2 for random variation. That must hold whatever the gateways know about each other: nothing
// (no membership), too many members (half of the gateways were just restarted), or outdated states (no datagram arrives).
func TestFleetStaysWithinWarmUpBudgets(t *testing.T) {
	mean := 0.0
	for _, c := range emulator.DefaultClasses() {
		mean += c.Share * c.Work
	}
	for name, c := range map[string]struct {
		opt   testfleet.Options
		fault func(*loadedFleet)
	}{
		"members unknown": {opt: testfleet.Options{WithoutOperatorFile: true}},
		"just restarted": {fault: func(s *loadedFleet) {
			for i := range warmupGateways / 2 {
				s.check(s.Kill(2 * i))
			}
			s.check(s.StartAll())
		}},
		"cut off from each other": {fault: func(s *loadedFleet) { s.Relay.SetDefaultLink(testfleet.Link{Cut: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			c.opt.Gateways = warmupGateways
			s := startLoadedFleet(t, 23, 0.9, c.opt)
			s.duration = faultDelay + warmupDuration
			s.run(func() {
				if c.fault != nil {
					c.fault(s)
				}
				for _, e := range s.pool.Engines()[:loadTestEngines/2] {
					s.check(s.pool.Replace(e))
				}
				s.pool.Publish()
			})
			warmingUp := 0
			for _, e := range s.pool.Engines() {
				p := e.PeakWarmUpLoad()
				if p.Limit == 0 {
					continue
				}
				warmingUp++
				budget, sent := p.Limit/mean, p.Sent/mean
				t.Logf("%s was sent %.1f queries of mean work, its budget is %.1f", e.Name(), sent, budget)
				if sent > budget+2*math.Sqrt(budget)+2 {
					t.Errorf("%s was sent %.1f queries of mean work, its budget is %.1f", e.Name(), sent, budget)
				}
			}
			if warmingUp == 0 {
				t.Error("no engine was sent queries while warming up")
			}
		})
	}
}
