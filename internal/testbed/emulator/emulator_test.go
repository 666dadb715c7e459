package emulator

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// queryDuration returns how long a query takes on an engine that already runs other queries.
func queryDuration(m *Model, q Query, others ...Query) time.Duration {
	for _, started := range append(others, q) {
		if !m.Start(started) {
			panic(fmt.Sprintf("the model rejected query %+v", started))
		}
	}
	began := m.now
	for {
		at, changes := m.NextChange()
		if !changes {
			return math.MaxInt64
		}
		if slices.Contains(m.Advance(at), q.ID) {
			return at - began
		}
	}
}

func newTestModel(warmingUp bool) *Model { return NewModel(DefaultSpec(8), time.Second, warmingUp) }

// Checks that concurrent queries, warm-up, memory overcommit, table group locks and CPU steal slow a query down, and that a
// cached table group speeds it up.
func TestModelQueryDurationDependsOnLoad(t *testing.T) {
	q := Query{ID: "q", Work: 1, Threads: 1, IO: 0.3, Group: 1}
	plain := queryDuration(newTestModel(false), q)
	if d := plain - time.Second; d < 0 || d > time.Millisecond {
		t.Fatalf("on an idle engine the query takes %v, want 1s", plain)
	}
	others := []Query{}
	for i := range 30 { // with 3 s of work each, eight of them do not make an engine collapse that is warming up
		others = append(others, Query{ID: fmt.Sprint(i), Work: 3, Threads: 1, IO: 0.3, Group: 2})
	}
	if elapsed := queryDuration(newTestModel(false), q, others...); elapsed < 3*plain {
		t.Errorf("with 30 concurrent queries on 8 cores the query takes %v, want at least 3 times %v", elapsed, plain)
	}
	if elapsed := queryDuration(newTestModel(true), q, others[:8]...); elapsed < 3*plain/2 {
		t.Errorf("with 8 concurrent queries on an engine that is warming up, the query takes %v, want at least 1.5 times %v", elapsed, plain)
	}
	m := newTestModel(false)
	heavy, otherHeavy := q, others[0]
	heavy.MemoryMB, otherHeavy.MemoryMB = m.spec.MemoryMB*3/4, m.spec.MemoryMB*3/4
	if elapsed := queryDuration(m, heavy, otherHeavy); elapsed < 2*plain {
		t.Errorf("with two queries that need 1.5 times the engine's memory, one takes %v, want at least twice %v", elapsed, plain)
	}
	heavy.MemoryMB = m.spec.MemoryMB + 1
	if newTestModel(false).Start(heavy) {
		t.Error("the model accepted a query that needs more memory than the engine has")
	}
	m = newTestModel(false)
	m.Start(Query{ID: "w", Work: 0.1, Threads: 1, IO: 0.3, Group: 1})
	if elapsed := queryDuration(m, q); elapsed > plain*9/10 {
		t.Errorf("with its table group cached the query takes %v, want at most 0.9 times %v", elapsed, plain)
	}
	load := Query{ID: "l", Work: 2, Threads: 2, Group: 1, IsDataLoad: true}
	first := load
	first.ID = "first"
	if elapsed := queryDuration(newTestModel(false), load, first); elapsed < 2*time.Second-time.Millisecond {
		t.Errorf("with another data load of its table group running, a data load takes %v, want the 2s of both", elapsed)
	}
	m = newTestModel(false)
	m.SetStolenShare(m.now, 0.75)
	if elapsed := queryDuration(m, q, others[:4]...); elapsed < 3*plain/2 {
		t.Errorf("with three quarters of the cores stolen the query takes %v, want at least 1.5 times %v", elapsed, plain)
	}
}

// Checks that an engine sent far more work than its capacity collapses while it is warming up, and not afterwards.
func TestModelCollapsesOnlyWhileWarmingUp(t *testing.T) {
	for _, warmingUp := range []bool{true, false} {
		t.Run(fmt.Sprintf("warming up %v", warmingUp), func(t *testing.T) {
			m := newTestModel(warmingUp)
			for i := range 60 {
				m.Start(Query{ID: fmt.Sprint(i), Work: 1, Threads: 1})
			}
			if m.Collapsed() != warmingUp {
				t.Errorf("collapsed: %v, want %v", m.Collapsed(), warmingUp)
			}
		})
	}
}

// Checks with random starts and cancellations that every query that is not cancelled ends exactly once.
func TestModelEndsEachQueryOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel(DefaultSpec(4), 0, rapid.Bool().Draw(t, "warming up"))
		running, ended := map[string]bool{}, map[string]int{}
		record := func(ids []string) {
			for _, id := range ids {
				ended[id]++
				if !running[id] || ended[id] > 1 {
					t.Fatalf("query %s ended %d times; it was running: %v", id, ended[id], running[id])
				}
				delete(running, id)
			}
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			record(m.Advance(now))
			id := fmt.Sprint(i)
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 && len(running) > 0 {
				for id := range running {
					m.Cancel(id)
					delete(running, id)
					break
				}
			} else if m.Start(Query{ID: id, Work: float64(rapid.IntRange(1, 3000).Draw(t, "work")) / 1000,
				Threads: float64(rapid.IntRange(1, 4).Draw(t, "threads")), IO: 0.4, MemoryMB: 500,
				Group: rapid.IntRange(0, 5).Draw(t, "group"), IsDataLoad: rapid.Bool().Draw(t, "load")}) {
				running[id] = true
			}
			if l := m.Load(); l.Queries != len(running) {
				t.Fatalf("the model reports %d running queries, want %d", l.Queries, len(running))
			}
		}
		for range 10_000 {
			at, changes := m.NextChange()
			if !changes {
				break
			}
			record(m.Advance(at))
		}
		if len(running) > 0 {
			t.Fatalf("%d queries did not end", len(running))
		}
	})
}

// Checks that a seed determines the arrivals, that their number matches the rate, and that the cost of a query survives
// formatting and parsing of its statement.
func TestTrafficIsDeterministicAndStatementsRoundTrip(t *testing.T) {
	tr := Traffic{Classes: DefaultClasses(), Rate: 100, Gateways: 5, Skew: 1, Groups: 10, Zipf: 0.7, EstimateSigma: 0.5, Seed: 3}
	a, b := tr.Generate(20*time.Second), tr.Generate(20*time.Second)
	if len(a) < 1700 || len(a) > 2300 || !slices.Equal(a, b) {
		t.Fatalf("generated %d arrivals, then %d; want the same arrivals twice, about 2000", len(a), len(b))
	}
	for _, r := range a[:50] {
		q, ok := ParseStatement(Statement(r.Query))
		if !ok || q.Group != r.Query.Group || q.IsDataLoad != r.Query.IsDataLoad || math.Abs(q.Work-r.Query.Work) > 1e-3 {
			t.Fatalf("%+v was parsed as %+v", r.Query, q)
		}
	}
	for _, text := range []string{"", "SELECT 1", "/* work=x */", "/* work=-1 threads=1 io=0 mb=1 load=0 group=1 */"} {
		if _, ok := ParseStatement(text); ok {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Checks that each query of baseline gateways arrives at an engine once and is served.
func TestEngineServesOverHTTP(t *testing.T) {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	var engines []*Engine
	for i := range 2 {
		e, err := StartEngine(Options{Name: fmt.Sprint("e", i), Spec: DefaultSpec(8), ReportInterval: 20 * time.Millisecond}, clock)
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		engines = append(engines, e)
	}
	tr := Traffic{Classes: DefaultClasses()[:1], Rate: 60, Gateways: 3, Groups: 4, Seed: 5}
	gateways := NewBaselineGateways(3, MinReportedLoad, 1, func() []*Engine { return engines }, clock)
	defer gateways.Close()
	requests := tr.Generate(2 * time.Second)
	gateways.Run(requests)
	outcomes, opened := gateways.Outcomes()
	for _, o := range outcomes {
		if o.Verdict != Served {
			t.Fatalf("verdict %q after %v, want %q", o.Verdict, o.Latency, Served)
		}
	}
	arrived := 0
	for _, e := range engines {
		_, totals, _ := e.Load()
		arrived += totals.Arrived
	}
	if len(outcomes) != len(requests) || arrived != len(requests) || opened == 0 || opened > len(requests) {
		t.Errorf("%d requests: %d outcomes, %d arrived at engines, %d connections opened", len(requests), len(outcomes), arrived, opened)
	}
}
