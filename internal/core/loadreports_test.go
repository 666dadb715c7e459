package core

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/policy"
)

// A load report that one gateway receives must change another gateway's estimate of the engine, if the engine is in its
// list.
func TestLoadReportsReachOtherGateways(t *testing.T) {
	a, _ := newCore(t)
	b, _ := newCore(t)
	digestA, digestB := loadreport.New(), loadreport.New()
	a.ShareLoadReports(digestA)
	b.ShareLoadReports(digestB)
	a.UpdateEngines(startTime, true, []ListedEngine{listedEngine("x", policy.Ready), listedEngine("y", policy.Ready)})
	b.UpdateEngines(startTime, true, []ListedEngine{listedEngine("x", policy.Ready)})
	for _, e := range []string{"x", "y"} { // both engines, since the module may select either
		a.recordLoad(startTime+time.Second, engineID(e), []ReportField{{Name: "queue", Value: 1}, {Name: "inflight", Value: 9}})
	}
	id, actions := a.Submit(startTime+time.Second, testQuery)
	s := firstAction[StartAttempt](t, actions)
	a.MaySend(startTime+time.Second, id, s.Attempt, false)
	a.AttemptEnded(startTime+1100*time.Millisecond, id, s.Attempt, policy.OK, []ReportField{{Name: "inflight", Value: 11}})
	now := startTime + 1200*time.Millisecond
	body := append([]byte(nil), digestA.Append(now, 1, 200, nil)...)
	b.ReceiveLoadReports(now, body)
	estimate := b.module.Estimate(now, engineID("x"))
	if estimate.PeerThreads < 5 || estimate.ReportAge < 0 || estimate.ReportAge > 300*time.Millisecond {
		t.Errorf("estimate of the engine that both gateways list: %+v, want at least 5 peer threads from a report of the last 300 ms", estimate)
	}
	if unlisted := digestB.Counts().Unlisted; unlisted != 1 || b.module.Estimate(now, engineID("y")).ReportAge != -1 {
		t.Errorf("%d load reports counted for unlisted engines, want 1 that has no effect", unlisted)
	}
	b.UpdateEngines(now, false, []ListedEngine{listedEngine("x", policy.Draining)})
	if _, known := digestB.Latest(now, uint64(engineID("x"))); known {
		t.Error("the load report on a draining engine is still sent")
	}
	c, _ := newCore(t) // does not exchange load reports
	if c.ReceiveLoadReports(now, body) != nil {
		t.Error("a gateway that does not exchange load reports handled some")
	}
}
