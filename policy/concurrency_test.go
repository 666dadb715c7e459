package policy

import (
	"fmt"
	"testing"
	"time"
)

// Checks that the concurrency target follows the reported utilization within its bounds, because no fixed target suits
// all sites.
func TestConcurrencyTargetFollowsUtilizationReports(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	report := func(util float64) {
		g.now += time.Second
		g.applyReport(e, LoadReport{Present: true, Values: map[Metric]float64{CPUUtilization: util}})
	}
	start := g.concurrencyTarget(e)
	for range 30 {
		report(1)
	}
	low := g.concurrencyTarget(e)
	for range 4 {
		addInFlight(g, e, 1, g.now)
		addInFlight(g, e, 1, g.now)
	}
	for range 30 {
		report(0.5)
	}
	high := g.concurrencyTarget(e)
	withinBounds := low >= minTargetFactor*start*0.99 && high <= maxTargetFactor*start*1.01
	if low >= start || high <= start || !withinBounds {
		t.Fatalf("target %v initially, %v after high utilization (want less), %v after low utilization (want more)",
			start, low, high)
	}
	before := g.concurrencyTarget(e)
	g.applyReport(e, LoadReport{})
	if g.concurrencyTarget(e) != before {
		t.Fatal("an empty report changed the target")
	}
}

// Checks that the concurrency limit is an even share among the gateways in service, and that their number is bounded by
// 1 and the configured number.
func TestConcurrencyLimitFollowsGatewaysInService(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Gateways = 10 })
	e := g.engines[0]
	target := g.concurrencyTarget(e)
	for count, shares := range map[int]float64{10: 10, 4: 4, 1: 1, 0: 1, -3: 1, 99: 10} {
		t.Run(fmt.Sprintf("in service=%d", count), func(t *testing.T) {
			g.Handle(g.now, GatewaysInService{Count: count})
			if got := g.concurrencyLimit(e, 1); got < target/shares*0.999 || got > target/shares*1.001 {
				t.Errorf("limit %.2f, want %.2f", got, target/shares)
			}
		})
	}
}

// Checks that the concurrency limit of an engine without a report depends on the load reported by other engines. It
// guards against overload by one gateway of many: its even share of an engine is less than one query, so it had no
// effective limit.
func TestConcurrencyLimitUsesFleetMeanWithoutEngineReport(t *testing.T) {
	g := newTestGateway(t, 6, func(s *Settings) { s.Gateways = 200 })
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	report := func(queries float64) {
		for range 40 {
			g.now += 100 * time.Millisecond
			g.applyReport(g.engines[0], LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: queries}})
		}
	}
	costlyRequest := func() *request {
		r := newTestRequest(g, 1, g.now+time.Second)
		r.EstimatedWork = 10 * time.Second // low weight per unit of work
		return r
	}
	report(2)
	if !g.hasCapacity(costlyRequest(), g.engines[5]) {
		t.Fatal("no capacity although the fleet is nearly idle")
	}
	report(20)
	if g.hasCapacity(costlyRequest(), g.engines[5]) {
		t.Fatal("capacity at an engine without a report although the reported load is five threads per core")
	}
	g.releaseAttempt(g.engines[0].inFlight[0])
	if g.selectEngine(costlyRequest()) == nil {
		t.Fatal("no engine selected although the gateway has nothing in flight")
	}
}

// Checks that a query is sent only if its memory grant fits into the engine's memory in addition to this gateway's
// other grants there. Without this check, grants exceeded the memory and queries spilled to disk.
func TestHasCapacityChecksMemoryGrants(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now+time.Second)
	e.grantedMB = 0.95 * e.memoryMB
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB = 0.2 * e.memoryMB
	if g.hasCapacity(r, e) {
		t.Fatal("there is capacity for a grant that does not fit")
	}
	e.grantedMB = 0
	if !g.hasCapacity(r, e) {
		t.Fatal("there is no capacity for a grant that fits")
	}
}

// Checks that the estimated grants of peer threads count against the memory of an engine. Without this, queries spilled
// to disk, because a gateway with a single query at an engine did not know how much memory its peers used there.
func TestFitsInMemoryCountsPeerThreads(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Gateways = 100 })
	e, r := g.engines[0], newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB, g.grantPerThread = 0.1*e.memoryMB, 0.2*e.memoryMB
	g.recordPeerThreads(e, 2)
	if !g.fitsInMemory(r, e) {
		t.Fatal("a grant does not fit although two peer threads leave enough memory")
	}
	g.recordPeerThreads(e, 4.9)
	if g.fitsInMemory(r, e) {
		t.Fatal("a grant fits although peer threads use the memory")
	}
}
