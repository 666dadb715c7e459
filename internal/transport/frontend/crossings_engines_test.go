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

// docs/design/crossings.md has a row for each of these tests.

// An engine closes an idle connection, or sends unexpected bytes on it, just before a query is written on it: before the connection is
// chosen, or between that and the first byte. The query is sent on another.
func TestIdleConnectionClosedBeforeWrite(t *testing.T) {
	for name, interfere := range map[string]func(*testing.T, *nettest.EngineConn){
		"closed":             func(t *testing.T, at *nettest.EngineConn) { nettest.CloseWrite(t, at.Conn) },
		"duplicate response": func(t *testing.T, at *nettest.EngineConn) { nettest.Send(t, at.Conn, succeeded) },
		"partial response":   func(t *testing.T, at *nettest.EngineConn) { nettest.Send(t, at.Conn, succeeded[:20]) },
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
					t.Fatalf("%q on the new connection", call)
				}
				io.WriteString(second, succeeded)
				expectLine(t, in, `"id":12,"result"`)
				if n, err := first.Reader.R.Read(make([]byte, 1)); n > 0 {
					t.Fatalf("something was written on the old connection, %v", err)
				}
			})
		}
	}
}

// A duplicate response that comes milliseconds late is not read as the next query's: a released connection is not written on before
// its drain delay is over, and not at all if the duplicate comes.
func TestLateDuplicateResponse(t *testing.T) {
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
			t.Errorf("%d attempts", n)
		}
	})
	nettest.Send(t, first.Conn, strings.Replace(succeeded, "a\n", "b\n", 1))
	second := e.Accept()
	second.ReadRequest()
	io.WriteString(second, succeeded)
	expectLine(t, in, `"id":12,"result":{"blob":"YQo="}`)
	first.ExpectClosed()
}

// A released connection is checked too before it is handed to a request that waits for it.
func TestDuplicateResponseBeforeHandover(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 1, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass)+queryLine(12, idempotentClass))
	first := e.Accept()
	first.ReadRequest()
	nettest.Eventually(t, "the second request", func() (waits bool) {
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

// Discovery announces that an engine drains while the connection of a retry to it is dialed: nothing is written on it.
func TestDrainBeforeRetry(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	f := newFixture(t, 8, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	at := e.Accept()
	at.ReadRequest()
	f.listEngines(e, other)
	f.loop.Do(func() {
		queued := f.loop.Queued()
		nettest.Send(t, at.Conn, failed)
		f.waitQueued(queued + 1)
		for f.dispatcher.Core.Counts().Further == 0 {
			f.loop.RunNext()
		}
		f.waitQueued(1) // the dial to the other engine has succeeded
		f.dispatcher.UpdateEngines(false, []core.ListedEngine{other.Listed(policy.Draining)})
	})
	next := other.Accept()
	nettest.Eventually(t, "the end of the retry", func() (ended bool) {
		f.loop.Do(func() {
			c := f.dispatcher.Core
			ended = c.AttemptsInFlight() == 0 || c.Counts().Attempts > 2
		})
		return ended
	})
	f.closeIdleEngines() // among them next, which the retry has released
	next.ExpectClosed()
}

// A query that must not run twice fails when its engine closes the connection just after it was written, since it may have been read.
// It is not retried.
func TestNonIdempotentQueryIsSentOnce(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	nettest.Send(t, nc, queryLine(11, nonIdempotentClass))
	at := e.Accept()
	at.ReadRequest()
	nettest.CloseWrite(t, at.Conn)
	poll := e.Accept()
	if call := poll.ReadRequest(); !strings.HasPrefix(call, "GET ") {
		t.Fatalf("%q, want a poll", call)
	}
	nettest.Send(t, poll.Conn, failed) // the engine does not know it
	expectLine(t, bufio.NewReader(nc), `"id":11,"error":{"code":-32013`)
	if n := f.counts(); n.Attempts != 1 || n.Further != 0 || e.Connections() != 0 {
		t.Fatalf("%+v", n)
	}
}

// serveQuery sends query 11 of a client, which the engine serves, and returns the engine's connection.
func serveQuery(t *testing.T, e *nettest.Engine, nc net.Conn, in *bufio.Reader) *nettest.EngineConn {
	t.Helper()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	at := e.Accept()
	at.ReadRequest()
	io.WriteString(at, succeeded)
	expectLine(t, in, `"id":11,"result"`)
	return at
}

// closeIdleEngines waits for an idle connection to an engine, and closes all of them.
func (f *fixture) closeIdleEngines() {
	f.t.Helper()
	nettest.Eventually(f.t, "an idle connection", func() (idle bool) {
		f.loop.Do(func() { idle = len(f.pool.IdleEngines()) > 0 })
		return idle
	})
	f.loop.Do(func() {
		for _, engine := range f.pool.IdleEngines() {
			f.pool.Invalidate(engine)
		}
	})
}
