package policy

import (
	"testing"
	"time"
)

// testSettings returns settings with two gateways, two machine types, and five classes that differ in idempotency,
// ordering and placement.
func testSettings() Settings {
	base := Class{LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1, LateWeightShare: 0.1, Threads: 1,
		ObjectivePerWork: 1.5, DedupWindow: 3 * time.Second}
	plain, keyed, unsafe, restricted, cell := base, base, base, base, base
	keyed.Idempotency, keyed.Ordered, keyed.Threads = IdempotentWithKey, true, 2
	unsafe.Idempotency = NotIdempotent
	restricted.RestrictZones, restricted.Zones = true, []int{1}
	restricted.RestrictMachineTypes, restricted.MachineTypes = true, []int{0}
	cell.Idempotency, cell.DedupScope, cell.Threads, cell.Weight = IdempotentWithKey, DedupCell, 4, 4
	return Settings{Classes: []Class{plain, keyed, unsafe, restricted, cell},
		MachineTypes: []MachineType{{8, 16384}, {4, 8192}}, Zones: 2, Gateways: 2, Tick: 5 * time.Millisecond,
		Metrics: []Metric{RunningQueries, CPUUtilization}, MaxGrantShare: 0.4,
		HonorsGrants: true, HonorsPriority: true, WorkInResponses: true, MayCancel: true, MayProbe: true,
		MaxRetryAfter: time.Second, MaxAttempts: 4,
		Rules: Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond, InitialCapacityShare: 0.3,
			WarmupTime: 10 * time.Second, WarmupBudgetMultiple: 2, WarmupBudgetSpan: 2 * time.Second,
			OrderedKeyPause: 300 * time.Millisecond,
			RetryBudget:     true, MinRetries: 3, RetryShare: 0.1, RetryBudgetSpan: 2 * time.Second}}
}

// newTestGateway creates a Gateway with ready engines of 4 cores, whose IDs count from 1. change may modify the
// settings.
func newTestGateway(t *testing.T, engines int, change func(*Settings)) *Gateway {
	t.Helper()
	s := testSettings()
	s.Gateways, s.MachineTypes = 1, []MachineType{{4, 8192}}
	if change != nil {
		change(&s)
	}
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g.threadsPerQuery = 1 // a limit in threads is then also a limit in queries
	var infos []EngineInfo
	for i := range engines {
		infos = append(infos, EngineInfo{ID: EngineID(i + 1), Zone: 1})
	}
	g.Handle(time.Hour, EngineList{Kind: ListFull, Engines: infos})
	return g
}

// newTestRequest creates a request of class 0 without adding it to the state of the Gateway.
func newTestRequest(g *Gateway, tableGroup int, objectiveDeadline time.Duration) *request {
	return &request{class: g.classes[0], group: g.tableGroup(tableGroup), objectiveDeadline: objectiveDeadline,
		deadline: objectiveDeadline + time.Hour}
}

// addInFlight records an attempt with one thread at an engine, as Gateway.send does.
func addInFlight(g *Gateway, e *engine, tableGroup int, objectiveDeadline time.Duration) *attempt {
	r := newTestRequest(g, tableGroup, objectiveDeadline)
	a := &attempt{request: r, engine: e, threads: 1, sentAt: g.now, expectedSeconds: 1}
	g.recordSend(a)
	return a
}

// markUsed marks engines as used by the Gateway.
func markUsed(g *Gateway, engines ...*engine) {
	for _, e := range engines {
		e.used = true
		g.usedCores += e.cores
	}
}

// accepts reports whether a request may be sent to an engine now.
func (g *Gateway) accepts(r *request, e *engine) bool { return g.eligible(r, e) && g.hasCapacity(r, e) }
