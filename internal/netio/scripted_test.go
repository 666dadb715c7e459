package netio

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

// The tests of events that cross hold the loop while a scripted peer makes its move, so that the order that is seldom seen
// comes about every time. Nothing in them sleeps: they wait until they have seen the move.

// until waits for something that another goroutine or the machine does.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// arrives waits until all that a connection sent, its end included, is at the peer's machine.
func arrives(t *testing.T, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	until(t, "what was sent to arrive", func() bool {
		left := 0 // bytes that the peer's machine has not confirmed, the end counted as one
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return left == 0
	})
}

// ends ends a side of a connection and waits until the peer's machine has heard it.
func ends(t *testing.T, nc net.Conn) {
	t.Helper()
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	arrives(t, nc)
}

// sends writes and waits until it has arrived.
func sends(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	arrives(t, nc)
}

// engine is a scripted engine: a test takes its connections and says what happens on them.
type engine struct {
	t     *testing.T
	id    string
	ln    net.Listener
	conns chan *engineConn
}

type engineConn struct {
	t *testing.T
	net.Conn
	r *textproto.Reader
}

func newEngine(t *testing.T, id string) *engine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{t: t, id: id, ln: ln, conns: make(chan *engineConn, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			nc.SetDeadline(time.Now().Add(patience))
			e.conns <- &engineConn{t, nc, textproto.NewReader(bufio.NewReader(nc))}
		}
	}()
	return e
}

func (e *engine) line(health policy.Health) core.ListedEngine {
	return core.ListedEngine{Name: e.id, Addr: e.ln.Addr().String(), Zone: "z", Kind: "m", Health: health, Weight: 1}
}

// conn is its next connection.
func (e *engine) conn() *engineConn {
	e.t.Helper()
	select {
	case c := <-e.conns:
		return c
	case <-time.After(patience):
		e.t.Fatalf("engine %s: nobody connects", e.id)
		return nil
	}
}

// call reads the next call and tells its first line.
func (c *engineConn) call() string {
	c.t.Helper()
	line, err := c.r.ReadLine()
	if err != nil {
		c.t.Fatalf("no call: %v", err)
	}
	head, err := c.r.ReadMIMEHeader()
	if err != nil {
		c.t.Fatal(err)
	}
	n, _ := strconv.Atoi(head.Get("Content-Length"))
	if _, err := io.ReadFull(c.r.R, make([]byte, n)); err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSuffix(line, " HTTP/1.1")
}

// nothing tells that the connection ends and that not a byte came on it before.
func (c *engineConn) nothing() {
	c.t.Helper()
	if n, err := c.r.R.Read(make([]byte, 1)); n > 0 || err == nil {
		c.t.Errorf("an engine that should hear nothing got a call")
	}
}

const (
	served    = "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 2\r\n\r\na\n"
	notOver   = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"
	erred     = "HTTP/1.1 500 OK\r\nContent-Length: 0\r\n\r\n"
	confirmed = "HTTP/1.1 204 OK\r\n\r\n"
)

// rig is the platform's front before scripted engines.
type rig struct {
	*Clients
	t    *testing.T
	loop *Loop
	pool *Pool
	keep *invariant.Keeper
}

// The classes of a rig, by what may be done with a query that may have run.
const (
	safe   = "safe"
	once   = "once"
	keyed  = "keyed"
	window = 2 * time.Second
)

func newRig(t *testing.T, budget int, engines ...*engine) *rig {
	t.Helper()
	loop, p := pool(t, budget)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	class := policy.Class{Name: safe, Aim: 4 * time.Second, Deadline: time.Minute, Worth: 1, Threads: 1}
	fragile, dedup := class, class
	fragile.Name, fragile.Effect = once, policy.Unsafe
	dedup.Name, dedup.Effect, dedup.Window = keyed, policy.Keyed, window
	keep := invariant.New(log)
	heart, err := core.New(settings.Host{ComeBack: 500 * time.Millisecond, Models: []string{"m"}, Zones: []string{"z"},
		Module: policy.Settings{Classes: []policy.Class{class, fragile, dedup}, Kinds: []policy.Kind{{Cores: 8}}, Siblings: 1,
			Tick: 5 * time.Millisecond, CanCancel: true, MaxAttempts: 4}}, 1, log, keep)
	if err != nil {
		t.Fatal(err)
	}
	g := NewGateway(loop, heart, p, log)
	r := &rig{NewClients(g, log, 100, 1<<20), t, loop, p, keep}
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

func (r *rig) publish(engines ...*engine) {
	var lines []core.ListedEngine
	for _, e := range engines {
		lines = append(lines, e.line(policy.Ready))
	}
	if len(lines) > 0 {
		r.loop.Do(func() { r.gateway.UpdateEngines(true, lines) })
	}
}

func ask(id int, class string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","budget":20000,"token":"k%d","blob":"eA=="}}`+"\n",
		id, class, id, id)
}

// client connects, and is known to the front when it returns.
func (r *rig) client() (net.Conn, *client) {
	r.t.Helper()
	nc := sendText(r.t, r.Clients, ping)
	answered(r.t, nc)
	return nc, r.find(nc)
}

// find is the front's side of a client's connection, if the front knows it.
func (r *rig) find(nc net.Conn) (at *client) {
	r.loop.Do(func() {
		for c := range r.open {
			if c.conn.nc.RemoteAddr().String() == nc.LocalAddr().String() {
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
	nc := sendText(r.t, r.Clients, "")
	var c *client
	until(r.t, "the connection", func() bool { c = r.find(nc); return c != nil })
	r.loop.Do(c.conn.Pause)
	io.WriteString(nc, ping) // the read that is under way ends with it
	answered(r.t, nc)
	return nc, c
}

// queued waits, on the loop, until other goroutines have handed it so much work.
func (r *rig) queued(n int) {
	until(r.t, "work for the loop", func() bool { return len(r.loop.work) >= n })
}

func (r *rig) counts() (n core.Counts) {
	r.loop.Do(func() { n = r.gateway.Core.Counts() })
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
