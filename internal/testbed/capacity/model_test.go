package capacity

import (
	"errors"
	"strings"
	"testing"
)

// resultOf returns a result with all slopes. Slopes of shares have the value 1, flat slopes the given rate, and all others
// the given rate times the size.
func resultOf(rate float64) Result {
	result := Result{Machine: Machine{Cores: 1}}
	for _, definition := range Definitions() {
		curve := func(size float64) float64 { return rate * size }
		switch {
		case definition.Unit == UnitShare:
			curve = func(float64) float64 { return 1 }
		case definition.Form == Flat:
			curve = func(float64) float64 { return rate }
		}
		result.Slopes = append(result.Slopes, Slope{Name: definition.Name, Unit: definition.Unit, SizeOf: definition.SizeOf,
			Form: definition.Form, Points: pointsOn(curve), Command: definition.Command()})
	}
	return result
}

// TestResultRoundTrip checks that an encoded result decodes with all slopes, and that a result without one is rejected.
func TestResultRoundTrip(t *testing.T) {
	result := resultOf(1e-6)
	text, err := result.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeResult(text); err != nil || len(decoded.Slopes) != len(Definitions()) {
		t.Fatalf("DecodeResult returned %d slopes, error %v; want %d slopes", len(decoded.Slopes), err, len(Definitions()))
	}
	result.Slopes = result.Slopes[1:]
	if text, err = result.Encode(); err != nil {
		t.Fatal(err)
	}
	_, err = DecodeResult(text)
	var missing *MissingSlopeError
	if !errors.As(err, &missing) || missing.Slope != DecisionProcessorTime {
		t.Errorf("DecodeResult without the first slope: error %v, want a MissingSlopeError for it", err)
	}
}

// TestQuietTotalSumsRolesWithoutClients compares the total with one that is computed by hand from the slopes.
func TestQuietTotalSumsRolesWithoutClients(t *testing.T) {
	m := New(resultOf(1e-6))
	total := m.QuietTotal()
	processor := 1100*1e-6*1625 + 1100*1e-6 // decisions; membership and load reports together
	if !nearlyEqual(total.Processor, processor) {
		t.Errorf("processor share %v, want %v", total.Processor, processor)
	}
	memory := 1100*1e-6 + 1100*1100*1e-6 + 800*1e-6 + 1100*1e-6 // list, 1100 connections of 1100e-6 each, membership, digest
	if !nearlyEqual(total.Memory, memory) {
		t.Errorf("memory %v bytes, want %v", total.Memory, memory)
	}
	if bytes := 1e-6 + 1e-6; !nearlyEqual(total.BytesPerSecond, bytes) { // membership and load reports together; staged reports
		t.Errorf("%v bytes per second, want %v", total.BytesPerSecond, bytes)
	}
}

// TestStatesPreserveTotalLoad checks that faults do not change the total load: the remaining gateways take over the load
// of lost ones, and partitioned regions keep their own.
func TestStatesPreserveTotalLoad(t *testing.T) {
	m := New(resultOf(1))
	for _, state := range m.States() {
		total := state.StatementsPerSecond * state.Gateways
		if state.Phase == PhaseRegionsPartitioned {
			total *= m.Target.Regions
		}
		if !nearlyEqual(total, m.Target.StatementsPerSecond) {
			t.Errorf("%s: %v statements per second in total, want %v", state.Phase, total, m.Target.StatementsPerSecond)
		}
	}
	zone := m.stateOf(PhaseZoneLost)
	if !nearlyEqual(zone.Gateways, 800*6.0/7) || !nearlyEqual(zone.ClientConnections, 3500*7.0/6) {
		t.Errorf("state after the loss of a zone: %+v, want 6/7 of the gateways with 7/6 of the clients each", zone)
	}
}

// TestRankingIsOrderedBySizeOfFirstMiss checks that requirements are ranked by the size of the smallest fleet that misses them, and that those
// that the target meets are last.
func TestRankingIsOrderedBySizeOfFirstMiss(t *testing.T) {
	ranking := New(resultOf(0.1)).Ranking()
	previous, met := 0.0, false
	for _, requirement := range ranking {
		met = met || !requirement.Missed
		if requirement.Missed && (met || requirement.Gateways < previous) {
			t.Errorf("%q is missed at %v gateways, but is ranked after a requirement that is met or missed at %v",
				requirement.Name, requirement.Gateways, previous)
		}
		if requirement.Missed != (requirement.FactorAtTarget > 1) {
			t.Errorf("%q: factor %v at the target, but Missed = %v", requirement.Name, requirement.FactorAtTarget, requirement.Missed)
		}
		previous = requirement.Gateways
	}
}

// TestFillReplacesBlocks checks that filling replaces the old text of a block, that it is idempotent, and that a page
// without a marker of a block is rejected.
func TestFillReplacesBlocks(t *testing.T) {
	blocks := map[string]string{"one": "text\n"}
	for page, marker := range map[string]string{"no markers": beginMarker("one"), beginMarker("one"): endMarker("one")} { // the first missing marker, by page
		_, err := Fill(page, blocks)
		var missing *MarkerError
		if !errors.As(err, &missing) || *missing != (MarkerError{Block: "one", Marker: marker}) {
			t.Errorf("page %q: error %v, want a MarkerError for %q", page, err, marker)
		}
	}
	once, err := Fill("before\n<!-- begin one -->\nold\n<!-- end one -->\nafter\n", blocks)
	if err != nil || strings.Contains(once, "old") || !strings.Contains(once, "text") {
		t.Fatalf("Fill returned page %q, error %v; want the new text in place of the old", once, err)
	}
	if twice, err := Fill(once, blocks); err != nil || twice != once {
		t.Errorf("second Fill returned page %q, error %v; want the same page %q", twice, err, once)
	}
}

// TestScaleTableHasRowPerStep checks the table row of a step of a scale run, and the text of the block if there are no scale runs.
func TestScaleTableHasRowPerStep(t *testing.T) {
	scale, err := DecodeScale([]byte(`{"runs":[{"facts":{"cores":8},"steps":[{"name":"quiet","real_gateways":24,
		"hollow_gateways":776,"engines":1100,"resident_mb":41.5,"new":1}]}]}`))
	if err != nil || len(scale.Table().Rows) != 1 || scale.Table().Rows[0][1] != "off" || scale.Table().Rows[0][2] != "quiet" ||
		scale.Table().Rows[0][7] != "41.5" {
		t.Fatalf("scale result %+v, error %v; want one row for the step quiet", scale, err)
	}
	if text := New(resultOf(1)).Blocks(nil)[blockScale]; text != NotMeasured {
		t.Errorf("block without scale runs: %q, want %q", text, NotMeasured)
	}
}
