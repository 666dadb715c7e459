package main

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// Checks that a small simulation writes a table with a row per size, as CSV and Markdown, and a chart.
func TestSimulateWritesTableAndChart(t *testing.T) {
	dir := t.TempDir()
	c := simulateCommand{Sizes: []int{10, 20}, Kills: 8, Hours: 0.2, Loss: 0.1, Seed: 1, Out: dir}
	if err := c.Run(); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(filepath.Join(dir, "membership-simulated.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) != 3 || rows[1][0] != "10" || rows[2][3] != "8" {
		t.Fatalf("rows %v, error %v; want a header and the sizes 10 and 20, with 8 kills each", rows, err)
	}
	for _, name := range []string{"membership-simulated.md", "membership-simulated.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, name)); err != nil || len(text) < 100 {
			t.Errorf("%s: %d bytes, error %v; want at least 100 bytes", name, len(text), err)
		}
	}
}

// Checks that the random runs of a range of seeds violate no invariant.
func TestReplayFindsNoViolations(t *testing.T) {
	c := replayCommand{From: 3, Runs: 4}
	if err := c.Run(); err != nil {
		t.Fatal(err)
	}
}

// Checks the chart of the gateways' views and a row of the table for the results of a scenario.
func TestChartAndTableShowScenarioResults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "views.svg")
	start := time.Now()
	changes := []testfleet.StateChange{
		{At: start.Add(time.Second), Viewer: 0, Member: 1, State: "dead"},
		{At: start.Add(2 * time.Second), Viewer: 0, Member: 1, State: "alive"},
	}
	if err := chartServiceViews(path, 3, start, changes); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || !strings.Contains(string(text), "<svg") {
		t.Fatalf("chart of %d bytes, error %v; want an SVG image", len(text), err)
	}
	rows := resultTable([]testfleet.Result{{Step: "1", Action: "kill", DetectionTimes: []time.Duration{time.Second, 3 * time.Second}}}).rows
	if rows[0][3] != "3.0 / 3.0" || rows[0][4] != "-" {
		t.Fatalf("row is %v, want detection times \"3.0 / 3.0\" and dissemination times \"-\"", rows[0])
	}
}

// Checks that the committed scenario files can be parsed.
func TestScenarioFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("scenario files %v, error %v; want at least one", files, err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := testfleet.ParseScenario(text); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}
