package policy

import (
	"testing"
	"time"
)

// Estimates of memory are wrong by class; the grant follows the memory that answers report.
func TestMemoryGrantFollowsMeasuredUse(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB, r.EstimatedWork = 100, time.Second
	a := &attempt{request: r, engine: g.engines[0], threads: 1, expectedSeconds: 1}
	for range 40 {
		g.updateEstimates(a, AttemptEnded{Duration: time.Second, Work: time.Second, UsedMB: 300})
	}
	if mb := g.memoryGrant(r, g.engines[0]); mb < 300 {
		t.Fatalf("grant of %v MB, want at least the 300 MB that each query used", mb)
	}
}

// After an overload the expected duration was so long that every request was shed on arrival, and no answer came to
// correct it. This holds with and without estimates of work.
func TestOverloadDoesNotStopAdmissionForGood(t *testing.T) {
	for _, work := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run("work="+work.String(), func(t *testing.T) {
			g := newTestGateway(t, 1, nil)
			r := newTestRequest(g, 1, g.now+time.Second)
			r.EstimatedWork = work
			a := &attempt{request: r, engine: g.engines[0], threads: 1, expectedSeconds: 1}
			for range 100 {
				g.updateEstimates(a, AttemptEnded{Duration: 20 * time.Second, Work: work})
			}
			r.objectiveDeadline = g.now + g.classes[0].LatencyObjective
			if g.willMissObjective(r) {
				t.Fatal("a query that has just arrived is expected to miss its objective")
			}
		})
	}
}

// The mean threads of a query are weighted by the classes' durations, before the first answer as well as after many.
func TestThreadsPerQueryIsWeightedFromTheStart(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[:2]
	s.Classes[1].Threads, s.Classes[1].LatencyObjective = 4, 3*time.Second
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	want := (1*1.0 + 3*4.0) / (1 + 3)
	if g.threadsPerQuery < want*0.99 || g.threadsPerQuery > want*1.01 {
		t.Errorf("%.2f threads per query, want %.2f", g.threadsPerQuery, want)
	}
	r := &request{class: g.classes[0], Arrival: Arrival{EstimatedWork: 250 * time.Millisecond}}
	for range 200 { // only queries of the first class, of one thread
		a := &attempt{request: r, expectedSeconds: 1, threads: 1}
		g.updateEstimates(a, AttemptEnded{Duration: 250 * time.Millisecond})
	}
	if g.threadsPerQuery > 1.1 {
		t.Errorf("%.2f threads per query while only queries of one thread run", g.threadsPerQuery)
	}
}
