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
	coldGateways = 30
	coldFor      = 6 * time.Second // three times the span in which a cold engine may fall
)

// try is for what runs beside the test: it notes an error, and the test goes on.
func (s *spreadFleet) try(err error) {
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
		fault func(*spreadFleet)
	}{
		"members unknown": {opt: testfleet.Options{Bare: true}},
		"just restarted": {fault: func(s *spreadFleet) {
			for i := range coldGateways / 2 {
				s.try(s.Kill(2 * i))
			}
			s.try(s.StartAll())
		}},
		"cut off from each other": {fault: func(s *spreadFleet) { s.Relay.Usual(testfleet.Link{Cut: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			c.opt.Gateways = coldGateways
			s := startLoad(t, 23, 0.9, c.opt)
			s.lasts = faultAfter + coldFor
			s.play(func() {
				if c.fault != nil {
					c.fault(s)
				}
				for _, e := range s.pool.Engines()[:spreadEngines/2] {
					s.try(s.pool.Replace(e))
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
