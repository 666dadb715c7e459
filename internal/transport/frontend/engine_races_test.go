package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/testutil/nettest"
	"frostpier/policy"
)

// The tests in this file force races between events of an engine and of the gateway; docs/design/crossings.md lists them.

// A query is not written to an idle connection that its engine has closed or sent unexpected bytes on, whether this happens before the
// connection is chosen, or after that and before the first byte is written. The query is sent on a new connection.
func TestQueryIsNotSentOnUnusableIdleConnection(t *testing.T) {
	for name, interfere := range map[string]func(*testing.T, *nettest.EngineConn){
		"closed":             func(t *testing.T, engineConn *nettest.EngineConn) { nettest.CloseWrite(t, engineConn.Conn) },
		"duplicate response": func(t *testing.T, engineConn *nettest.EngineConn) { nettest.Send(t, engineConn.Conn, succeeded) },
		"partial response":   func(t *testing.T, engineConn *nettest.EngineConn) { nettest.Send(t, engineConn.Conn, succeeded[:20]) },
	} {
		for _, chosen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chosen %t", name, chosen), func(t *testing.T) {
				e := nettest.NewEngine(t, "e")
				f := newFixture(t, 4, e)
				nc, c := f.connect()
				in := bufio.NewReader(nc)
				first := serveQuery(t, e, nc, in)
				f.loop.Do(func() {
					if !chosen {
						interfere(t, first)
					}
					nettest.Send(t, nc, queryLine(12, idempotentClass))
					c.conn.DeliverPending()
					if chosen {
						interfere(t, first)
					}
				})
				second := e.Accept()
				if call := second.ReadRequest(); call != "POST /v2/q" {
					t.Fatalf("request %q on the new connection, want POST /v2/q", call)
				}
				io.WriteString(second, succeeded)
				expectLine(t, in, `"id":12,"result"`)
				if n, err := first.Reader.R.Read(make([]byte, 1)); n > 0 {
					t.Fatalf("%d bytes were written to the old connection (error %v), want none", n, err)
				}
			})
		}
	}
}

// A duplicate response that arrives milliseconds late is not taken for the response to the next query: a released connection is not reused
// before its drain delay has elapsed, and is closed if the duplicate arrives meanwhile.
func TestDrainDelayDetectsDuplicateResponse(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	f.loop.Do(func() { f.pool.SetDrainDelay(time.Hour) })
	nc, c := f.connect()
	in := bufio.NewReader(nc)
	first := serveQuery(t, e, nc, in)
	f.loop.Do(func() {
		nettest.Send(t, nc, queryLine(12, idempotentClass))
		c.conn.DeliverPending()
		if n := f.dispatcher.Core.Counts().Attempts; n != 2 {
			t.Errorf("%d attempts, want 2", n)
		}
	})
	nettest.Send(t, first.Conn, strings.Replace(succeeded, "a\n", "b\n", 1))
	second := e.Accept()
	second.ReadRequest()
	io.WriteString(second, succeeded)
	expectLine(t, in, `"id":12,"result":{"blob":"YQo="}`)
	first.ExpectClosed()
}

// A released connection that is handed to a waiting request is checked for a duplicate response first, and closed if there is one.
func TestHandoverToWaiterDetectsDuplicateResponse(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 1, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass)+queryLine(12, idempotentClass))
	first := e.Accept()
	first.ReadRequest()
	nettest.Eventually(t, "the second request to wait for a connection", func() (waits bool) {
		f.loop.Do(func() { waits = f.pool.Waiting() == 1 })
		return waits
	})
	f.loop.Do(func() {
		nettest.Send(t, first.Conn, succeeded)
		for f.pool.Waiting() > 0 {
			f.loop.RunNext()
		}
		nettest.Send(t, first.Conn, succeeded)
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"result"`)
	second := e.Accept()
	second.ReadRequest()
	io.WriteString(second, succeeded)
	expectLine(t, in, `"result"`)
	first.ExpectClosed()
}

// A retry is not sent to an engine that starts draining while the retry's connection is being dialed.
func TestRetryIsNotSentToDrainingEngine(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	f := newFixture(t, 8, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	engineConn := e.Accept()
	engineConn.ReadRequest()
	f.listEngines(e, other)
	f.loop.Do(func() {
		queued := f.loop.Queued()
		nettest.Send(t, engineConn.Conn, failed)
		f.waitQueued(queued + 1)
		for f.dispatcher.Core.Counts().Further == 0 {
			f.loop.RunNext()
		}
		f.waitQueued(1) // the dial to the other engine has succeeded
		f.dispatcher.UpdateEngines(false, []core.ListedEngine{other.ListEntry(policy.Draining)})
	})
	next := other.Accept()
	nettest.Eventually(t, "the retry to end", func() (ended bool) {
		f.loop.Do(func() {
			c := f.dispatcher.Core
			ended = c.AttemptsInFlight() == 0 || c.Counts().Attempts > 2
		})
		return ended
	})
	f.closeIdleEngineConns() // including next, which the retry has released
	next.ExpectClosed()
}

// A non-idempotent query fails if its engine closes the connection just after the query was written. It is not retried, since the engine may
// have read it.
func TestNonIdempotentQueryIsNotRetriedAfterConnectionLoss(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, nonIdempotentClass))
	engineConn := e.Accept()
	engineConn.ReadRequest()
	nettest.CloseWrite(t, engineConn.Conn)
	poll := e.Accept()
	if call := poll.ReadRequest(); !strings.HasPrefix(call, "GET ") {
		t.Fatalf("the engine received %q, want a GET request", call)
	}
	nettest.Send(t, poll.Conn, failed) // the engine does not know the query
	expectLine(t, bufio.NewReader(nc), `"id":11,"error":{"code":-32013`)
	if n := f.counts(); n.Attempts != 1 || n.Further != 0 || e.PendingConns() != 0 {
		t.Fatalf("counts are %+v with %d unaccepted connections, want one attempt, no retry and no connection", n, e.PendingConns())
	}
}

// serveQuery sends query 11 of a client, has the engine respond to it, and returns the connection to the engine.
func serveQuery(t *testing.T, e *nettest.Engine, nc net.Conn, in *bufio.Reader) *nettest.EngineConn {
	t.Helper()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	engineConn := e.Accept()
	engineConn.ReadRequest()
	io.WriteString(engineConn, succeeded)
	expectLine(t, in, `"id":11,"result"`)
	return engineConn
}

// closeIdleEngineConns waits until the pool has an idle connection, and closes all its idle connections.
func (f *fixture) closeIdleEngineConns() {
	f.t.Helper()
	nettest.Eventually(f.t, "an idle connection to an engine", func() (idle bool) {
		f.loop.Do(func() { idle = len(f.pool.IdleEngines()) > 0 })
		return idle
	})
	f.loop.Do(func() {
		for _, engine := range f.pool.IdleEngines() {
			f.pool.Invalidate(engine)
		}
	})
}

// A response that has arrived is handled before a timer of its attempt that has expired. It guards against a process that was paused, takes a
// response that it has not read for missing, and polls or cancels the query instead.
func TestArrivedResponsePrecedesExpiredTimers(t *testing.T) {
	const pause = 600 * time.Millisecond // longer than the response timeout of a query
	for name, budget := range map[string]time.Duration{"response timeout": 20 * time.Second, "deadline": pause} {
		t.Run(name, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, _ := f.connect()
			nettest.Send(t, nc, queryLineWithBudget(11, nonIdempotentClass, budget))
			engineConn := e.Accept()
			engineConn.ReadRequest()
			f.loop.Do(func() {
				nettest.WaitOut(t, pause)
				nettest.Send(t, engineConn.Conn, succeeded)
			})
			expectLine(t, bufio.NewReader(nc), `"id":11,"result"`)
			if n := e.PendingConns(); n != 0 {
				t.Errorf("%d further connections to the engine, want none", n)
			}
		})
	}
}
