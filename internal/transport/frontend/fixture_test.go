package frontend

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/eventloop/eventlooptest"
	"frostpier/policy"
)

// The tests of races block the loop while a peer acts, so that a rare order of events occurs in each run. They never sleep, but wait until
// the effect of the action is observed.

// Responses of engines.
const (
	succeeded = "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 2\r\n\r\na\n"
	failed    = "HTTP/1.1 500 OK\r\nContent-Length: 0\r\n\r\n"
	confirmed = "HTTP/1.1 204 OK\r\n\r\n"
)

// fixture is a platform listener of a gateway whose engines are controlled by the test.
type fixture struct {
	*PlatformListener
	t          *testing.T
	loop       *eventloop.Loop
	pool       *enginepool.Pool
	invariants *invariant.Monitor
}

// The query classes of a fixture, which differ in whether a query that may have run can be retried.
const (
	idempotentClass    = "safe"
	nonIdempotentClass = "once"
	keyedClass         = "keyed"
	dedupWindow        = 2 * time.Second
)

func newFixture(t *testing.T, budget int, engines ...*nettest.Engine) *fixture {
	t.Helper()
	return newFixtureWithMemory(t, budget, 0, engines...)
}

// newFixtureWithMemory returns a fixture that holds at most maxQueryBytes of open queries; 0 = no limit.
func newFixtureWithMemory(t *testing.T, budget, maxQueryBytes int, engines ...*nettest.Engine) *fixture {
	t.Helper()
	loop, p := newPool(t, budget)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	class := policy.Class{Name: idempotentClass, LatencyObjective: 4 * time.Second, Deadline: time.Minute, Weight: 1, Threads: 1}
	nonIdempotent, keyed := class, class
	nonIdempotent.Name, nonIdempotent.Idempotency = nonIdempotentClass, policy.NotIdempotent
	keyed.Name, keyed.Idempotency, keyed.DedupWindow = keyedClass, policy.IdempotentWithKey, dedupWindow
	invariants := invariant.New(log)
	module := policy.Settings{Classes: []policy.Class{class, nonIdempotent, keyed}, MachineTypes: []policy.MachineType{{Cores: 8}}, Gateways: 1,
		Tick: 5 * time.Millisecond, MayCancel: true, MaxAttempts: 4}
	host := settings.Host{MaxRetryAfter: 500 * time.Millisecond, MachineTypes: []string{"m"}, Zones: []string{"z"},
		MaxQueryBytes: maxQueryBytes, Policy: module}
	gatewayCore, err := core.New(host, 1, log, invariants)
	if err != nil {
		t.Fatal(err)
	}
	d := dispatcher.New(loop, gatewayCore, p, log)
	f := &fixture{NewPlatformListener(d, log, 100, 1<<20), t, loop, p, invariants}
	if err := f.Serve("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		loop.Do(func() {
			f.Stop(func() {})
			if n := invariants.Violations(); n != 0 {
				t.Errorf("%d invariant violations", n)
			}
		})
	})
	f.listEngines(engines...)
	return f
}

// listEngines replaces the engine list with the given engines. It does nothing if there are none.
func (f *fixture) listEngines(engines ...*nettest.Engine) {
	var listed []core.ListedEngine
	for _, e := range engines {
		listed = append(listed, e.ListEntry(policy.Ready))
	}
	if len(listed) > 0 {
		f.loop.Do(func() { f.dispatcher.UpdateEngines(true, listed) })
	}
}

// queryLine returns the request line of a query.
func queryLine(id int, class string) string { return queryLineWithBudget(id, class, 20*time.Second) }

func queryLineWithBudget(id int, class string, budget time.Duration) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","budget":%d,"token":"k%d","blob":"eA=="}}`+"\n",
		id, class, id, budget.Milliseconds(), id)
}

// connect connects a client and waits until the listener has answered its ping.
func (f *fixture) connect() (net.Conn, *client) {
	f.t.Helper()
	nc := dialAndSend(f.t, f.PlatformListener, ping)
	expectPong(f.t, nc)
	return nc, f.clientOf(nc)
}

// clientOf returns the listener's client for a connection, or nil if there is none.
func (l *PlatformListener) clientOf(nc net.Conn) (found *client) {
	l.dispatcher.Loop.Do(func() {
		for c := range l.open {
			if c.conn.RemoteAddr().String() == nc.LocalAddr().String() {
				found = c
			}
		}
	})
	return found
}

// connectPaused connects a client whose reader goroutine on the gateway is paused, as if it were not scheduled: what the client sends can be
// found only in the socket.
func (f *fixture) connectPaused() (net.Conn, *client) {
	f.t.Helper()
	nc := dialAndSend(f.t, f.PlatformListener, "")
	var c *client
	nettest.Eventually(f.t, "the connection to be accepted", func() bool { c = f.clientOf(nc); return c != nil })
	f.loop.Do(c.conn.Pause)
	io.WriteString(nc, ping) // completes the current read
	expectPong(f.t, nc)
	return nc, c
}

// waitQueued blocks the loop, on which it is called, until n functions are queued.
func (f *fixture) waitQueued(n int) {
	nettest.Eventually(f.t, fmt.Sprintf("%d functions to be queued for the loop", n), func() bool { return f.loop.Queued() >= n })
}

func (f *fixture) counts() (n core.Counts) {
	f.loop.Do(func() { n = f.dispatcher.Core.Counts() })
	return n
}

// expectLine reads a line, which must contain text.
func expectLine(t *testing.T, r *bufio.Reader, text string) {
	t.Helper()
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, text) {
		t.Fatalf("read line %q and error %v, want a line with %q", line, err, text)
	}
}

// expectEOF reads EOF from a connection. A reset or any byte before EOF is an error.
func expectEOF(t *testing.T, r io.Reader) {
	t.Helper()
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Fatalf("read %q and error %v, want EOF and no bytes before it", b, err)
	}
}

// newPool returns a running loop and a pool of at most budget connections without a drain delay.
func newPool(t *testing.T, budget int) (*eventloop.Loop, *enginepool.Pool) {
	t.Helper()
	loop := eventlooptest.Start(t)
	p := enginepool.New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Second, time.Minute, enginepool.Budget{Max: budget, Urgent: 1})
	p.SetDrainDelay(0) // tests that need a drain delay set it
	return loop, p
}
