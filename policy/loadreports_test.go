package policy

import (
	"testing"
	"time"
)

// Checks that the load of an engine is this gateway's #T until a load report arrives, and is then derived from the
// reported number of queries.
func TestTotalLoadUsesReportedQueries(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	e := g.engines[0]
	addInFlight(g, e, 1, g.now)
	if g.totalLoadPerCore(e) != 0.25 {
		t.Fatal("the load without a report is not this gateway's #T")
	}
	e.smoothedInFlight = 1
	g.applyReport(e, LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: 8}})
	if got := g.totalLoadPerCore(e); got != (7*g.threadsPerQuery+1)/4 {
		t.Fatalf("load %v threads per core after a report of 8 queries on 4 cores, one of them its own", got)
	}
}

// Checks that a gateway with nothing in flight avoids an overloaded home engine while other engines have capacity. Such
// a gateway used to ignore capacity: 100 of them selected the home engine at once, which had 58 threads while another
// engine had 0.7.
func TestSelectEngineAvoidsLoadedHomeEngineWhenIdle(t *testing.T) {
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
			t.Fatalf("selected %v, want an engine other than the overloaded home engine", e)
		}
	}
	for _, e := range g.engines { // a gateway with nothing in flight sends even if all engines are overloaded
		g.handlePeerReports(PeerReports{[]PeerReport{{e.ID, 60, g.now - 100*time.Millisecond}}})
	}
	if g.selectEngine(r) == nil {
		t.Fatal("no engine selected although nothing is in flight")
	}
}

// Checks that reports from peers make the mean peer load a mean over engines. A mean over answers is biased, because
// overloaded engines answer less often.
func TestMeanPeerLoadCountsEachEngineOnce(t *testing.T) {
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
		t.Errorf("mean peer load of %.2f threads per core, want %.2f", g.meanPeerLoad, want)
	}
}

// Checks that reports of peers are ignored if they are older than the latest known report, have a time in the future,
// or are about unknown engines.
func TestPeerReportsIgnoreStaleAndUnknown(t *testing.T) {
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
