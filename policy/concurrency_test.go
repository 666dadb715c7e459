package policy

import (
	"fmt"
	"testing"
	"time"
)

// No fixed target suits all sites: it follows the reported utilization of cores and disks, within its bounds.
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
		t.Fatalf("target %v at first, %v after high and %v after low utilization", start, low, high)
	}
	before := g.concurrencyTarget(e)
	g.applyReport(e, LoadReport{})
	if g.concurrencyTarget(e) != before {
		t.Fatal("a missing report changed the target")
	}
}

// The limit is an even share among the gateways in service, whose number is between 1 and the configured one.
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

// A gateway that sends one query in a hundred saw no limit, as its share of an engine was below one query. The load
// that some engines report limits the others too.
func TestLoadReportedBySomeEnginesLimitsAll(t *testing.T) {
	g := newTestGateway(t, 6, func(s *Settings) { s.Gateways = 200 })
	addInFlight(g, g.engines[0], 1, g.now+time.Second)
	report := func(queries float64) {
		for range 40 {
			g.now += 100 * time.Millisecond
			g.applyReport(g.engines[0], LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: queries}})
		}
	}
	costly := func() *request {
		r := newTestRequest(g, 1, g.now+time.Second)
		r.EstimatedWork = 10 * time.Second // low weight per work
		return r
	}
	report(2)
	if !g.hasCapacity(costly(), g.engines[5]) {
		t.Fatal("no capacity in a fleet that is nearly idle")
	}
	report(20)
	if g.hasCapacity(costly(), g.engines[5]) {
		t.Fatal("capacity at an engine without a report while the reported load is five threads per core")
	}
	g.releaseAttempt(g.engines[0].inFlight[0])
	if g.selectEngine(costly()) == nil {
		t.Fatal("a gateway with nothing in flight may not send")
	}
}

// With more threads per engine, grants exceeded the engines' memory and queries spilled to disk.
func TestGrantedMemoryLimitsAdmission(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now+time.Second)
	e.grantedMB = 0.95 * e.memoryMB
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB = 0.2 * e.memoryMB
	if g.hasCapacity(r, e) {
		t.Fatal("a grant that does not fit is admitted")
	}
	e.grantedMB = 0
	if !g.hasCapacity(r, e) {
		t.Fatal("a grant that fits is not admitted")
	}
}

// Queries spilled to disk, as a gateway with one query at an engine saw nothing else of what fills its memory.
func TestPeerMemoryLimitsAdmission(t *testing.T) {
	g := newTestGateway(t, 1, func(s *Settings) { s.Gateways = 100 })
	e, r := g.engines[0], newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB, g.grantPerThread = 0.1*e.memoryMB, 0.2*e.memoryMB
	g.recordPeerThreads(e, 2)
	if !g.fitsInMemory(r, e) {
		t.Fatal("a grant that fits beside two peer threads is not admitted")
	}
	g.recordPeerThreads(e, 4.9)
	if g.fitsInMemory(r, e) {
		t.Fatal("a grant is admitted beside peers that fill the memory")
	}
}
