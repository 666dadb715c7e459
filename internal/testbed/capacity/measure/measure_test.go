package measure

import (
	"errors"
	"testing"
	"time"

	"frostpier/internal/testbed/capacity"
)

// TestDecisionServesEveryStatement checks that the decision measurements complete every statement. It does not check the
// measured time, which depends on the machine.
func TestDecisionServesEveryStatement(t *testing.T) {
	setup := DecisionSetup{Engines: 8, Gateways: 800, StatementsPerSecond: 200, Duration: 200 * time.Millisecond, Seed: 1}
	if _, err := Decision(setup); err != nil {
		t.Errorf("Decision: %v", err)
	}
	if _, err := CoreDecision(setup); err != nil {
		t.Errorf("CoreDecision: %v", err)
	}
}

// TestSharedReportsReachAllGateways checks that all gateways of a small fleet hold unexpired load reports of all engines,
// and that runs with the same seed return the same figures.
func TestSharedReportsReachAllGateways(t *testing.T) {
	setup := FleetSetup{Gateways: 12, Engines: 8, ReportsPerSecond: 6, Seed: 3}
	first, err := SharedReports(setup)
	if err != nil || first.KnownShare != 1 || first.AgeSeconds <= 0 || first.AgeSeconds > 5 {
		t.Fatalf("SharedReports = %+v, error %v; want all engines known, with a mean age of 0 to 5 s", first, err)
	}
	if second, err := SharedReports(setup); err != nil || second.KnownShare != first.KnownShare ||
		second.AgeSeconds != first.AgeSeconds || second.BytesPerSecond != first.BytesPerSecond {
		t.Errorf("second run with the same seed: %+v, error %v; want %+v", second, err, first)
	}
}

// TestFaultsRunsAllPhases checks that the phases run in order, that the membership views agree at the end of each phase
// except the partition, and that load reports increase the traffic.
func TestFaultsRunsAllPhases(t *testing.T) {
	setup := FleetSetup{Gateways: 14, Loss: FaultLoss, Seed: 5}
	alone, err := Faults(setup, false)
	if err != nil {
		t.Fatal(err)
	}
	setup.Engines, setup.ReportsPerSecond = 8, 2
	withReports, err := Faults(setup, false)
	if err != nil {
		t.Fatal(err)
	}
	for i, phase := range capacity.Phases() {
		if alone[i].Phase != phase || withReports[i].Phase != phase {
			t.Fatalf("phase %q without and %q with load reports, want %q", alone[i].Phase, withReports[i].Phase, phase)
		}
		if agreed := alone[i].ConvergenceSeconds >= 0; agreed != (phase != capacity.PhaseRegionsPartitioned) {
			t.Errorf("%s: views agreed after %v s; want no agreement (-1) only while partitioned", phase, alone[i].ConvergenceSeconds)
		}
		if alone[i].PeakBytes <= 0 || withReports[i].PeakBytes <= alone[i].PeakBytes || alone[i].PeakTopSender < alone[i].PeakBytes {
			t.Errorf("%s: unexpected peaks: %+v without load reports, %+v with", phase, alone[i], withReports[i])
		}
	}
}

// TestEngineListBytesGrowWithEngines checks that the size of a full list grows with the number of engines, and that the core
// accepts the list.
func TestEngineListBytesGrowWithEngines(t *testing.T) {
	small, err := EngineList(20, 2)
	if err != nil {
		t.Fatal(err)
	}
	large, err := EngineList(40, 2)
	if err != nil || large.Bytes < 1.9*small.Bytes {
		t.Errorf("list of 40 engines: %v bytes, error %v; want at least 1.9 times the %v bytes of 20 engines", large.Bytes, err, small.Bytes)
	}
}

// TestConnectionMemoryIsPositiveAndConnectionsAreLimited checks that a connection has a positive memory use, and that a measurement of more than
// MaxConnections is rejected.
func TestConnectionMemoryIsPositiveAndConnectionsAreLimited(t *testing.T) {
	if bytes, err := EngineConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("EngineConnectionMemory = %v, error %v; want more than 0 bytes", bytes, err)
	}
	if bytes, err := ClientConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("ClientConnectionMemory = %v, error %v; want more than 0 bytes", bytes, err)
	}
	for name, measure := range map[string]func(int) (float64, error){"engine": EngineConnectionMemory, "client": ClientConnectionMemory} {
		t.Run(name, func(t *testing.T) {
			_, err := measure(MaxConnections + 1)
			var limit *ConnectionLimitError
			if !errors.As(err, &limit) || *limit != (ConnectionLimitError{Requested: MaxConnections + 1, Limit: MaxConnections}) {
				t.Errorf("error %v, want a ConnectionLimitError with both numbers", err)
			}
		})
	}
}

// TestSlopesMeasuresSelectedGroup checks that a run of one group returns only the slopes of this group, and that they are
// valid.
func TestSlopesMeasuresSelectedGroup(t *testing.T) {
	slopes, err := Slopes(Options{Seed: 1, Quick: true, Group: capacity.GroupStaged, Logf: t.Logf})
	if err != nil || len(slopes) != 2 {
		t.Fatalf("%d slopes, error %v; want the 2 slopes of the group staged", len(slopes), err)
	}
	for _, slope := range slopes {
		if err := slope.Validate(); err != nil {
			t.Error(err)
		}
	}
}

// TestCheckMemoryRejectsRunsAboveLimit checks that a run is rejected if it needs more memory than is allowed, and that a quick run and a run of
// a small group are accepted.
func TestCheckMemoryRejectsRunsAboveLimit(t *testing.T) {
	const allowed = 256 << 20
	err := (Options{}).CheckMemory(allowed)
	var limit *MemoryLimitError
	if !errors.As(err, &limit) || limit.Allowed != allowed || limit.Needed <= allowed {
		t.Errorf("full run: error %v, want a MemoryLimitError", err)
	}
	for name, options := range map[string]Options{"quick": {Quick: true}, "small group": {Group: capacity.GroupDecision}} {
		t.Run(name, func(t *testing.T) {
			if err := options.CheckMemory(allowed); err != nil {
				t.Errorf("CheckMemory with options %+v: %v", options, err)
			}
		})
	}
}
