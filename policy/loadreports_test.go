package policy

import (
	"testing"
	"time"
)

// The overload test uses the own #T until a load report arrives, and then the reported count.
func TestReportReplacesOwnCountInOverloadTest(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now)
	if g.totalLoadPerCore(e) != 0.25 {
		t.Fatal("without a report the load is not the own #T")
	}
	e.smoothedInFlight = 1
	g.applyReport(e, LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: 8}})
	if got := g.totalLoadPerCore(e); got != (7*g.threadsPerQuery+1)/4 {
		t.Fatalf("load %v after a report of 8 queries on 4 cores", got)
	}
}

// A gateway with nothing in flight ignored capacity at once and sent to its group's home engine, although reports told
// that it was full and others were not. 100 gateways did so, and one engine had 58 threads while another had 0.7.
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
		t.Fatal("the gateway has attempts in flight")
	}
	for range 50 {
		if e := g.selectEngine(r); e == nil || e == home {
			t.Fatalf("selected %v, want neither none nor the loaded home engine", e)
		}
	}
	for _, e := range g.engines { // with all of them loaded it still sends, or it would learn nothing
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 60, g.now - 100*time.Millisecond}}})
	}
	if g.selectEngine(r) == nil {
		t.Fatal("no engine selected though nothing is in flight")
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
		g.applyReport(g.engines[3], LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: 0}})
	}
	g.handlePeerReports(PeerReports{[]PeerReport{{g.engines[0].ID, 40, g.now - 10*time.Millisecond}}})
	if want := 80 / g.readyCores; g.meanPeerLoad < want*0.9 || g.meanPeerLoad > want*1.1 {
		t.Errorf("mean of %.2f threads per core, want %.2f", g.meanPeerLoad, want)
	}
}

// Reports of peers that are older than the own one, from the future, or about unknown engines change nothing.
func TestOlderOrUnknownPeerReportsAreIgnored(t *testing.T) {
	g := newTestGateway(t, 2, func(s *Settings) { s.Gateways = 100 })
	g.now += time.Minute
	e := g.engines[0]
	g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 9, g.now - time.Second}}})
	before := e.reportedPeerThreads
	g.handlePeerReports(PeerReports{[]PeerReport{
		{e.ID, 50, g.now - 2*time.Second}, // older
		{e.ID, 50, g.now + time.Second},   // from the future
		{12345, 50, g.now},                // unknown engine
	}})
	if e.reportedPeerThreads != before || e.reportedAt != g.now-time.Second || g.engineByID[12345] != nil {
		t.Errorf("%v peer threads, want %v; reported %v ago", e.reportedPeerThreads, before, g.now-e.reportedAt)
	}
}
