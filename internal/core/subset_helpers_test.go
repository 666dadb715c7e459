package core

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"frostpier/internal/control/subset"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

const (
	subsetGateways = 12
	subsetEngines  = 48
)

// eventRecorder is a decision module that records the events sent to it.
type eventRecorder struct {
	*policy.Gateway
	events []policy.Event
}

func (r *eventRecorder) Handle(now time.Duration, event policy.Event) []policy.Action {
	r.events = append(r.events, event)
	return r.Gateway.Handle(now, event)
}

// lastSent returns the state of an engine that was last sent to the module.
func (r *eventRecorder) lastSent(id policy.EngineID) (info policy.EngineInfo, known bool) {
	for _, event := range r.events {
		list, ok := event.(policy.EngineList)
		if !ok {
			continue
		}
		if list.Kind == policy.ListFull { // engines that are not in it are gone
			info.Health = policy.Gone
		}
		for _, e := range list.Engines {
			if e.ID == id {
				info, known = e, true
			}
		}
	}
	return info, known
}

// newRecordedCore returns the Core of gateway number 3 in a fleet of subsetGateways, with the recorder of its module's events.
func newRecordedCore(t testing.TB) (*Core, *eventRecorder, *invariant.Monitor) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	invariants := invariant.New(log)
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	host := settings.Host{MaxRetryAfter: 500 * time.Millisecond, MachineTypes: []string{"m"}, Zones: []string{"z"}, MaxPending: 1000,
		Policy: policy.Settings{Classes: []policy.Class{class}, Gateways: subsetGateways, GatewayIndex: 3, Tick: 5 * time.Millisecond, MayCancel: true,
			MaxAttempts: 4, MachineTypes: []policy.MachineType{{Cores: 40}}, Rules: policy.Rules{WarmupTime: 20 * time.Second}}}
	c, err := New(host, 1, log, invariants)
	if err != nil {
		t.Fatal(err)
	}
	module, ok := c.module.(*policy.Gateway)
	if !ok {
		t.Fatalf("the module is a %T", c.module)
	}
	recorded := &eventRecorder{Gateway: module}
	c.module = recorded
	return c, recorded, invariants
}

func subsetConfig() subset.Config {
	config := subset.DefaultConfig()
	config.MinEngines, config.Coverage, config.Linger = 6, 1, 2*time.Second
	return config
}

func newChooser(t testing.TB, config subset.Config) *subset.Chooser {
	t.Helper()
	chooser, err := subset.New(config, 3, 0, subsetGateways)
	if err != nil {
		t.Fatal(err)
	}
	return chooser
}

// allGateways returns the gateways of the fleet, all in one zone. The first inService of them are in service.
func allGateways(inService int) (gateways []subset.Gateway) {
	for i := range subsetGateways {
		gateways = append(gateways, subset.Gateway{InService: i < inService})
	}
	return gateways
}

func engineNameAt(i int) string { return fmt.Sprintf("e%02d", i) }

// fullList returns an engine list with subsetEngines engines, all of them ready.
func fullList() (entries []ListedEngine) {
	for i := range subsetEngines {
		entries = append(entries, listedEngine(engineNameAt(i), policy.Ready))
	}
	return entries
}

// startedAttempts returns the attempts that the actions start.
func startedAttempts(actions []Action) (started []StartAttempt) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			started = append(started, s)
		}
	}
	return started
}

// engineOutsideAndInside returns a listed engine outside the subset and one inside it.
func engineOutsideAndInside(t testing.TB, c *Core) (outside, inside *Engine) {
	t.Helper()
	for i := range subsetEngines {
		e := c.engines[engineID(engineNameAt(i))]
		if c.inSubset(e) {
			inside = e
		} else {
			outside = e
		}
	}
	if outside == nil || inside == nil {
		t.Fatalf("the subset contains all or none of %d engines", subsetEngines)
	}
	return outside, inside
}
