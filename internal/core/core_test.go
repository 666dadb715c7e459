package core

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

// startTime is the time of the first event of each test.
const startTime = time.Duration(1_700_000_000) * time.Second

// testMaxQueryBytes is the memory that newCore allows for queries.
const testMaxQueryBytes = 8 * largeQueryBytes

// newCore returns the core of a single gateway with two classes, the second of which needs idempotency keys.
func newCore(t testing.TB) (*Core, *invariant.Monitor) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	invariants := invariant.New(log)
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	keyed := class
	keyed.Name, keyed.Idempotency, keyed.DedupWindow = "form-load", policy.IdempotentWithKey, 12*time.Second
	host := settings.Host{
		MaxRetryAfter: 500 * time.Millisecond, MachineTypes: []string{"m"}, Zones: []string{"z"}, MaxPending: 100,
		MaxQueryBytes: testMaxQueryBytes,
		Policy: policy.Settings{
			Classes: []policy.Class{class, keyed}, Gateways: 1, Tick: 5 * time.Millisecond, MayCancel: true, MaxAttempts: 4,
			MachineTypes: []policy.MachineType{{Cores: 8}},
		},
	}
	c, err := New(host, 1, log, invariants)
	if err != nil {
		t.Fatal(err)
	}
	return c, invariants
}

// listedEngine returns an engine list entry with the given name and health.
func listedEngine(name string, h policy.Health) ListedEngine {
	return ListedEngine{Name: name, Addr: name + ":1", Zone: "z", MachineType: "m", Health: h, Weight: 1}
}

// firstAction returns the first action of type A, and fails the test if there is none.
func firstAction[A Action](t testing.TB, actions []Action) A {
	t.Helper()
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found
		}
	}
	var none A
	t.Fatalf("no %T in %+v", none, actions)
	return none
}

// testQuery is a query whose remaining time equals the deadline of its class.
var testQuery = Query{Remaining: 4 * time.Second}

// A request whose attempt succeeds must get one reply with the verdict Served, after which no state is left.
func TestServedRequestGetsOneReply(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, actions := c.Submit(startTime, testQuery)
	s := firstAction[StartAttempt](t, actions)
	if left, ok := c.MaySend(startTime+time.Millisecond, id, s.Attempt, false); !ok || left > 4*time.Second {
		t.Fatalf("MaySend: allowed %v with %v left, want allowed with at most 4 s left", ok, left)
	}
	if r := firstAction[Reply](t, c.AttemptEnded(startTime+time.Second, id, 0, policy.OK, nil)); r.Verdict != Served {
		t.Fatalf("reply %+v, want verdict Served", r)
	}
	if actions := c.Cancel(startTime+time.Second, id); actions != nil {
		t.Fatalf("cancellation after the reply returned actions: %+v", actions)
	}
	if c.PendingRequests() != 0 || c.AttemptsInFlight() != 0 {
		t.Fatalf("%d requests pending, %d attempts in flight, want none", c.PendingRequests(), c.AttemptsInFlight())
	}
}

// MaySend must deny an attempt at an engine that starts to drain while the connection is being established: the grace
// period of 2 s starts when the engine is listed as draining, not when it was selected.
func TestMaySendDeniesDrainingEngine(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, _ := c.Submit(startTime, testQuery)
	c.UpdateEngines(startTime, false, []ListedEngine{listedEngine("a", policy.Draining)})
	if _, ok := c.MaySend(startTime+100*time.Millisecond, id, 0, false); ok {
		t.Fatal("MaySend allowed an attempt at a draining engine")
	}
}

// MaySend must deny an attempt if the client no longer waits for its result.
func TestMaySendDeniesAfterDeadlineOrCancel(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	expired, _ := c.Submit(startTime, testQuery)
	cancelled, _ := c.Submit(startTime, testQuery)
	if _, ok := c.MaySend(startTime+4*time.Second, expired, 0, false); ok {
		t.Error("allowed after the client's deadline")
	}
	firstAction[CancelAttempt](t, c.Cancel(startTime, cancelled))
	if _, ok := c.MaySend(startTime, cancelled, 0, false); ok {
		t.Error("allowed after the client cancelled")
	}
}

// Cancel must cancel an attempt whose response has started, although the module never does. The attempt stays in flight
// until the engine confirms the cancellation.
func TestCancelStopsStartedResponse(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, _ := c.Submit(startTime, testQuery)
	c.MaySend(startTime, id, 0, false)
	if wanted, _ := c.ResponseStarted(startTime, id, 0); !wanted {
		t.Fatal("the response is not wanted before the cancellation")
	}
	firstAction[CancelAttempt](t, c.Cancel(startTime, id))
	if wanted, _ := c.ResponseStarted(startTime, id, 0); wanted {
		t.Fatal("the response is still wanted after the cancellation")
	}
	if c.AttemptsInFlight() != 1 {
		t.Fatal("the attempt is not in flight although the engine has not confirmed")
	}
	c.AttemptEnded(startTime, id, 0, policy.Cancelled, nil)
}

// A request must not be retried after its response has started: the client would receive rows of both attempts.
func TestNoRetryAfterResponseStarted(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready), listedEngine("b", policy.Ready)})
	id, _ := c.Submit(startTime, testQuery)
	c.MaySend(startTime, id, 0, false)
	c.ResponseStarted(startTime, id, 0)
	actions := c.AttemptEnded(startTime, id, 0, policy.Reset, nil)
	if r := firstAction[Reply](t, actions); r.Verdict != FailedMidResponse || len(actions) != 1 {
		t.Fatalf("actions %+v, want only a reply with verdict FailedMidResponse", actions)
	}
}

// Shutdown must reject a queued request with the maximum retry delay.
func TestShutdownRejectsPendingRequests(t *testing.T) {
	c, _ := newCore(t)
	queued, _ := c.Submit(startTime, testQuery) // queued because there is no engine
	if r := firstAction[Reply](t, c.Shutdown(startTime)); r.ID != queued || r.Verdict != Rejected || r.RetryAfter != 500*time.Millisecond {
		t.Fatalf("reply %+v, want the queued request rejected with a retry delay of 500 ms", r)
	}
}

// UpdateEngines must return engines that are listed as gone or missing from a full list, so that the host disconnects from
// them. It must return each engine only once, also if another engine reuses its address.
func TestUpdateEnginesReturnsGoneEngines(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready), listedEngine("b", policy.Ready)})
	if gone, _ := c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("b", policy.Ready)}); len(gone) != 1 || gone[0].Name != "a" {
		t.Fatalf("full list without engine a: returned %+v, want a", gone)
	}
	reused := ListedEngine{Name: "c", Addr: "a:1", Zone: "z", MachineType: "m", Health: policy.Ready}
	if gone, _ := c.UpdateEngines(startTime, false, []ListedEngine{reused, listedEngine("b", policy.Gone)}); len(gone) != 1 || gone[0].Name != "b" {
		t.Fatalf("engine b gone, engine c with the former address of a: returned %+v, want b", gone)
	}
}

// The Core must remove the state of gone engines, which would otherwise grow with each replaced engine.
func TestGoneEnginesAreRemovedAfterRetention(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Gone), listedEngine("b", policy.Ready)})
	c.UpdateEngines(startTime+goneRetention+time.Second, false, []ListedEngine{listedEngine("b", policy.Ready)})
	if len(c.engines) != 1 {
		t.Fatalf("%d engines are known, want 1", len(c.engines))
	}
}

func TestTableGroupParsesSchemaName(t *testing.T) {
	for statement, want := range map[string]int{
		"SELECT * FROM sales_17.orders":                                       17,
		"select 1 from staging.t join q_5.t":                                  5,
		"INSERT INTO `forms_3`.`t` VALUES ('a_9.b')":                          3,
		"SELECT 'x_1.y', \"x_2.y\" -- x_4.y\n FROM /* x_6.y */ a_8.t":         8,
		"# x_1.y\nUPDATE a_b_12.t SET c = 'it''s x_4.y' WHERE d = '\\'x_5.y'": 12,
		"SELECT t_4.c FROM sales_17.orders t_4":                               17,
		"SELECT 1":                                                            0, "": 0, "FROM staging_": 0, "'": 0, "/*": 0, "FROM a_99999999999.t": 0,
	} {
		if got := TableGroup(statement); got != want {
			t.Errorf("%q: group %d, want %d", statement, got, want)
		}
	}
}

// Submit must fail a query with the name of an active request, since engines cannot distinguish the two. Faulty clients
// reuse the name of a pending request for another statement. The name may be used again once the first request has its
// reply and no attempt in flight.
func TestSubmitFailsDuplicateActiveName(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	named := testQuery
	named.Name = "9b1f"
	id, _ := c.Submit(startTime, named)
	c.MaySend(startTime, id, 0, false)
	_, actions := c.Submit(startTime, named)
	if r := firstAction[Reply](t, actions); r.Verdict != Failed || len(actions) != 1 {
		t.Fatalf("actions %+v, want only a reply with verdict Failed", actions)
	}
	c.Cancel(startTime, id) // the attempt is still in flight
	if _, actions = c.Submit(startTime, named); firstAction[Reply](t, actions).Verdict != Failed {
		t.Fatal("accepted while an attempt with that name is in flight")
	}
	c.AttemptEnded(startTime, id, 0, policy.Cancelled, nil)
	if _, actions = c.Submit(startTime, named); firstAction[StartAttempt](t, actions).Attempt != 0 {
		t.Fatal("the name cannot be used again")
	}
}

// MaySend must allow a resend within an attempt only if the module allows it, and never to a draining engine. A query is
// resent if its engine does not seem to have read it.
func TestMaySendAsksModuleBeforeResend(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, _ := c.Submit(startTime, testQuery)
	sent := 0
	for ok := true; ok; sent++ {
		_, ok = c.MaySend(startTime+time.Millisecond, id, 0, sent > 0)
	}
	if sent != 5 { // MaxAttempts is 4, so the fifth send is denied
		t.Errorf("send number %d was denied, want number 5", sent)
	}
	id, _ = c.Submit(startTime+time.Second, testQuery)
	c.MaySend(startTime+time.Second, id, 0, false)
	c.UpdateEngines(startTime+time.Second, false, []ListedEngine{listedEngine("a", policy.Draining)})
	if _, ok := c.MaySend(startTime+time.Second, id, 0, true); ok {
		t.Error("resend to a draining engine allowed")
	}
}

// CountsByClass must count each reply once, as in time, fast or late by the latency objective of its class. A rollout
// compares versions of the program by these counts.
func TestCountsByClassCountsEachReplyOnce(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	for _, took := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		id, _ := c.Submit(startTime, testQuery)
		c.MaySend(startTime, id, 0, false)
		c.AttemptEnded(startTime+took, id, 0, policy.OK, nil)
	}
	c.Submit(startTime, Query{Class: 7, Remaining: time.Second}) // unknown class: fails and is not counted
	id, _ := c.Submit(startTime, testQuery)
	c.Cancel(startTime, id)
	c.Submit(startTime, Query{Class: 1, Remaining: time.Millisecond})
	want := ClassCounts{Requests: 4, InTime: 2, Late: 1, Fast: 1}
	if got := c.CountsByClass()[0]; got != want {
		t.Errorf("lookup: %+v, want %+v", got, want)
	}
	if got := c.CountsByClass()[1]; got.Requests != 1 || got.Rejected+got.Failed != 1 {
		t.Errorf("form-load: %+v, want one request, rejected or failed", got)
	}
}

// MaySend must deny a retry after the deduplication window, when engines no longer recognize it as a duplicate. The retry
// may have been started within the window, while its connection was established later. In a simulated day with engine
// crashes and connection times of up to 1.5 s, such retries were sent.
func TestMaySendRechecksDeduplicationWindow(t *testing.T) {
	const window = 12 * time.Second
	for delay, want := range map[time.Duration]bool{0: true, 10 * time.Millisecond: true, time.Second: false} {
		c, _ := newCore(t)
		c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready), listedEngine("b", policy.Ready)})
		id, actions := c.Submit(startTime, Query{Class: 1, Remaining: 20 * time.Second})
		s := firstAction[StartAttempt](t, actions)
		if _, ok := c.MaySend(startTime, id, s.Attempt, false); !ok {
			t.Fatal("the first attempt was denied")
		}
		at := startTime + window - 50*time.Millisecond
		s = firstAction[StartAttempt](t, c.AttemptEnded(at, id, s.Attempt, policy.Reset, nil))
		if _, ok := c.MaySend(at+delay, id, s.Attempt, false); ok != want {
			t.Errorf("%v after the retry was started: allowed %t, want %t", delay, ok, want)
		}
	}
}

// Submit must reject a query after Shutdown at once.
func TestSubmitRejectsAfterShutdown(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	c.Shutdown(startTime)
	_, actions := c.Submit(startTime, testQuery)
	if r := firstAction[Reply](t, actions); r.Verdict != Rejected || len(actions) != 1 {
		t.Fatalf("actions %+v, want only a reply with verdict Rejected", actions)
	}
}

// MaySend must deny an attempt if the engine list moves the selected engine while the connection to its former address is
// being established. Addresses are reused, so another engine may listen there by now.
func TestMaySendRechecksEngineAddress(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, actions := c.Submit(startTime, testQuery)
	s := firstAction[StartAttempt](t, actions)
	moved := listedEngine("a", policy.Ready)
	moved.Addr = "elsewhere:1"
	c.UpdateEngines(startTime, false, []ListedEngine{moved})
	if _, ok := c.MaySend(startTime+time.Millisecond, id, s.Attempt, false); ok {
		t.Fatal("attempt at the former address allowed")
	}
	if s = firstAction[StartAttempt](t, c.AttemptEnded(startTime+time.Millisecond, id, 0, policy.NotSent, nil)); s.Engine.Addr != moved.Addr {
		t.Fatalf("%+v, want an attempt at the new address", s)
	}
}
