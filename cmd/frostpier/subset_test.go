//go:build !debug

package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

// The test runs four processes of the program with more engines than a subset contains.
const (
	subsetGateways = 4
	subsetEngines  = 32
	subsetDuration = 6 * time.Second
)

// startSubsetFleet starts gateways, engines and clients. No subset is configured yet.
func startSubsetFleet(t *testing.T) *loadedFleet {
	t.Helper()
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	pool, err := testfleet.NewPool(subsetEngines, emulator.DefaultSpec(2), clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Close)
	s := &loadedFleet{pool: pool, duration: subsetDuration, traffic: emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: subsetGateways,
		Groups: 20, Zipf: 0.7, EstimateSigma: 0.5, Seed: 31}}
	s.traffic.Rate = s.traffic.RateForLoad(0.4, 2*subsetEngines)
	s.testFleet = startFleetWith(t, testfleet.Options{Gateways: subsetGateways, Seed: 31, Engines: pool.EngineList(), Operator: "\n[spread]\n",
		Settings: func(n, self int) string { return emulator.Settings(s.traffic.Classes, n, self, 2) }})
	pool.SetDiscoveryServer(s.Discovery)
	s.clients = emulator.NewClients(s.ClientAddrs(), s.traffic.Classes, 31, clock)
	t.Cleanup(s.clients.Close)
	return s
}

// waitLogged waits until every gateway has logged a text at least this many times.
func (s *loadedFleet) waitLogged(text string, times int) {
	s.check(s.Wait(waitTimeout, func() error {
		for i := range s.Size() {
			if n := strings.Count(s.Log(i), text); n < times {
				return fmt.Errorf("gateway %d has logged %q %d times, want %d", i, text, n, times)
			}
		}
		return nil
	}))
}

// TestSubsetChangesLoseNoRequest configures a subset, a larger one and none again by reloads under load, and checks that every request gets
// one reply, that none is lost, and that no engine receives a query twice.
func TestSubsetChangesLoseNoRequest(t *testing.T) {
	s := startSubsetFleet(t)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		time.Sleep(500 * time.Millisecond)
		s.check(s.Reload("\n[spread]\n[subset]\nleast = 6\ncoverage = 1\nlinger_ms = 300\n"))
		s.waitLogged(`msg="subset size changed"`, 2) // once to all engines at the start, and once to the subset
		s.check(s.Reload("\n[spread]\n[subset]\nleast = 12\ncoverage = 1\nlinger_ms = 300\n"))
		s.waitLogged(`msg="subset configured" on=true`, 2)
		time.Sleep(500 * time.Millisecond)
		s.check(s.Reload("\n[spread]\n"))
		s.waitLogged(`msg="subset configured" on=false`, 1)
	}()
	verdicts, _ := s.run(nil)
	<-changed
	t.Logf("%v", verdicts)
	if !servedAtLeast(verdicts, 0.97) || verdicts[emulator.Lost]+verdicts[emulator.Failed] > 0 {
		t.Errorf("verdicts: %v, want 97%% served and none lost or failed", verdicts)
	}
	for i := range s.Size() {
		if log := s.Log(i); !strings.Contains(log, " engines=32 subset=") || strings.Contains(log, "invariant broken") {
			t.Errorf("gateway %d logged no subset, or a broken invariant", i)
		}
	}
}
