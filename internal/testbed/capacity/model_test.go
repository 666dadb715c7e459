package capacity

import (
	"errors"
	"strings"
	"testing"
)

// resultOf returns a result with every slope: a line through the origin with the given rate, a flat slope with that value,
// and a share of 1.
func resultOf(rate float64) Result {
	result := Result{Machine: Machine{Cores: 1}}
	for _, definition := range Definitions() {
		curve := func(size float64) float64 { return rate * size }
		switch {
		case definition.Unit == Share:
			curve = func(float64) float64 { return 1 }
		case definition.Form == Flat:
			curve = func(float64) float64 { return rate }
		}
		result.Slopes = append(result.Slopes, Slope{Name: definition.Name, Unit: definition.Unit, SizeOf: definition.SizeOf,
			Form: definition.Form, Points: pointsOn(curve), Command: definition.Command()})
	}
	return result
}

// An encoded result decodes to the same slopes; a result that lacks a slope is rejected.
func TestResultRoundTrip(t *testing.T) {
	result := resultOf(1e-6)
	text, err := result.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeResult(text); err != nil || len(decoded.Slopes) != len(Definitions()) {
		t.Fatalf("%d slopes, %v", len(decoded.Slopes), err)
	}
	result.Slopes = result.Slopes[1:]
	if text, err = result.Encode(); err != nil {
		t.Fatal(err)
	}
	_, err = DecodeResult(text)
	var missing *MissingSlopeError
	if !errors.As(err, &missing) || missing.Slope != DecisionProcessor {
		t.Errorf("error %v, want a MissingSlopeError", err)
	}
}

// The quiet total is the sum of all roles without client connections, here computed by hand from the slopes.
func TestQuietTotal(t *testing.T) {
	m := New(resultOf(1e-6))
	total := m.QuietTotal()
	processor := 1100*1e-6*1625 + 1100*1e-6 // decisions; membership and load reports together
	if !nearlyEqual(total.Processor, processor) {
		t.Errorf("processor %v, not %v", total.Processor, processor)
	}
	memory := 1100*1e-6 + 1100*1100*1e-6 + 800*1e-6 + 1100*1e-6 // lists, connections of 1100e-6 each, node, digest
	if !nearlyEqual(total.Memory, memory) {
		t.Errorf("memory %v, not %v", total.Memory, memory)
	}
	if bytes := 1e-6 + 1e-6; !nearlyEqual(total.BytesPerSecond, bytes) { // membership and load reports together; staged reports
		t.Errorf("bytes %v, not %v", total.BytesPerSecond, bytes)
	}
}

// The load of a lost zone moves to the other zones; partitioned regions keep theirs.
func TestStatesOfFaults(t *testing.T) {
	m := New(resultOf(1))
	for _, state := range m.States() {
		total := state.StatementsPerSecond * state.Gateways
		if state.Phase == RegionsPartitioned {
			total *= m.Target.Regions
		}
		if !nearlyEqual(total, m.Target.StatementsPerSecond) {
			t.Errorf("%s: %v statements a second in all", state.Phase, total)
		}
	}
	zone := m.stateOf(ZoneLost)
	if !nearlyEqual(zone.Gateways, 800*6.0/7) || !nearlyEqual(zone.ClientConnections, 3500*7.0/6) {
		t.Errorf("%+v", zone)
	}
}

// Requirements are ranked by the fleet that misses them; those that the target meets come last.
func TestRankingOrder(t *testing.T) {
	ranking := New(resultOf(0.1)).Ranking()
	previous, met := 0.0, false
	for _, requirement := range ranking {
		met = met || !requirement.Missed
		if requirement.Missed && (met || requirement.Gateways < previous) {
			t.Errorf("%s is missed at %v gateways, after one at %v", requirement.Name, requirement.Gateways, previous)
		}
		if requirement.Missed != (requirement.AtTarget > 1) {
			t.Errorf("%s: factor %v at the target, missed: %v", requirement.Name, requirement.AtTarget, requirement.Missed)
		}
		previous = requirement.Gateways
	}
}

// A page without the markers of a block is rejected; filling a page twice is the same as filling it once.
func TestFill(t *testing.T) {
	blocks := map[string]string{"one": "text\n"}
	for page, marker := range map[string]string{"no markers": beginMarker("one"), beginMarker("one"): endMarker("one")} {
		_, err := Fill(page, blocks)
		var missing *MarkerError
		if !errors.As(err, &missing) || *missing != (MarkerError{Block: "one", Marker: marker}) {
			t.Errorf("page %q: error %v, want a MarkerError for %q", page, err, marker)
		}
	}
	once, err := Fill("before\n<!-- begin one -->\nold\n<!-- end one -->\nafter\n", blocks)
	if err != nil || strings.Contains(once, "old") || !strings.Contains(once, "text") {
		t.Fatalf("%q, %v", once, err)
	}
	if twice, err := Fill(once, blocks); err != nil || twice != once {
		t.Errorf("%q, %v", twice, err)
	}
}

// Every step of a scale run is a row of the table; without scale runs the block says that they are missing.
func TestScaleTable(t *testing.T) {
	scale, err := DecodeScale([]byte(`{"runs":[{"facts":{"cores":8},"steps":[{"name":"quiet","real_gateways":24,
		"hollow_gateways":776,"engines":1100,"resident_mb":41.5,"new":1}]}]}`))
	if err != nil || len(scale.Table().Rows) != 1 || scale.Table().Rows[0][1] != "off" || scale.Table().Rows[0][2] != "quiet" ||
		scale.Table().Rows[0][7] != "41.5" {
		t.Fatalf("%+v, %v", scale, err)
	}
	if text := New(resultOf(1)).Blocks(nil)[blockScale]; text != NotMeasured {
		t.Errorf("%q", text)
	}
}
