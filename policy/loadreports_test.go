package policy

import (
	"testing"
	"time"
)

func TestReportReplacesOwnCountInOverloadTest(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now)
	if g.totalLoadPerCore(e) != 0.25 {
		t.Fatal("own #T until a report arrives")
	}
	e.smoothedInFlight = 1
	g.applyReport(e, Report{Present: true, Values: map[Metric]float64{Inflight: 8}})
	if got := g.totalLoadPerCore(e); got != (7*g.threadsPerQuery+1)/4 {
		t.Fatalf("load %v after a report of 8 queries on 4 cores", got)
	}
}

// A gateway with nothing in flight sends around a home engine that peers report as loaded.
func TestIdleGatewayAvoidsALoadedHomeEngine(t *testing.T) {
	g := newTestGateway(t, 6, func(s *Settings) { s.Gateways = 100 })
	r := newTestRequest(g, 1, g.now+time.Second)
	home := g.affinitySet(r.group)[0]
	g.now += time.Second
	for _, e := range g.engines {
		load := 1.0
		if e == home {
			load = 60
		}
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, load, g.now - 200*time.Millisecond}}})
	}
	if g.ownThreads != 0 {
		t.Fatal("the gateway has something out")
	}
	for range 50 {
		if e := g.selectEngine(r); e == nil || e == home {
			t.Fatalf("chose %v, its home is crowded", e)
		}
	}
	for _, e := range g.engines { // where all are crowded it sends all the same, or it would learn nothing
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 60, g.now - 100*time.Millisecond}}})
	}
	if g.selectEngine(r) == nil {
		t.Fatal("with nothing out it sends nothing")
	}
}

// Overloaded engines answer seldom, so a mean over answers is biased. With reports from peers each engine counts once.
func TestMeanPeerLoadIsOverEngines(t *testing.T) {
	g := newTestGateway(t, 4, func(s *Settings) { s.Gateways = 100 })
	g.now += time.Minute
	for i, e := range g.engines {
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, []float64{40, 40, 0, 0}[i], g.now - time.Second}}})
	}
	for range 200 {
		g.now += 10 * time.Millisecond
		g.applyReport(g.engines[3], Report{Present: true, Values: map[Metric]float64{Inflight: 0}})
	}
	g.handlePeerReports(PeerReports{[]PeerReport{{g.engines[0].ID, 40, g.now - 10*time.Millisecond}}})
	if want := 80 / g.readyCores; g.meanPeerLoad < want*0.9 || g.meanPeerLoad > want*1.1 {
		t.Errorf("a mean of %.2f threads a core, want %.2f", g.meanPeerLoad, want)
	}
}

// Reports of peers that are older than the own one, from the future, or about unknown engines change nothing.
func TestOlderOrUnknownPeerReportsAreIgnored(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Gateways = 100 })
	g.now += time.Minute
	e := g.engines[0]
	g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 9, g.now - time.Second}}})
	before := e.reportedPeerThreads
	g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 50, g.now - 2*time.Second}, {e.ID, 50, g.now + time.Second}, {12345, 50, g.now}}})
	if e.reportedPeerThreads != before || e.reportedAt != g.now-time.Second || g.engineByID[12345] != nil {
		t.Errorf("others %v, before %v, of %v", e.reportedPeerThreads, before, g.now-e.reportedAt)
	}
}
