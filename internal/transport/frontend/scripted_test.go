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

// The tests of events that cross hold the loop while a scripted peer makes its move, so that the order that is seldom seen
// comes about every time. Nothing in them sleeps: they wait until they have seen the move.

const (
	served    = "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 2\r\n\r\na\n"
	notOver   = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"
	erred     = "HTTP/1.1 500 OK\r\nContent-Length: 0\r\n\r\n"
	confirmed = "HTTP/1.1 204 OK\r\n\r\n"
)

// rig is the platform's front before scripted engines.
type rig struct {
	*PlatformListener
	t    *testing.T
	loop *eventloop.Loop
	pool *enginepool.Pool
	keep *invariant.Keeper
}

// The classes of a rig, by what may be done with a query that may have run.
const (
	safe   = "safe"
	once   = "once"
	keyed  = "keyed"
	window = 2 * time.Second
)

func newRig(t *testing.T, budget int, engines ...*nettest.Engine) *rig {
	t.Helper()
	loop, p := newPool(t, budget)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	class := policy.Class{Name: safe, LatencyObjective: 4 * time.Second, Deadline: time.Minute, Weight: 1, Threads: 1}
	fragile, dedup := class, class
	fragile.Name, fragile.Idempotency = once, policy.NotIdempotent
	dedup.Name, dedup.Idempotency, dedup.DedupWindow = keyed, policy.IdempotentWithKey, window
	keep := invariant.New(log)
	heart, err := core.New(settings.Host{ComeBack: 500 * time.Millisecond, Models: []string{"m"}, Zones: []string{"z"},
		Module: policy.Settings{Classes: []policy.Class{class, fragile, dedup}, Kinds: []policy.Kind{{Cores: 8}}, Gateways: 1,
			Tick: 5 * time.Millisecond, MayCancel: true, MaxAttempts: 4}}, 1, log, keep)
	if err != nil {
		t.Fatal(err)
	}
	g := dispatcher.New(loop, heart, p, log)
	r := &rig{NewPlatformListener(g, log, 100, 1<<20), t, loop, p, keep}
	if err := r.Serve("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		loop.Do(func() {
			r.Stop(func() {})
			if n := keep.Broken(); n != 0 {
				t.Errorf("%d invariants broken", n)
			}
		})
	})
	r.publish(engines...)
	return r
}

func (r *rig) publish(engines ...*nettest.Engine) {
	var lines []core.ListedEngine
	for _, e := range engines {
		lines = append(lines, e.Listed(policy.Ready))
	}
	if len(lines) > 0 {
		r.loop.Do(func() { r.dispatcher.UpdateEngines(true, lines) })
	}
}

func ask(id int, class string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","budget":20000,"token":"k%d","blob":"eA=="}}`+"\n",
		id, class, id, id)
}

// client connects, and is known to the front when it returns.
func (r *rig) client() (net.Conn, *client) {
	r.t.Helper()
	nc := sendText(r.t, r.PlatformListener, ping)
	answered(r.t, nc)
	return nc, r.find(nc)
}

// find is the front's side of a client's connection, if the front knows it.
func (r *rig) find(nc net.Conn) (at *client) {
	r.loop.Do(func() {
		for c := range r.open {
			if c.conn.RemoteAddr().String() == nc.LocalAddr().String() {
				at = c
			}
		}
	})
	return at
}

// clientNotReading is one whose reader waits, as one that does not get its turn: what the client does from now on stands in the
// socket until somebody looks for it.
func (r *rig) clientNotReading() (net.Conn, *client) {
	r.t.Helper()
	nc := sendText(r.t, r.PlatformListener, "")
	var c *client
	nettest.Until(r.t, "the connection", func() bool { c = r.find(nc); return c != nil })
	r.loop.Do(c.conn.Pause)
	io.WriteString(nc, ping) // the read that is under way ends with it
	answered(r.t, nc)
	return nc, c
}

// queued waits, on the loop, until other goroutines have handed it so much work.
func (r *rig) queued(n int) {
	nettest.Until(r.t, "work for the loop", func() bool { return r.loop.Queued() >= n })
}

func (r *rig) counts() (n core.Counts) {
	r.loop.Do(func() { n = r.dispatcher.Core.Counts() })
	return n
}

// expectLine waits for a line with a text in it.
func expectLine(t *testing.T, r *bufio.Reader, text string) {
	t.Helper()
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, text) {
		t.Fatalf("%q, %v, want %q", line, err, text)
	}
}

// cleanEnd waits for the connection's end, which must not be a reset.
func cleanEnd(t *testing.T, r io.Reader) {
	t.Helper()
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Fatalf("%q, %v, want the end and nothing before it", b, err)
	}
}

// newPool returns a running loop and a pool of at most budget connections that are used again at once.
func newPool(t *testing.T, budget int) (*eventloop.Loop, *enginepool.Pool) {
	t.Helper()
	loop := eventlooptest.Start(t)
	p := enginepool.New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Second, time.Minute, enginepool.Budget{Most: budget, Urgent: 1})
	p.SetDrainDelay(0) // tests of what comes late on a connection that rests set it themselves
	return loop, p
}
