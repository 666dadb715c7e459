package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
)

// docs/design/crossings.md has a row for each of these tests.

// A request that was sent before its idle connection is closed gets its response, whether it is unread in the socket or the reader
// has it and waits for the loop. It was once lost with a reset.
func TestUnreadRequestBeforeClose(t *testing.T) {
	for name, closeIdle := range map[string]func(*fixture, *client) bool{
		"idle":     func(f *fixture, c *client) bool { return c.closeIfIdle("idle") },
		"stop":     func(f *fixture, _ *client) bool { return f.CloseIdle(0) },
		"eviction": func(f *fixture, _ *client) bool { return f.evictIdle() },
		"request timeout": func(_ *fixture, c *client) bool {
			c.sentRequest = false
			c.requestTimedOut()
			return !c.conn.IsOpen()
		},
	} {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read %t", name, read), func(t *testing.T) {
				e := nettest.NewEngine(t, "e")
				f := newFixture(t, 4, e)
				connect := f.connect
				if !read {
					connect = f.connectPaused
				}
				nc, c := connect()
				f.loop.Do(func() {
					nettest.Send(t, nc, queryLine(12, idempotentClass))
					if read {
						f.waitQueued(1)
					}
					if closeIdle(f, c) {
						t.Error("closed over a request")
					}
				})
				at := e.Accept()
				at.ReadRequest()
				io.WriteString(at, succeeded)
				expectLine(t, bufio.NewReader(nc), `"id":12,"result"`)
			})
		}
	}
}

// A request that comes after the half-close is not accepted, and the client can tell: it finds the end of the connection first, and
// no reset.
func TestRequestAfterHalfClose(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connect()
	f.loop.Do(func() {
		if !c.closeIfIdle("idle") {
			t.Error("an idle connection was not closed")
		}
	})
	expectCleanEnd(t, nc)
	nettest.Send(t, nc, queryLine(7, idempotentClass))
	nettest.CloseWrite(t, nc)
	nettest.Eventually(t, "the descriptor", func() (gone bool) {
		f.loop.Do(func() { gone = len(f.lingering.conns) == 0 && c.conn.IsClosed() })
		return gone
	})
	if n := f.counts(); n.Taken != 0 {
		t.Fatalf("%d requests were accepted after the end", n.Taken)
	}
}

// Queued responses are written before the connection is closed, and unread bytes of the client do not reset it.
func TestUnsentResponseBeforeClose(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connectPaused()
	long := strings.Repeat("y", 8<<20) // more than the buffers of both sockets
	f.loop.Do(func() {
		nettest.Send(t, nc, `{"jsonrpc":`) // unread when the connection is closed
		c.conn.SetWriteLimit(2 * len(long))
		f.loop.SetWriteBudget(2 * int64(len(long)))
		c.conn.Write([]byte(long))
		f.Shutdown()
	})
	if got, err := io.ReadAll(nc); err != nil || len(got) != len(long) {
		t.Fatalf("%d bytes, %v, want %d and the end", len(got), err, len(long))
	}
}

// Responses that are queued are written however many connections are closed at a time. The bound on connections that are being closed
// once closed the oldest at once, over its unwritten response: see TestFleetPlannedStopsLoseNothing in cmd/frostpier.
func TestUnsentResponsesBeforeManyCloses(t *testing.T) {
	f := newFixture(t, 4)
	f.loop.Do(func() { f.lingering.limit = 1 })
	const clients = 4
	long := strings.Repeat("y", 8<<20) // more than the buffers of both sockets
	var conns []net.Conn
	for range clients {
		nc, _ := f.connect()
		conns = append(conns, nc)
	}
	f.loop.Do(func() {
		f.loop.SetWriteBudget(2 * clients * int64(len(long)))
		for c := range f.open {
			c.conn.SetWriteLimit(2 * len(long))
			c.conn.Write([]byte(long))
		}
		f.Shutdown()
	})
	for _, nc := range conns {
		if got, err := io.ReadAll(nc); err != nil || len(got) != len(long) {
			t.Errorf("%d bytes, %v, want %d and the end", len(got), err, len(long))
		}
	}
	nettest.Eventually(t, "the bound", func() (within bool) {
		f.loop.Do(func() { within = len(f.lingering.conns) <= f.lingering.limit })
		return within
	})
}

// A request that comes in one read behind the end of the last open one is answered, though that end makes the gateway idle and a stop
// closes idle connections then. The check for idleness ran in the middle of the read: the connection looked idle, was closed, and the
// request was taken on a closed connection, where its answer was dropped.
func TestRequestBehindTheLastOpenOneAtStop(t *testing.T) {
	f := newFixture(t, 4) // without engines: requests stay queued
	nc, c := f.connectPaused()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	f.loop.Do(func() {
		c.conn.DeliverPending()
		f.dispatcher.OnIdle(func() { f.CloseIdle(0) })
		nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n"+queryLine(12, idempotentClass))
		c.conn.DeliverPending()
		f.dispatcher.Close()
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"id":12,"error"`)
	expectCleanEnd(t, in) // once it is answered, the gateway is idle
}

// A request that is unread when the last connections of a stop are closed is answered: by then every request is, at once.
func TestUnreadRequestBeforeShutdown(t *testing.T) {
	f := newFixture(t, 4)
	nc, _ := f.connectPaused()
	f.loop.Do(func() {
		f.dispatcher.Close()
		nettest.Send(t, nc, queryLine(12, idempotentClass))
		f.Shutdown()
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"id":12,"error"`)
	expectCleanEnd(t, in)
}

// A client that does not close its side holds a descriptor for the linger timeout at most.
func TestLingerTimeout(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connect()
	f.loop.Do(func() {
		c.conn.SetLingerTimeout(time.Millisecond)
		c.closeIfIdle("idle")
	})
	expectCleanEnd(t, nc)
	nettest.Eventually(t, "the descriptor", func() (gone bool) {
		f.loop.Do(func() { gone = len(f.lingering.conns) == 0 })
		return gone
	})
}

// After a framing error, an open query still gets its response, and nothing more is read.
func TestOpenQueryAfterFramingError(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, c := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	at := e.Accept()
	at.ReadRequest()
	go io.Copy(nc, strings.NewReader(strings.Repeat("x", 1<<20)))
	nettest.Eventually(t, "the framing error", func() (stopped bool) {
		f.loop.Do(func() { stopped = c.framingLost })
		return stopped
	})
	io.WriteString(at, succeeded)
	in := bufio.NewReader(nc)
	expectLine(t, in, `"result"`)
	expectCleanEnd(t, in)
}

// Nothing is sent for a client that has closed its connection or aborted its query, though that is unread: not the first attempt,
// not one for which it was queued, and no retry.
func TestNothingIsSentForAClientThatHasGone(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, net.Conn){
		"closed": func(t *testing.T, nc net.Conn) {
			nettest.Send(t, nc, queryLine(12, idempotentClass)[:10]) // unread before the end
			nettest.CloseWrite(t, nc)
		},
		"aborted": func(t *testing.T, nc net.Conn) {
			nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n")
		},
	} {
		t.Run("first attempt, "+name, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, c := f.connectPaused()
			f.loop.Do(func() {
				nettest.Send(t, nc, queryLine(11, idempotentClass))
				c.conn.DeliverPending()
				f.waitQueued(1) // the dial has succeeded
				leave(t, nc)
			})
			f.expectNothingSent(e.Accept(), e)
		})
		t.Run("queued, "+name, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4)
			nc, c := f.connectPaused()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			f.loop.Do(func() { c.conn.DeliverPending() })
			leave(t, nc)
			f.listEngines(e)
			f.expectNothingSent(e.Accept(), e)
		})
	}
	t.Run("retry", func(t *testing.T) {
		e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
		f := newFixture(t, 4, e)
		nc, c := f.connectPaused()
		nettest.Send(t, nc, queryLine(11, idempotentClass))
		f.loop.Do(func() { c.conn.DeliverPending() })
		at := e.Accept()
		at.ReadRequest()
		nettest.CloseWrite(t, nc)
		f.listEngines(e, other)
		io.WriteString(at, failed)
		nettest.Eventually(t, "the request's end", func() bool { return f.counts().Left == 1 })
		if n := f.counts(); n.Further != 0 {
			t.Fatalf("%d retries", n.Further)
		}
	})
}

// expectNothingSent checks that nothing was sent on an engine's connection, and that the request counts as cancelled by its client.
func (f *fixture) expectNothingSent(at *nettest.EngineConn, e *nettest.Engine) {
	f.t.Helper()
	nettest.Eventually(f.t, "the request's end", func() bool { return f.counts().Left == 1 })
	f.loop.Do(func() {
		if n := f.dispatcher.Core.AttemptsInFlight(); n != 0 {
			f.t.Errorf("%d attempts are in flight", n)
		}
	})
	f.closeIdleEngines()
	at.ExpectClosed()
}

// A client aborts its query while the response is on its way: the attempt ends once, and an aborted query gets no response.
func TestCancelCrossesResponse(t *testing.T) {
	for _, responseFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("response first %t", responseFirst), func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, c := f.connect()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			at := e.Accept()
			at.ReadRequest()
			abort := `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}` + "\n"
			f.loop.Do(func() {
				nettest.Send(t, at.Conn, succeeded) // received and unread
				if !responseFirst {
					nettest.Send(t, nc, abort)
					c.conn.DeliverPending()
				}
			})
			in := bufio.NewReader(nc)
			if responseFirst {
				expectLine(t, in, `"id":11,"result"`)
				nettest.Send(t, nc, abort)
			}
			nettest.Eventually(t, "the attempt's end", func() (over bool) {
				f.loop.Do(func() { over = f.dispatcher.Core.AttemptsInFlight() == 0 && f.dispatcher.Core.PendingRequests() == 0 })
				return over
			})
			nettest.Send(t, nc, ping)
			expectLine(t, in, `"serving"`) // and nothing before it
		})
	}
}

// A cancelled attempt is in flight until its engine has confirmed the cancellation; its response may still come first.
func TestCancelledAttemptIsInFlightUntilConfirmed(t *testing.T) {
	for _, responseFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("response first %t", responseFirst), func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, _ := f.connect()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			at := e.Accept()
			at.ReadRequest()
			nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n")
			control := e.Accept()
			if call := control.ReadRequest(); !strings.HasPrefix(call, "DELETE ") {
				t.Fatalf("%q, want the DELETE", call)
			}
			f.loop.Do(func() {
				if n := f.dispatcher.Core.AttemptsInFlight(); n != 1 {
					t.Errorf("%d attempts are in flight before the engine has confirmed", n)
				}
			})
			if responseFirst { // read before the 204 is written
				nettest.Send(t, at.Conn, succeeded)
			} else {
				nettest.Send(t, control.Conn, confirmed)
			}
			nettest.Eventually(t, "the attempt's end", func() (over bool) {
				f.loop.Do(func() { over = f.dispatcher.Core.AttemptsInFlight() == 0 })
				return over
			})
			in := bufio.NewReader(nc)
			nettest.Send(t, nc, ping)
			expectLine(t, in, `"serving"`) // and no response to the aborted query
		})
	}
}

// The connection of a client that has closed it is freed, though its end is unread.
func TestClosedClientFreesItsConnection(t *testing.T) {
	f := newFixture(t, 4)
	nc, _ := f.connectPaused()
	nettest.Send(t, nc, queryLine(11, idempotentClass)) // stays open: there is no engine
	f.loop.Do(func() {
		nettest.CloseWrite(t, nc)
		for c := range f.open {
			c.conn.DeliverPending()
		}
		if len(f.open) != 0 || f.dispatcher.Core.PendingRequests() != 0 {
			t.Errorf("%d connections, %d requests", len(f.open), f.dispatcher.Core.PendingRequests())
		}
	})
}

// Clients that never close their side hold few descriptors after the half-close, so that others are accepted.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	f := newFixture(t, 4)
	for range 3 * f.lingering.limit {
		nc, c := f.connect()
		f.loop.Do(func() { c.closeIfIdle("others came") })
		expectCleanEnd(t, nc) // and the client does not close its side
		f.loop.Do(func() {
			descriptors := 0 // closed connections leave the list a moment later
			for _, conn := range f.lingering.conns {
				if !conn.IsClosed() {
					descriptors++
				}
			}
			if descriptors > f.lingering.limit {
				t.Errorf("%d connections are being closed, of at most %d", descriptors, f.lingering.limit)
			}
		})
	}
}
