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

// While debugging every send says what was believed of its engine, and what waits says which guard keeps it.
func TestDecisionsAreRecorded(t *testing.T) {
	text := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	c, err := New(settings.Host{Models: []string{"m"}, Zones: []string{"z"}, Module: policy.Settings{
		Classes: []policy.Class{class}, Gateways: 1, Tick: 5 * time.Millisecond, Kinds: []policy.Kind{{Cores: 1}}}}, 1, log, invariant.New(log))
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEngines(start, true, []ListedEngine{listedEngine("a", policy.Ready)})
	for range 12 {
		c.Submit(start, testQuery)
	}
	c.TimerFired(start+200*time.Millisecond, 0)
	for _, want := range []string{`msg="attempt decided"`, "own=1", "age_ms=-1", `msg="request held"`, "held_ms=200", "engines="} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in the records", want)
		}
	}
	lines := strings.Count(text.String(), "request held")
	c.TimerFired(start+210*time.Millisecond, 0) // too soon for another record
	if again := strings.Count(text.String(), "request held"); lines == 0 || again != lines {
		t.Errorf("%d records, then %d", lines, again)
	}
}
