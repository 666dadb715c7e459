package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
)

// The tests in this file force races between events of a client and of the gateway; docs/design/crossings.md lists them.

// A request that a client sends just before the gateway closes the idle connection is answered, whether it is still in the socket or was
// read and is queued for the loop. Such requests were once lost, since the close reset the connection.
func TestIdleCloseServesPendingRequest(t *testing.T) {
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
						t.Error("the connection was closed although a request was pending")
					}
				})
				engineConn := e.Accept()
				engineConn.ReadRequest()
				io.WriteString(engineConn, succeeded)
				expectLine(t, bufio.NewReader(nc), `"id":12,"result"`)
			})
		}
	}
}

// A request that arrives after the half-close is not accepted, and the client can detect this: it reads EOF first, not a reset.
func TestRequestAfterHalfCloseIsNotAccepted(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connect()
	f.loop.Do(func() {
		if !c.closeIfIdle("idle") {
			t.Error("the idle connection was not closed")
		}
	})
	expectEOF(t, nc)
	nettest.Send(t, nc, queryLine(7, idempotentClass))
	nettest.CloseWrite(t, nc)
	nettest.Eventually(t, "the connection to be closed", func() (closed bool) {
		f.loop.Do(func() { closed = len(f.lingering.conns) == 0 && c.conn.IsClosed() })
		return closed
	})
	if n := f.counts(); n.Taken != 0 {
		t.Fatalf("%d requests were accepted after the half-close", n.Taken)
	}
}

// Shutdown writes queued responses before it closes a connection, and unread bytes from the client do not cause a reset.
func TestShutdownFlushesQueuedResponse(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connectPaused()
	long := strings.Repeat("y", 8<<20) // more than the buffers of both sockets
	f.loop.Do(func() {
		nettest.Send(t, nc, `{"jsonrpc":`) // still unread when the connection is closed
		c.conn.SetWriteLimit(2 * len(long))
		f.loop.SetWriteBudget(2 * int64(len(long)))
		c.conn.Write([]byte(long))
		f.Shutdown()
	})
	if got, err := io.ReadAll(nc); err != nil || len(got) != len(long) {
		t.Fatalf("read %d bytes and error %v, want %d bytes and EOF", len(got), err, len(long))
	}
}

// Queued responses are written even if more connections than the linger limit are closed at a time. The limit once closed the oldest
// connection immediately, which dropped its unwritten response: see TestFleetPlannedStopsLoseNothing in cmd/frostpier.
func TestLingerLimitKeepsQueuedResponses(t *testing.T) {
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
			t.Errorf("read %d bytes and error %v, want %d bytes and EOF", len(got), err, len(long))
		}
	}
	nettest.Eventually(t, "the linger limit to be enforced", func() (within bool) {
		f.loop.Do(func() { within = len(f.lingering.conns) <= f.lingering.limit })
		return within
	})
}

// During a stop, a request that arrives in the same read as the abort of the last open query is answered. The idle check once ran in the
// middle of the read: after the abort it found the gateway idle and closed the connection, so that the response was dropped.
func TestStopAnswersRequestReadWithLastAbort(t *testing.T) {
	f := newFixture(t, 4) // without engines, so that requests stay queued
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
	expectEOF(t, in) // the gateway is idle after the response
}

// Shutdown answers a request that is still unread: after Dispatcher.Close, each request gets an immediate response.
func TestShutdownAnswersPendingRequest(t *testing.T) {
	f := newFixture(t, 4)
	nc, _ := f.connectPaused()
	f.loop.Do(func() {
		f.dispatcher.Close()
		nettest.Send(t, nc, queryLine(12, idempotentClass))
		f.Shutdown()
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"id":12,"error"`)
	expectEOF(t, in)
}

// The time in which the process was suspended counts for the requests that it reads afterwards: the engine is told a budget that is shorter
// by that time. It guards against answers that come too late by as long as the process was suspended.
func TestSuspendedTimeIsTakenFromBudget(t *testing.T) {
	const suspended, budget = time.Second, 3 * time.Second
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	f.loop.Do(f.loop.StartLagMonitor)
	f.loop.Do(func() {
		nettest.Send(t, nc, queryLineWithBudget(11, idempotentClass, budget))
		nettest.WaitOut(t, suspended)
	})
	engineConn := e.Accept()
	if _, err := engineConn.Reader.ReadLine(); err != nil {
		t.Fatal(err)
	}
	header, err := engineConn.Reader.ReadMIMEHeader()
	if err != nil {
		t.Fatal(err)
	}
	told, err := strconv.Atoi(header.Get("X-Budget"))
	if limit := (budget - suspended*9/10).Milliseconds(); err != nil || int64(told) > limit {
		t.Errorf("the engine was told a budget of %d ms (error %v), want at most %d ms", told, err, limit)
	}
}

// A request is rejected at its deadline although functions are queued on the loop that take until after the deadline. It guards against
// rejections that wait behind all queued work, and reach the client too late.
func TestRequestIsRejectedAtDeadlineWhileLoopIsBehind(t *testing.T) {
	const slowFunctions, slowFunction = 10, 100 * time.Millisecond
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, c := f.connect()
	nettest.Send(t, nc, queryLineWithBudget(11, idempotentClass, 400*time.Millisecond))
	e.Accept().ReadRequest()
	done := make(chan struct{})
	f.loop.Do(func() {
		go func() {
			for range slowFunctions {
				f.loop.Post(func() { nettest.WaitOut(t, slowFunction) })
			}
			f.loop.Post(func() {
				if open := len(c.requests); open != 0 {
					t.Errorf("%d requests are open %v after a budget of 400 ms began, want none", open, slowFunctions*slowFunction)
				}
				close(done)
			})
		}()
		f.waitQueued(slowFunctions + 1)
	})
	<-done
	expectLine(t, bufio.NewReader(nc), `"id":11,"error"`)
}

// The connection of a client that does not close its side is closed after the linger timeout, which frees its descriptor.
func TestLingerTimeoutClosesConnection(t *testing.T) {
	f := newFixture(t, 4)
	nc, c := f.connect()
	f.loop.Do(func() {
		c.conn.SetLingerTimeout(time.Millisecond)
		c.closeIfIdle("idle")
	})
	expectEOF(t, nc)
	nettest.Eventually(t, "the connection to be closed", func() (closed bool) {
		f.loop.Do(func() { closed = len(f.lingering.conns) == 0 })
		return closed
	})
}

// After a framing error, open queries are still answered, and no more input is read.
func TestFramingErrorKeepsOpenQuery(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, c := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	engineConn := e.Accept()
	engineConn.ReadRequest()
	go io.Copy(nc, strings.NewReader(strings.Repeat("x", 1<<20)))
	nettest.Eventually(t, "the framing error", func() (stopped bool) {
		f.loop.Do(func() { stopped = c.readStopped })
		return stopped
	})
	io.WriteString(engineConn, succeeded)
	in := bufio.NewReader(nc)
	expectLine(t, in, `"result"`)
	expectEOF(t, in)
}

// Once a client has closed its connection or aborted its query, nothing is sent to an engine for it, even if the close or abort is still
// unread in the socket. This holds for the first attempt, for the attempt of a query that was queued, and for a retry.
func TestNothingIsSentAfterClientCancels(t *testing.T) {
	for name, disconnect := range map[string]func(*testing.T, net.Conn){
		"closed": func(t *testing.T, nc net.Conn) {
			nettest.Send(t, nc, queryLine(12, idempotentClass)[:10]) // unread bytes before EOF
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
				disconnect(t, nc)
			})
			f.expectNothingSent(e.Accept(), e)
		})
		t.Run("queued, "+name, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4)
			nc, c := f.connectPaused()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			f.loop.Do(func() { c.conn.DeliverPending() })
			disconnect(t, nc)
			f.listEngines(e)
			f.expectNothingSent(e.Accept(), e)
		})
	}
	t.Run("retry", func(t *testing.T) {
		e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
		f := newFixture(t, 4, e)
		nc, engineConn := f.startAttemptOfPausedClient(e)
		nettest.CloseWrite(t, nc)
		f.listEngines(e, other)
		io.WriteString(engineConn, failed)
		nettest.Eventually(t, "the request to count as cancelled by its client", func() bool { return f.counts().Left == 1 })
		if n := f.counts(); n.Further != 0 {
			t.Fatalf("%d retries, want none", n.Further)
		}
	})
}

// The attempts of a client that has closed its connection are cancelled although the gateway does not read what it sent before. They ran until
// the client's whole input had been read, or, on a connection whose input was rejected, to their end.
func TestClosedConnectionIsNoticedBehindUnreadInput(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.startAttemptOfPausedClient(e)
	nettest.Send(t, nc, queryLine(12, idempotentClass))
	nettest.CloseWrite(t, nc)
	f.loop.Do(f.loop.StartLagMonitor)
	nettest.Eventually(t, "the request to count as cancelled by its client", func() bool { return f.counts().Left == 1 })
	if n := f.counts(); n.Taken != 1 {
		t.Errorf("%d queries taken, want the first only", n.Taken)
	}
}

// startAttemptOfPausedClient connects a client as connectPaused does, and waits until the engine has read its query.
func (f *fixture) startAttemptOfPausedClient(e *nettest.Engine) (net.Conn, *nettest.EngineConn) {
	f.t.Helper()
	nc, c := f.connectPaused()
	nettest.Send(f.t, nc, queryLine(11, idempotentClass))
	f.loop.Do(func() { c.conn.DeliverPending() })
	engineConn := e.Accept()
	engineConn.ReadRequest()
	return nc, engineConn
}

// expectNothingSent checks that nothing was sent on a connection to an engine, and that the request counts as cancelled by its client.
func (f *fixture) expectNothingSent(engineConn *nettest.EngineConn, e *nettest.Engine) {
	f.t.Helper()
	nettest.Eventually(f.t, "the request to count as cancelled by its client", func() bool { return f.counts().Left == 1 })
	f.loop.Do(func() {
		if n := f.dispatcher.Core.AttemptsInFlight(); n != 0 {
			f.t.Errorf("%d attempts are in flight, want none", n)
		}
	})
	f.closeIdleEngineConns()
	engineConn.ExpectClosed()
}

// If the abort of a query races with the engine's response, the attempt ends exactly once. The client gets the response only if it was
// handled before the abort.
func TestAbortRacingResponseEndsAttemptOnce(t *testing.T) {
	for _, responseFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("response first %t", responseFirst), func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, c := f.connect()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			engineConn := e.Accept()
			engineConn.ReadRequest()
			abort := `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}` + "\n"
			f.loop.Do(func() {
				nettest.Send(t, engineConn.Conn, succeeded) // received by the kernel, but not read
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
			nettest.Eventually(t, "the attempt to end", func() (ended bool) {
				f.loop.Do(func() { ended = f.dispatcher.Core.AttemptsInFlight() == 0 && f.dispatcher.Core.PendingRequests() == 0 })
				return ended
			})
			nettest.Send(t, nc, ping)
			expectLine(t, in, `"serving"`) // the first line read: no response to the query precedes it
		})
	}
}

// A cancelled attempt stays in flight until the engine confirms the cancellation or its response arrives.
func TestCancelledAttemptIsInFlightUntilConfirmed(t *testing.T) {
	for _, responseFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("response first %t", responseFirst), func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			f := newFixture(t, 4, e)
			nc, _ := f.connect()
			nettest.Send(t, nc, queryLine(11, idempotentClass))
			engineConn := e.Accept()
			engineConn.ReadRequest()
			nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n")
			control := e.Accept()
			if call := control.ReadRequest(); !strings.HasPrefix(call, "DELETE ") {
				t.Fatalf("the engine received %q, want a DELETE request", call)
			}
			f.loop.Do(func() {
				if n := f.dispatcher.Core.AttemptsInFlight(); n != 1 {
					t.Errorf("%d attempts are in flight before the engine has confirmed the cancellation, want 1", n)
				}
			})
			if responseFirst { // read before the 204 response is written
				nettest.Send(t, engineConn.Conn, succeeded)
			} else {
				nettest.Send(t, control.Conn, confirmed)
			}
			nettest.Eventually(t, "the attempt to end", func() (ended bool) {
				f.loop.Do(func() { ended = f.dispatcher.Core.AttemptsInFlight() == 0 })
				return ended
			})
			in := bufio.NewReader(nc)
			nettest.Send(t, nc, ping)
			expectLine(t, in, `"serving"`) // the first line read: no response to the aborted query precedes it
		})
	}
}

// The close of a client's connection releases the connection and cancels its requests, even if EOF has not been read by the reader.
func TestClientCloseReleasesConnection(t *testing.T) {
	f := newFixture(t, 4)
	nc, _ := f.connectPaused()
	nettest.Send(t, nc, queryLine(11, idempotentClass)) // stays open, since there is no engine
	f.loop.Do(func() {
		nettest.CloseWrite(t, nc)
		for c := range f.open {
			c.conn.DeliverPending()
		}
		if len(f.open) != 0 || f.dispatcher.Core.PendingRequests() != 0 {
			t.Errorf("%d connections and %d requests are open, want none", len(f.open), f.dispatcher.Core.PendingRequests())
		}
	})
}

// Half-closed connections whose clients never close their side are limited in number, so that descriptors remain for new clients.
func TestLingeringConnectionsAreLimited(t *testing.T) {
	f := newFixture(t, 4)
	for range 3 * f.lingering.limit {
		nc, c := f.connect()
		f.loop.Do(func() { c.closeIfIdle("evicted for a new connection") })
		expectEOF(t, nc) // the client does not close its side
		f.loop.Do(func() {
			descriptors := 0 // closed connections are removed from the list asynchronously
			for _, conn := range f.lingering.conns {
				if !conn.IsClosed() {
					descriptors++
				}
			}
			if descriptors > f.lingering.limit {
				t.Errorf("%d connections are being closed, want at most %d", descriptors, f.lingering.limit)
			}
		})
	}
}
