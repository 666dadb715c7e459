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

// At debug level each attempt is logged with the estimate of its engine, and each queued request with the guard that keeps
// it from being sent.
func TestDecisionsAreLogged(t *testing.T) {
	output := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: slog.LevelDebug}))
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	c, err := New(settings.Host{EngineKinds: []string{"m"}, Zones: []string{"z"}, Module: policy.Settings{
		Classes: []policy.Class{class}, Gateways: 1, Tick: 5 * time.Millisecond, MachineTypes: []policy.MachineType{{Cores: 1}}}}, 1, log, invariant.New(log))
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEngines(start, true, []ListedEngine{listedEngine("a", policy.Ready)})
	for range 12 {
		c.Submit(start, testQuery)
	}
	c.TimerFired(start+200*time.Millisecond, 0)
	for _, want := range []string{`msg="attempt decided"`, "own=1", "age_ms=-1", `msg="request held"`, "held_ms=200", "engines="} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("no %q in the log", want)
		}
	}
	records := strings.Count(output.String(), "request held")
	c.TimerFired(start+210*time.Millisecond, 0) // within waitingLogInterval
	if later := strings.Count(output.String(), "request held"); records == 0 || later != records {
		t.Errorf("%d records, then %d", records, later)
	}
}
