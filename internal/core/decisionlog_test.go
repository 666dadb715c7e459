package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

// At debug level, each attempt must be logged with the estimate of its engine, and each queued request with the guard that
// keeps it in the queue.
func TestDecisionsLoggedAtDebugLevel(t *testing.T) {
	output := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: slog.LevelDebug}))
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	c, err := New(settings.Host{MachineTypes: []string{"m"}, Zones: []string{"z"}, Policy: policy.Settings{
		Classes: []policy.Class{class}, Gateways: 1, Tick: 5 * time.Millisecond, MachineTypes: []policy.MachineType{{Cores: 1}}}}, 1, log, invariant.New(log))
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	for range 12 {
		c.Submit(startTime, testQuery)
	}
	c.TimerFired(startTime+200*time.Millisecond, 0)
	for _, want := range []string{`msg="attempt decided"`, "own=1", "age_ms=-1", `msg="request held"`, "held_ms=200", "engines="} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
	records := strings.Count(output.String(), "request held")
	c.TimerFired(startTime+210*time.Millisecond, 0) // within queueLogInterval
	if later := strings.Count(output.String(), "request held"); records == 0 || later != records {
		t.Errorf("%d records, %d after another timer within the interval, want as many and at least one", records, later)
	}
}
