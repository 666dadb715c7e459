package policy

import (
	"testing"
	"time"
)

// Checks that the memory grant follows the memory use reported with answers, because the estimates of a class can be
// wrong by a constant factor.
func TestMemoryGrantFollowsMeasuredUse(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	r := newTestRequest(g, 1, g.now+time.Second)
	r.EstimatedMemoryMB, r.EstimatedWork = 100, time.Second
	a := &attempt{request: r, engine: g.engines[0], threads: 1, expectedSeconds: 1}
	for range 40 {
		g.updateEstimates(a, AttemptEnded{Duration: time.Second, Work: time.Second, UsedMB: 300})
	}
	if mb := g.memoryGrant(r, g.engines[0]); mb < 300 {
		t.Fatalf("grant of %v MB, want at least the 300 MB used by each query", mb)
	}
}

// Checks that long durations during an overload do not raise the expected duration so far that every new request is
// shed. Without a bound, there would be no more answers to correct the estimate. This concerns queries with and without
// a work estimate.
func TestExpectedDurationStaysBoundedAfterOverload(t *testing.T) {
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
				t.Fatal("a new request is expected to miss its objective")
			}
		})
	}
}

// Checks that the mean number of threads of a query weights the classes by duration, both before the first answer and
// after many answers.
func TestThreadsPerQueryWeightsClassesByDuration(t *testing.T) {
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
	for range 200 { // only queries of the first class, with one thread
		a := &attempt{request: r, expectedSeconds: 1, threads: 1}
		g.updateEstimates(a, AttemptEnded{Duration: 250 * time.Millisecond})
	}
	if g.threadsPerQuery > 1.1 {
		t.Errorf("%.2f threads per query while only queries of one thread run", g.threadsPerQuery)
	}
}
