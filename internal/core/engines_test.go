package core

import (
	"math"
	"testing"
	"time"

	"frostpier/policy"
)

// The start of an engine is a time up to now, whatever the list says, and stays the same while the list says the same. A start in the future made
// all gateways panic at their next request; one that counted anew with each list would restart the engine's warm-up each time.
func TestEngineStartIsNotInTheFuture(t *testing.T) {
	const later = startTime + time.Minute
	for name, test := range map[string]struct{ listed, want time.Duration }{
		"unknown":     {listed: 0, want: 0},
		"negative":    {listed: -time.Hour, want: 0},
		"past":        {listed: startTime - time.Hour, want: startTime - time.Hour},
		"now":         {listed: startTime, want: startTime},
		"ahead":       {listed: startTime + 5*time.Second, want: startTime},
		"far ahead":   {listed: math.MaxInt64, want: startTime},
		"lowest time": {listed: math.MinInt64, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newCore(t)
			entry := listedEngine("a", policy.Ready)
			entry.Started = test.listed
			for _, now := range []time.Duration{startTime, startTime + time.Second, later} {
				c.UpdateEngines(now, true, []ListedEngine{entry})
				if got := c.engines[engineID("a")].info.Started; got != test.want {
					t.Errorf("at %v: start %v, want %v", now-startTime, got, test.want)
				}
			}
			c.Submit(later, testQuery)
			entry.Started = later
			c.UpdateEngines(later, true, []ListedEngine{entry})
			if got := c.engines[engineID("a")].info.Started; got != later {
				t.Errorf("start %v after a restart, want %v", got, later)
			}
		})
	}
}
