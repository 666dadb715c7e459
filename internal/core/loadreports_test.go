package core

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/policy"
)

// A load report that one gateway receives changes the estimate of the engine at another one whose list names the engine.
func TestLoadReportsAreShared(t *testing.T) {
	a, _ := newCore(t)
	b, _ := newCore(t)
	digestA, digestB := loadreport.New(), loadreport.New()
	a.ShareLoadReports(digestA)
	b.ShareLoadReports(digestB)
	a.UpdateEngines(start, true, []ListedEngine{listedEngine("x", policy.Ready), listedEngine("y", policy.Ready)})
	b.UpdateEngines(start, true, []ListedEngine{listedEngine("x", policy.Ready)})
	for _, e := range []string{"x", "y"} { // both, as the module selects the engine
		a.recordLoad(start+time.Second, engineID(e), []ReportField{{Name: "queue", Value: 1}, {Name: "inflight", Value: 9}})
	}
	id, actions := a.Submit(start+time.Second, testQuery)
	s := first[StartAttempt](t, actions)
	a.MaySend(start+time.Second, id, s.Attempt, false)
	a.AttemptEnded(start+1100*time.Millisecond, id, s.Attempt, policy.OK, []ReportField{{Name: "inflight", Value: 11}})
	now := start + 1200*time.Millisecond
	body := append([]byte(nil), digestA.Append(now, 1, 200, nil)...)
	b.ReceiveLoadReports(now, body)
	estimate := b.module.Estimate(now, engineID("x"))
	if estimate.PeerThreads < 5 || estimate.ReportAge < 0 || estimate.ReportAge > 300*time.Millisecond {
		t.Errorf("%+v of the engine that both know", estimate)
	}
	if unlisted := digestB.Counts().Unlisted; unlisted != 1 || b.module.Estimate(now, engineID("y")).ReportAge != -1 {
		t.Errorf("%d load reports on engines that are not listed", unlisted)
	}
	b.UpdateEngines(now, false, []ListedEngine{listedEngine("x", policy.Draining)})
	if _, known := digestB.Latest(now, uint64(engineID("x"))); known {
		t.Error("the load of a draining engine is still published")
	}
	c, _ := newCore(t) // one that does not share load reports
	if c.ReceiveLoadReports(now, body) != nil {
		t.Error("received without sharing")
	}
}
