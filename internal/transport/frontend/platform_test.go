package frontend

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// newPlatformListener returns a running listener of a gateway without engines.
func newPlatformListener(t *testing.T, maxConns, maxIncompleteBytes int, requestTimeout time.Duration) *PlatformListener {
	t.Helper()
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	class := policy.Class{Name: "lookup", LatencyObjective: time.Second, Deadline: time.Minute, Weight: 1, Threads: 1}
	gatewayCore, err := core.New(settings.Host{Policy: policy.Settings{Classes: []policy.Class{class}, Gateways: 1,
		Tick: 5 * time.Millisecond}}, 1, log, invariant.New(log))
	if err != nil {
		t.Fatal(err)
	}
	l := NewPlatformListener(dispatcher.New(loop, gatewayCore, p, log), log, maxConns, maxIncompleteBytes)
	l.requestTimeout = requestTimeout
	if err := l.Serve("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Do(func() { l.Stop(func() {}) }) })
	return l
}

// dialAndSend connects to the listener and sends text.
func dialAndSend(t *testing.T, l *PlatformListener, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", l.acceptor.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(nettest.Timeout))
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	return nc
}

// expectPong waits for the response to a ping.
func expectPong(t *testing.T, nc net.Conn) {
	t.Helper()
	if line, err := bufio.NewReader(nc).ReadString('\n'); err != nil || !strings.Contains(line, `"serving":true`) {
		t.Fatalf("read line %q and error %v, want the response to a ping", line, err)
	}
}

// expectClosed waits until a connection is closed or reset, without any byte before that. what names the connection in failure messages.
func expectClosed(t *testing.T, what string, nc net.Conn) {
	t.Helper()
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: read %d bytes and error %v, want a closed connection", what, n, err)
	}
}

const ping = `{"jsonrpc":"2.0","id":1,"method":"ping"}` + "\n"

// Connections on which the client sends nothing, only an incomplete line, or only input that needs no response, are closed after the request
// timeout. A connection on which a request was sent is kept.
func TestRequestTimeoutClosesConnectionsWithoutRequest(t *testing.T) {
	l := newPlatformListener(t, 100, 1<<20, 100*time.Millisecond)
	kept := dialAndSend(t, l, ping)
	expectPong(t, kept)
	silent := map[string]net.Conn{
		"nothing":         dialAndSend(t, l, ""),
		"incomplete line": dialAndSend(t, l, `{"jsonrpc":"2.0",`),
		"blank lines":     dialAndSend(t, l, "\n\n"),
		"unknown abort":   dialAndSend(t, l, `{"jsonrpc":"2.0","method":"abort","params":{"id":7}}`+"\n"),
	}
	later := dialAndSend(t, l, ping+`{"jsonrpc"`)
	expectPong(t, later)
	expectClosed(t, "incomplete line after a request", later)
	for what, nc := range silent {
		expectClosed(t, what, nc)
	}
	io.WriteString(kept, ping)
	expectPong(t, kept)
	l.dispatcher.Loop.Do(func() {
		if len(l.open) != 1 || l.lineMemory.Used() != 0 {
			t.Errorf("%d connections and %d incomplete bytes remain, want 1 and 0", len(l.open), l.lineMemory.Used())
		}
	})
}

// Each line has the full timeout, even if its first bytes arrive in the same read as the end of the previous line.
func TestLineTimeoutRestartsForEachLine(t *testing.T) {
	l := newPlatformListener(t, 100, 1<<20, time.Hour)
	half := len(ping) / 2
	nc := dialAndSend(t, l, ping[:half])
	var c *client
	waitIncompleteLine := func() (timer *eventloop.Timer) {
		nettest.Eventually(t, "an incomplete line", func() (incomplete bool) {
			l.dispatcher.Loop.Do(func() {
				for c = range l.open {
					incomplete, timer = c.line.Used() == half, c.lineTimer
				}
			})
			return incomplete
		})
		return timer
	}
	first := waitIncompleteLine()
	nettest.Send(t, nc, ping[half:]+ping[:half])
	expectPong(t, nc)
	second := waitIncompleteLine()
	if first == nil || second == nil || first == second {
		t.Fatal("the line timer was not restarted for the second line")
	}
	l.dispatcher.Loop.Do(c.lineTimedOut) // as if the timeout of the second line had expired
	expectClosed(t, "incomplete line", nc)
}

// Connections that never sent a query, which may be opened by the hundreds, are evicted before those that did, and these before new ones.
// In a recorded run, new connections were evicted after 3 ms, since only they had sent no request yet, and one in twelve queries was lost.
func TestEvictionOrder(t *testing.T) {
	l := newPlatformListener(t, 4, 1<<20, time.Hour)
	l.dispatcher.Loop.Do(func() {
		now := l.dispatcher.Loop.Now()
		add := func(sentRequest, sentQuery bool, idle time.Duration, requests ...string) *client {
			nc, _ := net.Pipe()
			c := &client{listener: l, line: l.lineMemory.NewShare(), sentQuery: sentQuery, sentRequest: sentRequest, idleSince: now - idle,
				requests: map[string]core.RequestID{}}
			c.conn = eventloop.NewConn(l.dispatcher.Loop, nc, c, 1)
			for i, id := range requests {
				c.requests[id] = core.RequestID(i + 1)
			}
			l.open[c] = true
			return c
		}
		add(true, true, time.Hour, "1") // has an open query
		fresh := add(false, false, recentUsePeriod/2)
		answered := add(true, true, recentUsePeriod/2)
		pinged := add(true, false, recentUsePeriod/2)
		queried := add(true, true, time.Second)
		queriedLater := add(true, true, 2*recentUsePeriod)
		silent := add(false, false, 2*recentUsePeriod)
		silentLonger := add(false, false, 3*recentUsePeriod)
		for i, want := range []*client{silentLonger, silent, queried, queriedLater, pinged, answered, fresh} {
			if !l.evictIdle() || l.open[want] {
				t.Errorf("eviction %d closed another connection than expected", i+1)
			}
		}
		if l.evictIdle() || len(l.open) != 1 {
			t.Error("a connection with an open query was evicted")
		}
	})
}

// An eviction does not handle what the client of a candidate has sent, which may take long, but keeps the connection: new connections precede all
// other work. An accept took 1.8 s while clients sent long lines and connected again and again.
func TestEvictionDoesNotHandleInput(t *testing.T) {
	l := newPlatformListener(t, 1, 1<<20, time.Hour)
	nc, c := pingingClient(t, l)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, nc, ping[:10]) // is not read before the loop continues
		if l.evictIdle() || !l.open[c] || c.line.Used() != 0 {
			t.Errorf("connection kept %t, %d bytes read, want it to be kept and nothing read", l.open[c], c.line.Used())
		}
	})
	nettest.Send(t, nc, ping[10:])
	expectPong(t, nc)
}

// A listener at its connection limit evicts an idle connection to accept a new one, and a response queued on the evicted connection is
// still written. In a recorded run, 43 responses were lost that way.
func TestFullListenerEvictsIdleConnections(t *testing.T) {
	l := newPlatformListener(t, 1, 1<<20, time.Hour)
	long := strings.Repeat("y", 8<<20) // more than the buffers of both sockets
	first := dialAndSend(t, l, ping)
	expectPong(t, first)
	l.dispatcher.Loop.Do(func() {
		for c := range l.open {
			c.conn.SetWriteLimit(2 * len(long))
			l.dispatcher.Loop.SetWriteBudget(2 * int64(len(long)))
			c.conn.Write([]byte(long))
		}
	})
	expectPong(t, dialAndSend(t, l, ping))
	if got, err := io.ReadAll(first); err != nil || len(got) != len(long) {
		t.Fatalf("read %d bytes and error %v, want %d bytes and EOF", len(got), err, len(long))
	}
}
