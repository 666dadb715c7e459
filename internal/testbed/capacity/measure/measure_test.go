package measure

import (
	"errors"
	"testing"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Every statement of the decision measurements is served, with a positive time; nothing is said of how long it is.
func TestDecisionsAreServed(t *testing.T) {
	setup := DecisionSetup{Engines: 8, Gateways: 800, Rate: 200, Duration: 200 * time.Millisecond, Seed: 1}
	if _, err := Decision(setup); err != nil {
		t.Error(err)
	}
	if _, err := CoreDecision(setup); err != nil {
		t.Error(err)
	}
}

// In a small fleet all gateways know all engines, by reports that are younger than their life; the same seed finds the same.
func TestSharedReportsReachAll(t *testing.T) {
	setup := FleetSetup{Gateways: 12, Engines: 8, Reports: 6, Seed: 3}
	first, err := SharedReports(setup)
	if err != nil || first.KnownShare != 1 || first.Age <= 0 || first.Age > 5 {
		t.Fatalf("%+v, %v", first, err)
	}
	if again, err := SharedReports(setup); err != nil || again.KnownShare != first.KnownShare || again.Age != first.Age || again.Bytes != first.Bytes {
		t.Errorf("%+v after %+v, %v", again, first, err)
	}
}

// All phases are played in their order; views agree at the end of each but the cut, and load reports add bytes.
func TestFaultsPlayAllPhases(t *testing.T) {
	setup := FleetSetup{Gateways: 14, Loss: FaultLoss, Seed: 5}
	alone, err := Faults(setup, false)
	if err != nil {
		t.Fatal(err)
	}
	setup.Engines, setup.Reports = 8, 2
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
		if alone[i].PeakBytes <= 0 || with[i].PeakBytes <= alone[i].PeakBytes || alone[i].TopSender < alone[i].PeakBytes {
			t.Errorf("%s: %+v, with load reports %+v", phase, alone[i], with[i])
		}
	}
}

// A whole list's bytes grow with the engines, and all of it is taken in.
func TestEngineListsAreTaken(t *testing.T) {
	small, err := EngineList(20, 2)
	if err != nil {
		t.Fatal(err)
	}
	large, err := EngineList(40, 2)
	if err != nil || large.Bytes < 1.9*small.Bytes {
		t.Errorf("%v bytes after %v, %v", large.Bytes, small.Bytes, err)
	}
}

// Connections are measured within bounds; more are refused before any is opened.
func TestConnectionsAreBounded(t *testing.T) {
	if bytes, err := EngineConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("%v bytes, %v", bytes, err)
	}
	if bytes, err := ClientConnectionMemory(20); err != nil || bytes <= 0 {
		t.Errorf("%v bytes, %v", bytes, err)
	}
	if _, err := EngineConnectionMemory(MaxConnections + 1); !errors.Is(err, errConnections) {
		t.Errorf("%v", err)
	}
}

// A group measured by itself gives its slopes, each of which can be fitted, and no others.
func TestOneGroupIsMeasured(t *testing.T) {
	slopes, err := Slopes(Options{Seed: 1, Quick: true, Only: capacity.GroupStaged, Note: t.Logf})
	if err != nil || len(slopes) != 2 {
		t.Fatalf("%d slopes, %v", len(slopes), err)
	}
	for _, slope := range slopes {
		if err := slope.Validate(); err != nil {
			t.Error(err)
		}
	}
}

// More memory than is allowed is refused before anything is measured; a quick run keeps to the default.
func TestMemoryIsAskedFor(t *testing.T) {
	const allowed = 256 << 20
	if err := (Options{}).CheckMemory(allowed); !errors.Is(err, errMemory) {
		t.Errorf("a full run: %v", err)
	}
	for _, options := range []Options{{Quick: true}, {Only: capacity.GroupDecision}} {
		if err := options.CheckMemory(allowed); err != nil {
			t.Errorf("%+v: %v", options, err)
		}
	}
}
