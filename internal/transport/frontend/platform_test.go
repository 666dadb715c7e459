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
	gatewayCore, err := core.New(settings.Host{Module: policy.Settings{Classes: []policy.Class{class}, Gateways: 1,
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

// dialAndSend connects and sends a text.
func dialAndSend(t *testing.T, l *PlatformListener, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", l.ln.Addr().String())
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
		t.Fatalf("%q, %v", line, err)
	}
}

// expectEnd waits for the end of a connection, before which nothing may come.
func expectEnd(t *testing.T, what string, nc net.Conn) {
	t.Helper()
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: %d bytes, %v, want the end", what, n, err)
	}
}

const ping = `{"jsonrpc":"2.0","id":1,"method":"ping"}` + "\n"

// Connections are closed soon on which nothing was sent, an incomplete line, or nothing that is owed a response. One that has sent a
// request stays.
func TestConnectionsWithoutRequestsAreClosed(t *testing.T) {
	l := newPlatformListener(t, 100, 1<<20, 100*time.Millisecond)
	stays := dialAndSend(t, l, ping)
	expectPong(t, stays)
	silent := map[string]net.Conn{
		"nothing":         dialAndSend(t, l, ""),
		"incomplete line": dialAndSend(t, l, `{"jsonrpc":"2.0",`),
		"blank lines":     dialAndSend(t, l, "\n\n"),
		"unknown abort":   dialAndSend(t, l, `{"jsonrpc":"2.0","method":"abort","params":{"id":7}}`+"\n"),
	}
	later := dialAndSend(t, l, ping+`{"jsonrpc"`)
	expectPong(t, later)
	expectEnd(t, "incomplete line after a request", later)
	for what, nc := range silent {
		expectEnd(t, what, nc)
	}
	io.WriteString(stays, ping)
	expectPong(t, stays)
	l.dispatcher.Loop.Do(func() {
		if len(l.open) != 1 || l.incompleteBytes != 0 {
			t.Errorf("%d connections and %d incomplete bytes remain", len(l.open), l.incompleteBytes)
		}
	})
}

// Each line has the whole timeout, also if its first bytes come together with the end of the line before.
func TestEachLineHasItsOwnTime(t *testing.T) {
	l := newPlatformListener(t, 100, 1<<20, time.Hour)
	half := len(ping) / 2
	nc := dialAndSend(t, l, ping[:half])
	var c *client
	line := func() (wait *eventloop.Timer) {
		nettest.Eventually(t, "an incomplete line", func() (some bool) {
			l.dispatcher.Loop.Do(func() {
				for c = range l.open {
					some, wait = c.incompleteBytes == half, c.lineTimer
				}
			})
			return some
		})
		return wait
	}
	first := line()
	nettest.Send(t, nc, ping[half:]+ping[:half])
	expectPong(t, nc)
	second := line()
	if first == nil || second == nil || first == second {
		t.Fatal("the timer of a line was not restarted for the next one")
	}
	l.dispatcher.Loop.Do(c.lineTimedOut) // its own timeout has expired
	expectEnd(t, "incomplete line", nc)
}

// Connections without queries, which may come by the hundreds, are evicted before those with queries, and these before new ones.
// On a recorded day new connections were evicted after 3 ms, since they alone had sent no request yet, and one query in twelve was
// lost with them.
func TestEvictionOrder(t *testing.T) {
	l := newPlatformListener(t, 4, 1<<20, time.Hour)
	l.dispatcher.Loop.Do(func() {
		now := l.dispatcher.Loop.Now()
		add := func(sentRequest, sentQuery bool, idle time.Duration, requests ...string) *client {
			nc, _ := net.Pipe()
			c := &client{listener: l, sentQuery: sentQuery, sentRequest: sentRequest, idleSince: now - idle, requests: map[string]core.ID{}}
			c.conn = eventloop.NewConn(l.dispatcher.Loop, nc, c, 1)
			for i, id := range requests {
				c.requests[id] = core.ID(i + 1)
			}
			l.open[c] = true
			return c
		}
		add(true, true, time.Hour, "1") // has an open query
		fresh := add(false, false, queryGrace/2)
		answered := add(true, true, queryGrace/2)
		pinged := add(true, false, queryGrace/2)
		queried := add(true, true, time.Second)
		queriedLater := add(true, true, 2*queryGrace)
		silent := add(false, false, 2*queryGrace)
		silentLonger := add(false, false, 3*queryGrace)
		for i, want := range []*client{silentLonger, silent, queried, queriedLater, pinged, answered, fresh} {
			if !l.evictIdle() || l.open[want] {
				t.Errorf("another than the expected was evicted as number %d", i+1)
			}
		}
		if l.evictIdle() || len(l.open) != 1 {
			t.Error("one with an open query was evicted")
		}
	})
}

// A full listener evicts an idle connection for a new one, and a response that is queued on it is still written. 43 responses of a
// recorded day were lost.
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
		t.Fatalf("%d bytes, %v, want %d and the end", len(got), err, len(long))
	}
}

// The memory of incomplete lines is bounded: if all together are over the limit, a connection with a long one is closed.
func TestIncompleteLinesAreBounded(t *testing.T) {
	l := newPlatformListener(t, 100, 3*fairLineBytes, time.Hour)
	long := strings.Repeat("x", 2*fairLineBytes)
	dialAndSend(t, l, long)
	for {
		incomplete := 0
		if l.dispatcher.Loop.Do(func() { incomplete = l.incompleteBytes }); incomplete == len(long) {
			break
		}
	}
	expectEnd(t, "long line over the limit", dialAndSend(t, l, long))
	short := dialAndSend(t, l, ping[:10]) // below its fair share
	io.WriteString(short, ping[10:])
	expectPong(t, short)
}
