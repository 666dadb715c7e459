//go:build !debug

// Built only without the tag debug to keep CI short: with the tag, fleet_test.go runs fleets.

package main

import (
	"testing"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

// The tests run 24 processes of the program with eight engines of eight cores; each gateway gets a few queries per second. They must pass
// on machines of any speed, so they check responses but no durations, and allow an imbalance of several times the expected one.
const (
	loadTestGateways = 24
	loadTestEngines  = 8
	coresPerEngine   = 8
	loadTestDuration = 16 * time.Second
	faultDelay       = 5 * time.Second
	maxImbalance     = 4.0 // running threads of the busiest engine, as a multiple of the mean; 1.6 to 2 is expected
)

// loadedFleet is a fleet with engines and clients.
type loadedFleet struct {
	*testFleet
	pool     *testfleet.Pool
	clients  *emulator.Clients
	traffic  emulator.Traffic
	duration time.Duration // duration of the traffic in one run
}

// startSharingFleet starts a fleet whose gateways share load reports.
func startSharingFleet(t *testing.T, seed uint64) *loadedFleet {
	t.Helper()
	return startLoadedFleet(t, seed, 0.5, testfleet.Options{Gateways: loadTestGateways, Operator: "\n[spread]\n"})
}

// startLoadedFleet starts gateways, engines and clients. The clients' load is the given share of the engines' capacity.
func startLoadedFleet(t *testing.T, seed uint64, load float64, opt testfleet.Options) *loadedFleet {
	t.Helper()
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	pool, err := testfleet.NewPool(loadTestEngines, emulator.DefaultSpec(coresPerEngine), clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Close)
	s := &loadedFleet{pool: pool, duration: loadTestDuration, traffic: emulator.Traffic{
		Classes: emulator.DefaultClasses(), Gateways: opt.Gateways, Skew: 1, Groups: 20, Zipf: 0.7, EstimateSigma: 0.5, Seed: seed,
	}}
	s.traffic.Rate = s.traffic.RateForLoad(load, coresPerEngine*loadTestEngines)
	opt.Seed, opt.Engines = seed, pool.EngineList()
	opt.Settings = func(n, self int) string { return emulator.Settings(s.traffic.Classes, n, self, coresPerEngine) }
	s.testFleet = startFleetWith(t, opt)
	pool.SetDiscoveryServer(s.Discovery)
	s.clients = emulator.NewClients(s.ClientAddrs(), s.traffic.Classes, seed, clock)
	t.Cleanup(s.clients.Close)
	return s
}

// run sends the traffic, and calls fault after faultDelay unless it is nil. It returns the number of requests by verdict, and the balance
// of the load.
func (s *loadedFleet) run(fault func()) (map[emulator.Verdict]int, testfleet.Balance) {
	s.t.Helper()
	requests := s.traffic.Generate(s.duration)
	stop, balance := make(chan struct{}), make(chan testfleet.Balance, 1)
	go func() { balance <- s.pool.SampleBalance(stop) }()
	if fault != nil {
		timer := time.AfterFunc(faultDelay, fault)
		defer timer.Stop()
	}
	_, mark := s.clients.Outcomes(0)
	s.clients.Run(requests, nil)
	close(stop)
	outcomes, _ := s.clients.Outcomes(mark)
	verdicts := map[emulator.Verdict]int{}
	for _, o := range outcomes {
		verdicts[o.Verdict]++
		if o.DuplicateAnswers > 0 {
			s.t.Errorf("a request got %d duplicate replies", o.DuplicateAnswers)
		}
	}
	if len(outcomes) != len(requests) {
		s.t.Errorf("%d outcomes of %d requests, want one for each", len(outcomes), len(requests))
	}
	if verdicts[emulator.Corrupted] > 0 || verdicts[emulator.Unanswered] > 0 {
		s.t.Errorf("corrupted or unanswered: %v", verdicts)
	}
	if n := s.pool.Collapsed(); n > 0 {
		s.t.Errorf("%d engines were overloaded while warming up", n)
	}
	for _, e := range s.pool.Engines() {
		if _, f, _ := e.Load(); f.Resubmitted > 0 {
			s.t.Errorf("%s received %d queries that were already in flight there", e.Name(), f.Resubmitted)
		}
	}
	return verdicts, <-balance
}

// servedAtLeast reports whether at least this share of all requests was served.
func servedAtLeast(verdicts map[emulator.Verdict]int, share float64) bool {
	all := 0
	for _, n := range verdicts {
		all += n
	}
	return float64(verdicts[emulator.Served]) >= share*float64(all)
}

// TestFleetBalancesLoadDuringFaults checks that requests are served and that load is balanced in three runs: without a fault, with a hung
// engine and a killed gateway, and with a network partition between all gateways while 60% of the engines are replaced. In each run every
// request must have one outcome, no reply may be corrupted, and no engine may be overloaded while it warms up.
func TestFleetBalancesLoadDuringFaults(t *testing.T) {
	s := startSharingFleet(t, 17)
	verdicts, balance := s.run(nil)
	t.Logf("no fault: %v, %+v", verdicts, balance)
	if !servedAtLeast(verdicts, 0.97) || verdicts[emulator.Lost] > 0 || balance.PeakToMean > maxImbalance {
		t.Errorf("no fault: %v, %+v, want 97%% served, none lost and a peak of at most %g times the mean", verdicts, balance, maxImbalance)
	}
	killed := 3
	verdicts, balance = s.run(func() {
		s.pool.Engines()[0].SetHung(true)
		if err := s.Kill(killed); err != nil {
			t.Error(err)
		}
	})
	t.Logf("engine hung, gateway killed: %v, %+v", verdicts, balance)
	if !servedAtLeast(verdicts, 0.85) {
		t.Errorf("engine hung, gateway killed: %v, want 85%% served", verdicts)
	}
	s.pool.Engines()[0].SetHung(false)
	s.must(s.Start(killed))
	s.waitConverged("after the restart", detectTimeout)
	verdicts, balance = s.run(func() {
		s.Relay.SetDefaultLink(testfleet.Link{Cut: true})
		engines := s.pool.Engines()
		for _, e := range engines[:len(engines)*6/10] {
			if err := s.pool.Replace(e); err != nil {
				t.Error(err)
			}
			s.pool.Publish()
			time.Sleep(time.Second)
		}
	})
	t.Logf("engines replaced during a partition: %v, %+v", verdicts, balance)
	if !servedAtLeast(verdicts, 0.6) {
		t.Errorf("engines replaced during a partition: %v, want 60%% served", verdicts)
	}
}
