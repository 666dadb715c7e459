package measure

import (
	"errors"
	"testing"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Every statement of the measurements of decisions is served. The time that it takes depends on the machine and is not
// checked.
func TestDecisionsAreServed(t *testing.T) {
	setup := DecisionSetup{Engines: 8, Gateways: 800, StatementsPerSecond: 200, Duration: 200 * time.Millisecond, Seed: 1}
	if _, err := Decision(setup); err != nil {
		t.Errorf("decision module: %v", err)
	}
	if _, err := CoreDecision(setup); err != nil {
		t.Errorf("core: %v", err)
	}
}

// In a small fleet all gateways know the load of all engines, by reports that are still valid; a run with the same seed
// gives the same figures.
func TestSharedReportsReachAllGateways(t *testing.T) {
	setup := FleetSetup{Gateways: 12, Engines: 8, ReportsPerSecond: 6, Seed: 3}
	first, err := SharedReports(setup)
	if err != nil || first.KnownShare != 1 || first.AgeSeconds <= 0 || first.AgeSeconds > 5 {
		t.Fatalf("%+v, %v", first, err)
	}
	if second, err := SharedReports(setup); err != nil || second.KnownShare != first.KnownShare ||
		second.AgeSeconds != first.AgeSeconds || second.BytesPerSecond != first.BytesPerSecond {
		t.Errorf("%+v after %+v, %v", second, first, err)
	}
}

// All phases run in order; views agree at the end of each but the partition, and load reports add bytes.
func TestFaultsRunAllPhases(t *testing.T) {
	setup := FleetSetup{Gateways: 14, Loss: FaultLoss, Seed: 5}
	alone, err := Faults(setup, false)
	if err != nil {
		t.Fatal(err)
	}
	setup.Engines, setup.ReportsPerSecond = 8, 2
	with, err := Faults(setup, false)
	if err != nil {
		t.Fatal(err)
	}
	for i, phase := range capacity.Phases() {
		if alone[i].Phase != phase || with[i].Phase != phase {
			t.Fatalf("%s and %s in place of %s", alone[i].Phase, with[i].Phase, phase)
		}
		if agreed := alone[i].ConvergenceSeconds >= 0; agreed != (phase != capacity.RegionsPartitioned) {
			t.Errorf("%s: agreed %v", phase, alone[i].ConvergenceSeconds)
		}
		if alone[i].PeakBytes <= 0 || with[i].PeakBytes <= alone[i].PeakBytes || alone[i].PeakTopSender < alone[i].PeakBytes {
			t.Errorf("%s: %+v, with load reports %+v", phase, alone[i], with[i])
		}
	}
}

// The bytes of a full list grow with the engines, and the core accepts the list.
func TestEngineListsAreApplied(t *testing.T) {
	small, err := EngineList(20, 2)
	if err != nil {
		t.Fatal(err)
	}
	large, err := EngineList(40, 2)
	if err != nil || large.Bytes < 1.9*small.Bytes {
		t.Errorf("%v bytes after %v, %v", large.Bytes, small.Bytes, err)
	}
}

// Connections have memory; a measurement of too many is rejected before any is opened.
func TestConnectionMemory(t *testing.T) {
	if bytes, err := EngineConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("%v bytes, %v", bytes, err)
	}
	if bytes, err := ClientConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("%v bytes, %v", bytes, err)
	}
	for name, measure := range map[string]func(int) (float64, error){"engine": EngineConnectionMemory, "client": ClientConnectionMemory} {
		t.Run(name, func(t *testing.T) {
			_, err := measure(MaxConnections + 1)
			var limit *ConnectionLimitError
			if !errors.As(err, &limit) || *limit != (ConnectionLimitError{Requested: MaxConnections + 1, Limit: MaxConnections}) {
				t.Errorf("error %v, want a ConnectionLimitError", err)
			}
		})
	}
}

// A run of one group returns the slopes of that group only, and each can be fitted.
func TestSlopesOfOneGroup(t *testing.T) {
	slopes, err := Slopes(Options{Seed: 1, Quick: true, Group: capacity.GroupStaged, Logf: t.Logf})
	if err != nil || len(slopes) != 2 {
		t.Fatalf("%d slopes, %v", len(slopes), err)
	}
	for _, slope := range slopes {
		if err := slope.Validate(); err != nil {
			t.Error(err)
		}
	}
}

// A run that needs more memory than is allowed is rejected; a quick run and one of a small group are not.
func TestCheckMemory(t *testing.T) {
	const allowed = 256 << 20
	err := (Options{}).CheckMemory(allowed)
	var limit *MemoryLimitError
	if !errors.As(err, &limit) || limit.Allowed != allowed || limit.Needed <= allowed {
		t.Errorf("full run: error %v, want a MemoryLimitError", err)
	}
	for name, options := range map[string]Options{"quick": {Quick: true}, "small group": {Group: capacity.GroupDecision}} {
		t.Run(name, func(t *testing.T) {
			if err := options.CheckMemory(allowed); err != nil {
				t.Errorf("%+v: %v", options, err)
			}
		})
	}
}
