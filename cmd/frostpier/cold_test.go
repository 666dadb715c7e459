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
	warmupDuration = 6 * time.Second // three times the span in which a cold engine may fall
)

// check is for what runs beside the test: it notes an error, and the test goes on.
func (s *loadedFleet) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// Cold engines and thirty gateways that all see them come: what they send together stays under the budget of N queries of mean
// work, but for chance (2 x root of N + 2), whatever they know of each other: nothing, too much (half of them have just been
// restarted), or not what the others do (none hears another).
func TestFleetColdEnginesUnderThirtyGateways(t *testing.T) {
	mean := 0.0
	for _, c := range emulator.DefaultClasses() {
		mean += c.Share * c.Work
	}
	for name, c := range map[string]struct {
		opt   testfleet.Options
		fault func(*loadedFleet)
	}{
		"members unknown": {opt: testfleet.Options{Bare: true}},
		"just restarted": {fault: func(s *loadedFleet) {
			for i := range warmupGateways / 2 {
				s.check(s.Kill(2 * i))
			}
			s.check(s.StartAll())
		}},
		"cut off from each other": {fault: func(s *loadedFleet) { s.Relay.Usual(testfleet.Link{Cut: true}) }},
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
			cold := 0
			for _, e := range s.pool.Engines() {
				p := e.Pressed()
				if p.Bears == 0 {
					continue
				}
				cold++
				n, sent := p.Bears/mean, p.Sent/mean
				t.Logf("%s was sent %.1f queries of mean work where it bears %.1f", e.Name(), sent, n)
				if sent > n+2*math.Sqrt(n)+2 {
					t.Errorf("%s was sent %.1f queries of mean work where it bears %.1f", e.Name(), sent, n)
				}
			}
			if cold == 0 {
				t.Error("no engine was sent anything while cold")
			}
		})
	}
}
