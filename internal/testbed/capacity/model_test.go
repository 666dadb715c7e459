package capacity

import (
	"strings"
	"testing"
)

// resultOf has every slope, each a line through the origin with the given rate; what is flat has that value, and all engines are
// known.
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

// A file comes back as it was written; one that lacks a slope is refused, with its name.
func TestResultsAreRead(t *testing.T) {
	result := resultOf(1e-6)
	text, err := result.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := DecodeResult(text); err != nil || len(back.Slopes) != len(Definitions()) {
		t.Fatalf("%d slopes, %v", len(back.Slopes), err)
	}
	result.Slopes = result.Slopes[1:]
	if text, err = result.Encode(); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeResult(text); err == nil || !strings.Contains(err.Error(), DecisionProcessor) {
		t.Errorf("a missing slope: %v", err)
	}
}

// The total of the quiet state is the sum of the roles without the clients' connections, worked out by hand from the slopes.
func TestQuietTotal(t *testing.T) {
	m := NewModel(resultOf(1e-6))
	total := m.QuietTotal()
	processor := 1100*1e-6*1625 + 1100*1e-6 // decisions; membership and load reports together
	if !near(total.Processor, processor) {
		t.Errorf("processor %v, not %v", total.Processor, processor)
	}
	memory := 1100*1e-6 + 1100*1100*1e-6 + 800*1e-6 + 1100*1e-6 // lists, connections of 1100e-6 each, node, digest
	if !near(total.Memory, memory) {
		t.Errorf("memory %v, not %v", total.Memory, memory)
	}
	if bytes := 1e-6 + 1e-6; !near(total.BytesSecond, bytes) { // membership and load reports together; staged reports
		t.Errorf("bytes %v, not %v", total.BytesSecond, bytes)
	}
}

// A lost zone spreads its statements and clients over the others; regions apart keep theirs.
func TestStatesOfFaults(t *testing.T) {
	m := NewModel(resultOf(1))
	for _, state := range m.States() {
		served := state.Statements * state.Gateways
		if state.Phase == RegionsCut {
			served *= m.Target.Regions
		}
		if !near(served, m.Target.StatementsPerSecond) {
			t.Errorf("%s: %v statements a second in all", state.Phase, served)
		}
	}
	zone := m.state(ZoneLost)
	if !near(zone.Gateways, 800*6.0/7) || !near(zone.Clients, 3500*7.0/6) {
		t.Errorf("%+v", zone)
	}
}

// Requirements stand in the order in which they break; one that does not break is last, and says so.
func TestRankingIsInOrder(t *testing.T) {
	ranking := NewModel(resultOf(0.1)).Ranking()
	last, ended := 0.0, false
	for _, broken := range ranking {
		ended = ended || !broken.Breaks
		if broken.Breaks && (ended || broken.Gateways < last) {
			t.Errorf("%s breaks at %v gateways, after %v", broken.Name, broken.Gateways, last)
		}
		if broken.Breaks != (broken.AtTarget > 1) {
			t.Errorf("%s: factor %v at the target, breaks: %v", broken.Name, broken.AtTarget, broken.Breaks)
		}
		last = broken.Gateways
	}
}

// A page without a block's markers is refused; filling a page twice changes nothing more.
func TestFill(t *testing.T) {
	blocks := map[string]string{"one": "text\n"}
	if _, err := Fill("no markers", blocks); err == nil {
		t.Error("no error without markers")
	}
	once, err := Fill("before\n<!-- begin one -->\nold\n<!-- end one -->\nafter\n", blocks)
	if err != nil || strings.Contains(once, "old") || !strings.Contains(once, "text") {
		t.Fatalf("%q, %v", once, err)
	}
	if twice, err := Fill(once, blocks); err != nil || twice != once {
		t.Errorf("%q, %v", twice, err)
	}
}

// Scale runs become rows; without them the page says so.
func TestScaleRuns(t *testing.T) {
	scale, err := DecodeScale([]byte(`{"runs":[{"facts":{"cores":8},"steps":[{"name":"quiet","real_gateways":24,"hollow_gateways":776,"engines":1100,"resident_mb":41.5,"new":1}]}]}`))
	if err != nil || len(scale.Table().Rows) != 1 || scale.Table().Rows[0][1] != "off" || scale.Table().Rows[0][2] != "quiet" ||
		scale.Table().Rows[0][7] != "41.5" {
		t.Fatalf("%+v, %v", scale, err)
	}
	if text := NewModel(resultOf(1)).Blocks(nil)[blockScale]; text != NotMeasured {
		t.Errorf("%q", text)
	}
}
