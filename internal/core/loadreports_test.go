package core

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/policy"
)

// What an engine's report told one gateway changes what another believes of it, if the other's list names the engine.
func TestReportsAreShared(t *testing.T) {
	a, _ := newCore(t)
	b, _ := newCore(t)
	da, db := loadreport.New(), loadreport.New()
	a.ShareLoadReports(da)
	b.ShareLoadReports(db)
	a.UpdateEngines(start, true, []ListedEngine{listedEngine("x", policy.Ready), listedEngine("y", policy.Ready)})
	b.UpdateEngines(start, true, []ListedEngine{listedEngine("x", policy.Ready)})
	for _, e := range []string{"x", "y"} { // both, as the module chooses by itself where to send
		a.recordLoad(start+time.Second, engineID(e), []Field{{Name: "queue", Value: 1}, {Name: "inflight", Value: 9}})
	}
	id, actions := a.Submit(start+time.Second, testQuery)
	s := first[Start](t, actions)
	a.MaySend(start+time.Second, id, s.Attempt, false)
	a.AttemptEnded(start+1100*time.Millisecond, id, s.Attempt, policy.OK, []Field{{Name: "inflight", Value: 11}})
	now := start + 1200*time.Millisecond
	body := append([]byte(nil), da.Append(now, 1, 200, nil)...)
	b.ReceiveLoadReports(now, body)
	look := b.module.Estimate(now, engineID("x"))
	if look.PeerThreads < 5 || look.ReportAge < 0 || look.ReportAge > 300*time.Millisecond {
		t.Errorf("%+v of the engine that both know", look)
	}
	if unlisted := db.Counts().Unlisted; unlisted != 1 || b.module.Estimate(now, engineID("y")).ReportAge != -1 {
		t.Errorf("%d load reports on engines that are not listed", unlisted)
	}
	b.UpdateEngines(now, false, []ListedEngine{listedEngine("x", policy.Draining)})
	if _, known := db.Latest(now, uint64(engineID("x"))); known {
		t.Error("the load of an engine that drains is still published")
	}
	c, _ := newCore(t) // one that does not share hears nothing
	if c.ReceiveLoadReports(now, body) != nil {
		t.Error("received without sharing")
	}
}
