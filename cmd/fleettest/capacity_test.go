package main

import (
	"os"
	"strings"
	"testing"

	"frostpier/internal/testbed/capacity"
)

const (
	capacityPage   = "../../docs/operators/CAPACITY.md"
	capacitySlopes = "../../scenarios/capacity-slopes.json"
	scaleResults   = "../../scenarios/scale-results.json"
)

// Checks that the tables and totals on the capacity page are those that follow from the committed result files.
func TestCapacityPageMatchesResultFiles(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	filled, err := fillPage(string(page), capacitySlopes, scaleResults)
	if err != nil {
		t.Fatal(err)
	}
	if filled != string(page) {
		t.Errorf("docs/operators/CAPACITY.md does not match the result files: run bin/fleettest capacity\n%s", firstDifference(filled, string(page)))
	}
}

// firstDifference returns the first line of want that differs from got.
func firstDifference(want, got string) string {
	wanted, lines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i, line := range wanted {
		if i >= len(lines) || lines[i] != line {
			return "want: " + line
		}
	}
	return "more lines than expected"
}

// Checks that the committed slopes come from a full run, and that the page depends on each of them.
func TestEverySlopeAffectsCapacityPage(t *testing.T) {
	text, err := os.ReadFile(capacitySlopes)
	if err != nil {
		t.Fatal(err)
	}
	result, err := capacity.DecodeResult(text)
	if err != nil {
		t.Fatal(err)
	}
	if result.Machine.Quick {
		t.Error("the committed slopes come from a quick run")
	}
	before := pageBlocks(result)
	for i, slope := range result.Slopes {
		points := slope.Points
		changed := append([]capacity.Point(nil), points...)
		for k := range changed {
			changed[k].Value *= 1.5
		}
		result.Slopes[i].Points = changed
		if !notOnPage(slope.Name) && pageBlocks(result) == before {
			t.Errorf("raising %q by half does not change the page", slope.Name)
		}
		result.Slopes[i].Points = points
	}
}

// notOnPage reports whether a slope is of a phase quantity that the result file contains but the page does not show.
func notOnPage(name string) bool {
	return strings.Contains(name, string(capacity.PeakDatagrams)) || strings.Contains(name, string(capacity.PeakProcessorTime))
}

func pageBlocks(result capacity.Result) string {
	var text strings.Builder
	blocks := capacity.New(result).Blocks(nil)
	for _, block := range []string{"slopes", "fault slopes", "roles", "peaks", "ranking"} {
		text.WriteString(blocks[block])
	}
	return text.String()
}
