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
	warmupDuration = 6 * time.Second // three times the span in which an engine that warms up can be overloaded
)

// check reports an error from a goroutine beside the test, which goes on.
func (s *loadedFleet) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// Thirty gateways see engines appear that are warming up. What they send together stays within the warm-up budget of N
// queries of mean work, plus 2*sqrt(N)+2 for chance, whatever the gateways know of each other: nothing, too much, as half of
// them have just been restarted, or outdated things, as no datagram arrives.
func TestFleetColdEnginesUnderThirtyGateways(t *testing.T) {
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
			s := startLoad(t, 23, 0.9, c.opt)
			s.duration = faultDelay + warmupDuration
			s.run(func() {
				if c.fault != nil {
					c.fault(s)
				}
				for _, e := range s.pool.Engines()[:spreadEngines/2] {
					s.check(s.pool.Replace(e))
				}
				s.pool.Publish()
			})
			warmingUp := 0
			for _, e := range s.pool.Engines() {
				p := e.PeakPressure()
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
				t.Error("no engine was sent anything while warming up")
			}
		})
	}
}
